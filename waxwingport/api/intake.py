"""Bounds what a caller may send before any of it is worked on."""

import asyncio

from tornado import httputil
from tornado import web

from waxwingport.api import problems
from waxwingport import outcomes
from waxwingport.requests import progress
from waxwingport.requests import settings

__all__ = ['Intake']

_RETRY_AFTER = 1.0
_HEADERS_TOO_LARGE = 431
_BODY_TOO_SLOW = 408


class Intake(httputil.HTTPServerConnectionDelegate):
    """Hands whole requests to an application, and refuses the others."""

    def __init__(
        self,
        application: web.Application,
        max_body_size: int,
        configured: settings.RequestSettings,
        held: progress.RequestTracker,
    ) -> None:
        self._application = application
        self.max_body_size = max_body_size
        self.settings = configured
        self.progress = held

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that takes one request."""
        inner = self._application.start_request(server_conn, request_conn)
        return _Request(self, inner, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Passes the end of a connection on."""
        self._application.on_close(server_conn)


class _Request(httputil.HTTPMessageDelegate):
    """Counts one request's bytes and passes them on."""

    def __init__(
        self,
        intake: Intake,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._intake = intake
        self._inner = inner
        self._connection = connection
        self._received = 0
        self._reserved = 0
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        size = sum(len(name) + len(text) for name, text in headers.get_all())
        if size > self._intake.settings.max_header_size:
            self._refuse(_too_large('headers'), _HEADERS_TOO_LARGE)
            return None
        length = headers.get('Content-Length', '')
        expected = int(length) if length.isdecimal() else 0
        if expected > self._intake.max_body_size:
            self._refuse(_too_large('body'))
            return None
        if not self._reserve(expected):
            return None
        if expected or 'Transfer-Encoding' in headers:
            self._timer = asyncio.get_running_loop().call_later(
                self._intake.settings.body_timeout, self._time_out
            )
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> None:
        if self._refused:
            return None
        self._received += len(chunk)
        if self._received > self._intake.max_body_size:
            self._refuse(_too_large('body'))
            return None
        if not self._reserve(max(0, self._received - self._reserved)):
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._release()
        if not self._refused:
            self._inner.finish()

    def on_connection_close(self) -> None:
        self._release()
        if not self._refused:
            self._inner.on_connection_close()

    def _reserve(self, size: int) -> bool:
        if self._intake.progress.reserve(size):
            self._reserved += size
            return True
        self._refuse(
            outcomes.Refusal(
                outcomes.Reason.OVERLOADED,
                'no memory for another body',
                retry_after=_RETRY_AFTER,
            )
        )
        return False

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._intake.progress.free(self._reserved)
        self._reserved = 0

    def _time_out(self) -> None:
        self._refuse(
            outcomes.Refusal(
                outcomes.Reason.TIMEOUT, 'the body did not come in time'
            ),
            _BODY_TOO_SLOW,
        )

    def _refuse(
        self, refusal: outcomes.Refusal, status: int | None = None
    ) -> None:
        """Answers before the request is whole; the connection then ends."""
        self._refused = True
        self._release()
        status, headers, body = problems.render(refusal, status)
        found = httputil.HTTPHeaders(headers)
        found['Connection'] = 'close'
        found['Content-Length'] = str(len(body))
        self._connection.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', status, 'Refused'),
            found,
            body,
        )
        self._connection.finish()


def _too_large(part: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.TOO_LARGE, f'the {part} of the request is too large'
    )
