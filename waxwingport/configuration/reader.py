"""Reads the configuration stream of the log and applies its records."""

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

_READ_WAIT_S = 1.0
_PAGE_RECORDS = 200
"""Records folded in one step, which blocks the event loop meanwhile."""
_RETRY_DELAY_S = 0.2
_SEARCH_RECORDS = 256
"""Records searched first for a snapshot, from the end; doubled each time."""
_LOG = logging.getLogger(__name__)


class ConfigurationReader:
    """Applies the records of the stream in offset order.

    ``log_behind`` is set when the log ends below the revision in force, which
    means that it was wiped or restored to an earlier state.  It is cleared
    once the log holds the last change in force again; until then the
    configuration stays as it is.  ``oldest_offset`` is that of the oldest
    record in the log.
    """

    def __init__(
        self, log: base.Log, configuration: state.ConfigurationState
    ) -> None:
        self.log_behind = False
        self.oldest_offset = ids.Offset(0)
        self._verified = False
        self._log = log
        self._configuration = configuration

    async def run(self) -> None:
        """Reads and applies records until cancelled."""
        while True:
            match await self.read_once(_READ_WAIT_S):
                case Result(tag='error', error=fault):
                    _LOG.warning('configuration log: %s', fault.detail)
                    await asyncio.sleep(_RETRY_DELAY_S)

    async def read_once(self, wait: float) -> Result[int, base.LogFault]:
        """Reads one page and applies it; returns the number of records.

        Waits up to ``wait`` seconds for the first record.  Starts again from
        a snapshot or reset if the next record has expired.
        """
        if not self._verified:
            match await self._verify():
                case Result(tag='error', error=fault):
                    return Error(fault)
        offset = ids.Offset(self._configuration.revision + 1)
        match await self._log.read(STREAM, offset, _PAGE_RECORDS, wait):
            case Result(tag='ok', ok=page):
                return self._apply_page(page, offset)
            case Result(error=fault):
                pass
        if fault.kind is not base.LogFaultKind.EXPIRED:
            return Error(fault)
        return await self._restart(fault)

    async def catch_up(self) -> Result[None, base.LogFault]:
        """Reads up to the end of the stream."""
        while True:
            match await self.read_once(0.0):
                case Result(tag='ok', ok=0):
                    return Ok(None)
                case Result(tag='error', error=fault):
                    return Error(fault)

    def _apply_page(
        self, page: base.LogPage, offset: ids.Offset
    ) -> Result[int, base.LogFault]:
        self.oldest_offset = page.oldest
        if page.end is not None and page.end < offset:
            return Error(self._report_behind(page.end))
        return Ok(self._configuration.advance(page.records))

    def _report_behind(self, end: ids.Offset) -> base.LogFault:
        self._verified = False
        self.log_behind = True
        detail = (
            f'the log ends at {end}, below revision '
            f'{self._configuration.revision}; the configuration is kept'
        )
        _LOG.error('configuration log behind: %s', detail)
        return base.LogFault(base.LogFaultKind.UNKNOWN, detail)

    async def _verify(self) -> Result[None, base.LogFault]:
        """Fails unless the log holds the last change that is known here.

        Offsets alone are no proof: a wiped log grows past them again.
        """
        seen = self._configuration.folded.seen
        if seen:
            last = max(seen, key=seen.__getitem__)
            match await self._log.read(STREAM, seen[last], limit=1):
                case Result(tag='ok', ok=page):
                    self.log_behind = not _contains(page, last)
                case Result(tag='error', error=fault):
                    if fault.kind is not base.LogFaultKind.EXPIRED:
                        return Error(fault)
                    self.log_behind = False
        if self.log_behind:
            detail = 'the log does not hold the last change in force'
            return Error(base.LogFault(base.LogFaultKind.UNKNOWN, detail))
        self._verified = True
        return Ok(None)

    async def _restart(
        self, expired: base.LogFault
    ) -> Result[int, base.LogFault]:
        """Replaces the state by the last complete one in the stream.

        The log still holds every record after it, so no change up to the end
        of the stream is missed.  Fails if the stream holds no such state.
        """
        oldest = expired.oldest or ids.Offset(0)
        match await self._log.read(STREAM, oldest, limit=1):
            case Result(tag='ok', ok=page):
                end = page.next if page.end is None else page.end
            case Result(error=fault):
                return Error(fault)
        window = _SEARCH_RECORDS
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
                detail = (
                    f'no snapshot since {oldest}, the oldest record in the log'
                )
                kind = base.LogFaultKind.EXPIRED
                return Error(base.LogFault(kind, detail, oldest))
            window *= 2

    async def _search(
        self, first: ids.Offset, end: ids.Offset, oldest: ids.Offset
    ) -> Result[fold.FoldedState | None, base.LogFault]:
        """Returns the last complete state between two offsets, or ``None``."""
        candidates: list[base.LogRecord] = []
        while first < end:
            match await self._log.read(STREAM, first):
                case Result(tag='ok', ok=page):
                    pass
                case Result(error=fault):
                    return Error(fault)
            candidates += [
                candidate
                for candidate in page.records
                if _may_hold_state(candidate)
            ]
            if not page.records:
                break
            first = page.next
        found = (
            initial_state.find_initial_state(candidate, oldest)
            for candidate in reversed(candidates)
        )
        return Ok(
            next(
                (candidate for candidate in found if candidate is not None),
                None,
            )
        )


def _contains(page: base.LogPage, record_id: ids.RecordId) -> bool:
    for record in page.records:
        match records.decode(record.body):
            case Result(
                tag='ok', ok=records.Change(id=found) | records.Reset(id=found)
            ):
                return found == record_id
    return False


def _may_hold_state(record: base.LogRecord) -> bool:
    return b'"snapshot"' in record.body or b'"reset"' in record.body
