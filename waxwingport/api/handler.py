"""Base of the request handlers."""

import asyncio
from collections.abc import Awaitable
import contextlib
import logging
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import iostream
from tornado import web

from waxwingport.api import callers
from waxwingport.api import problems
from waxwingport.api import terms
from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport import logs
from waxwingport import node
from waxwingport import outcomes
from waxwingport.requests import progress
from waxwingport.requests import refusals

__all__ = ['Handler', 'read_json']

T = TypeVar('T')

_OPEN_PATHS = ('/healthz', '/readyz', '/metrics', '/v1/status')
"""Served while the node shuts down; these check tokens themselves."""
_PIECE_SIZE = 256 * 1024
"""Bytes of a body that are written at a time."""
_LOG = logging.getLogger(__name__)


def read_json(body: bytes, kind: type[T]) -> Result[T, outcomes.Refusal]:
    """Returns the body as ``kind``, or a refusal that names the fault."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except RecursionError:
        detail = 'body: nested too deeply'
    except (msgspec.DecodeError, UnicodeError) as error:
        detail = f'body: {error}'
    return Error(outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail))


def _parse_nothing() -> None:
    """Stands in for tornado's parser of form bodies."""


class Handler(web.RequestHandler, progress.Interruptible):
    """Answers with JSON or problem details.

    Work that must end when its caller goes away runs through ``guard``.
    """

    def initialize(self, node: node.Node) -> None:
        """Takes the node that this handler serves."""
        self.node = node
        # Bodies are passed on as they are, never parsed as forms.
        self.request._parse_body = _parse_nothing
        self.terms = terms.Terms(ids.RequestId('-'))
        self.declared_caller: declarations.Caller | None = None
        self._task: asyncio.Task[object] | None = None
        self._interrupted = False
        self._gone = False
        self._unwritten: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing may be written any more."""
        return self._gone or self._finished

    @property
    def caller(self) -> ids.CallerName:
        """Name of the caller."""
        found = self.declared_caller
        return found.name if found else callers.ANONYMOUS

    def compute_etag(self) -> None:
        """Returns none: answers are passed on as they are."""

    def prepare(self) -> None:
        """Refuses what must not run; marks the log lines of the rest."""
        refusal = self._check()
        request_id = self.terms.given_id or self.terms.request_id
        logs.request_id.set(ids.RequestId(request_id))
        if refusal is not None:
            self.send_refusal(refusal)
        elif self._is_work():
            self.node.progress.enter(self, len(self.request.body))

    def finish(
        self, chunk: str | bytes | dict | None = None
    ) -> 'asyncio.Future[None]':
        """Ends the answer; the request ends once the caller has taken it."""
        written = super().finish(chunk)
        if written.done():
            self.node.progress.leave(self)
        else:
            self._unwritten = asyncio.get_running_loop().create_task(
                self._finish_writing(written)
            )
        return written

    async def _finish_writing(self, written: 'asyncio.Future[None]') -> None:
        with contextlib.suppress(iostream.StreamClosedError):
            await self.wait_written(written)
        self.node.progress.leave(self)

    def on_connection_close(self) -> None:
        """Ends the work of a caller that has gone away."""
        self._gone = True
        self.node.progress.leave(self)
        if self._task is not None:
            self._task.cancel()

    def interrupt(self) -> None:
        """Ends the work because the node stops."""
        self._interrupted = True
        if self._task is not None:
            self._task.cancel()

    async def guard(self, work: Awaitable[None]) -> None:
        """Runs ``work``, cancelled when its caller goes or the node stops."""
        self._task = asyncio.current_task()
        try:
            await work
        except asyncio.CancelledError:
            if not (self._gone or self._interrupted):
                raise
            self._task.uncancel()
        except iostream.StreamClosedError:
            self._gone = True
        finally:
            self._task = None
        if self._gone:
            _LOG.info('caller gone path=%s', self.request.path)
            self._auto_finish = False
        elif self._interrupted and not self._finished:
            self.send_cut(refusals.refuse_interrupted())

    def send_cut(self, refusal: outcomes.Refusal) -> None:
        """Answers a request that was cut off before its answer was whole."""
        if self._headers_written:
            self.close_connection()
        else:
            self.send_refusal(refusal)

    def close_connection(self) -> None:
        """Breaks the connection, so that no answer can look whole."""
        self._gone = True
        self.node.progress.leave(self)
        stream = self.request.connection.stream
        if stream is not None:
            stream.close()

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answers with problem details for faults that tornado finds."""
        known = 400 <= status_code < 500
        problem = problems.Problem(
            type='about:blank',
            title=self._reason,
            status=status_code,
            detail=f'{self.request.method} {self.request.path}',
            ran='no' if known else 'unknown',
        )
        self.set_header('Content-Type', problems.CONTENT_TYPE)
        self.finish(msgspec.json.encode(problem))

    def check_allowed(self, name: str) -> bool:
        """Returns whether the caller may use ``name``; refuses if not."""
        refusal = callers.check_allowed(self.declared_caller, name)
        if refusal is not None:
            self.send_refusal(refusal)
        return refusal is None

    def require_operator(self) -> bool:
        """Returns whether the caller is an operator; refuses if not."""
        refusal = callers.check_operator(self.declared_caller)
        if refusal is not None:
            self.send_refusal(refusal)
        return refusal is None

    def find_deadline(self, default: float) -> float:
        """Returns the request's deadline on the loop's clock."""
        seconds = self.terms.timeout or default
        return asyncio.get_running_loop().time() + seconds

    def send_json(self, value: object, status: int = 200) -> None:
        """Answers with ``value`` as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))

    def send_refusal(self, refusal: outcomes.Refusal) -> None:
        """Answers with problem details, and counts the refusal."""
        self.node.note_refusal(refusal)
        problems.send(self, refusal)

    async def send_body(self, body: bytes) -> None:
        """Sends a whole body as fast as the caller takes it.

        Closes the connection of a caller that takes nothing in time.
        """
        view = memoryview(body)
        for start in range(0, len(body), _PIECE_SIZE):
            self.write(bytes(view[start : start + _PIECE_SIZE]))
            if start + _PIECE_SIZE < len(body):
                await self.wait_written(self.flush())
        self.finish()

    async def wait_written(self, written: 'asyncio.Future[None]') -> None:
        """Waits until the caller's connection has taken what was written."""
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

    def _is_work(self) -> bool:
        return self.request.path not in _OPEN_PATHS

    def _check(self) -> outcomes.Refusal | None:
        if not self._is_work():
            return None
        if self.node.progress.is_refusing:
            self.set_header('Connection', 'close')
            return refusals.refuse_shutting_down()
        match terms.read_terms(self.request.headers):
            case Result(tag='ok', ok=found):
                self.terms = found
            case Result(error=refusal):
                return refusal
        return self.identify()

    def identify(self) -> outcomes.Refusal | None:
        """Finds out who the caller is; returns a refusal if it cannot."""
        declared = self.node.configuration.declarations.callers
        match callers.identify(self.request.headers, declared):
            case Result(tag='ok', ok=caller):
                self.declared_caller = caller
                return None
            case Result(error=refusal):
                return refusal
