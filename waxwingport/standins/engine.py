"""Stand-in for a model engine with continuous batching.

Generated text starts with the end of the prompt, so that a test can tell when
an answer belongs to another request.  The length of a generation depends only
on the prompt, the request id and the seed, so that a resumed generation ends
where the first attempt would have ended.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import math
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.routing import prefixes
from waxwingport.targets import base

__all__ = ['StandInEngine', 'StandInEngineSettings']

_ECHOED_CHARACTERS = 48
_MAX_STORED_EVENTS = 4096


class StandInEngineSettings(msgspec.Struct, frozen=True):
    """Speed and limits of a stand-in engine; times in seconds.

    Lengths of generations in tokens have a log-normal distribution.
    """

    capacity: int = 16
    """Generations that run at the same time."""
    queue_length: int = 64
    """Generations that wait for a slot; more are refused."""
    token_time: float = 0.002
    """Time between two tokens of one generation when the engine is idle."""
    full_load_slowdown: float = 1.0
    """Share of ``token_time`` that is added when every slot is occupied."""
    prefill_time: float = 0.0005
    """Time for each block of the prompt that is not cached."""
    chunk_tokens: int = 4
    cache_blocks: int = 1024
    event_delay: float = 0.2
    """Time until a cache event can be read."""
    event_loss: float = 0.0
    """Probability that a cache event is lost."""
    load_delay: float = 0.2
    """Age of the load that is reported."""
    swap_time: float = 0.5
    """Time to load a weight version."""
    pauses_for_swap: bool = True
    """Whether generations pause while weights are loaded."""
    checks_fencing: bool = True
    """Whether orders with too low a fencing number are rejected."""
    median_tokens: float = 24.0
    length_sigma: float = 0.6
    """Standard deviation of the natural logarithm of the lengths."""
    seed: int = 0
    software: ids.SoftwareVersion = ids.SoftwareVersion('')
    """Version of the software that the engine states."""


class _Slot:
    """A generation that runs, and its output so far."""

    def __init__(self, generation: base.Generation) -> None:
        self.generation = generation
        self.text = generation.text
        self.position = generation.position
        self.cancelled = False


class StandInEngine(base.Engine):
    """An in-memory engine with fault injection.

    ``crashed`` makes calls and running generations fail, ``silent`` stops all
    progress without closing a connection, ``swap_fails`` makes weight loads
    fail, ``omit_versions`` leaves the weight version out of chunks, and
    ``slowdown`` is a factor of all times.
    """

    def __init__(
        self, name: str, settings: StandInEngineSettings | None = None
    ) -> None:
        self.name = name
        self.settings = settings or StandInEngineSettings()
        self.crashed = False
        self.silent = False
        self.swap_fails = False
        self.omit_versions = False
        self.slowdown = 1.0
        self.state = base.EngineState(
            weight_version=ids.WeightVersion(1),
            checks_fencing=self.settings.checks_fencing,
            software=self.settings.software,
        )
        self.started = 0
        self.generated_tokens = 0
        self.cached_blocks_hit = 0
        self.blocks_seen = 0
        self._running: dict[ids.RequestId, _Slot] = {}
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0
        self._kv_caches: dict[ids.RequestId, bytes] = {}
        self._block_cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, base.CacheEvent]] = (
            collections.deque(maxlen=_MAX_STORED_EVENTS)
        )
        self._next_event = 0
        self._load_reports: collections.deque[base.LoadReport] = (
            collections.deque(maxlen=256)
        )
        self._swap_task: asyncio.Task[None] | None = None
        self._random = random.Random(f'{name}/{self.settings.seed}')

    async def stream(
        self, generation: base.Generation, timeout: float
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        """Yields the chunks of a generation, see the base class.

        Ends after the first fault.
        """
        deadline = _now() + timeout
        refusal = self._find_refusal(generation)
        if refusal is not None:
            yield Error(refusal)
            return
        slot = _Slot(generation)
        if not await self._wait_for_slot(generation, deadline):
            yield Error(_fault(base.TargetFaultKind.TIMEOUT, 'while queued'))
            return
        self._running[generation.request_id] = slot
        self._record_load()
        self.started += 1
        try:
            async for outcome in self._generate(slot, deadline):
                yield outcome
        finally:
            self._release_slot(slot)

    async def cancel(
        self, request_id: ids.RequestId
    ) -> Result[None, base.TargetFault]:
        """Cancels a generation and saves its KV cache, if it runs."""
        if self.crashed:
            return Error(self._unreachable())
        slot = self._running.get(request_id)
        if slot is not None:
            slot.cancelled = True
            self._save_kv(slot)
        return Ok(None)

    async def read_load(self) -> Result[base.LoadReport, base.TargetFault]:
        """Returns the load as it was ``load_delay`` seconds ago."""
        if self.crashed:
            return Error(self._unreachable())
        await self._wait_while_silent()
        self._record_load()
        latest = _now() - self.settings.load_delay
        old = [
            report
            for report in self._load_reports
            if report.measured_at <= latest
        ]
        return Ok(old[-1] if old else self._load_reports[0])

    async def read_cache_events(
        self, offset: int
    ) -> Result[base.CacheEvents, base.TargetFault]:
        """Returns the cache events from ``offset`` on that can be read by now.

        Lost events leave gaps in the offsets.
        """
        if self.crashed:
            return Error(self._unreachable())
        await self._wait_while_silent()
        newest = _now() - self.settings.event_delay
        readable = [event for at, event in self._events if at <= newest]
        first = self._events[0][1].offset if self._events else 0
        after = readable[-1].offset + 1 if readable else first
        events = tuple(kept for kept in readable if kept.offset >= offset)
        return Ok(base.CacheEvents(events, first, after))

    async def read_state(self) -> Result[base.EngineState, base.TargetFault]:
        """Returns the versions, adapters and role of this engine."""
        if self.crashed:
            return Error(self._unreachable())
        await self._wait_while_silent()
        return Ok(self.state)

    async def send_order(
        self, order: base.Order
    ) -> Result[base.EngineState, base.TargetFault]:
        """Applies an order and returns the state.

        Fails when the fencing number is below the highest one seen so far.
        """
        if self.crashed:
            return Error(self._unreachable())
        await self._wait_while_silent()
        highest = self.state.fencing_number
        if self.settings.checks_fencing:
            if highest is not None and order.fencing_number < highest:
                detail = (
                    f'fencing number {order.fencing_number} is below {highest}'
                )
                return Error(
                    base.TargetFault(
                        base.TargetFaultKind.REJECTED,
                        detail,
                        sent=True,
                        status=409,
                    )
                )
            self._update_state(fencing_number=order.fencing_number)
        self._apply_order(order)
        return Ok(self.state)

    async def export_kv(
        self, request_id: ids.RequestId
    ) -> Result[bytes, base.TargetFault]:
        """Returns the KV cache of a generation; fails when there is none."""
        if self.crashed:
            return Error(self._unreachable())
        if request_id in self._running:
            self._save_kv(self._running[request_id])
        if request_id not in self._kv_caches:
            return Error(
                base.TargetFault(
                    base.TargetFaultKind.REJECTED,
                    f'no KV cache of {request_id}',
                    sent=True,
                    status=404,
                )
            )
        return Ok(self._kv_caches[request_id])

    async def import_kv(
        self, request_id: ids.RequestId, state: bytes
    ) -> Result[None, base.TargetFault]:
        """Stores a KV cache from which the generation can be resumed."""
        if self.crashed:
            return Error(self._unreachable())
        self._kv_caches[request_id] = state
        return Ok(None)

    def crash(self) -> None:
        """Fails every stream and later call, and drops the caches."""
        self.crashed = True
        self._block_cache.clear()
        self._kv_caches.clear()

    def restart(self) -> None:
        """Recovers with weight version 1, without cached blocks or events."""
        self.crashed = False
        self._events.clear()
        self._next_event = 0
        self.silent = False
        self.state = base.EngineState(
            weight_version=ids.WeightVersion(1),
            checks_fencing=self.settings.checks_fencing,
            software=self.settings.software,
        )

    def _find_refusal(
        self, generation: base.Generation
    ) -> base.TargetFault | None:
        if self.crashed:
            return self._unreachable()
        waiting = len(self._queue)
        full = len(self._running) >= self.settings.capacity
        if self.state.draining or (
            full and waiting >= self.settings.queue_length
        ):
            return base.TargetFault(
                base.TargetFaultKind.REFUSED,
                f'{self.name} is draining or full',
                sent=False,
                retry_after=0.1,
                status=503,
            )
        return None

    async def _wait_for_slot(
        self, generation: base.Generation, deadline: float
    ) -> bool:
        if len(self._running) < self.settings.capacity and not self._queue:
            return True
        slot_granted = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        entry = (-generation.priority, self._arrivals, slot_granted)
        self._queue.append(entry)
        self._queue.sort(key=lambda queued: queued[:2])
        try:
            await asyncio.wait_for(slot_granted, max(0.0, deadline - _now()))
        except TimeoutError:
            return False
        finally:
            if entry in self._queue:
                self._queue.remove(entry)
        return True

    def _release_slot(self, slot: _Slot) -> None:
        if self._running.get(slot.generation.request_id) is slot:
            del self._running[slot.generation.request_id]
        self._record_load()
        free = self.settings.capacity - len(self._running)
        for _, _, slot_granted in self._queue[: max(0, free)]:
            if not slot_granted.done():
                slot_granted.set_result(None)

    async def _generate(
        self, slot: _Slot, deadline: float
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        generation = slot.generation
        await self._prefill(generation)
        total, finish = self._choose_length(generation)
        while True:
            count = min(self.settings.chunk_tokens, total - slot.position)
            await self._wait_for_tokens(count)
            if self.crashed:
                yield Error(
                    _fault(base.TargetFaultKind.BROKEN, 'engine crashed')
                )
                return
            if slot.cancelled:
                yield Error(
                    _fault(base.TargetFaultKind.CANCELLED, 'on request')
                )
                return
            if _now() > deadline:
                yield Error(
                    _fault(base.TargetFaultKind.TIMEOUT, 'while running')
                )
                return
            text = self._make_text(generation, slot.position, count)
            start = slot.position
            slot.position += count
            slot.text += text
            self.generated_tokens += count
            last = slot.position >= total
            version = self.state.weight_version
            yield Ok(
                base.Chunk(
                    position=start,
                    tokens=count,
                    text=text,
                    weight_version=None if self.omit_versions else version,
                    finish_reason=finish if last else None,
                    software=self.state.software,
                )
            )
            if last:
                return

    async def _prefill(self, generation: base.Generation) -> None:
        blocks = prefixes.hash_blocks(generation.prompt + generation.text)
        if generation.request_id in self._kv_caches:
            missing: list[int] = []
        else:
            missing = [
                digest for digest in blocks if digest not in self._block_cache
            ]
        self.blocks_seen += len(blocks)
        self.cached_blocks_hit += len(blocks) - len(missing)
        for block in blocks:
            self._cache_block(block)
        delay = len(missing) * self.settings.prefill_time * self.slowdown
        if delay:
            await asyncio.sleep(delay)
        await self._wait_while_silent()

    async def _wait_for_tokens(self, tokens: int) -> None:
        occupancy = len(self._running) / self.settings.capacity
        token_time = self.settings.token_time * (
            1 + self.settings.full_load_slowdown * occupancy
        )
        await asyncio.sleep(tokens * token_time * self.slowdown)
        await self._wait_for_swap()
        await self._wait_while_silent()

    async def _wait_while_silent(self) -> None:
        while self.silent and not self.crashed:
            await asyncio.sleep(0.05)

    async def _wait_for_swap(self) -> None:
        swap = self._swap_task
        if swap is not None and self.settings.pauses_for_swap:
            await asyncio.wait([swap])

    def _choose_length(
        self, generation: base.Generation
    ) -> tuple[int, base.FinishReason]:
        key = f'{self.settings.seed}/{generation.request_id}'
        rng = random.Random(key + generation.prompt)
        settings = self.settings
        drawn = rng.lognormvariate(
            math.log(settings.median_tokens), settings.length_sigma
        )
        length = max(1, round(drawn))
        if length > generation.max_tokens:
            total = max(generation.max_tokens, generation.position + 1)
            return total, base.FinishReason.LENGTH
        return max(length, generation.position + 1), base.FinishReason.STOP

    def _make_text(
        self, generation: base.Generation, start: int, count: int
    ) -> str:
        words = []
        for position in range(start, start + count):
            if position == 0:
                words.append(generation.prompt[-_ECHOED_CHARACTERS:])
            else:
                words.append(f' w{position}')
        return ''.join(words)

    def _cache_block(self, block: int) -> None:
        if block in self._block_cache:
            self._block_cache.move_to_end(block)
            return
        self._block_cache[block] = None
        self._publish_event(base.CacheEventKind.STORED, block)
        while len(self._block_cache) > self.settings.cache_blocks:
            oldest, _ = self._block_cache.popitem(last=False)
            self._publish_event(base.CacheEventKind.REMOVED, oldest)

    def _publish_event(self, kind: base.CacheEventKind, block: int) -> None:
        event = base.CacheEvent(self._next_event, kind, block)
        self._next_event += 1
        if self._random.random() >= self.settings.event_loss:
            self._events.append((_now(), event))

    def _record_load(self) -> None:
        self._load_reports.append(
            base.LoadReport(
                running=len(self._running),
                waiting=len(self._queue),
                capacity=self.settings.capacity,
                measured_at=_now(),
                cache_used=len(self._block_cache) / self.settings.cache_blocks,
            )
        )

    def _save_kv(self, slot: _Slot) -> None:
        state = f'{slot.position}:{slot.text}'.encode()
        self._kv_caches[slot.generation.request_id] = state

    def _apply_order(self, order: base.Order) -> None:
        match order.kind:
            case base.OrderKind.DRAIN:
                self._update_state(draining=order.value == 'on')
            case base.OrderKind.SET_ROLE:
                self._update_state(role=order.value)
            case base.OrderKind.LOAD_ADAPTER:
                loaded = {*self.state.adapters, order.value or ''}
                self._update_state(adapters=tuple(sorted(loaded)))
            case base.OrderKind.LOAD_VERSION:
                self._start_swap(order.weight_version)

    def _start_swap(self, version: ids.WeightVersion | None) -> None:
        if version in (self.state.weight_version, self.state.loading):
            return
        if self._swap_task is not None:
            self._swap_task.cancel()
        self._update_state(loading=version, last_error=None)
        self._swap_task = asyncio.get_running_loop().create_task(
            self._load_weights(version)
        )

    async def _load_weights(self, version: ids.WeightVersion | None) -> None:
        await asyncio.sleep(self.settings.swap_time * self.slowdown)
        if self.crashed:
            return
        if self.swap_fails:
            self._update_state(
                loading=None, last_error=f'cannot load {version}'
            )
            return
        self._update_state(loading=None, weight_version=version)
        self._block_cache.clear()
        self._publish_event(base.CacheEventKind.CLEARED, 0)

    def _update_state(self, **changes: object) -> None:
        self.state = msgspec.structs.replace(self.state, **changes)

    def _unreachable(self) -> base.TargetFault:
        return base.TargetFault(
            base.TargetFaultKind.UNREACHABLE,
            f'{self.name} has crashed',
            sent=False,
        )


def _fault(kind: base.TargetFaultKind, detail: str) -> base.TargetFault:
    return base.TargetFault(kind, detail, sent=True)


def _now() -> float:
    return asyncio.get_running_loop().time()
