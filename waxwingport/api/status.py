"""``/v1/status``, ``/healthz``, ``/readyz`` and ``/metrics``."""

from waxwingport.api import handler
from waxwingport.api import overview

__all__ = ['Health', 'MetricsResource', 'Readiness', 'Status']


class Status(handler.Handler):
    """``GET /v1/status``."""

    async def get(self) -> None:
        """Answers with what holds at this node, as far as the caller may see.

        Where callers are declared, one with an ``allow`` list sees what it may
        use and nothing of targets, nodes or others' refusals.
        """
        refusal = self.identify()
        if refusal is not None:
            self.send_refusal(refusal)
            return
        shown = overview.describe(self.node)
        if self.declared_caller.allow and not self.declared_caller.operator:
            shown = overview.restrict(shown, self.declared_caller)
        self.send_json(shown)


class Health(handler.Handler):
    """``GET /healthz``: the process runs its loop."""

    async def get(self) -> None:
        """Answers 200 while the loop turns."""
        self.send_json({'status': 'ok'})


class MetricsResource(handler.Handler):
    """``GET /metrics``, for a scraper."""

    async def get(self) -> None:
        """Answers with the metrics of this process.

        Needs an operator's token where callers are declared.
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
    """``GET /readyz``: the node can take requests."""

    async def get(self) -> None:
        """Answers 200 when a configuration is in force, else 503."""
        ready = self.node.is_ready()
        status = 'ready' if ready else 'not ready'
        self.send_json({'status': status}, 200 if ready else 503)
