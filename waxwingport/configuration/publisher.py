"""Publishes changes on the configuration stream."""

import asyncio
import enum
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import coverage
from waxwingport.configuration import fold
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.outside import base

__all__ = ['PublishFault', 'PublishFaultKind', 'Publisher']

_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
_READ_WAIT_S = 0.5
_LOG = logging.getLogger(__name__)


class PublishFaultKind(enum.Enum):
    """Why a change is not in force."""

    CONFLICT = 'conflict'
    """Another change of the same keys came first; this one is void."""
    INVALID = 'invalid'
    """The declarations would be inconsistent; the change is void."""
    UNCOVERED = 'uncovered'
    """A trainer or caller would be left without targets."""
    UNAVAILABLE = 'unavailable'
    """The log can't be reached; nothing was published."""
    UNKNOWN = 'unknown'
    """It is unknown whether the log has the change; it may come into force."""


class PublishFault(msgspec.Struct, frozen=True):
    """Why a change is not in force, with the conflicting change if any."""

    kind: PublishFaultKind
    detail: str
    conflict: fold.Conflict | None = None


_RESET_REFUSED = PublishFault(
    PublishFaultKind.INVALID,
    'the log holds the configuration; apply without a reset',
)
_FAULT_KINDS = {
    fold.VerdictKind.CONFLICT: PublishFaultKind.CONFLICT,
    fold.VerdictKind.STALE: PublishFaultKind.CONFLICT,
}


class Publisher:
    """Appends changes to the log and waits until this node has folded them."""

    def __init__(
        self,
        log: base.Log,
        vm_list: base.VmList,
        configuration: state.ConfigurationState,
        log_reader: reader.ConfigurationReader,
    ) -> None:
        self._log = log
        self._vm_list = vm_list
        self._configuration = configuration
        self._log_reader = log_reader

    async def check(
        self, change: records.Change, force: bool = False
    ) -> Result[None, PublishFault]:
        """Succeeds if ``change`` would be published now, else says why not.

        With ``force`` it may leave trainers and callers without targets.
        """
        folded = self._configuration.folded
        match fold.preview(folded, change):
            case Result(tag='ok', ok=after):
                pass
            case Result(error=verdict):
                return Error(_describe_void(verdict))
        if force:
            return Ok(None)
        match await self._vm_list.read():
            case Result(tag='ok', ok=vms):
                pass
            case Result(error=fault):
                detail = f'targets cannot be checked: {fault.detail}'
                return Error(PublishFault(PublishFaultKind.UNCOVERED, detail))
        found = coverage.find_uncovered(folded.declarations, after, vms)
        if found:
            detail = '; '.join(found)
            return Error(PublishFault(PublishFaultKind.UNCOVERED, detail))
        return Ok(None)

    async def publish(
        self, change: records.Change, timeout: float, force: bool = False
    ) -> Result[ids.Revision, PublishFault]:
        """Publishes ``change`` and returns its revision once it is in force.

        Fails within ``timeout`` seconds.  Nothing is appended if ``check``
        fails.  If a change with the same record id was published before, its
        outcome is returned.
        """
        publication = _Publication(
            self._log, self._configuration, self._log_reader
        )
        try:
            async with asyncio.timeout(timeout):
                match await publication.find_earlier(change):
                    case Result(tag='ok', ok=None):
                        pass
                    case found:
                        return found
                match await self.check(change, force):
                    case Result(tag='error', error=fault):
                        return Error(fault)
                return await publication.run(change)
        except TimeoutError:
            detail = f'no answer from the log within {timeout:g} s'
            return Error(publication.make_log_fault(detail))

    async def reset(
        self, reset: records.Reset, timeout: float
    ) -> Result[ids.Revision, PublishFault]:
        """Publishes a complete configuration if the log has no state any more.

        Refused while the log has one, as a reset would undo the changes of
        other operators.  Fails within ``timeout`` seconds.
        """
        publication = _Publication(
            self._log, self._configuration, self._log_reader
        )
        try:
            async with asyncio.timeout(timeout):
                match await self._log_reader.catch_up():
                    case Result(tag='ok'):
                        return Error(_RESET_REFUSED)
                    case Result(error=fault):
                        pass
                if fault.kind is not base.LogFaultKind.EXPIRED:
                    return Error(publication.make_log_fault(fault.detail))
                return await publication.run(reset)
        except TimeoutError:
            detail = f'no answer from the log within {timeout:g} s'
            return Error(publication.make_log_fault(detail))


