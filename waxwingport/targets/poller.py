"""Polling of engines, each by one node of the data centre for all nodes.

Rendezvous hashing over the live members picks the node that polls an engine.
That node sends load, version and cached blocks of requested prompts to the
other nodes of its data centre.  A node that receives nothing about an engine
polls it itself.
"""

import asyncio
import heapq
import logging

from expression import Error
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport.peers import base as peers
from waxwingport.routing import prefix_index
from waxwingport.targets import base
from waxwingport.targets import digests
from waxwingport.targets import health
from waxwingport.targets import listeners
from waxwingport.targets import table

__all__ = ['EnginePoller']

_TICK_S = 0.1
"""Time between two checks for polls and digests that are due."""
_LOCAL_INTERVAL_S = 0.25
"""Shortest time between two polls of an engine in this data centre."""
_MAX_LOCAL_RATE = 16.0
"""Polls per second of engines in this data centre."""
_REMOTE_INTERVAL_S = 2.0
"""Shortest time between two polls of an engine in another data centre."""
_MAX_REMOTE_RATE = 8.0
"""Polls per second of engines in other data centres."""
_POLLS_PER_STATE = 4
"""Polls of an engine's load for each poll of its state."""
_MAX_SILENCE_S = 3.0
"""Time without a digest on an engine after which a node polls it itself."""
_POLL_TIMEOUT_S = 2.0
"""Timeout of each request of a poll."""
_LOST_COOL_DOWN_S = 3.0
"""Time for which an engine that does not answer polls gets no work.  The next
poll ends before that."""
_MAX_CONCURRENT_POLLS = 64
"""Polls of this node that run at the same time."""
_MIN_DIGEST_INTERVAL_S = 1.0
"""Shortest time between two digests."""
_MAX_DIGEST_RATE = 8 * 1024
"""Bytes per second of all digests that a node sends."""
_MAX_DIGEST_BLOCKS = 64
"""Cached blocks in one digest."""
_UNCONFIRMED_LIFETIME_S = 60.0
"""Time for which the index has a block that only another node reported."""
_DIGESTS_PER_STATE = 8
"""Digests on an engine for each one that contains its state."""
_LOG = logging.getLogger(__name__)


class _EngineRecord:
    """Polling state of one engine, with times of the loop's clock."""

    def __init__(self, now: float) -> None:
        self.next_poll = now
        self.updated_at = now
        self.polls = 0
        self.polling = False
        self.failing = False
        self.unreported = False
        """Whether a poll has succeeded since the last digest."""


class _ChangeCollector(listeners.TableListener):
    """Collects the targets that were added, removed or relabelled."""

    def __init__(self, targets: table.TargetTable) -> None:
        self._found = set(targets)
        targets.listen(self)

    def pop_all(self) -> set[table.Target]:
        """Returns the targets collected since the last call."""
        found, self._found = self._found, set()
        return found

    def handle_labels(self, target: table.Target) -> None:
        """Collects a target that is new or whose labels changed."""
        self._found.add(target)

    def handle_change(self, target: table.Target) -> None:
        """Does nothing: polling does not depend on the state."""

    def handle_removal(self, target: table.Target) -> None:
        """Collects a target that was removed."""
        self._found.add(target)


