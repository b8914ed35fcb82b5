"""Base class of the request handlers."""

import asyncio
from collections.abc import Awaitable
import contextlib
import logging
from typing import TypeVar

from expression import Result
import msgspec
from tornado import iostream
from tornado import web

from waxwingport.api import callers
from waxwingport.api import problems
from waxwingport.api import request_options
from waxwingport.configuration import declarations
from waxwingport import decoding
from waxwingport import ids
from waxwingport import logs
from waxwingport import node
from waxwingport import outcomes
from waxwingport.requests import progress
from waxwingport.requests import refusals

__all__ = ['Handler', 'read_json']

T = TypeVar('T')

_UNTRACKED_PATHS = ('/healthz', '/readyz', '/metrics', '/v1/status')
"""Paths that are also served during a shutdown; their handlers check bearer
tokens."""
_WRITE_SIZE = 256 * 1024
"""Bytes of a body that are passed to one write."""
_LOG = logging.getLogger(__name__)


def read_json(body: bytes, kind: type[T]) -> Result[T, outcomes.Refusal]:
    """Returns the body decoded as ``kind``, or a refusal with the fault."""
    return decoding.read_json(body, kind).map_error(
        lambda reason: outcomes.Refusal(
            outcomes.Reason.BAD_REQUEST, f'body: {reason}'
        )
    )


def _skip_parsing() -> None:
    """Replaces tornado's parser of form bodies."""


