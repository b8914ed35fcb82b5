"""Limits on the size and duration of requests while they are received."""

import asyncio

from tornado import httputil
from tornado import web

from waxwingport.api import problems
from waxwingport import outcomes
from waxwingport.requests import progress
from waxwingport.requests import settings

__all__ = ['Intake']

_RETRY_AFTER_S = 1.0
"""Sent when the memory for request bodies is used up."""
_HEADERS_TOO_LARGE_STATUS = 431
_BODY_TIMEOUT_STATUS = 408


class Intake(httputil.HTTPServerConnectionDelegate):
    """Passes requests within the limits to an application.

    Refuses the others while they are being received.  ``max_body_size`` is
    in bytes.
    """

    def __init__(
        self,
        application: web.Application,
        max_body_size: int,
        configured: settings.RequestSettings,
        tracker: progress.RequestTracker,
    ) -> None:
        self._application = application
        self.max_body_size = max_body_size
        self.settings = configured
        self.tracker = tracker

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that receives one request."""
        application_delegate = self._application.start_request(
            server_conn, request_conn
        )
        return _LimitedRequest(self, application_delegate, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Tells the application that a connection was closed."""
        self._application.on_close(server_conn)


class _LimitedRequest(httputil.HTTPMessageDelegate):
    """Checks the limits of one request and passes its data on."""

    def __init__(
        self,
        intake: Intake,
        application_delegate: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._intake = intake
        self._application_delegate = application_delegate
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
            self._refuse(
                _make_too_large_refusal('headers'), _HEADERS_TOO_LARGE_STATUS
            )
            return None
        length = headers.get('Content-Length', '')
        body_size = int(length) if length.isdecimal() else 0
        if body_size > self._intake.max_body_size:
            self._refuse(_make_too_large_refusal('body'))
            return None
        if not self._reserve(body_size):
            return None
        if body_size or 'Transfer-Encoding' in headers:
            self._timer = asyncio.get_running_loop().call_later(
                self._intake.settings.body_timeout, self._time_out
            )
        return self._application_delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> None:
        if self._refused:
            return None
        self._received += len(chunk)
        if self._received > self._intake.max_body_size:
            self._refuse(_make_too_large_refusal('body'))
            return None
        if not self._reserve(max(0, self._received - self._reserved)):
            return None
        return self._application_delegate.data_received(chunk)

    def finish(self) -> None:
        self._release()
        if not self._refused:
            self._application_delegate.finish()

    def on_connection_close(self) -> None:
        self._release()
        if not self._refused:
            self._application_delegate.on_connection_close()

    def _reserve(self, size: int) -> bool:
        if self._intake.tracker.reserve(size):
            self._reserved += size
            return True
        self._refuse(
            outcomes.Refusal(
                outcomes.Reason.OVERLOADED,
                'the memory for request bodies is used up',
                retry_after=_RETRY_AFTER_S,
            )
        )
        return False

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._intake.tracker.free(self._reserved)
        self._reserved = 0

    def _time_out(self) -> None:
        self._refuse(
            outcomes.Refusal(
                outcomes.Reason.TIMEOUT, 'the body was not received in time'
            ),
            _BODY_TIMEOUT_STATUS,
        )

    def _refuse(
        self, refusal: outcomes.Refusal, status: int | None = None
    ) -> None:
        """Answers before the request is complete and closes the connection."""
        self._refused = True
        self._release()
        status, headers, body = problems.render(refusal, status)
        reply_headers = httputil.HTTPHeaders(headers)
        reply_headers['Connection'] = 'close'
        reply_headers['Content-Length'] = str(len(body))
        self._connection.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', status, 'Refused'),
            reply_headers,
            body,
        )
        self._connection.finish()


def _make_too_large_refusal(part: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.TOO_LARGE, f'the {part} of the request is too large'
    )
