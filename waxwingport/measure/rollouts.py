"""A deployment's trainer and engines in virtual time, served in two ways.

``Scene`` runs the collectors, admission and weight placement of a node.
``NaiveScene`` sends samples first come first served, swaps all engines at
once and hedges nothing.  Engines, weight store and trainer are the same.
"""

import abc
import asyncio
import contextlib
import itertools
import random

from expression import Ok
from expression import Result
import msgspec

from waxwingport import client
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.leases import base as leases
from waxwingport.limits import admission
from waxwingport.membership import base as membership
from waxwingport import metrics
from waxwingport.outside import base as platform
from waxwingport.samples import bitmap
from waxwingport.samples import collectors
from waxwingport.samples import generation
from waxwingport.samples import ledger
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport import settings
from waxwingport.standins import engine
from waxwingport.standins import platform as standin_platform
from waxwingport.standins import services
from waxwingport.standins import trainer
from waxwingport.targets import base
from waxwingport.targets import table
from waxwingport.trial import deployments
from waxwingport.weights import controller
from waxwingport.weights import versions

__all__ = ['Conditions', 'NaiveScene', 'Scene']

_POLL_INTERVAL = 0.25
_STORE_RATE = 2
_SWAP_TIME = 0.3
_RETRY_DELAY = 0.2
_CRASH_INTERVAL = 60.0
_CRASH_TIME = 20.0
_CUT_FROM = 40.0
_CUT_TIME = 90.0


class Conditions(msgspec.Struct, frozen=True):
    """What a run goes through; ``spread`` is that of sample lengths."""

    deployment: deployments.Deployment
    steps: int
    seed: int
    spread: float = 0.5
    slow_engine: float = 1.0
    """How many times slower one engine is."""
    crashes: bool = False
    log_down: bool = False
    cut_off: bool = False
    groups: int = 16
    samples: int = 8
    train_time: float = 18.0


class _StoreBoundEngine(engine.StandInEngine):
    """An engine whose loads wait for the rate-limited weight store."""

    store: asyncio.Semaphore

    async def _load(self, version: ids.WeightVersion | None) -> None:
        async with self.store:
            await super()._load(version)


class _Fleet(table.TargetFactory):
    """The engines of a deployment."""

    def __init__(self, conditions: Conditions) -> None:
        self.deployment = conditions.deployment
        self.engines: dict[str, _StoreBoundEngine] = {}
        self.scoring = services.StandInScoringService()
        store = asyncio.Semaphore(_STORE_RATE)
        configured = engine.StandInEngineSettings(
            queue_length=100_000,
            token_time=0.02,
            chunk_tokens=32,
            swap_time=_SWAP_TIME,
            median_tokens=250.0,
            length_sigma=conditions.spread,
            seed=conditions.seed,
        )
        for index in range(self.deployment.engine_count):
            name = f'{self.deployment.model}-{index + 1}'
            made = _StoreBoundEngine(name, configured)
            made.store = store
            self.engines[name] = made
        first = next(iter(self.engines.values()))
        first.slowdown = conditions.slow_engine

    def make_engine(self, vm: platform.Vm) -> base.Engine:
        """Returns the engine on ``vm``."""
        return self.engines[vm.name]

    def make_service(self, vm: platform.Vm) -> base.Service:
        """Fails: there are no plain services here."""
        raise AssertionError(vm.name)

    def make_scoring(self, vm: platform.Vm) -> base.ScoringService:
        """Returns the scoring service."""
        return self.scoring

    def list_vms(self) -> list[platform.Vm]:
        """Returns the engines and the scoring service as VMs."""
        centres = itertools.cycle(self.deployment.data_centres)
        labels = {'model': self.deployment.model}
        rows = [
            platform.Vm(
                name,
                platform.VmKind.ENGINE,
                next(centres),
                name,
                labels=labels,
            )
            for name in self.engines
        ]
        centre = self.deployment.data_centres[0]
        name = f'{self.deployment.scoring}-1'
        scoring = platform.VmKind.SCORING
        return [*rows, platform.Vm(name, scoring, centre, name)]


