"""Polls engines, each by one node of the data centre, and tells the others.

Rendezvous hashing over the live members picks the node that polls an engine.
It passes load, version and popular cached blocks on to the other nodes of
its data centre.  A node that hears nothing of an engine polls it itself.
"""

import asyncio
import heapq
import logging

from expression import Error
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport.peers import base as peers
from waxwingport.routing import cache
from waxwingport.targets import base
from waxwingport.targets import digests
from waxwingport.targets import health
from waxwingport.targets import listeners
from waxwingport.targets import table

__all__ = ['EnginePoller']

_TICK = 0.1
"""Seconds."""
_OWN_INTERVAL = 0.25
"""Seconds between two polls of an engine in this data centre, at the least."""
_OWN_RATE = 16.0
"""Polls a second of engines in this data centre, at the most."""
_REMOTE_INTERVAL = 2.0
"""Seconds between two polls of an engine in another data centre, at the
least."""
_REMOTE_RATE = 8.0
"""Polls a second of engines in other data centres, at the most."""
_STATE_EVERY = 4
"""Polls of an engine's load to one of its state."""
_SILENCE = 3.0
"""Seconds without news of an engine until a node polls it itself."""
_POLL_TIMEOUT = 2.0
"""Seconds."""
_LOST_COOL_DOWN = 3.0
"""Seconds for which an engine that does not answer polls gets no work; the
next poll is over before that."""
_POLLS_AT_ONCE = 64
_DIGEST_INTERVAL = 1.0
"""Seconds between two digests, at the least."""
_DIGEST_RATE = 8 * 1024
"""Bytes a second of all digests that a node sends."""
_BLOCKS_TOLD = 64
"""Cached blocks in one digest."""
_HINT_LIFETIME = 60.0
"""Seconds for which a block told by another node counts."""
_STATES_EVERY = 8
"""Digests to one that holds the whole state of an engine."""
_LOG = logging.getLogger(__name__)


class _Record:
    """What the poller keeps of one engine; times in seconds."""

    def __init__(self, now: float) -> None:
        self.next_poll = now
        self.heard_at = now
        self.polls = 0
        self.polling = False
        self.failing = False
        self.polled = False
        """Whether there is something new to tell the other nodes."""


class _Changes(listeners.TableListener):
    """Collects the targets that came, went or got other labels."""

    def __init__(self, targets: table.TargetTable) -> None:
        self._found = set(targets)
        targets.listen(self)

    def take(self) -> set[table.Target]:
        """Returns the targets collected since the last call."""
        found, self._found = self._found, set()
        return found

    def relabel(self, target: table.Target) -> None:
        """Collects a target that is new or has other labels."""
        self._found.add(target)

    def refresh(self, target: table.Target) -> None:
        """Does nothing: states do not matter here."""

    def remove(self, target: table.Target) -> None:
        """Collects a target that is gone."""
        self._found.add(target)


