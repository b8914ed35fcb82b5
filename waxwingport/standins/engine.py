"""Stand-in of a model engine that batches continuously.

Generated text starts with the end of the prompt, so that a mixed-up answer
shows.  The length of a generation depends only on the prompt, the request id
and the seed, so that a resumed one ends where the first would have.
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
_EVENTS_HELD = 4096


class StandInEngineSettings(msgspec.Struct, frozen=True):
    """Speed and limits of a stand-in engine; times in seconds."""

    capacity: int = 16
    """Generations that run at the same time."""
    queue_length: int = 64
    token_time: float = 0.002
    """Between two tokens of one generation when the engine is idle."""
    full_load_slowdown: float = 1.0
    """Added share of ``token_time`` when every slot is taken."""
    prefill_time: float = 0.0005
    """For each block of the prompt that is not cached."""
    chunk_tokens: int = 4
    cache_blocks: int = 1024
    event_delay: float = 0.2
    event_loss: float = 0.0
    load_delay: float = 0.2
    swap_time: float = 0.5
    pauses_for_swap: bool = True
    """Whether generations stand still while weights are loaded."""
    checks_fencing: bool = True
    median_tokens: float = 24.0
    length_sigma: float = 0.6
    """Standard deviation of the logarithm of generated lengths."""
    seed: int = 0


class _Slot:
    def __init__(self, generation: base.Generation) -> None:
        self.generation = generation
        self.text = generation.text
        self.position = generation.position
        self.cancelled = False


class StandInEngine(base.Engine):
    """An engine in memory, with switches for its faults.

    ``crashed`` refuses and breaks everything, ``silent`` stops all progress
    without closing, ``swap_fails`` makes weight loads fail, ``omit_versions``
    leaves the weight version out of chunks, ``slowdown`` multiplies times.
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
        )
        self.started = 0
        self.generated_tokens = 0
        self.cached_blocks_hit = 0
        self.blocks_seen = 0
        self._running: dict[ids.RequestId, _Slot] = {}
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._order = 0
        self._kv: dict[ids.RequestId, bytes] = {}
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, base.CacheEvent]] = (
            collections.deque(maxlen=_EVENTS_HELD)
        )
        self._next_event = 0
        self._loads: collections.deque[base.LoadReport] = collections.deque(
            maxlen=256
        )
        self._swap: asyncio.Task[None] | None = None
        self._random = random.Random(f'{name}/{self.settings.seed}')

    async def stream(
        self, generation: base.Generation, timeout: float
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        """Yields the chunks of a generation, see the base class."""
        deadline = _now() + timeout
        refusal = self._refuse(generation)
        if refusal is not None:
            yield Error(refusal)
            return
        slot = _Slot(generation)
        if not await self._enter(generation, deadline):
            yield Error(_fault(base.TargetFaultKind.TIMEOUT, 'queued'))
            return
        self._running[generation.request_id] = slot
        self._note_load()
        self.started += 1
        try:
            async for outcome in self._generate(slot, deadline):
                yield outcome
        finally:
            self._leave(slot)

    async def cancel(
        self, request_id: ids.RequestId
    ) -> Result[None, base.TargetFault]:
        """Cancels a running generation."""
        if self.crashed:
            return Error(self._unreachable())
        slot = self._running.get(request_id)
        if slot is not None:
            slot.cancelled = True
            self._save_kv(slot)
        return Ok(None)

    async def read_load(self) -> Result[base.LoadReport, base.TargetFault]:
        """Returns the load as it was ``load_delay`` ago."""
        if self.crashed:
            return Error(self._unreachable())
        await self._stall()
        self._note_load()
        latest = _now() - self.settings.load_delay
        old = [row for row in self._loads if row.measured_at <= latest]
        return Ok(old[-1] if old else self._loads[0])

    async def read_cache_events(
        self, offset: int
    ) -> Result[base.CacheEvents, base.TargetFault]:
        """Returns the events published by now, with their gaps."""
        if self.crashed:
            return Error(self._unreachable())
        await self._stall()
        due = _now() - self.settings.event_delay
        known = [event for at, event in self._events if at <= due]
        first = self._events[0][1].offset if self._events else 0
        after = known[-1].offset + 1 if known else first
        events = tuple(row for row in known if row.offset >= offset)
        return Ok(base.CacheEvents(events, first, after))

    async def read_state(self) -> Result[base.EngineState, base.TargetFault]:
        """Returns the versions and role of this engine."""
        if self.crashed:
            return Error(self._unreachable())
        await self._stall()
        return Ok(self.state)

    async def send_order(
        self, order: base.Order
    ) -> Result[base.EngineState, base.TargetFault]:
        """Follows an order unless its fencing number is too low."""
        if self.crashed:
            return Error(self._unreachable())
        await self._stall()
        seen = self.state.fencing_number
        if self.settings.checks_fencing:
            if seen is not None and order.fencing_number < seen:
                detail = (
                    f'fencing number {order.fencing_number} is below {seen}'
                )
                return Error(
                    base.TargetFault(
                        base.TargetFaultKind.REJECTED,
                        detail,
                        sent=True,
                        status=409,
                    )
                )
            self._set(fencing_number=order.fencing_number)
        self._follow(order)
        return Ok(self.state)

    async def export_kv(
        self, request_id: ids.RequestId
    ) -> Result[bytes, base.TargetFault]:
        """Returns the KV cache of a generation."""
        if self.crashed:
            return Error(self._unreachable())
        if request_id in self._running:
            self._save_kv(self._running[request_id])
        if request_id not in self._kv:
            return Error(
                base.TargetFault(
                    base.TargetFaultKind.REJECTED,
                    f'no KV cache of {request_id}',
                    sent=True,
                    status=404,
                )
            )
        return Ok(self._kv[request_id])

    async def import_kv(
        self, request_id: ids.RequestId, state: bytes
    ) -> Result[None, base.TargetFault]:
        """Takes a KV cache to resume a generation from."""
        if self.crashed:
            return Error(self._unreachable())
        self._kv[request_id] = state
        return Ok(None)

    def crash(self) -> None:
        """Breaks every stream, forgets the cache and refuses from now on."""
        self.crashed = True
        self._cache.clear()
        self._kv.clear()

    def restart(self) -> None:
        """Comes back with version 1, an empty cache and no cache events."""
        self.crashed = False
        self._events.clear()
        self._next_event = 0
        self.silent = False
        self.state = base.EngineState(
            weight_version=ids.WeightVersion(1),
            checks_fencing=self.settings.checks_fencing,
        )

    def _refuse(self, generation: base.Generation) -> base.TargetFault | None:
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

    async def _enter(
        self, generation: base.Generation, deadline: float
    ) -> bool:
        if len(self._running) < self.settings.capacity and not self._queue:
            return True
        turn = asyncio.get_running_loop().create_future()
        self._order += 1
        entry = (-generation.priority, self._order, turn)
        self._queue.append(entry)
        self._queue.sort(key=lambda row: row[:2])
        try:
            await asyncio.wait_for(turn, max(0.0, deadline - _now()))
        except TimeoutError:
            return False
        finally:
            if entry in self._queue:
                self._queue.remove(entry)
        return True

    def _leave(self, slot: _Slot) -> None:
        if self._running.get(slot.generation.request_id) is slot:
            del self._running[slot.generation.request_id]
        self._note_load()
        free = self.settings.capacity - len(self._running)
        for _, _, turn in self._queue[: max(0, free)]:
            if not turn.done():
                turn.set_result(None)

    async def _generate(
        self, slot: _Slot, deadline: float
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        generation = slot.generation
        await self._prefill(generation)
        total, finish = self._plan_length(generation)
        while True:
            count = min(self.settings.chunk_tokens, total - slot.position)
            await self._pace(count)
            if self.crashed:
                yield Error(_fault(base.TargetFaultKind.BROKEN, 'crashed'))
                return
            if slot.cancelled:
                yield Error(_fault(base.TargetFaultKind.CANCELLED, 'asked'))
                return
            if _now() > deadline:
                yield Error(_fault(base.TargetFaultKind.TIMEOUT, 'running'))
                return
            text = self._write(generation, slot.position, count)
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
                )
            )
            if last:
                return

    async def _prefill(self, generation: base.Generation) -> None:
        blocks = prefixes.hash_blocks(generation.prompt + generation.text)
        if generation.request_id in self._kv:
            missing: list[int] = []
        else:
            missing = [row for row in blocks if row not in self._cache]
        self.blocks_seen += len(blocks)
        self.cached_blocks_hit += len(blocks) - len(missing)
        for block in blocks:
            self._store(block)
        delay = len(missing) * self.settings.prefill_time * self.slowdown
        if delay:
            await asyncio.sleep(delay)
        await self._stall()

    async def _pace(self, tokens: int) -> None:
        used = len(self._running) / self.settings.capacity
        pace = self.settings.token_time * (
            1 + self.settings.full_load_slowdown * used
        )
        await asyncio.sleep(tokens * pace * self.slowdown)
        await self._wait_for_swap()
        await self._stall()

    async def _stall(self) -> None:
        while self.silent and not self.crashed:
            await asyncio.sleep(0.05)

    async def _wait_for_swap(self) -> None:
        swap = self._swap
        if swap is not None and self.settings.pauses_for_swap:
            await asyncio.wait([swap])

    def _plan_length(
        self, generation: base.Generation
    ) -> tuple[int, base.FinishReason]:
        key = f'{self.settings.seed}/{generation.request_id}'
        rng = random.Random(key + generation.prompt)
        settings = self.settings
        drawn = rng.lognormvariate(
            math.log(settings.median_tokens), settings.length_sigma
        )
        wanted = max(1, round(drawn))
        if wanted > generation.max_tokens:
            total = max(generation.max_tokens, generation.position + 1)
            return total, base.FinishReason.LENGTH
        return max(wanted, generation.position + 1), base.FinishReason.STOP

    def _write(
        self, generation: base.Generation, start: int, count: int
    ) -> str:
        words = []
        for position in range(start, start + count):
            if position == 0:
                words.append(generation.prompt[-_ECHOED_CHARACTERS:])
            else:
                words.append(f' w{position}')
        return ''.join(words)

    def _store(self, block: int) -> None:
        if block in self._cache:
            self._cache.move_to_end(block)
            return
        self._cache[block] = None
        self._publish(base.CacheEventKind.STORED, block)
        while len(self._cache) > self.settings.cache_blocks:
            oldest, _ = self._cache.popitem(last=False)
            self._publish(base.CacheEventKind.REMOVED, oldest)

    def _publish(self, kind: base.CacheEventKind, block: int) -> None:
        event = base.CacheEvent(self._next_event, kind, block)
        self._next_event += 1
        if self._random.random() >= self.settings.event_loss:
            self._events.append((_now(), event))

    def _note_load(self) -> None:
        self._loads.append(
            base.LoadReport(
                running=len(self._running),
                waiting=len(self._queue),
                capacity=self.settings.capacity,
                measured_at=_now(),
                cache_used=len(self._cache) / self.settings.cache_blocks,
            )
        )

    def _save_kv(self, slot: _Slot) -> None:
        state = f'{slot.position}:{slot.text}'.encode()
        self._kv[slot.generation.request_id] = state

    def _follow(self, order: base.Order) -> None:
        match order.kind:
            case base.OrderKind.DRAIN:
                self._set(draining=order.value == 'on')
            case base.OrderKind.SET_ROLE:
                self._set(role=order.value)
            case base.OrderKind.LOAD_ADAPTER:
                loaded = {*self.state.adapters, order.value or ''}
                self._set(adapters=tuple(sorted(loaded)))
            case base.OrderKind.LOAD_VERSION:
                self._start_swap(order.weight_version)

    def _start_swap(self, version: ids.WeightVersion | None) -> None:
        if version in (self.state.weight_version, self.state.loading):
            return
        if self._swap is not None:
            self._swap.cancel()
        self._set(loading=version, last_error=None)
        self._swap = asyncio.get_running_loop().create_task(
            self._load(version)
        )

    async def _load(self, version: ids.WeightVersion | None) -> None:
        await asyncio.sleep(self.settings.swap_time * self.slowdown)
        if self.crashed:
            return
        if self.swap_fails:
            self._set(loading=None, last_error=f'cannot load {version}')
            return
        self._set(loading=None, weight_version=version)
        self._cache.clear()
        self._publish(base.CacheEventKind.CLEARED, 0)

    def _set(self, **changes: object) -> None:
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
