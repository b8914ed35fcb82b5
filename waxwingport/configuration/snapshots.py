"""Writes snapshot records before the records that they cover expire."""

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
_LOG = logging.getLogger(__name__)


class SnapshotSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """When a snapshot is due; times in seconds.

    ``interval`` has to be well below the log's retention.
    """

    interval: float = 600.0
    records: int = 1000
    """Records folded since the last snapshot."""
    step: float = 5.0
    """How much later the next node in line writes, should one fail."""
    check_interval: float = 1.0


class SnapshotWriter:
    """Writes a snapshot when one is due and it is this node's turn.

    Rendezvous hashing orders the live nodes; the first writes at once, each
    further one ``step`` seconds later if no snapshot has come by then.  Two
    snapshots do no harm.
    """

    def __init__(
        self,
        log: platform.Log,
        configuration: state.ConfigurationState,
        source: reader.ConfigurationReader,
        members: membership.Membership,
        settings: SnapshotSettings | None = None,
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._source = source
        self._members = members
        self._settings = settings or SnapshotSettings()
        self._covered = ids.Revision(-1)
        self._covered_at = asyncio.get_running_loop().time()
        self._due_at: float | None = None

    async def run(self) -> None:
        """Writes snapshots until cancelled."""
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
        turns = min(self._find_rank(), _MAX_RANK)
        return now >= self._due_at + turns * self._settings.step

    def _is_due(self, folded: fold.Folded, now: float) -> bool:
        """Returns whether the stream needs a new snapshot.

        Also when the record after the last one's offset has expired already:
        a node that starts could no longer use it.
        """
        if folded.revision < 0 or folded.skipped is not None:
            return False
        if self._source.behind:
            return False
        age = now - self._covered_at
        behind = folded.revision - folded.covered
        lost = self._source.oldest > folded.covered + 1
        return (
            age >= self._settings.interval
            or behind >= self._settings.records
            or lost
        )

    def _find_rank(self) -> int:
        own = self._members.local_member.name
        names = {row.name for row in self._members.list_live()} | {own}
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
                _LOG.warning('snapshot: %s', fault.detail)
        # The record comes back through the stream; until then the next turn
        # is one step away.
        self._due_at = asyncio.get_running_loop().time() + self._settings.step