class EnginePoller:
    """Keeps loads, states and cache contents of engines up to date."""

    def __init__(
        self,
        targets: table.TargetTable,
        index: cache.PrefixIndex,
        members: membership.Membership,
        transport: peers.PeerTransport,
    ) -> None:
        self._targets = targets
        self._changes = _Changes(targets)
        self._schedule: list[tuple[float, ids.TargetName]] = []
        """Heap of the times to look at each engine."""
        self._intervals = {False: _OWN_INTERVAL, True: _REMOTE_INTERVAL}
        """Seconds between two polls, by whether an engine is remote."""
        self._index = index
        self._members = members
        self._peers = transport
        self._records: dict[ids.TargetName, _Record] = {}
        self._keys: dict[int, ids.TargetName] = {}
        self._responsible: dict[ids.TargetName, bool] = {}
        self._live: tuple[ids.NodeName, ...] = ()
        self._summary = digests.CacheSummary(index.holds)
        self._next_digest = 0.0
        self._digests = 0
        self._room = asyncio.Semaphore(_POLLS_AT_ONCE)
        self._tasks: set[asyncio.Task[None]] = set()
        index.follow_popular(self._summary.offer)
        transport.set_receiver(peers.MessageKind.LOAD, self._take)

    async def run(self) -> None:
        """Polls and tells until it is cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._follow_members()
                self._follow_engines()
                self._start_polls(loop.time())
                if loop.time() >= self._next_digest:
                    self._send_digest(loop.time())
                await asyncio.sleep(_TICK)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_responsible(self, engine: ids.TargetName) -> bool:
        """Returns whether this node is the one that polls ``engine``."""
        found = self._responsible.get(engine)
        if found is None:
            picked = rendezvous.pick(engine, self._live)
            found = picked in (None, self._members.local_member.name)
            self._responsible[engine] = found
        return found

    def _follow_members(self) -> None:
        rows = self._members.list_live(self._members.local_member.data_centre)
        live = tuple(row.name for row in rows)
        if live != self._live:
            self._live = live
            self._responsible.clear()
            self._plan_all(_now())
            self._targets.share(self._members.local_member.name, live)

    def _follow_engines(self) -> None:
        changes = self._changes.take()
        if not changes:
            return
        for target in changes:
            if target.engine is None:
                continue
            if self._targets.find(target.name) is not target:
                self._forget(target.name)
            elif target.name not in self._records:
                self._records[target.name] = _Record(_now())
                self._keys[digests.name_key(target.name)] = target.name
        self._plan_all(_now())

    def _forget(self, name: ids.TargetName) -> None:
        if self._targets.find(name) is not None:
            # Another target has taken the name.
            return
        if self._records.pop(name, None) is not None:
            self._keys.pop(digests.name_key(name), None)
            self._responsible.pop(name, None)
            self._summary.drop(name)

    def _plan_all(self, now: float) -> None:
        """Computes anew which engines this node polls, and how often."""
        own = {True: 0, False: 0}
        self._schedule = []
        for name, record in self._records.items():
            target = self._targets.find(name)
            if self.is_responsible(name):
                own[target.remote] += 1
            self._schedule.append((self._find_due(name, record), name))
        heapq.heapify(self._schedule)
        self._intervals = {
            False: max(_OWN_INTERVAL, own[False] / _OWN_RATE),
            True: max(_REMOTE_INTERVAL, own[True] / _REMOTE_RATE),
        }

    def _find_due(self, name: ids.TargetName, record: _Record) -> float:
        """Returns when to look at an engine next."""
        target = self._targets.find(name)
        unknown = not record.polls and not target.remote
        if self.is_responsible(name) or unknown:
            return record.next_poll
        silent_at = record.heard_at + _SILENCE + self._intervals[target.remote]
        return max(record.next_poll, silent_at)

    def _start_polls(self, now: float) -> None:
        while self._schedule and self._schedule[0][0] <= now:
            _, name = heapq.heappop(self._schedule)
            record = self._records.get(name)
            if record is None:
                continue
            if not record.polling and self._find_due(name, record) <= now:
                self._start_poll(name, record, now)
            due = max(self._find_due(name, record), now + _TICK)
            heapq.heappush(self._schedule, (due, name))

    def _start_poll(
        self, name: ids.TargetName, record: _Record, now: float
    ) -> None:
        target = self._targets.find(name)
        pause = (
            self._intervals[target.remote]
            if self.is_responsible(name)
            else _SILENCE
        )
        record.next_poll = now + pause
        record.polling = True
        task = asyncio.create_task(self._poll(target, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(self, target: table.Target, record: _Record) -> None:
        try:
            async with self._room:
                await self._read(target, record)
        finally:
            record.polling = False

    async def _read(self, target: table.Target, record: _Record) -> None:
        sent_at = _now()
        record.polls += 1
        match await _limit(target.engine.read_load()):
            case Result(tag='ok', ok=report):
                target.note_load(report)
                if record.failing:
                    target.handle(health.TargetEvent.RECOVER)
                record.heard_at = _now()
                record.failing = False
                record.polled = True
            case Result(error=fault):
                self._note_fault(target, record, fault, _now() - sent_at)
                return
        if record.polls % _STATE_EVERY == 1:
            await self._read_state(target)
        if not target.remote:
            await self._read_cache(target)

    async def _read_state(self, target: table.Target) -> None:
        match await _limit(target.engine.read_state()):
            case Result(tag='ok', ok=found):
                target.engine_state = found
            case Result(error=fault):
                _LOG.info('state of %s: %s', target.name, fault.detail)

    async def _read_cache(self, target: table.Target) -> None:
        offset = self._index.find_next_offset(target.name)
        match await _limit(target.engine.read_cache_events(offset)):
            case Result(tag='ok', ok=page):
                if not self._index.note_events(target.name, page):
                    _LOG.info('cache events of %s: gap', target.name)
            case Result(error=fault):
                _LOG.info('cache events of %s: %s', target.name, fault.detail)

    def _note_fault(
        self,
        target: table.Target,
        record: _Record,
        fault: base.TargetFault,
        taken: float,
    ) -> None:
        _LOG.info('load of %s: %s', target.name, fault.detail)
        # This node may be the one that is cut off.
        failing = sum(row.failing for row in self._records.values())
        if record.failing and failing * 2 <= len(self._records):
            lost = msgspec.structs.replace(
                fault,
                kind=base.TargetFaultKind.UNREACHABLE,
                retry_after=_LOST_COOL_DOWN,
            )
            target.note_fault(lost, taken)
        record.failing = True

    def _send_digest(self, now: float) -> None:
        receivers = [
            row
            for row in self._members.list_live(
                self._members.local_member.data_centre
            )
            if row.name != self._members.local_member.name
        ]
        rows = self._make_rows(now) if receivers else ()
        interval = _DIGEST_INTERVAL
        if rows:
            size = len(msgspec.msgpack.encode(digests.Digest(0, rows)))
            interval = max(interval, size * len(receivers) / _DIGEST_RATE)
            message = digests.Digest(round(interval * 1000), rows)
            body = msgspec.msgpack.encode(message)
            for member in receivers:
                self._peers.send(member.peer, peers.MessageKind.LOAD, body)
            self._digests += 1
        self._next_digest = now + interval

    def _make_rows(self, now: float) -> tuple[digests.EngineRow, ...]:
        rows = []
        room = _BLOCKS_TOLD
        for name, record in self._records.items():
            if not record.polled or not self.is_responsible(name):
                continue
            record.polled = False
            target = self._targets.find(name)
            blocks = self._summary.take(target.name, room, now)
            room -= len(blocks)
            whole = (self._digests + len(rows)) % _STATES_EVERY == 0
            rows.append(_make_row(target, blocks, whole))
        return tuple(rows)

    def _take(self, sender: ids.NodeName, body: bytes) -> None:
        try:
            digest = msgspec.msgpack.decode(body, type=digests.Digest)
        except msgspec.DecodeError as error:
            _LOG.warning('digest of %s: %s', sender, error)
            return
        now = _now()
        for row in digest.rows:
            name = self._keys.get(row.engine)
            target = self._targets.find(name) if name is not None else None
            if target is not None and not self.is_responsible(name):
                self._records[name].heard_at = now + digest.interval / 1000
                self._take_row(target, row, now)

    def _take_row(
        self, target: table.Target, row: digests.EngineRow, now: float
    ) -> None:
        target.note_load(row.read_report())
        if row.weight_version != target.weight_version:
            # New weights make the cached prefixes useless.
            self._index.clear(target.name)
        if row.state is not None:
            target.engine_state = row.state
        elif row.weight_version is not None:
            known = target.engine_state
            target.engine_state = (
                base.EngineState(row.weight_version)
                if known is None
                else msgspec.structs.replace(
                    known, weight_version=row.weight_version
                )
            )
        if row.blocks:
            self._index.note_told(target.name, row.blocks, now, _HINT_LIFETIME)


def _make_row(
    target: table.Target, blocks: tuple[int, ...], whole: bool
) -> digests.EngineRow:
    report = target.report
    state = target.engine_state
    return digests.EngineRow(
        engine=digests.name_key(target.name),
        running=report.running,
        waiting=report.waiting,
        capacity=report.capacity,
        measured_at=round(report.measured_at * 1000),
        weight_version=target.weight_version,
        blocks=blocks,
        state=state if whole else None,
    )


async def _limit(outcome) -> Result:
    try:
        async with asyncio.timeout(_POLL_TIMEOUT):
            return await outcome
    except TimeoutError:
        kind = base.TargetFaultKind.SILENT
        return Error(base.TargetFault(kind, 'no answer to a poll', sent=True))


def _now() -> float:
    return asyncio.get_running_loop().time()