class _Publication:
    """Publishes one change or reset."""

    def __init__(
        self,
        log: base.Log,
        configuration: state.ConfigurationState,
        log_reader: reader.ConfigurationReader,
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._log_reader = log_reader
        self._sent = False
        self._backoff = _MIN_BACKOFF_S

    async def find_earlier(
        self, change: records.Change
    ) -> Result[ids.Revision | None, PublishFault]:
        """Returns the outcome of an earlier publication.

        Returns ``None`` if the change was not published before.
        """
        match await self._log_reader.catch_up():
            case Result(tag='error', error=fault):
                return Error(self.make_log_fault(fault.detail))
        found = self._find_verdict(change.id)
        return Ok(None) if found is None else _make_outcome(found)

    async def run(
        self, change: records.Change | records.Reset
    ) -> Result[ids.Revision, PublishFault]:
        """Appends the change and returns its revision once it is in force."""
        match await self._append(change):
            case Result(tag='error', error=fault):
                return Error(fault)
        return _make_outcome(await self._await_verdict(change.id))

    def make_log_fault(self, detail: str) -> PublishFault:
        """Returns the fault to report when the log fails."""
        if self._sent:
            detail += '; the change may come into force yet, plan again'
            return PublishFault(PublishFaultKind.UNKNOWN, detail)
        detail += '; nothing was published'
        return PublishFault(PublishFaultKind.UNAVAILABLE, detail)

    async def _append(
        self, change: records.Change | records.Reset
    ) -> Result[None, PublishFault]:
        """Appends the change, repeatedly until the log is known to have it.

        Fails if the log is unavailable and can't have the change.
        """
        body = records.encode(change)
        while True:
            sent_before, self._sent = self._sent, True
            match await self._log.append(reader.STREAM, body):
                case Result(tag='ok'):
                    return Ok(None)
                case Result(error=fault):
                    pass
            _LOG.warning('publish record=%s: %s', change.id, fault.detail)
            if fault.kind is not base.LogFaultKind.UNKNOWN:
                self._sent = sent_before
            if not self._sent and (
                fault.kind is base.LogFaultKind.UNAVAILABLE
            ):
                return Error(self.make_log_fault(fault.detail))
            await self._back_off()
            if self._sent and await self._is_in_log(change.id):
                return Ok(None)

    async def _is_in_log(self, record_id: ids.RecordId) -> bool:
        """Returns whether the log has the record; retries until it can tell.

        Reads the stream to its end.  If an earlier append takes effect only
        after that, the stream has the record twice and the fold ignores the
        second one.
        """
        while True:
            match await self._log_reader.catch_up():
                case Result(tag='ok'):
                    return self._find_verdict(record_id) is not None
                case Result(error=fault):
                    if fault.kind is base.LogFaultKind.EXPIRED:
                        return False
            await self._back_off()

    async def _await_verdict(self, record_id: ids.RecordId) -> fold.Verdict:
        while True:
            found = self._find_verdict(record_id)
            if found is not None:
                return found
            match await self._log_reader.read_once(_READ_WAIT_S):
                case Result(tag='error'):
                    await self._back_off()

    def _find_verdict(self, record_id: ids.RecordId) -> fold.Verdict | None:
        """Returns the verdict on a record, ``None`` if it was not folded.

        A state received from a peer tells only that the record was folded, so
        the verdict is then derived from the entries.
        """
        found = self._configuration.find_verdict(record_id)
        offset = self._configuration.folded.seen.get(record_id)
        if found is not None or offset is None:
            return found
        entries = self._configuration.folded.entries.values()
        applied = any(entry.revision == offset for entry in entries)
        kind = (
            fold.VerdictKind.APPLIED if applied else fold.VerdictKind.INVALID
        )
        detail = '' if applied else 'the change is void or was replaced since'
        return fold.Verdict(kind, offset, record_id, detail)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff)
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF_S)


def _make_outcome(
    verdict: fold.Verdict,
) -> Result[ids.Revision, PublishFault]:
    if verdict.kind is fold.VerdictKind.APPLIED:
        return Ok(ids.Revision(verdict.offset))
    return Error(_describe_void(verdict))


def _describe_void(verdict: fold.Verdict) -> PublishFault:
    kind = _FAULT_KINDS.get(verdict.kind, PublishFaultKind.INVALID)
    return PublishFault(kind, verdict.detail, verdict.conflict)
