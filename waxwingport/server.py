"""The HTTP server of an entry node."""

import asyncio
import contextlib
import ssl

from tornado import httpserver
from tornado import iostream
from tornado import netutil

from waxwingport.api import application
from waxwingport.api import intake
from waxwingport.api import problems
from waxwingport import node
from waxwingport import outcomes

__all__ = ['NodeServer']

_SIZE_SLACK = 64 * 1024
"""Bytes that tornado accepts beyond a limit, so that ``intake`` can answer an
oversized request with problem details before tornado closes the connection.
"""
_TIMEOUT_SLACK_S = 1.0
"""Seconds that tornado waits beyond the body timeout, for the same reason."""
_RETRY_AFTER_S = 1.0


class _BoundedServer(httpserver.HTTPServer):
    """Answers connections beyond a maximum with 503 and closes them."""

    def initialize(self, *args, max_connections: int, **kwargs) -> None:
        super().initialize(*args, **kwargs)
        self._max_connections = max_connections

    def handle_stream(self, stream: iostream.IOStream, address) -> None:
        if len(self._connections) < self._max_connections:
            super().handle_stream(stream, address)
            return
        stream.write(_render_connection_limit()).add_done_callback(
            lambda written: (written.exception(), stream.close())
        )


class NodeServer:
    """Serves the HTTP interface of ``served`` on its ``listen`` address.

    ``context`` enables TLS.  Raises ``OSError`` if the address cannot be
    bound.
    """

    def __init__(
        self, served: node.Node, context: ssl.SSLContext | None = None
    ) -> None:
        configured = served.settings.node
        limits = served.settings.requests
        self._node = served
        host, _, port = configured.listen.rpartition(':')
        self._server = _BoundedServer(
            intake.Intake(
                application.make_application(served),
                configured.max_body_size,
                limits,
                served.request_tracker,
            ),
            max_connections=configured.max_connections,
            max_body_size=configured.max_body_size + _SIZE_SLACK,
            max_header_size=limits.max_header_size + _SIZE_SLACK,
            idle_connection_timeout=limits.header_timeout,
            body_timeout=limits.body_timeout + _TIMEOUT_SLACK_S,
            ssl_options=context,
        )
        sockets = netutil.bind_sockets(int(port), host)
        self._server.add_sockets(sockets)
        self.address = f'{host}:{sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Shuts down gracefully, then closes every connection.

        The readiness check fails at once, new requests are refused after the
        drain delay, and requests still in progress after the shutdown
        timeout are answered with an error.
        """
        limits = self._node.settings.requests
        timeout = self._node.settings.node.shutdown_timeout
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self._node.request_tracker.drain(
            limits.drain_delay, timeout, self._node.services.refuse_new
        )
        await self._node.request_tracker.wait_idle(limits.final_timeout)
        # A call whose outcome is stored for repeats continues without the
        # caller that started it.
        with contextlib.suppress(TimeoutError):
            remaining = max(
                started + timeout - loop.time(), limits.final_timeout
            )
            await asyncio.wait_for(
                self._node.services.wait_finished(), remaining
            )
        await self.close()

    async def close(self) -> None:
        """Closes every connection at once."""
        self._server.stop()
        await self._server.close_all_connections()


def _render_connection_limit() -> bytes:
    status, headers, body = problems.render(
        outcomes.Refusal(
            outcomes.Reason.OVERLOADED,
            'too many connections',
            retry_after=_RETRY_AFTER_S,
        )
    )
    headers['Content-Length'] = str(len(body))
    headers['Connection'] = 'close'
    lines = [f'HTTP/1.1 {status} Refused']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body
