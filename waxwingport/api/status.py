"""Resources ``/v1/status``, ``/healthz``, ``/readyz`` and ``/metrics``."""

from waxwingport.api import handler
from waxwingport.api import overview

__all__ = ['Health', 'MetricsResource', 'Readiness', 'Status']


class Status(handler.Handler):
    """Resource ``GET /v1/status``."""

    async def get(self) -> None:
        """Answers with the state of this node that the caller may read.

        A declared caller with an ``allow`` list that is not an operator gets
        the pools, services and trainers that it may use, but no targets,
        nodes, leases or refusals.
        """
        refusal = self.identify()
        if refusal is not None:
            self.send_refusal(refusal)
            return
        status = overview.describe(self.node)
        if self.declared_caller.allow and not self.declared_caller.operator:
            status = overview.restrict(status, self.declared_caller)
        self.send_json(status)


class Health(handler.Handler):
    """Resource ``GET /healthz``: the process is alive."""

    async def get(self) -> None:
        """Answers 200 whenever the event loop runs."""
        self.send_json({'status': 'ok'})


class MetricsResource(handler.Handler):
    """Resource ``GET /metrics`` for Prometheus."""

    async def get(self) -> None:
        """Answers with the metrics of this process.

        If callers are declared, only an operator may read them.
        """
        refusal = self.identify()
        if refusal is not None:
            self.send_refusal(refusal)
            return
        declared = self.node.configuration.declarations.callers
        if declared and not self.require_operator():
            return
        overview.update_gauges(self.node)
        accept = self.request.headers.get('Accept', '')
        body, headers = self.node.metrics.render(accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class Readiness(handler.Handler):
    """Resource ``GET /readyz``: the node accepts requests."""

    async def get(self) -> None:
        """Answers 200 if ``Node.is_ready``, else 503."""
        ready = self.node.is_ready()
        status = 'ready' if ready else 'not ready'
        self.send_json({'status': status}, 200 if ready else 503)
