"""Open-loop load of completion requests on in-memory engines."""

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
    'AdmissionClient',
    'Client',
    'LeastLoadedClient',
    'RequestResult',
    'RoundRobinClient',
    'TrafficResults',
    'generate_load',
    'make_work',
    'merge_results',
]

_MAX_ATTEMPTS = 3
_MAX_TOKENS = 4096
_LIVE_PRIORITY = 1
"""Priority of live calls at an engine; rollouts have priority 0."""
_PROGRESS_TIMEOUT_S = 3.0
"""Longest wait for the next chunk of a stream."""


class RequestResult(msgspec.Struct, frozen=True):
    """Outcome of one request; times in seconds of the loop's clock."""

    work: model.Work
    started: float
    ended: float
    answered: bool
    refused: bool = False


class TrafficResults:
    """Outcomes of the requests of one run."""

    def __init__(self) -> None:
        self.requests: list[RequestResult] = []

    def select(
        self, work_class: model.WorkClass | None = None
    ) -> list[RequestResult]:
        """Returns the outcomes of ``work_class``, or all without one."""
        return [
            request
            for request in self.requests
            if work_class in (None, request.work.work_class)
        ]

    def compute_latency(self, share: float) -> float:
        """Returns the time in seconds within which ``share`` were answered.

        Requests without an answer count with the time until their deadline.
        """
        times = sorted(
            (request.ended if request.answered else request.work.deadline)
            - request.started
            for request in self.requests
        )
        return times[min(len(times) - 1, int(share * len(times)))]

    def count_useful(
        self,
        work_class: model.WorkClass | None = None,
        until: float = math.inf,
    ) -> int:
        """Returns the number answered before their deadline and ``until``."""
        return sum(
            request.answered
            and request.ended <= min(until, request.work.deadline)
            for request in self.select(work_class)
        )


def merge_results(all_results: Iterable[TrafficResults]) -> TrafficResults:
    """Returns the outcomes of several runs as one."""
    merged = TrafficResults()
    for results in all_results:
        merged.requests += results.requests
    return merged


class Client(abc.ABC):
    """Sends a request to engines, with retries."""

    def __init__(self, node_fixture: fixture.Fixture) -> None:
        self.fixture = node_fixture

    @abc.abstractmethod
    async def run(self, work: model.Work, prompt: str) -> tuple[bool, bool]:
        """Returns whether it was answered whole, and whether refused."""


class AdmissionClient(Client):
    """Asks admission for a target; retries failed and preempted requests."""

    async def run(self, work: model.Work, prompt: str) -> tuple[bool, bool]:
        """Returns whether it was answered whole, and whether refused."""
        generation = _make_generation(work, prompt)
        failures = 0
        while failures < _MAX_ATTEMPTS:
            outcome = await self.fixture.gate.acquire(work)
            if outcome.is_error():
                return False, not failures
            grant = outcome.ok
            generation, fault = await _stream(
                grant.target.engine, generation, work, grant.preempted
            )
            preempted = grant.preempted.is_set()
            grant.finish(fault)
            if fault is None:
                return True, False
            if not preempted:
                failures += 1
                work = msgspec.structs.replace(
                    work, excluded=work.excluded | {grant.target.name}
                )
        return False, False


class RoundRobinClient(Client):
    """Baseline: engines in round-robin order, no limits, retries elsewhere."""

    def __init__(self, node_fixture: fixture.Fixture) -> None:
        super().__init__(node_fixture)
        self._turn = 0

    async def run(self, work: model.Work, prompt: str) -> tuple[bool, bool]:
        """Returns whether it was answered whole, and whether refused."""
        generation = _make_generation(work, prompt)
        for attempt in range(_MAX_ATTEMPTS):
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


class LeastLoadedClient(RoundRobinClient):
    """Baseline: the engine with the fewest requests in progress here."""

    def choose(self) -> table.Target:
        """Returns an engine with the fewest requests, drawn at random."""
        targets = list(self.fixture.targets)
        self.fixture.rng.shuffle(targets)
        return min(targets, key=lambda target: target.in_progress)


def _make_generation(work: model.Work, prompt: str) -> base.Generation:
    is_live = work.work_class is model.WorkClass.LIVE
    return base.Generation(
        work.request_id, prompt, _MAX_TOKENS, _LIVE_PRIORITY if is_live else 0
    )


async def _stream(
    engine: base.Engine,
    generation: base.Generation,
    work: model.Work,
    preempted: asyncio.Event | None = None,
) -> tuple[base.Generation, base.TargetFault | None]:
    """Returns the generation with its text so far, and why it ended early.

    The fault is ``None`` if the stream ended with a finish reason.
    """
    timeout = work.deadline - asyncio.get_running_loop().time()
    if timeout <= 0.0:
        kind = base.TargetFaultKind.TIMEOUT
        return generation, base.TargetFault(
            kind, 'the deadline has passed', sent=True
        )
    stream = engine.stream(generation, timeout)
    async with contextlib.aclosing(stream):
        while True:
            outcome = await _read_next_chunk(stream)
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
            if preempted is not None and preempted.is_set():
                break
    kind = base.TargetFaultKind.CANCELLED
    return generation, base.TargetFault(kind, 'preempted', sent=True)


async def _read_next_chunk(stream) -> Result[base.Chunk, base.TargetFault]:
    try:
        return await asyncio.wait_for(anext(stream), _PROGRESS_TIMEOUT_S)
    except TimeoutError:
        kind = base.TargetFaultKind.SILENT
        return Error(
            base.TargetFault(kind, 'no chunk within the timeout', sent=True)
        )


async def generate_load(
    client: Client,
    sources,
    seconds: float,
    rng: random.Random,
) -> TrafficResults:
    """Sends requests for ``seconds`` and returns how they ended.

    Each of ``sources`` is a pair: a rate in requests a second, at which the
    requests arrive as a Poisson process, and a function that makes the work
    and the prompt from the number of the request and the time.
    """
    results = TrafficResults()
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()

    async def run(work: model.Work, prompt: str) -> None:
        started = loop.time()
        timeout = work.deadline - started + 1.0
        answered, refused = False, False
        with contextlib.suppress(TimeoutError):
            answered, refused = await asyncio.wait_for(
                client.run(work, prompt), timeout
            )
        results.requests.append(
            RequestResult(work, started, loop.time(), answered, refused)
        )

    async def send(rate: float, make_request) -> None:
        end = loop.time() + seconds
        number = 0
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            work, prompt = make_request(number, loop.time())
            task = loop.create_task(run(work, prompt))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    await asyncio.gather(
        *(send(rate, make_request) for rate, make_request in sources)
    )
    while tasks:
        await asyncio.sleep(0.1)
    return results


def make_work(
    name: str,
    work_class: model.WorkClass,
    owner: str,
    deadline: float,
    blocks: tuple[int, ...] = (),
) -> model.Work:
    """Returns the work of one request to the fixture's pool."""
    return model.Work(
        request_id=ids.RequestId(name),
        group='pool',
        owner=owner,
        work_class=work_class,
        deadline=deadline,
        blocks=blocks,
    )
