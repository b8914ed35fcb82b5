"""Appends snapshot records before the records that they cover expire."""

import asyncio
import logging

from expression import Result
import msgspec

from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport.outside import base as platform

__all__ = ['SnapshotSettings', 'SnapshotWriter']

_MAX_RANK = 8
"""Rank that limits the delay of all nodes further down the ranking."""
_LOG = logging.getLogger(__name__)


class SnapshotSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """When a snapshot is due; times in seconds.

    ``interval`` must be well below the log's retention time.
    """

    interval: float = 600.0
    """Time since the last snapshot after which one is due."""
    records: int = 1000
    """Records folded since the last snapshot after which one is due."""
    step: float = 5.0
    """Delay before the next node in the ranking writes one instead."""
    check_interval: float = 1.0
    """Interval at which a node checks whether to write a snapshot."""


class SnapshotWriter:
    """Appends a snapshot when one is due and it is this node's turn.

    Rendezvous hashing ranks the live nodes.  The first writes at once, each
    further one ``step`` seconds later if there is no new snapshot by then.
    Duplicate snapshots do no harm.
    """

    def __init__(
        self,
        log: platform.Log,
        configuration: state.ConfigurationState,
        log_reader: reader.ConfigurationReader,
        members: membership.Membership,
        settings: SnapshotSettings | None = None,
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._log_reader = log_reader
        self._members = members
        self._settings = settings or SnapshotSettings()
        self._covered = ids.Revision(-1)
        self._covered_at = asyncio.get_running_loop().time()
        self._due_at: float | None = None

    async def run(self) -> None:
        """Appends snapshots when due, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.check_interval)
            if self._is_turn():
                await self._write()

    def _is_turn(self) -> bool:
        now = asyncio.get_running_loop().time()
        folded = self._configuration.folded
        if folded.covered != self._covered:
            self._covered = folded.covered
            self._covered_at = now
        if not self._is_due(folded, now):
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = now
        rank = min(self._find_rank(), _MAX_RANK)
        return now >= self._due_at + rank * self._settings.step

    def _is_due(self, folded: fold.FoldedState, now: float) -> bool:
        """Returns whether the stream needs a new snapshot.

        One is also due if a record after the last snapshot's offset has
        expired, as a starting node could not use that snapshot any more.
        """
        if folded.revision < 0 or folded.skipped is not None:
            return False
        if self._log_reader.log_behind:
            return False
        age = now - self._covered_at
        uncovered = folded.revision - folded.covered
        expired = self._log_reader.oldest_offset > folded.covered + 1
        return (
            age >= self._settings.interval
            or uncovered >= self._settings.records
            or expired
        )

    def _find_rank(self) -> int:
        own = self._members.local_member.name
        names = {member.name for member in self._members.list_live()} | {own}
        return rendezvous.rank('configuration-snapshot', names).index(own)

    async def _write(self) -> None:
        folded = self._configuration.folded
        body = records.encode(initial_state.make_snapshot(folded))
        match await self._log.append(reader.STREAM, body):
            case Result(tag='ok', ok=offset):
                _LOG.info(
                    'snapshot offset=%d covers=%d bytes=%d',
                    offset,
                    folded.revision,
                    len(body),
                )
            case Result(error=fault):
                _LOG.warning('snapshot not written: %s', fault.detail)
        # ``covered`` changes once the record is read from the stream; until
        # then the next attempt is delayed by one step.
        self._due_at = asyncio.get_running_loop().time() + self._settings.step
