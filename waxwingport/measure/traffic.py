"""Open-loop traffic of completions on in-memory engines."""

import abc
import asyncio
from collections.abc import Iterable
import contextlib
import math
import random

from expression import Error
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.measure import fixture
from waxwingport.routing import model
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = [
    'Answered',
    'Client',
    'GatedClient',
    'LeastLoadedClient',
    'StraightClient',
    'Tally',
    'drive',
    'make_work',
    'merge',
]

_ATTEMPTS = 3
_MAX_TOKENS = 4096
_LIVE_RANK = 1
"""Priority of live calls at an engine."""
_PROGRESS_TIMEOUT = 3.0
"""Seconds, for the next chunk of a stream."""


class Answered(msgspec.Struct, frozen=True):
    """How one request ended; times in seconds of the loop's clock."""

    work: model.Work
    started: float
    ended: float
    answered: bool
    refused: bool = False


class Tally:
    """Ends of requests."""

    def __init__(self) -> None:
        self.rows: list[Answered] = []

    def select(
        self, work_class: model.WorkClass | None = None
    ) -> list[Answered]:
        """Returns the ends, of one class or of all."""
        return [
            row
            for row in self.rows
            if work_class in (None, row.work.work_class)
        ]

    def read_latency(self, share: float) -> float:
        """Returns the time in seconds within which ``share`` were answered.

        Requests without an answer count with their whole timeout.
        """
        times = sorted(
            (row.ended if row.answered else row.work.deadline) - row.started
            for row in self.rows
        )
        return times[min(len(times) - 1, int(share * len(times)))]

    def count_useful(
        self,
        work_class: model.WorkClass | None = None,
        until: float = math.inf,
    ) -> int:
        """Returns how many were answered in time, up to a time."""
        return sum(
            row.answered and row.ended <= min(until, row.work.deadline)
            for row in self.select(work_class)
        )


def merge(tallies: Iterable[Tally]) -> Tally:
    """Returns the ends of all tallies together."""
    merged = Tally()
    for tally in tallies:
        merged.rows += tally.rows
    return merged


class Client(abc.ABC):
    """Runs one request to its end."""

    def __init__(self, found: fixture.Fixture) -> None:
        self.fixture = found

    @abc.abstractmethod
    async def run(self, work: model.Work, prompt: str) -> tuple[bool, bool]:
        """Returns whether it was answered whole, and whether refused."""


class GatedClient(Client):
    """Goes by admission, and again after what may be repeated."""

    async def run(self, work: model.Work, prompt: str) -> tuple[bool, bool]:
        """Returns whether it was answered whole, and whether refused."""
        generation = _plan(work, prompt)
        failed = 0
        while failed < _ATTEMPTS:
            outcome = await self.fixture.gate.acquire(work)
            if outcome.is_error():
                return False, not failed
            grant = outcome.ok
            generation, fault = await _stream(
                grant.target.engine, generation, work, grant.preempted
            )
            preempted = grant.preempted.is_set()
            grant.finish(fault)
            if fault is None:
                return True, False
            if not preempted:
                failed += 1
                work = msgspec.structs.replace(
                    work, excluded=work.excluded | {grant.target.name}
                )
        return False, False


class StraightClient(Client):
    """Naive baseline: engines in turn, no limits, tried again elsewhere."""

    def __init__(self, found: fixture.Fixture) -> None:
        super().__init__(found)
        self._turn = 0

    async def run(self, work: model.Work, prompt: str) -> tuple[bool, bool]:
        """Returns whether it was answered whole, and whether refused."""
        generation = _plan(work, prompt)
        for attempt in range(_ATTEMPTS):
            target = self.choose()
            target.start_request()
            generation, fault = await _stream(target.engine, generation, work)
            target.finish_request()
            if fault is None:
                return True, False
            if not fault.sent:
                return False, not attempt
        return False, False

    def choose(self) -> table.Target:
        """Returns the next engine."""
        targets = list(self.fixture.targets)
        self._turn += 1
        return targets[self._turn % len(targets)]


class LeastLoadedClient(StraightClient):
    """Baseline: the engine with the fewest requests of this node."""

    def choose(self) -> table.Target:
        """Returns one of the engines with the fewest requests."""
        targets = list(self.fixture.targets)
        self.fixture.rng.shuffle(targets)
        return min(targets, key=lambda row: row.in_progress)


def _plan(work: model.Work, prompt: str) -> base.Generation:
    live = work.work_class is model.WorkClass.LIVE
    return base.Generation(
        work.request_id, prompt, _MAX_TOKENS, _LIVE_RANK if live else 0
    )


async def _stream(
    engine: base.Engine,
    generation: base.Generation,
    work: model.Work,
    stop: asyncio.Event | None = None,
) -> tuple[base.Generation, base.TargetFault | None]:
    """Returns the generation as far as it came, and why it ended early."""
    timeout = work.deadline - asyncio.get_running_loop().time()
    if timeout <= 0.0:
        kind = base.TargetFaultKind.TIMEOUT
        return generation, base.TargetFault(kind, 'too late', sent=True)
    stream = engine.stream(generation, timeout)
    async with contextlib.aclosing(stream):
        while True:
            outcome = await _next(stream)
            match outcome:
                case Result(tag='ok', ok=chunk):
                    generation = msgspec.structs.replace(
                        generation,
                        text=generation.text + chunk.text,
                        position=chunk.position + chunk.tokens,
                    )
                    if chunk.finish_reason is not None:
                        return generation, None
                case Result(error=fault):
                    return generation, fault
            if stop is not None and stop.is_set():
                break
    kind = base.TargetFaultKind.CANCELLED
    return generation, base.TargetFault(kind, 'preempted', sent=True)


async def _next(stream) -> Result[base.Chunk, base.TargetFault]:
    try:
        return await asyncio.wait_for(anext(stream), _PROGRESS_TIMEOUT)
    except TimeoutError:
        kind = base.TargetFaultKind.SILENT
        return Error(base.TargetFault(kind, 'no progress', sent=True))


async def drive(
    client: Client,
    makers,
    seconds: float,
    rng: random.Random,
) -> Tally:
    """Sends requests at random times and returns how they ended.

    ``makers`` are pairs of a rate in requests a second and a function that
    makes the work and the prompt of request ``number`` at a time.
    """
    tally = Tally()
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()

    async def run(work: model.Work, prompt: str) -> None:
        started = loop.time()
        patience = work.deadline - started + 1.0
        answered, refused = False, False
        with contextlib.suppress(TimeoutError):
            answered, refused = await asyncio.wait_for(
                client.run(work, prompt), patience
            )
        tally.rows.append(
            Answered(work, started, loop.time(), answered, refused)
        )

    async def send(rate: float, make) -> None:
        end = loop.time() + seconds
        number = 0
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            work, prompt = make(number, loop.time())
            task = loop.create_task(run(work, prompt))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    await asyncio.gather(*(send(rate, make) for rate, make in makers))
    while tasks:
        await asyncio.sleep(0.1)
    return tally


def make_work(
    name: str,
    work_class: model.WorkClass,
    owner: str,
    deadline: float,
    blocks: tuple[int, ...] = (),
) -> model.Work:
    """Returns the work of one request to the pool."""
    return model.Work(
        request_id=ids.RequestId(name),
        group='pool',
        owner=owner,
        work_class=work_class,
        deadline=deadline,
        blocks=blocks,
    )
