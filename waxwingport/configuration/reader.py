"""Follows the configuration stream of the log."""

import asyncio
import logging

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import records
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.outside import base

__all__ = ['STREAM', 'ConfigurationReader']

STREAM = ids.StreamName('configuration')

_WAIT = 1.0
_PAGE = 200
"""Records folded at once; the loop does nothing else meanwhile."""
_RETRY_DELAY = 0.2
_SEARCH_WINDOW = 256
"""Records of the first look back for a snapshot; doubled each time."""
_LOG = logging.getLogger(__name__)


class ConfigurationReader:
    """Applies the records of the stream in offset order.

    ``behind`` is set when the log ends below the revision in force, and until
    it is seen to hold the last change again: it was wiped or restored to an
    earlier state.  The configuration in force stays meanwhile.
    """

    def __init__(
        self, log: base.Log, configuration: state.ConfigurationState
    ) -> None:
        self.behind = False
        self.oldest = ids.Offset(0)
        self._verified = False
        self._log = log
        self._configuration = configuration

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            match await self.step(_WAIT):
                case Result(tag='error', error=fault):
                    _LOG.warning('configuration log: %s', fault.detail)
                    await asyncio.sleep(_RETRY_DELAY)

    async def step(self, wait: float) -> Result[int, base.LogFault]:
        """Reads once and folds what came; returns the number of records.

        Waits up to ``wait`` seconds for the first record.
        """
        if not self._verified:
            match await self._verify():
                case Result(tag='error', error=fault):
                    return Error(fault)
        offset = ids.Offset(self._configuration.revision + 1)
        match await self._log.read(STREAM, offset, _PAGE, wait):
            case Result(tag='ok', ok=page):
                return self._take(page, offset)
            case Result(error=fault):
                pass
        if fault.kind is not base.LogFaultKind.EXPIRED:
            return Error(fault)
        return await self._start_anew(fault)

    async def catch_up(self) -> Result[None, base.LogFault]:
        """Reads until the end of the stream."""
        while True:
            match await self.step(0.0):
                case Result(tag='ok', ok=0):
                    return Ok(None)
                case Result(tag='error', error=fault):
                    return Error(fault)

    def _take(
        self, page: base.LogPage, offset: ids.Offset
    ) -> Result[int, base.LogFault]:
        self.oldest = page.oldest
        if page.end is not None and page.end < offset:
            return Error(self._note_behind(page.end))
        return Ok(self._configuration.advance(page.records))

    def _note_behind(self, end: ids.Offset) -> base.LogFault:
        self._verified = False
        self.behind = True
        detail = (
            f'the log ends at {end}, below revision '
            f'{self._configuration.revision}; the configuration stays'
        )
        _LOG.error('configuration log behind: %s', detail)
        return base.LogFault(base.LogFaultKind.UNKNOWN, detail)

    async def _verify(self) -> Result[None, base.LogFault]:
        """Fails unless the log holds the last change known here.

        Offsets alone cannot tell: a wiped log grows past them again.
        """
        seen = self._configuration.folded.seen
        if seen:
            last = max(seen, key=seen.__getitem__)
            match await self._log.read(STREAM, seen[last], limit=1):
                case Result(tag='ok', ok=page):
                    self.behind = not _holds(page, last)
                case Result(tag='error', error=fault):
                    if fault.kind is not base.LogFaultKind.EXPIRED:
                        return Error(fault)
                    self.behind = False
        if self.behind:
            detail = 'the log does not hold the last change in force'
            return Error(base.LogFault(base.LogFaultKind.UNKNOWN, detail))
        self._verified = True
        return Ok(None)

    async def _start_anew(
        self, expired: base.LogFault
    ) -> Result[int, base.LogFault]:
        """Puts the last state in force that the stream holds whole.

        From there on the log still holds every record, so no change up to
        the end of the stream can be missed.
        """
        oldest = expired.oldest or ids.Offset(0)
        match await self._log.read(STREAM, oldest, limit=1):
            case Result(tag='ok', ok=page):
                end = page.next if page.end is None else page.end
            case Result(error=fault):
                return Error(fault)
        window = _SEARCH_WINDOW
        while True:
            first = ids.Offset(max(oldest, end - window))
            match await self._search(first, end, page.oldest):
                case Result(tag='ok', ok=None):
                    pass
                case Result(tag='ok', ok=found):
                    return Ok(int(self._configuration.replace(found)))
                case Result(error=fault):
                    return Error(fault)
            if first == oldest:
                detail = f'no snapshot since {oldest}, the oldest record held'
                kind = base.LogFaultKind.EXPIRED
                return Error(base.LogFault(kind, detail, oldest))
            window *= 2

    async def _search(
        self, first: ids.Offset, end: ids.Offset, oldest: ids.Offset
    ) -> Result[fold.Folded | None, base.LogFault]:
        """Returns the last state to start from between two offsets."""
        rows: list[base.LogRecord] = []
        while first < end:
            match await self._log.read(STREAM, first):
                case Result(tag='ok', ok=page):
                    pass
                case Result(error=fault):
                    return Error(fault)
            rows += [row for row in page.records if _may_begin(row)]
            if not page.records:
                break
            first = page.next
        found = (
            initial_state.find_initial_state(row, oldest)
            for row in reversed(rows)
        )
        return Ok(next((row for row in found if row is not None), None))


def _holds(page: base.LogPage, record_id: ids.RecordId) -> bool:
    for row in page.records:
        match records.decode(row.body):
            case Result(
                tag='ok', ok=records.Change(id=found) | records.Reset(id=found)
            ):
                return found == record_id
    return False


def _may_begin(row: base.LogRecord) -> bool:
    return b'"snapshot"' in row.body or b'"reset"' in row.body
