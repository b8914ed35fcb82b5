"""A caller's request in progress and its answer."""

import asyncio

from tornado import httputil

from waxwingport import ids
from waxwingport.intake import connections
from waxwingport.intake import reader
from waxwingport.requests import progress
from waxwingport.tenancy import model as tenancy

__all__ = ['Exchange']

_LARGE_ANSWER = 65_536
"""Bytes from which an answer is not copied in order to be sent with its
head."""


class Exchange(progress.Interruptible):
    """A caller's request in progress and its answer."""

    def __init__(
        self, request: httputil.HTTPServerRequest, draining: bool
    ) -> None:
        self.connection = request.connection
        self.stream: connections.CallerStream = request.connection.stream
        self.draining = draining
        self.started_at = asyncio.get_running_loop().time()
        self.status = 0
        """HTTP status of the answer, 0 until its head is sent."""
        self.kind = 'none'
        """Kind of the request's route, a label of the metrics."""
        self.request_id: ids.RequestId | None = None
        self.tenant: tenancy.TenantName | None = None
        """Tenant whose key the request carries, if it has been checked."""
        self.task: asyncio.Task[None] | None = None

    def interrupt(self) -> None:
        """Cancels the request, which closes its connection."""
        if self.task is not None:
            self.task.cancel()

    async def write_head(
        self,
        status: int,
        fields: tuple[tuple[str, str], ...],
        body: bytes = b'',
    ) -> None:
        """Sends the head of an answer and the start of its body."""
        self.status = status
        start = reader.make_status_line(status)
        headers = self._make_headers(fields)
        self.stream.begin_answer(len(body))
        if len(body) < _LARGE_ANSWER:
            await self.connection.write_headers(start, headers, body or None)
        else:
            self.connection.write_headers(start, headers)
            await self.connection.write(body)
        self.stream.end_answer()

    async def write_part(self, data: bytes) -> None:
        """Sends a part of a body, at the pace of its reader."""
        self.stream.begin_answer(len(data))
        await self.connection.write(data)
        self.stream.end_answer()

    async def write_whole(
        self, status: int, fields: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Sends a complete answer with its length."""
        headers = (*fields, ('Content-Length', str(len(body))))
        await self.write_head(status, headers, body)
        self.connection.finish()

    def _make_headers(
        self, fields: tuple[tuple[str, str], ...]
    ) -> httputil.HTTPHeaders:
        headers = httputil.HTTPHeaders()
        for name, value in fields:
            headers.add(name, value)
        if self.draining:
            headers['Connection'] = 'close'
        return headers
