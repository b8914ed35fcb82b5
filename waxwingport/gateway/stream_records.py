"""Records of single streams: at which software version each began.

A node writes one for each stream whose version can't be computed from its id
alone.  Nodes read them only while callers resume streams.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import logging
import random
from typing import NewType

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import followers
from waxwingport.log import writers
from waxwingport import tasks

__all__ = [
    'ConflictError',
    'StreamId',
    'StreamKey',
    'StreamRecords',
    'StreamSettings',
]

StreamId = NewType('StreamId', str)
"""Digest of the request id of a stream's first try, which may be long."""


class StreamKey(msgspec.Struct, frozen=True):
    """Names a stream; other callers can't make the same."""

    stream_id: StreamId
    digest: ids.RequestDigest
    """Digest of what its tries have in common."""

    def __str__(self) -> str:
        return f'{self.stream_id}.{self.digest}'


def parse_key(text: str) -> StreamKey:
    """Returns the key of which ``text`` is the string."""
    stream_id, _, digest = text.partition('.')
    return StreamKey(StreamId(stream_id), ids.RequestDigest(digest))


TOPIC = base.Topic('keyed.streams')
_MIN_WRITE_INTERVAL_S = 0.1
"""Least time between two writes that nobody waits for.  A node that is killed
loses the records of this time, and callers begin these streams anew."""
_MAX_WRITES_PER_S = 300.0
"""Writes of all nodes together: an append takes a partition 2 ms."""
_IDLE_TIME_S = 60.0
"""Time without a search after which a node stops reading the records."""
_MAX_PENDING = 10_000
"""Records that wait for a write, as while the log is unavailable; some 100
bytes each.  Older ones are dropped."""
_RETENTION_FACTOR = 2.0
"""Time for which a record is kept, as a multiple of the time in which a
stream may be resumed: clocks of nodes differ."""
_REMOVAL_INTERVAL_S = 5.0
"""Time between two checks for records to remove."""
_REMOVAL_PROBABILITY = 0.05
"""Probability with which a node removes the records of lost nodes then."""
_MAX_REMOVED = 1000
"""Records removed by one append, some 20 bytes each."""

_LOG = logging.getLogger(__name__)


class ConflictError(Exception):
    """Several other requests had the id of a stream."""


class StreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """For how long streams may be resumed."""

    lifetime: float = 120.0
    """Seconds from the first event of a stream, over all tries of its caller,
    in which it may be resumed."""


class _Record(msgspec.Struct, frozen=True, array_like=True):
    origin: fleet.Origin
    written_at: float
    """Seconds since 1970."""