class _Run(abc.ABC):
    """A trainer and its engines; ``run`` it once."""

    def __init__(self, conditions: Conditions) -> None:
        self.conditions = conditions
        self.rng = random.Random(conditions.seed)
        self.fleet = _Fleet(conditions)
        self.declared = deployments.read_declarations(conditions.deployment)
        self.declaration = self.declared.find_trainer(
            conditions.deployment.trainer
        )
        bound = self.declaration.staleness_bound
        link = client.TrainerClient(
            'node',
            self.declaration.name,
            transport=_DirectTransport(self),
            rng=self.rng,
        )
        self.trainer = trainer.StandInTrainer(
            link,
            trainer.StandInTrainerSettings(
                groups_per_step=conditions.groups,
                samples_per_group=conditions.samples,
                train_time=conditions.train_time,
                steps_ahead=bound,
                staleness_bound=bound,
            ),
        )
        self.latest = ids.WeightVersion(1)
        self.swap_times: list[float] = []
        self.least_serving = 1.0
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Trains all steps."""
        self.spawn(self._watch_swaps())
        if self.conditions.crashes:
            self.spawn(self._crash_engines())
        if self.conditions.cut_off:
            self.spawn(self._cut_off())
        await self.trainer.run(self.conditions.steps)
        await self.stop()

    async def stop(self) -> None:
        """Stops all background work."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, work) -> None:
        """Starts background work."""
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    @abc.abstractmethod
    async def put_step(self, number: int, body: steps.StepBody) -> Result:
        """Takes a step of the trainer."""

    @abc.abstractmethod
    async def pull(self, request: steps.PullRequest) -> Result:
        """Answers a pull."""

    @abc.abstractmethod
    def publish(self, version: ids.WeightVersion) -> None:
        """Takes new weights."""

    async def _watch_swaps(self) -> None:
        loop = asyncio.get_running_loop()
        since, seen = 0.0, self.latest
        pending = False
        while True:
            rows = list(self.fleet.engines.values())
            serving = sum(
                row.state.loading is None and not row.crashed for row in rows
            )
            self.least_serving = min(self.least_serving, serving / len(rows))
            if self.latest != seen:
                since, seen, pending = loop.time(), self.latest, True
            behind = any(
                row.state.weight_version < seen
                for row in rows
                if not row.crashed
            )
            if pending and not behind:
                pending = False
                self.swap_times.append(loop.time() - since)
            await asyncio.sleep(_POLL_INTERVAL)

    async def _crash_engines(self) -> None:
        while True:
            await asyncio.sleep(_CRASH_INTERVAL - _CRASH_TIME)
            names = sorted(self.fleet.engines)
            found = self.fleet.engines[self.rng.choice(names)]
            found.crash()
            await asyncio.sleep(_CRASH_TIME)
            found.restart()
            self.note_restart(found)

    @abc.abstractmethod
    def note_restart(self, found: engine.StandInEngine) -> None:
        """Takes an engine that came back, perhaps at an old version."""

    async def _cut_off(self) -> None:
        await asyncio.sleep(_CUT_FROM)
        centre = self.conditions.deployment.data_centres[0]
        cut = [
            self.fleet.engines[row.name]
            for row in self.fleet.list_vms()
            if row.data_centre == centre and row.name in self.fleet.engines
        ]
        for row in cut:
            row.crashed = True
        await asyncio.sleep(_CUT_TIME)
        for row in cut:
            row.crashed = False
            self.note_restart(row)


class _DirectTransport(client.Transport):
    """Brings the trainer's requests to a run without HTTP."""

    def __init__(self, run: _Run) -> None:
        self._run = run

    async def fetch(
        self, url: str, method: str, body: bytes, timeout: float
    ) -> Result[client.Response, str]:
        """Returns the run's answer."""
        kind, _, number = (
            url.partition('/v1/trainers/')[2].partition('/')[2].partition('/')
        )
        if kind == 'versions':
            self._run.publish(ids.WeightVersion(int(number)))
            outcome = Ok(None)
        elif kind == 'steps':
            found = msgspec.json.decode(body, type=steps.StepBody)
            outcome = await self._run.put_step(int(number), found)
        else:
            found = msgspec.json.decode(body, type=steps.PullRequest)
            outcome = await self._run.pull(found)
        match outcome:
            case Result(tag='ok', ok=value):
                return Ok(client.Response(200, msgspec.json.encode(value)))
            case Result(error=refusal):
                problem = {'type': f'urn:{refusal.reason.value}'}
                return Ok(client.Response(404, msgspec.json.encode(problem)))