class Handler(web.RequestHandler, progress.Interruptible):
    """Answers requests with JSON or problem details.

    Work that has to end when its caller disconnects runs through
    ``run_cancellable``.
    """

    def initialize(self, node: node.Node) -> None:
        """Stores the node that answers the request; sets the initial state."""
        self.node = node
        # Bodies are forwarded unchanged and never parsed as forms.
        self.request._parse_body = _skip_parsing
        self.request_options = request_options.RequestOptions(
            ids.RequestId('-')
        )
        self.declared_caller: declarations.Caller | None = None
        self._task: asyncio.Task[object] | None = None
        self._interrupted = False
        self._disconnected = False
        self._writing: asyncio.Task[None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether nothing can be written any more."""
        return self._disconnected or self._finished

    @property
    def caller(self) -> ids.CallerName:
        """Name of the caller that sent the request."""
        declared = self.declared_caller
        return declared.name if declared else callers.ANONYMOUS

    def compute_etag(self) -> None:
        """Returns ``None``, so that answers are forwarded without an ETag."""

    def prepare(self) -> None:
        """Refuses requests that may not run, and starts to track the others.

        Log lines have the request's id from here on.
        """
        refusal = self._check_request()
        request_id = (
            self.request_options.given_id or self.request_options.request_id
        )
        logs.request_id.set(ids.RequestId(request_id))
        if refusal is not None:
            self.send_refusal(refusal)
        elif self._is_tracked():
            self.node.request_tracker.enter(self, len(self.request.body))

    def finish(
        self, chunk: str | bytes | dict | None = None
    ) -> 'asyncio.Future[None]':
        """Ends the answer.

        The request counts as in progress until the answer is written.
        """
        written = super().finish(chunk)
        if written.done():
            self.node.request_tracker.leave(self)
        else:
            self._writing = asyncio.get_running_loop().create_task(
                self._finish_writing(written)
            )
        return written

    async def _finish_writing(self, written: 'asyncio.Future[None]') -> None:
        with contextlib.suppress(iostream.StreamClosedError):
            await self.wait_written(written)
        self.node.request_tracker.leave(self)

    def on_connection_close(self) -> None:
        """Cancels the work of a caller that has disconnected."""
        self._disconnected = True
        self.node.request_tracker.leave(self)
        if self._task is not None:
            self._task.cancel()

    def interrupt(self) -> None:
        """Cancels the work because the node stops."""
        self._interrupted = True
        if self._task is not None:
            self._task.cancel()

    async def run_cancellable(self, work: Awaitable[None]) -> None:
        """Runs ``work`` until the caller disconnects or the node stops.

        The caller gets an error if the node stops before its answer is sent.
        """
        self._task = asyncio.current_task()
        try:
            await work
        except asyncio.CancelledError:
            if not (self._disconnected or self._interrupted):
                raise
            self._task.uncancel()
        except iostream.StreamClosedError:
            self._disconnected = True
        finally:
            self._task = None
        if self._disconnected:
            _LOG.info('caller gone path=%s', self.request.path)
            self._auto_finish = False
        elif self._interrupted and not self._finished:
            self.send_interrupted(refusals.refuse_interrupted())

    def send_interrupted(self, refusal: outcomes.Refusal) -> None:
        """Answers a request that was interrupted during its answer.

        Closes the connection if the headers have been written.
        """
        if self._headers_written:
            self.close_connection()
        else:
            self.send_refusal(refusal)

    def close_connection(self) -> None:
        """Closes the connection, so that no partial answer looks complete."""
        self._disconnected = True
        self.node.request_tracker.leave(self)
        stream = self.request.connection.stream
        if stream is not None:
            stream.close()

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answers with problem details for errors that tornado detects."""
        is_client_error = 400 <= status_code < 500
        problem = problems.Problem(
            type='about:blank',
            title=self._reason,
            status=status_code,
            detail=f'{self.request.method} {self.request.path}',
            ran='no' if is_client_error else 'unknown',
        )
        self.set_header('Content-Type', problems.CONTENT_TYPE)
        self.finish(msgspec.json.encode(problem))

    def check_allowed(self, name: str) -> bool:
        """Returns whether the caller may use ``name``; if not, refuses."""
        refusal = callers.check_allowed(self.declared_caller, name)
        if refusal is not None:
            self.send_refusal(refusal)
        return refusal is None

    def require_operator(self) -> bool:
        """Returns whether the caller is an operator; if not, refuses."""
        refusal = callers.check_operator(self.declared_caller)
        if refusal is not None:
            self.send_refusal(refusal)
        return refusal is None

    def compute_deadline(self, default: float) -> float:
        """Returns the request's deadline in seconds of the loop's clock.

        ``default`` is the timeout, in seconds, of requests that set none.
        """
        seconds = self.request_options.timeout or default
        return asyncio.get_running_loop().time() + seconds

    def send_json(self, value: object, status: int = 200) -> None:
        """Answers with ``value`` as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))

    def send_refusal(self, refusal: outcomes.Refusal) -> None:
        """Answers with problem details, and counts the refusal."""
        self.node.record_refusal(refusal)
        problems.send(self, refusal)

    async def send_body(self, body: bytes) -> None:
        """Sends a whole body as fast as the caller reads it.

        Closes the connection and raises ``StreamClosedError`` if the caller
        reads nothing for ``write_timeout`` seconds.
        """
        view = memoryview(body)
        for start in range(0, len(body), _WRITE_SIZE):
            self.write(bytes(view[start : start + _WRITE_SIZE]))
            if start + _WRITE_SIZE < len(body):
                await self.wait_written(self.flush())
        self.finish()

    async def wait_written(self, written: 'asyncio.Future[None]') -> None:
        """Waits until ``written`` is done.

        Closes the connection and raises ``StreamClosedError`` after
        ``write_timeout`` seconds.
        """
        if written.done():
            return
        timeout = self.node.settings.requests.write_timeout
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(written, timeout)
            return
        if not self.request.connection.stream.closed():
            _LOG.warning('caller silent path=%s', self.request.path)
        self.close_connection()
        raise iostream.StreamClosedError

    def _is_tracked(self) -> bool:
        return self.request.path not in _UNTRACKED_PATHS

    def _check_request(self) -> outcomes.Refusal | None:
        if not self._is_tracked():
            return None
        if self.node.request_tracker.is_refusing:
            self.set_header('Connection', 'close')
            return refusals.refuse_shutting_down()
        match request_options.read_options(self.request.headers):
            case Result(tag='ok', ok=options):
                self.request_options = options
            case Result(error=refusal):
                return refusal
        return self.identify()

    def identify(self) -> outcomes.Refusal | None:
        """Sets the caller from the headers; returns a refusal if it cannot."""
        declared = self.node.configuration.declarations.callers
        match callers.identify(self.request.headers, declared):
            case Result(tag='ok', ok=caller):
                self.declared_caller = caller
                return None
            case Result(error=refusal):
                return refusal