class EnginePoller:
    """Keeps loads, states and cache contents of engines up to date."""

    def __init__(
        self,
        targets: table.TargetTable,
        index: prefix_index.PrefixIndex,
        members: membership.Membership,
        transport: peers.PeerTransport,
    ) -> None:
        self._targets = targets
        self._changes = _ChangeCollector(targets)
        self._schedule: list[tuple[float, ids.TargetName]] = []
        """Heap of the times at which to check each engine."""
        self._intervals = {False: _LOCAL_INTERVAL_S, True: _REMOTE_INTERVAL_S}
        """Seconds between two polls, by whether the engine is remote."""
        self._index = index
        self._members = members
        self._peers = transport
        self._records: dict[ids.TargetName, _EngineRecord] = {}
        self._names_by_hash: dict[int, ids.TargetName] = {}
        self._responsible: dict[ids.TargetName, bool] = {}
        """Cached results of ``is_responsible``."""
        self._live: tuple[ids.NodeName, ...] = ()
        self._requested_blocks = digests.RequestedBlockQueue(
            index.has_confirmed
        )
        self._next_digest = 0.0
        self._digest_count = 0
        self._poll_slots = asyncio.Semaphore(_MAX_CONCURRENT_POLLS)
        self._tasks: set[asyncio.Task[None]] = set()
        index.set_requested_listener(self._requested_blocks.add_block)
        transport.set_receiver(peers.MessageKind.LOAD, self._handle_digest)

    async def run(self) -> None:
        """Polls engines and sends digests until it is cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._update_members()
                self._update_engines()
                self._start_polls(loop.time())
                if loop.time() >= self._next_digest:
                    self._send_digest(loop.time())
                await asyncio.sleep(_TICK_S)
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

    def _update_members(self) -> None:
        members = self._members.list_live(
            self._members.local_member.data_centre
        )
        live = tuple(member.name for member in members)
        if live != self._live:
            self._live = live
            self._responsible.clear()
            self._reschedule(_now())
            self._targets.set_nodes(self._members.local_member.name, live)

    def _update_engines(self) -> None:
        changes = self._changes.pop_all()
        if not changes:
            return
        for target in changes:
            if target.engine is None:
                continue
            if self._targets.find(target.name) is not target:
                self._remove_engine(target.name)
            elif target.name not in self._records:
                self._records[target.name] = _EngineRecord(_now())
                self._names_by_hash[digests.hash_name(target.name)] = (
                    target.name
                )
        self._reschedule(_now())

    def _remove_engine(self, name: ids.TargetName) -> None:
        if self._targets.find(name) is not None:
            # Another target has the same name now.
            return
        if self._records.pop(name, None) is not None:
            self._names_by_hash.pop(digests.hash_name(name), None)
            self._responsible.pop(name, None)
            self._requested_blocks.remove_engine(name)

    def _reschedule(self, now: float) -> None:
        """Recomputes which engines this node polls, and how often."""
        poll_counts = {True: 0, False: 0}
        self._schedule = []
        for name, record in self._records.items():
            target = self._targets.find(name)
            if self.is_responsible(name):
                poll_counts[target.remote] += 1
            self._schedule.append((self._find_due(name, record), name))
        heapq.heapify(self._schedule)
        self._intervals = {
            False: max(
                _LOCAL_INTERVAL_S, poll_counts[False] / _MAX_LOCAL_RATE
            ),
            True: max(
                _REMOTE_INTERVAL_S, poll_counts[True] / _MAX_REMOTE_RATE
            ),
        }

    def _find_due(self, name: ids.TargetName, record: _EngineRecord) -> float:
        """Returns the time of the next check of an engine."""
        target = self._targets.find(name)
        unknown = not record.polls and not target.remote
        if self.is_responsible(name) or unknown:
            return record.next_poll
        silent_at = (
            record.updated_at + _MAX_SILENCE_S + self._intervals[target.remote]
        )
        return max(record.next_poll, silent_at)

    def _start_polls(self, now: float) -> None:
        while self._schedule and self._schedule[0][0] <= now:
            _, name = heapq.heappop(self._schedule)
            record = self._records.get(name)
            if record is None:
                continue
            if not record.polling and self._find_due(name, record) <= now:
                self._start_poll(name, record, now)
            due = max(self._find_due(name, record), now + _TICK_S)
            heapq.heappush(self._schedule, (due, name))

    def _start_poll(
        self, name: ids.TargetName, record: _EngineRecord, now: float
    ) -> None:
        target = self._targets.find(name)
        pause = (
            self._intervals[target.remote]
            if self.is_responsible(name)
            else _MAX_SILENCE_S
        )
        record.next_poll = now + pause
        record.polling = True
        task = asyncio.create_task(self._poll(target, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(self, target: table.Target, record: _EngineRecord) -> None:
        try:
            async with self._poll_slots:
                await self._read(target, record)
        finally:
            record.polling = False

    async def _read(self, target: table.Target, record: _EngineRecord) -> None:
        sent_at = _now()
        record.polls += 1
        match await _with_timeout(target.engine.read_load()):
            case Result(tag='ok', ok=report):
                target.record_load(report)
                if record.failing:
                    target.handle(health.TargetEvent.RECOVER)
                record.updated_at = _now()
                record.failing = False
                record.unreported = True
            case Result(error=fault):
                self._record_fault(target, record, fault, _now() - sent_at)
                return
        if record.polls % _POLLS_PER_STATE == 1:
            await self._read_state(target)
        if not target.remote:
            await self._read_cache(target)

    async def _read_state(self, target: table.Target) -> None:
        match await _with_timeout(target.engine.read_state()):
            case Result(tag='ok', ok=found):
                target.engine_state = found
            case Result(error=fault):
                _LOG.info(
                    'state of %s not read: %s', target.name, fault.detail
                )

    async def _read_cache(self, target: table.Target) -> None:
        offset = self._index.find_next_offset(target.name)
        match await _with_timeout(target.engine.read_cache_events(offset)):
            case Result(tag='ok', ok=page):
                if not self._index.apply_events(target.name, page):
                    _LOG.info(
                        'cache events of %s: some were missed', target.name
                    )
            case Result(error=fault):
                _LOG.info(
                    'cache events of %s not read: %s',
                    target.name,
                    fault.detail,
                )

    def _record_fault(
        self,
        target: table.Target,
        record: _EngineRecord,
        fault: base.TargetFault,
        elapsed: float,
    ) -> None:
        _LOG.info('load of %s not read: %s', target.name, fault.detail)
        # If most engines fail, this node may be cut off from the network.
        failing = sum(other.failing for other in self._records.values())
        if record.failing and failing * 2 <= len(self._records):
            lost = msgspec.structs.replace(
                fault,
                kind=base.TargetFaultKind.UNREACHABLE,
                retry_after=_LOST_COOL_DOWN_S,
            )
            target.record_fault(lost, elapsed)
        record.failing = True

    def _send_digest(self, now: float) -> None:
        receivers = [
            peer
            for peer in self._members.list_live(
                self._members.local_member.data_centre
            )
            if peer.name != self._members.local_member.name
        ]
        summaries = self._make_summaries(now) if receivers else ()
        interval = _MIN_DIGEST_INTERVAL_S
        if summaries:
            size = len(msgspec.msgpack.encode(digests.Digest(0, summaries)))
            interval = max(interval, size * len(receivers) / _MAX_DIGEST_RATE)
            message = digests.Digest(round(interval * 1000), summaries)
            body = msgspec.msgpack.encode(message)
            for member in receivers:
                self._peers.send(member.peer, peers.MessageKind.LOAD, body)
            self._digest_count += 1
        self._next_digest = now + interval

    def _make_summaries(self, now: float) -> tuple[digests.EngineSummary, ...]:
        summaries = []
        remaining = _MAX_DIGEST_BLOCKS
        for name, record in self._records.items():
            if not record.unreported or not self.is_responsible(name):
                continue
            record.unreported = False
            target = self._targets.find(name)
            blocks = self._requested_blocks.pop_blocks(
                target.name, remaining, now
            )
            remaining -= len(blocks)
            include_state = (
                self._digest_count + len(summaries)
            ) % _DIGESTS_PER_STATE == 0
            summaries.append(_make_summary(target, blocks, include_state))
        return tuple(summaries)

    def _handle_digest(self, sender: ids.NodeName, body: bytes) -> None:
        match decoding.read_msgpack(body, digests.Digest):
            case Result(tag='ok', ok=digest):
                pass
            case Result(error=reason):
                _LOG.warning('digest from %s is invalid: %s', sender, reason)
                return
        now = _now()
        for summary in digest.engines:
            name = self._names_by_hash.get(summary.engine)
            target = self._targets.find(name) if name is not None else None
            if target is not None and not self.is_responsible(name):
                self._records[name].updated_at = now + digest.interval / 1000
                self._apply_summary(target, summary, now)

    def _apply_summary(
        self, target: table.Target, summary: digests.EngineSummary, now: float
    ) -> None:
        target.record_load(summary.read_report())
        if summary.weight_version != target.weight_version:
            # New weights invalidate the cached prefixes.
            self._index.clear_engine(target.name)
        if summary.state is not None:
            target.engine_state = summary.state
        elif summary.weight_version is not None:
            known = target.engine_state
            target.engine_state = (
                base.EngineState(summary.weight_version)
                if known is None
                else msgspec.structs.replace(
                    known, weight_version=summary.weight_version
                )
            )
        if summary.blocks:
            self._index.add_unconfirmed(
                target.name, summary.blocks, now, _UNCONFIRMED_LIFETIME_S
            )


def _make_summary(
    target: table.Target, blocks: tuple[int, ...], include_state: bool
) -> digests.EngineSummary:
    report = target.report
    state = target.engine_state
    return digests.EngineSummary(
        engine=digests.hash_name(target.name),
        running=report.running,
        waiting=report.waiting,
        capacity=report.capacity,
        measured_at=round(report.measured_at * 1000),
        weight_version=target.weight_version,
        blocks=blocks,
        state=state if include_state else None,
    )


async def _with_timeout(request) -> Result:
    try:
        async with asyncio.timeout(_POLL_TIMEOUT_S):
            return await request
    except TimeoutError:
        kind = base.TargetFaultKind.SILENT
        return Error(
            base.TargetFault(kind, 'no answer to a poll in time', sent=True)
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