class Scene(_Run):
    """Served by collectors, admission and weight placement."""

    def __init__(self, conditions: Conditions) -> None:
        super().__init__(conditions)
        self.configuration = state.ConfigurationState()
        centre = conditions.deployment.data_centres[0]
        self.targets = table.TargetTable(self.fleet, _make_node(centre))
        self.configuration.listen(
            lambda found: self.targets.set_label_rules(found.labels)
        )
        self.book = versions.VersionRegistry()
        self.figures: statistics.Statistics | None = None
        """What the collector measured, once the run has ended."""
        counters = metrics.Metrics()
        numbers = itertools.count()
        self.collectors = collectors.Collectors(
            collectors.Dependencies(
                self.configuration,
                self.targets,
                admission.Admission(
                    self.configuration, self.targets, self.rng
                ),
                counters,
                self._find_version,
                generate_request_id=lambda: ids.RequestId(f'a{next(numbers)}'),
            )
        )
        self.controllers = [
            self._make_controller(centre, counters)
            for centre in conditions.deployment.data_centres
        ]

    async def run(self) -> None:
        """Trains all steps."""
        self.configuration.apply(ids.Revision(0), self.declared)
        self.targets.update(self.fleet.list_vms())
        self.spawn(self._poll())
        self.spawn(self.collectors.run())
        for row in self.controllers:
            self.spawn(row.run())
        await asyncio.sleep(_POLL_INTERVAL)
        await super().run()

    async def stop(self) -> None:
        """Stops all background work."""
        await super().stop()
        self.figures = self.collectors.find_existing(
            self.declaration.name
        ).statistics
        await self.collectors.close()

    async def put_step(self, number: int, body: steps.StepBody) -> Result:
        """Takes a step of the trainer."""
        return await self.collectors.put_step(
            self.declaration.name, ids.StepNumber(number), body
        )

    async def pull(self, request: steps.PullRequest) -> Result:
        """Answers a pull."""
        return await self.collectors.pull(self.declaration.name, request)

    def publish(self, version: ids.WeightVersion) -> None:
        """Takes new weights."""
        self.latest = version
        name = self.declaration.name
        self.book.publish(versions.Publication(name, version, f'w/{version}'))

    def _find_version(self, name: ids.TrainerName) -> ids.WeightVersion | None:
        latest = self.book.find_latest(name)
        return latest.version if latest else None

    def note_restart(self, found: engine.StandInEngine) -> None:
        """Leaves it to the controllers, which see the engine's version."""

    def _make_controller(
        self, centre: ids.DataCentre, counters: metrics.Metrics
    ) -> controller.WeightController:
        down = self.conditions.log_down
        lease = leases.StaticLease(None if down else ids.FencingNumber(1))
        own = membership.Member(
            ids.NodeName(f'{centre}-1'), centre, '', ids.Incarnation(1)
        )
        return controller.WeightController(
            self.configuration,
            self.targets,
            self.book,
            standin_platform.StandInWeightStore(_STORE_RATE),
            membership.StaticMembership(own),
            lambda pool: lease,
            counters,
            is_log_down=lambda: down,
        )

    async def _poll(self) -> None:
        while True:
            for row in self.targets:
                if row.engine is None or row.engine.crashed:
                    continue
                row.engine_state = row.engine.state
                match await row.engine.read_load():
                    case Result(tag='ok', ok=report):
                        row.record_load(report)
            await asyncio.sleep(_POLL_INTERVAL)


def _make_node(centre: ids.DataCentre) -> settings.NodeSettings:
    return settings.NodeSettings(
        name=ids.NodeName(f'{centre}-1'),
        data_centre=centre,
        listen='127.0.0.1:0',
        peer_listen='127.0.0.1:0',
    )


class NaiveScene(_Run):
    """Sends all samples as they come, to one engine after the other.

    Looks at no version.  An attempt that fails is made anew elsewhere.
    """

    def __init__(self, conditions: Conditions) -> None:
        super().__init__(conditions)
        self._ledgers: dict[int, ledger.Ledger] = {}
        self._grown = asyncio.Event()
        self._turn = itertools.count()

    async def put_step(self, number: int, body: steps.StepBody) -> Result:
        """Takes a step of the trainer."""
        step = steps.Step(ids.StepNumber(number), body)
        self._ledgers[number] = ledger.Ledger(step)
        for slot in step.slots:
            self.spawn(self._make(self._ledgers[number], slot))
        return Ok(None)

    async def pull(self, request: steps.PullRequest) -> Result:
        """Answers a pull."""
        found = self._ledgers[request.step]
        received = bitmap.Bitmap.decode(len(found.step), request.received).ok
        found.record_received(received)
        deadline = asyncio.get_running_loop().time() + request.wait_ms / 1000
        while True:
            self._grown.clear()
            chosen = found.select(0, received, request.max)
            left = deadline - asyncio.get_running_loop().time()
            if chosen.samples or left <= 0:
                return Ok(steps.PullAnswer(chosen.samples))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._grown.wait(), left)

    def publish(self, version: ids.WeightVersion) -> None:
        """Swaps all engines at once."""
        self.latest = version
        for row in self.fleet.engines.values():
            self.note_restart(row)

    def note_restart(self, found: engine.StandInEngine) -> None:
        """Brings an engine to the latest version."""
        order = base.Order(
            base.OrderKind.LOAD_VERSION,
            ids.FencingNumber(1),
            weight_version=self.latest,
        )
        self.spawn(found.send_order(order))

    async def _make(
        self, found: ledger.Ledger, slot: steps.SampleSlot
    ) -> None:
        engines = list(self.fleet.engines.values())
        while found.is_open(slot.number):
            turn = next(self._turn)
            attempt = ledger.Attempt(
                ids.RequestId(f'a{turn}'),
                found.step.number,
                slot,
                asyncio.get_running_loop().time(),
            )
            found.begin(attempt)
            sample = await self._generate(
                engines[turn % len(engines)], attempt
            )
            if sample is None:
                found.fail(attempt)
                await asyncio.sleep(_RETRY_DELAY)
                continue
            found.finish(attempt, sample)
            self._grown.set()

    async def _generate(
        self, chosen: engine.StandInEngine, attempt: ledger.Attempt
    ) -> steps.Sample | None:
        request = base.Generation(
            attempt.request_id, attempt.slot.group.prompt, 4096
        )
        chunks = []
        async for outcome in chosen.stream(request, 3600.0):
            match outcome:
                case Result(tag='ok', ok=chunk):
                    chunks.append(chunk)
                case _:
                    return None
        joined = generation.join_chunks(attempt.slot, chunks)
        if self.declaration.scoring is not None:
            await self.fleet.scoring.score([('', '')], 10.0)
        return joined.default_value(None)
