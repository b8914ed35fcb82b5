"""Configures logging: plain text on a terminal, JSON lines elsewhere.

Each module logs ``key=value`` messages to a logger of its own name.  Prompts,
generated text, tokens and keys are never logged.
"""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
import contextvars
import logging
import os
import sys
from typing import TextIO

from pythonjsonlogger import json as json_logging

from waxwingport import ids
from waxwingport import metrics
from waxwingport import settings

__all__ = [
    'NonBlockingHandler',
    'RateFilter',
    'configure',
    'configure_non_blocking',
    'count_warnings',
    'make_non_blocking_handler',
    'request_id',
]

_NO_REQUEST = ids.RequestId('-')

request_id: contextvars.ContextVar[ids.RequestId] = contextvars.ContextVar(
    'request_id', default=_NO_REQUEST
)
"""Id of the request that the current task processes, for log lines."""

_TEXT_FORMAT = (
    '%(asctime)s %(levelname)-7s %(name)s [%(request_id)s] %(message)s'
)
_JSON_FORMAT = '%(levelname)s %(name)s %(request_id)s %(message)s'
_PROGRAM_LOGGER = 'waxwingport'
_QUIET_LOGGERS = ('tornado.access', 'tornado.general', 'asyncio')


class RequestFilter(logging.Filter):
    """Adds the id of the current request to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Sets ``request_id`` on the record; always returns true."""
        record.request_id = request_id.get()
        return True


class RateFilter(logging.Filter):
    """Drops and counts lines beyond a limit for each second.

    The count is appended to the first line of a later second.  Warnings and
    errors have a separate limit of the same size, so that routine lines
    cannot displace them.
    """

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self._limit_per_second = lines_per_second
        self._second = 0
        self._counts = {False: 0, True: 0}
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is within the limit of its second."""
        if int(record.created) != self._second:
            self._start_second(record)
        is_warning = record.levelno >= logging.WARNING
        self._counts[is_warning] += 1
        if self._counts[is_warning] <= self._limit_per_second:
            return True
        self.dropped += 1
        return False

    def _start_second(self, record: logging.LogRecord) -> None:
        self._second = int(record.created)
        self._counts = {False: 0, True: 0}
        if self.dropped:
            record.msg = f'{record.msg} (dropped_lines={self.dropped})'
            self.dropped = 0


class _CountingHandler(logging.Handler):
    """Counts the warnings and errors of this program by their event.

    What is skipped or given up on is so visible in the metrics, also where
    the lines themselves are dropped.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        super().__init__(logging.WARNING)
        self._metrics = counters
        self.addFilter(logging.Filter(_PROGRAM_LOGGER))

    def emit(self, record: logging.LogRecord) -> None:
        """Counts one line."""
        self._metrics.count(
            'waxwingport_warnings_total',
            'Warnings and errors in the log by event.',
            event=str(record.msg),
        )


@contextlib.contextmanager
def count_warnings(counters: metrics.Metrics) -> Iterator[None]:
    """Counts the warnings and errors of this program while in use."""
    root = logging.getLogger()
    handler = _CountingHandler(counters)
    # Filters of later handlers may change the records.
    root.handlers.insert(0, handler)
    try:
        yield
    finally:
        root.removeHandler(handler)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    Lines are buffered in memory, up to ``limit`` bytes, and written as far as
    the descriptor accepts them, so that a reader that stops reading cannot
    block the process.  Beyond the limit new lines are dropped; the next line
    that fits has their number as ``dropped_lines``.
    """

    def __init__(self, descriptor: int, limit: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = limit
        self._pending: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._watching = False
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers one line and writes what the descriptor accepts."""
        if self.dropped and self._size < self._limit:
            record.dropped_lines = self.dropped
            self.dropped = 0
        line = self.format(record).encode() + b'\n'
        if self._size + len(line) > self._limit:
            self.dropped += 1
            return
        self._pending.append(line)
        self._size += len(line)
        self.write_pending()

    def write_pending(self) -> None:
        """Writes as many buffered lines as the descriptor accepts now."""
        while self._pending:
            line = self._pending.popleft()
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                count = 0
            except OSError:
                # The reading end is closed, so the failure cannot be logged.
                self.dropped += 1
                count = len(line)
            self._size -= count
            if count < len(line):
                self._pending.appendleft(line[count:])
                break
        self._watch_descriptor(bool(self._pending))

    def _watch_descriptor(self, enable: bool) -> None:
        if enable == self._watching:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # No loop runs yet; the next line tries again.
            return
        if enable:
            loop.add_writer(self._descriptor, self.write_pending)
        else:
            loop.remove_writer(self._descriptor)
        self._watching = enable


def configure_non_blocking(
    configured: settings.LogSettings,
) -> logging.Handler:
    """Logs JSON lines to standard output without ever blocking on it.

    Returns the handler that was installed on the root logger.
    """
    handler = make_non_blocking_handler(_find_output(), configured)
    _install(handler, configured)
    return handler


def _find_output() -> int:
    """Returns standard output's descriptor, the null device's if closed."""
    if sys.stdout is None:
        return os.open(os.devnull, os.O_WRONLY)
    return sys.stdout.fileno()


def make_non_blocking_handler(
    descriptor: int, configured: settings.LogSettings
) -> logging.Handler:
    """Returns a handler that writes JSON lines and never blocks."""
    handler = NonBlockingHandler(descriptor, configured.buffer_size)
    handler.setFormatter(_make_formatter(as_text=False))
    return handler


def configure(
    configured: settings.LogSettings, stream: TextIO | None = None
) -> logging.Handler:
    """Logs to ``stream``, standard error by default.

    Returns the handler that replaced those of the root logger.
    """
    target = stream or sys.stderr
    handler = logging.StreamHandler(target)
    handler.setFormatter(_make_formatter(target.isatty()))
    _install(handler, configured)
    return handler


def _install(
    handler: logging.Handler, configured: settings.LogSettings
) -> None:
    handler.addFilter(RequestFilter())
    handler.addFilter(RateFilter(configured.lines_per_second))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(configured.level)
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)


def _make_formatter(as_text: bool) -> logging.Formatter:
    if as_text:
        return logging.Formatter(_TEXT_FORMAT)
    return json_logging.JsonFormatter(
        _JSON_FORMAT,
        timestamp=True,
        rename_fields={'levelname': 'level', 'name': 'logger'},
    )
