"""Routes of the HTTP interface to their request handlers."""

import logging

from tornado import web

from waxwingport.api import completions
from waxwingport.api import configuration
from waxwingport.api import handler
from waxwingport.api import request_ids
from waxwingport.api import services
from waxwingport.api import status
from waxwingport.api import trainers
from waxwingport import node
from waxwingport import outcomes

__all__ = ['make_application']

_LOG = logging.getLogger(__name__)


class _UnknownResource(handler.Handler):
    def prepare(self) -> None:
        """Answers every method with 404."""
        super().prepare()
        if self._finished:
            return
        self.send_refusal(
            outcomes.Refusal(
                outcomes.Reason.NOT_FOUND, f'no resource {self.request.path}'
            )
        )


def make_application(served: node.Node) -> web.Application:
    """Returns the web application for the node ``served``."""
    arguments = {'node': served}
    routes = [
        ('/v1/completions', completions.TextCompletions),
        ('/v1/chat/completions', completions.ChatCompletions),
        ('/v1/request-ids', request_ids.RequestIds),
        ('/v1/services/.+', services.Services),
        ('/v1/trainers/([^/]+)/steps/([0-9]+)', trainers.StepResource),
        ('/v1/trainers/([^/]+)/pull', trainers.Pull),
        (
            '/v1/trainers/([^/]+)/versions/([0-9]+)',
            trainers.VersionResource,
        ),
        ('/v1/configuration', configuration.Configuration),
        ('/v1/status', status.Status),
        ('/healthz', status.Health),
        ('/readyz', status.Readiness),
        ('/metrics', status.MetricsResource),
    ]
    return web.Application(
        [(path, resource, arguments) for path, resource in routes],
        default_handler_class=_UnknownResource,
        default_handler_args=arguments,
        log_function=_log_request,
    )


def _log_request(handled: web.RequestHandler) -> None:
    _LOG.info(
        'request method=%s path=%s status=%d seconds=%.4f',
        handled.request.method,
        handled.request.path,
        handled.get_status(),
        handled.request.request_time(),
    )
