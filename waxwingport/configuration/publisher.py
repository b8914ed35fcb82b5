"""Publishes a change on the configuration stream."""

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

_BACKOFF = 0.1
_MAX_BACKOFF = 1.0
_WAIT = 0.5
_LOG = logging.getLogger(__name__)


class PublishFaultKind(enum.Enum):
    """Why a change is not in force."""

    CONFLICT = 'conflict'
    """Another change of the same keys came first; this one is void."""
    INVALID = 'invalid'
    """The declarations would not be consistent; the change is void."""
    UNCOVERED = 'uncovered'
    """A trainer or caller would be left without any target."""
    UNAVAILABLE = 'unavailable'
    """The log cannot be reached; nothing was published."""
    UNKNOWN = 'unknown'
    """The log does not say; the change may come into force yet."""


class PublishFault(msgspec.Struct, frozen=True):
    """A change that is not in force."""

    kind: PublishFaultKind
    detail: str
    conflict: fold.Conflict | None = None


_NOT_LOST = PublishFault(
    PublishFaultKind.INVALID,
    'the log holds the configuration; apply without a reset',
)
_KINDS = {
    fold.VerdictKind.CONFLICT: PublishFaultKind.CONFLICT,
    fold.VerdictKind.STALE: PublishFaultKind.CONFLICT,
}


class Publisher:
    """Appends changes and waits until they are folded here."""

    def __init__(
        self,
        log: base.Log,
        vm_list: base.VmList,
        configuration: state.ConfigurationState,
        source: reader.ConfigurationReader,
    ) -> None:
        self._log = log
        self._vm_list = vm_list
        self._configuration = configuration
        self._source = source

    async def check(
        self, change: records.Change, force: bool = False
    ) -> Result[None, PublishFault]:
        """Returns whether ``change`` would be published now, or why not.

        ``force`` lets it leave trainers and callers without any target.
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
        """Returns the revision at which ``change`` is in force.

        Fails within ``timeout`` seconds; nothing is appended when the change
        would be refused already.  A change that was published before under
        the same record id has the outcome that it had.
        """
        attempt = _Attempt(self._log, self._configuration, self._source)
        try:
            async with asyncio.timeout(timeout):
                match await attempt.find_earlier(change):
                    case Result(tag='ok', ok=None):
                        pass
                    case found:
                        return found
                match await self.check(change, force):
                    case Result(tag='error', error=fault):
                        return Error(fault)
                return await attempt.run(change)
        except TimeoutError:
            detail = f'no answer from the log within {timeout:g} s'
            return Error(attempt.describe_loss(detail))

    async def reset(
        self, reset: records.Reset, timeout: float
    ) -> Result[ids.Revision, PublishFault]:
        """Publishes everything anew where the log holds no state any more.

        Refused as long as the log holds one: a reset would undo the changes
        of others.
        """
        attempt = _Attempt(self._log, self._configuration, self._source)
        try:
            async with asyncio.timeout(timeout):
                match await self._source.catch_up():
                    case Result(tag='ok'):
                        return Error(_NOT_LOST)
                    case Result(error=fault):
                        pass
                if fault.kind is not base.LogFaultKind.EXPIRED:
                    return Error(attempt.describe_loss(fault.detail))
                return await attempt.run(reset)
        except TimeoutError:
            detail = f'no answer from the log within {timeout:g} s'
            return Error(attempt.describe_loss(detail))


class _Attempt:
    """One change on its way into the log."""

    def __init__(
        self,
        log: base.Log,
        configuration: state.ConfigurationState,
        source: reader.ConfigurationReader,
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._source = source
        self._sent = False
        self._backoff = _BACKOFF

    async def find_earlier(
        self, change: records.Change
    ) -> Result[ids.Revision | None, PublishFault]:
        """Returns the outcome that the change has already, if any."""
        match await self._source.catch_up():
            case Result(tag='error', error=fault):
                return Error(self.describe_loss(fault.detail))
        found = self._find(change.id)
        return Ok(None) if found is None else _conclude(found)

    async def run(
        self, change: records.Change | records.Reset
    ) -> Result[ids.Revision, PublishFault]:
        """Appends the change and returns where it is in force."""
        match await self._append(change):
            case Result(tag='error', error=fault):
                return Error(fault)
        return _conclude(await self._await_verdict(change.id))

    def describe_loss(self, detail: str) -> PublishFault:
        """Returns the fault of a log that fails."""
        if self._sent:
            detail += '; the change may come into force yet, plan again'
            return PublishFault(PublishFaultKind.UNKNOWN, detail)
        detail += '; nothing was published'
        return PublishFault(PublishFaultKind.UNAVAILABLE, detail)

    async def _append(
        self, change: records.Change | records.Reset
    ) -> Result[None, PublishFault]:
        """Appends the change until the log is known to hold it."""
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
                return Error(self.describe_loss(fault.detail))
            await self._pause()
            if self._sent and await self._look_for(change.id):
                return Ok(None)

    async def _look_for(self, record_id: ids.RecordId) -> bool:
        """Returns whether the log holds the record; waits out faults.

        Before a repeat the stream is read to its end.  A record that takes
        effect even later is a repeat in the stream, which the fold ignores.
        """
        while True:
            match await self._source.catch_up():
                case Result(tag='ok'):
                    return self._find(record_id) is not None
                case Result(error=fault):
                    if fault.kind is base.LogFaultKind.EXPIRED:
                        return False
            await self._pause()

    async def _await_verdict(self, record_id: ids.RecordId) -> fold.Verdict:
        while True:
            found = self._find(record_id)
            if found is not None:
                return found
            match await self._source.step(_WAIT):
                case Result(tag='error'):
                    await self._pause()

    def _find(self, record_id: ids.RecordId) -> fold.Verdict | None:
        """Returns the verdict, also if a peer's state brought the record.

        Such a state tells only that the record was folded.
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
        detail = '' if applied else 'void, or changed again since'
        return fold.Verdict(kind, offset, record_id, detail)

    async def _pause(self) -> None:
        await asyncio.sleep(self._backoff)
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)


def _conclude(
    verdict: fold.Verdict,
) -> Result[ids.Revision, PublishFault]:
    if verdict.kind is fold.VerdictKind.APPLIED:
        return Ok(ids.Revision(verdict.offset))
    return Error(_describe_void(verdict))


def _describe_void(verdict: fold.Verdict) -> PublishFault:
    kind = _KINDS.get(verdict.kind, PublishFaultKind.INVALID)
    return PublishFault(kind, verdict.detail, verdict.conflict)