class StreamRecords(followers.KeyedListener):
    """Writes and finds records of streams.

    ``count_nodes`` returns how many nodes write records.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        member: base.MemberName,
        wall_clock: clocks.WallClock,
        settings: StreamSettings,
        call_size: int,
        count_nodes: Callable[[], int],
    ) -> None:
        self._log = log
        self._wall_clock = wall_clock
        self._retention = _RETENTION_FACTOR * settings.lifetime
        self._count_nodes = count_nodes
        self._rng = random.Random()
        self._writer = writers.MemberWriter(
            log, base.Partition(TOPIC, 0), member, call_size
        )
        self._follower: followers.KeyedFollower | None = None
        """Set while the records are read."""
        self._searched_at = float('-inf')
        self._searched = asyncio.Event()
        self._read: collections.defaultdict[
            StreamId, dict[StreamKey, _Record]
        ] = collections.defaultdict(dict)
        """Records that were read, by id and key of their streams."""
        self._pending: dict[StreamKey, fleet.Origin] = {}
        """Records to write at the next interval."""
        self._added = asyncio.Event()
        self._own: collections.deque[tuple[float, StreamKey]] = (
            collections.deque()
        )
        """Time of writing, in seconds since 1970, and key of each own record
        that is still in the log."""

    def add(self, key: StreamKey, origin: fleet.Origin) -> None:
        """Writes a record soon, together with others."""
        self._pending[key] = origin
        if len(self._pending) > _MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._added.set()

    async def store(self, key: StreamKey, origin: fleet.Origin) -> bool:
        """Writes a record; returns whether the log has acknowledged it.

        Takes as long as the log is unavailable.  A call that is cancelled may
        still take effect.
        """
        done = await self._writer.write([self._encode(key, origin)])
        return done.is_ok()

    async def find(self, key: StreamKey) -> fleet.Origin | None:
        """Returns the origin in the record of a stream, if it has one.

        Takes every record into account that was acknowledged before the call,
        and as long as the log is unavailable.  Without a record of this
        request, one of another with the same id tells as well.  Raises
        ``ConflictError`` if several of these differ, and ``LookupError`` if
        the log does not tell.
        """
        self._searched_at = asyncio.get_running_loop().time()
        if self._follower is None:
            self._follower = followers.KeyedFollower(self._log, TOPIC, self)
        self._searched.set()
        if not await self._follower.catch_up():
            raise LookupError('the end of the records was not read')
        same_id = self._read.get(key.stream_id)
        if not same_id:
            return None
        if key in same_id:
            return same_id[key].origin
        first, *others = {record.origin for record in same_id.values()}
        if others:
            raise ConflictError('several requests had the id of the stream')
        return first

    async def run(self) -> None:
        """Writes and reads records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._writer.run())
            group.create_task(self._write_pending())
            group.create_task(self._read_on_demand())

    def replace(self, records: Sequence[base.KeyedRecord]) -> None:
        """Replaces all records that were read."""
        self._read.clear()
        for record in records:
            self.update(record)

    def update(self, record: base.KeyedRecord) -> None:
        """Applies one record, removed if its value is ``None``."""
        key = parse_key(record.key)
        same_id = self._read[key.stream_id]
        same_id.pop(key, None)
        if record.value is None:
            if not same_id:
                del self._read[key.stream_id]
            return
        match decoding.read_json(record.value, _Record):
            case Result(tag='ok', ok=found):
                same_id[key] = found
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={
                        'partition': str(TOPIC),
                        'key': record.key,
                        'reason': reason,
                    },
                )

    def _encode(self, key: StreamKey, origin: fleet.Origin) -> bytes:
        """Returns the record to append, which is removed after a while."""
        now = self._wall_clock.read()
        self._own.append((now, key))
        value = msgspec.json.encode(_Record(origin, now))
        return self._log.make_keyed(base.KeyedRecord(str(key), value))

    async def _write_pending(self) -> None:
        while True:
            await self._wait_for_work()
            self._added.clear()
            pending, self._pending = self._pending, {}
            records = [self._encode(*item) for item in pending.items()]
            records += self._pop_expired()
            await self._write_each(records)
            await asyncio.sleep(
                max(
                    _MIN_WRITE_INTERVAL_S,
                    self._count_nodes() / _MAX_WRITES_PER_S,
                )
            )

    async def _wait_for_work(self) -> None:
        """Waits until a record is added, or until some may have expired."""
        try:
            async with asyncio.timeout(_REMOVAL_INTERVAL_S):
                await self._added.wait()
        except TimeoutError:
            return

    async def _write_each(self, records: Sequence[bytes]) -> None:
        """Writes records, in as many calls as their size asks for."""
        await asyncio.gather(
            *(self._writer.write([record]) for record in records)
        )

    def _pop_expired(self) -> list[bytes]:
        """Returns records that remove those that this node wrote long ago."""
        earliest = self._wall_clock.read() - self._retention
        expired: list[bytes] = []
        while self._own and self._own[0][0] < earliest:
            _, key = self._own.popleft()
            expired.append(
                self._log.make_keyed(base.KeyedRecord(str(key), None))
            )
        return expired

    async def _read_on_demand(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._searched.wait()
            if self._follower is None:
                continue
            following = loop.create_task(self._follower.run())
            try:
                while loop.time() - self._searched_at < _IDLE_TIME_S:
                    await asyncio.sleep(_REMOVAL_INTERVAL_S)
                    await self._remove_records_of_lost_nodes()
                self._follower = None
                self._searched.clear()
                self._read.clear()
            finally:
                await tasks.cancel_all([following])

    async def _remove_records_of_lost_nodes(self) -> None:
        """Removes records that their nodes would have removed.

        One of many nodes does so, at random.
        """
        if self._rng.random() > _REMOVAL_PROBABILITY:
            return
        earliest = self._wall_clock.read() - 2 * self._retention
        expired = [
            self._log.make_keyed(base.KeyedRecord(str(key), None))
            for same_id in self._read.values()
            for key, record in same_id.items()
            if record.written_at < earliest
        ]
        await self._write_each(expired[:_MAX_REMOVED])
