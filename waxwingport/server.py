"""The HTTP server of an entry node."""

import ssl

from tornado import httpserver
from tornado import netutil

from waxwingport.api import application
from waxwingport import node

__all__ = ['NodeServer']


class NodeServer:
    """Serves a node's HTTP interface on its ``listen`` address."""

    def __init__(
        self, served: node.Node, context: ssl.SSLContext | None = None
    ) -> None:
        configured = served.settings.node
        host, _, port = configured.listen.rpartition(':')
        self._server = httpserver.HTTPServer(
            application.make_application(served),
            max_body_size=configured.max_body_size,
            ssl_options=context,
        )
        sockets = netutil.bind_sockets(int(port), host)
        self._server.add_sockets(sockets)
        self.address = f'{host}:{sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Stops listening and closes every connection."""
        self._server.stop()
        await self._server.close_all_connections()
