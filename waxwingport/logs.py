"""Set-up of logging: readable lines on a terminal, JSON lines elsewhere.

Every module logs ``key=value`` messages to a logger of its own name.  Prompts,
generated text, tokens and keys are never logged.
"""

import asyncio
import collections
import contextvars
import logging
import os
import sys
from typing import TextIO

from pythonjsonlogger import json as json_logging

from waxwingport import ids
from waxwingport import settings

__all__ = [
    'NonBlockingHandler',
    'RateFilter',
    'configure',
    'configure_non_blocking',
    'make_non_blocking_handler',
    'request_id',
]

_NO_REQUEST = ids.RequestId('-')

request_id: contextvars.ContextVar[ids.RequestId] = contextvars.ContextVar(
    'request_id', default=_NO_REQUEST
)
"""Id of the request that the running task works on, for log lines."""

_READABLE = '%(asctime)s %(levelname)-7s %(name)s [%(request_id)s] %(message)s'
_JSON = '%(levelname)s %(name)s %(request_id)s %(message)s'
_QUIET = ('tornado.access', 'tornado.general', 'asyncio')


class RequestFilter(logging.Filter):
    """Adds the id of the running request to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Keeps every record."""
        record.request_id = request_id.get()
        return True


class RateFilter(logging.Filter):
    """Drops lines beyond a bound for each second, and counts them.

    The first line of a later second is preceded by the count.  Warnings and
    errors have a bound of their own, so that routine lines don't crowd them
    out.
    """

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self._bound = lines_per_second
        self._second = 0
        self._counts = {False: 0, True: 0}
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is within the bound."""
        if int(record.created) != self._second:
            self._start_second(record)
        urgent = record.levelno >= logging.WARNING
        self._counts[urgent] += 1
        if self._counts[urgent] <= self._bound:
            return True
        self.dropped += 1
        return False

    def _start_second(self, record: logging.LogRecord) -> None:
        self._second = int(record.created)
        self._counts = {False: 0, True: 0}
        if self.dropped:
            record.msg = f'{record.msg} (dropped_lines={self.dropped})'
            self.dropped = 0


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor that nobody may be reading.

    Lines wait in memory, up to ``limit`` bytes, and are written as far as the
    descriptor takes them; no call ever blocks.  Beyond the limit new lines
    are dropped, and the next one that fits tells how many.
    """

    def __init__(self, descriptor: int, limit: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = limit
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._watching = False
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one line."""
        if self.dropped and self._size < self._limit:
            record.dropped_lines = self.dropped
            self.dropped = 0
        line = self.format(record).encode() + b'\n'
        if self._size + len(line) > self._limit:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._size += len(line)
        self.write_pending()

    def write_pending(self) -> None:
        """Writes what the descriptor takes now."""
        while self._waiting:
            line = self._waiting.popleft()
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                count = 0
            except OSError:
                # The reader is gone; there is nowhere left to say so.
                self.dropped += 1
                count = len(line)
            self._size -= count
            if count < len(line):
                self._waiting.appendleft(line[count:])
                break
        self._watch(bool(self._waiting))

    def _watch(self, wanted: bool) -> None:
        if wanted == self._watching:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs the next line tries again.
            return
        if wanted:
            loop.add_writer(self._descriptor, self.write_pending)
        else:
            loop.remove_writer(self._descriptor)
        self._watching = wanted


def configure_non_blocking(
    configured: settings.LogSettings,
) -> logging.Handler:
    """Sends JSON lines to standard output without ever blocking on it.

    Returns the handler that was installed on the root logger.
    """
    handler = make_non_blocking_handler(sys.stdout.fileno(), configured)
    _install(handler, configured)
    return handler


def make_non_blocking_handler(
    descriptor: int, configured: settings.LogSettings
) -> logging.Handler:
    """Returns a handler of JSON lines that never blocks."""
    handler = NonBlockingHandler(descriptor, configured.buffer_size)
    handler.setFormatter(_make_formatter(readable=False))
    return handler


def configure(
    configured: settings.LogSettings, stream: TextIO | None = None
) -> logging.Handler:
    """Sends the log to ``stream``, standard error by default.

    Returns the handler that was installed on the root logger, in place of
    those that were there.
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
    for name in _QUIET:
        logging.getLogger(name).setLevel(logging.ERROR)


def _make_formatter(readable: bool) -> logging.Formatter:
    if readable:
        return logging.Formatter(_READABLE)
    return json_logging.JsonFormatter(
        _JSON,
        timestamp=True,
        rename_fields={'levelname': 'level', 'name': 'logger'},
    )
