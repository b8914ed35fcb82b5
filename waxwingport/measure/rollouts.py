"""Training runs of a deployment in virtual time, served in two ways.

``CollectorRun`` uses the collectors, admission and weight placement of a node.
``BaselineRun`` sends samples first come, first served, swaps the weights of
all engines at once and never makes a second attempt beside a running one.
Both use the same kinds of engines, weight store and trainer.
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
from waxwingport.samples import progress
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

__all__ = ['BaselineRun', 'CollectorRun', 'Conditions']

_POLL_INTERVAL_S = 0.25
_CONCURRENT_STORE_LOADS = 2
_SWAP_TIME_S = 0.3
_RETRY_DELAY_S = 0.2
_CRASH_INTERVAL_S = 60.0
_CRASH_TIME_S = 20.0
_CUT_OFF_START_S = 40.0
_CUT_OFF_TIME_S = 90.0


class Conditions(msgspec.Struct, frozen=True):
    """Size of a run and the faults in it.

    ``spread`` is the spread of sample lengths; ``log_down`` holds for the
    whole run.
    """

    deployment: deployments.Deployment
    steps: int
    seed: int
    spread: float = 0.5
    slow_engine: float = 1.0
    """Factor by which the first engine is slower than the others."""
    crashes: bool = False
    log_down: bool = False
    cut_off: bool = False
    groups: int = 16
    samples: int = 8
    train_time: float = 18.0


class _StoreLimitedEngine(engine.StandInEngine):
    """An engine whose loads wait for a slot of the shared weight store."""

    load_slots: asyncio.Semaphore

    async def _load(self, version: ids.WeightVersion | None) -> None:
        async with self.load_slots:
            await super()._load(version)


class _EngineFleet(table.TargetFactory):
    """The engines and the scoring service of a deployment."""

    def __init__(self, conditions: Conditions) -> None:
        self.deployment = conditions.deployment
        self.engines: dict[str, _StoreLimitedEngine] = {}
        self.scoring = services.StandInScoringService()
        load_slots = asyncio.Semaphore(_CONCURRENT_STORE_LOADS)
        engine_settings = engine.StandInEngineSettings(
            queue_length=100_000,
            token_time=0.02,
            chunk_tokens=32,
            swap_time=_SWAP_TIME_S,
            median_tokens=250.0,
            length_sigma=conditions.spread,
            seed=conditions.seed,
        )
        for index in range(self.deployment.engine_count):
            name = f'{self.deployment.model}-{index + 1}'
            created = _StoreLimitedEngine(name, engine_settings)
            created.load_slots = load_slots
            self.engines[name] = created
        first = next(iter(self.engines.values()))
        first.slowdown = conditions.slow_engine

    def make_engine(self, vm: platform.Vm) -> base.Engine:
        """Returns the engine on ``vm``."""
        return self.engines[vm.name]

    def make_service(self, vm: platform.Vm) -> base.Service:
        """Raises ``AssertionError``: the deployment has no plain services."""
        raise AssertionError(vm.name)

    def make_scoring(self, vm: platform.Vm) -> base.ScoringService:
        """Returns the scoring service."""
        return self.scoring

    def list_vms(self) -> list[platform.Vm]:
        """Returns the engines and the scoring service as VMs."""
        data_centres = itertools.cycle(self.deployment.data_centres)
        labels = {'model': self.deployment.model}
        engine_vms = [
            platform.Vm(
                name,
                platform.VmKind.ENGINE,
                next(data_centres),
                name,
                labels=labels,
            )
            for name in self.engines
        ]
        data_centre = self.deployment.data_centres[0]
        name = f'{self.deployment.scoring}-1'
        scoring = platform.VmKind.SCORING
        return [*engine_vms, platform.Vm(name, scoring, data_centre, name)]


class _TrainingRun(abc.ABC):
    """A trainer and its engines.  ``run`` may be called only once."""

    def __init__(self, conditions: Conditions) -> None:
        self.conditions = conditions
        self.rng = random.Random(conditions.seed)
        self.fleet = _EngineFleet(conditions)
        self.declared = deployments.read_declarations(conditions.deployment)
        self.declaration = self.declared.find_trainer(
            conditions.deployment.trainer
        )
        bound = self.declaration.staleness_bound
        trainer_client = client.TrainerClient(
            'node',
            self.declaration.name,
            transport=_DirectTransport(self),
            rng=self.rng,
        )
        self.trainer = trainer.StandInTrainer(
            trainer_client,
            trainer.StandInTrainerSettings(
                groups_per_step=conditions.groups,
                samples_per_group=conditions.samples,
                train_time=conditions.train_time,
                steps_ahead=bound,
                staleness_bound=bound,
            ),
        )
        self.latest_version = ids.WeightVersion(1)
        self.swap_times: list[float] = []
        self.min_serving_share = 1.0
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Trains all steps, with the faults of the conditions."""
        self.start_task(self._watch_swaps())
        if self.conditions.crashes:
            self.start_task(self._crash_engines())
        if self.conditions.cut_off:
            self.start_task(self._cut_off_data_centre())
        await self.trainer.run(self.conditions.steps)
        await self.stop()

    async def stop(self) -> None:
        """Stops all background work."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_task(self, coroutine) -> None:
        """Starts a background task, which ``stop`` cancels."""
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    @abc.abstractmethod
    async def put_step(self, number: int, body: steps.StepBody) -> Result:
        """Accepts a step of the trainer."""

    @abc.abstractmethod
    async def pull(self, request: steps.PullRequest) -> Result:
        """Returns the samples that answer a pull request."""

    @abc.abstractmethod
    def publish(self, version: ids.WeightVersion) -> None:
        """Records the publication of a weight version."""

    async def _watch_swaps(self) -> None:
        loop = asyncio.get_running_loop()
        published_at, current = 0.0, self.latest_version
        pending = False
        while True:
            engines = list(self.fleet.engines.values())
            serving_count = sum(
                watched.state.loading is None and not watched.crashed
                for watched in engines
            )
            self.min_serving_share = min(
                self.min_serving_share, serving_count / len(engines)
            )
            if self.latest_version != current:
                published_at, current, pending = (
                    loop.time(),
                    self.latest_version,
                    True,
                )
            any_outdated = any(
                watched.state.weight_version < current
                for watched in engines
                if not watched.crashed
            )
            if pending and not any_outdated:
                pending = False
                self.swap_times.append(loop.time() - published_at)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _crash_engines(self) -> None:
        while True:
            await asyncio.sleep(_CRASH_INTERVAL_S - _CRASH_TIME_S)
            names = sorted(self.fleet.engines)
            chosen = self.fleet.engines[self.rng.choice(names)]
            chosen.crash()
            await asyncio.sleep(_CRASH_TIME_S)
            chosen.restart()
            self.handle_restart(chosen)

    @abc.abstractmethod
    def handle_restart(self, restarted: engine.StandInEngine) -> None:
        """Handles an engine that is back, perhaps with an old version."""

    async def _cut_off_data_centre(self) -> None:
        await asyncio.sleep(_CUT_OFF_START_S)
        data_centre = self.conditions.deployment.data_centres[0]
        unreachable = [
            self.fleet.engines[vm.name]
            for vm in self.fleet.list_vms()
            if vm.data_centre == data_centre and vm.name in self.fleet.engines
        ]
        for cut_engine in unreachable:
            cut_engine.crashed = True
        await asyncio.sleep(_CUT_OFF_TIME_S)
        for cut_engine in unreachable:
            cut_engine.crashed = False
            self.handle_restart(cut_engine)


class _DirectTransport(client.Transport):
    """Passes the trainer's requests to a run without HTTP."""

    def __init__(self, training_run: _TrainingRun) -> None:
        self._training_run = training_run

    async def fetch(
        self, url: str, method: str, body: bytes, timeout: float
    ) -> Result[client.Response, str]:
        """Returns the run's response to a request for its trainer."""
        kind, _, number = (
            url.partition('/v1/trainers/')[2].partition('/')[2].partition('/')
        )
        if kind == 'versions':
            self._training_run.publish(ids.WeightVersion(int(number)))
            outcome = Ok(None)
        elif kind == 'steps':
            message = msgspec.json.decode(body, type=steps.StepBody)
            outcome = await self._training_run.put_step(int(number), message)
        else:
            message = msgspec.json.decode(body, type=steps.PullRequest)
            outcome = await self._training_run.pull(message)
        match outcome:
            case Result(tag='ok', ok=value):
                return Ok(client.Response(200, msgspec.json.encode(value)))
            case Result(error=refusal):
                problem = {'type': f'urn:{refusal.reason.value}'}
                return Ok(client.Response(404, msgspec.json.encode(problem)))


class CollectorRun(_TrainingRun):
    """Uses the collectors, admission and weight controllers of a node."""

    def __init__(self, conditions: Conditions) -> None:
        super().__init__(conditions)
        self.configuration = state.ConfigurationState()
        data_centre = conditions.deployment.data_centres[0]
        self.targets = table.TargetTable(
            self.fleet, _make_node_settings(data_centre)
        )
        self.configuration.listen(
            lambda declared: self.targets.set_label_rules(declared.labels)
        )
        self.version_registry = versions.VersionRegistry()
        self.statistics: statistics.Statistics | None = None
        """The collector's statistics, set when the run has ended."""
        run_metrics = metrics.Metrics()
        attempt_numbers = itertools.count()
        self.collectors = collectors.Collectors(
            collectors.NodeDependencies(
                self.configuration,
                self.targets,
                admission.Admission(
                    self.configuration, self.targets, self.rng
                ),
                run_metrics,
                self._find_version,
                generate_request_id=lambda: ids.RequestId(
                    f'a{next(attempt_numbers)}'
                ),
            )
        )
        self.controllers = [
            self._make_controller(data_centre, run_metrics)
            for data_centre in conditions.deployment.data_centres
        ]

    async def run(self) -> None:
        """Starts polling, collectors and controllers; trains all steps."""
        self.configuration.apply(ids.Revision(0), self.declared)
        self.targets.update(self.fleet.list_vms())
        self.start_task(self._poll())
        self.start_task(self.collectors.run())
        for weight_controller in self.controllers:
            self.start_task(weight_controller.run())
        await asyncio.sleep(_POLL_INTERVAL_S)
        await super().run()

    async def stop(self) -> None:
        """Stops all background work."""
        await super().stop()
        self.statistics = self.collectors.find_existing(
            self.declaration.name
        ).statistics
        await self.collectors.close()

    async def put_step(self, number: int, body: steps.StepBody) -> Result:
        """Accepts a step of the trainer."""
        return await self.collectors.put_step(
            self.declaration.name, ids.StepNumber(number), body
        )

    async def pull(self, request: steps.PullRequest) -> Result:
        """Returns the samples that answer a pull request."""
        return await self.collectors.pull(self.declaration.name, request)

    def publish(self, version: ids.WeightVersion) -> None:
        """Records the publication of a weight version."""
        self.latest_version = version
        name = self.declaration.name
        self.version_registry.publish(
            versions.Publication(name, version, f'w/{version}')
        )

    def _find_version(self, name: ids.TrainerName) -> ids.WeightVersion | None:
        latest = self.version_registry.find_latest(name)
        return latest.version if latest else None

    def handle_restart(self, restarted: engine.StandInEngine) -> None:
        """Does nothing: the controllers see the engine's version."""

    def _make_controller(
        self, data_centre: ids.DataCentre, run_metrics: metrics.Metrics
    ) -> controller.WeightController:
        log_down = self.conditions.log_down
        lease = leases.StaticLease(None if log_down else ids.FencingNumber(1))
        local_member = membership.Member(
            ids.NodeName(f'{data_centre}-1'),
            data_centre,
            '',
            ids.Incarnation(1),
        )
        return controller.WeightController(
            self.configuration,
            self.targets,
            self.version_registry,
            standin_platform.StandInWeightStore(_CONCURRENT_STORE_LOADS),
            membership.StaticMembership(local_member),
            lambda pool: lease,
            run_metrics,
            is_log_down=lambda: log_down,
        )

    async def _poll(self) -> None:
        while True:
            for target in self.targets:
                if target.engine is None or target.engine.crashed:
                    continue
                target.engine_state = target.engine.state
                match await target.engine.read_load():
                    case Result(tag='ok', ok=report):
                        target.record_load(report)
            await asyncio.sleep(_POLL_INTERVAL_S)


def _make_node_settings(data_centre: ids.DataCentre) -> settings.NodeSettings:
    return settings.NodeSettings(
        name=ids.NodeName(f'{data_centre}-1'),
        data_centre=data_centre,
        listen='127.0.0.1:0',
        peer_listen='127.0.0.1:0',
    )


class BaselineRun(_TrainingRun):
    """Sends all samples in order to the engines in round-robin order.

    It ignores the weight versions of the engines.  A failed attempt is
    repeated on the next engine.
    """

    def __init__(self, conditions: Conditions) -> None:
        super().__init__(conditions)
        self._progress: dict[int, progress.StepProgress] = {}
        self._sample_added = asyncio.Event()
        self._attempt_numbers = itertools.count()

    async def put_step(self, number: int, body: steps.StepBody) -> Result:
        """Accepts a step of the trainer."""
        step = steps.Step(ids.StepNumber(number), body)
        self._progress[number] = progress.StepProgress(step)
        for spec in step.specs:
            self.start_task(self._make_sample(self._progress[number], spec))
        return Ok(None)

    async def pull(self, request: steps.PullRequest) -> Result:
        """Returns the samples that answer a pull request."""
        step_progress = self._progress[request.step]
        received = bitmap.Bitmap.decode(
            len(step_progress.step), request.received
        ).ok
        step_progress.record_received(received)
        deadline = asyncio.get_running_loop().time() + request.wait_ms / 1000
        while True:
            self._sample_added.clear()
            selection = step_progress.select(0, received, request.max)
            left = deadline - asyncio.get_running_loop().time()
            if selection.samples or left <= 0:
                return Ok(steps.PullAnswer(selection.samples))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._sample_added.wait(), left)

    def publish(self, version: ids.WeightVersion) -> None:
        """Swaps all engines at once."""
        self.latest_version = version
        for running in self.fleet.engines.values():
            self.handle_restart(running)

    def handle_restart(self, restarted: engine.StandInEngine) -> None:
        """Orders an engine to load the latest version."""
        order = base.Order(
            base.OrderKind.LOAD_VERSION,
            ids.FencingNumber(1),
            weight_version=self.latest_version,
        )
        self.start_task(restarted.send_order(order))

    async def _make_sample(
        self, step_progress: progress.StepProgress, spec: steps.SampleSpec
    ) -> None:
        engines = list(self.fleet.engines.values())
        while step_progress.is_open(spec.number):
            number = next(self._attempt_numbers)
            attempt = progress.Attempt(
                ids.RequestId(f'a{number}'),
                step_progress.step.number,
                spec,
                asyncio.get_running_loop().time(),
            )
            step_progress.add_attempt(attempt)
            sample = await self._generate(
                engines[number % len(engines)], attempt
            )
            if sample is None:
                step_progress.remove_attempt(attempt)
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            step_progress.finish(attempt, sample)
            self._sample_added.set()

    async def _generate(
        self, chosen: engine.StandInEngine, attempt: progress.Attempt
    ) -> steps.Sample | None:
        request = base.Generation(
            attempt.request_id, attempt.spec.group.prompt, 4096
        )
        chunks = []
        async for outcome in chosen.stream(request, 3600.0):
            match outcome:
                case Result(tag='ok', ok=chunk):
                    chunks.append(chunk)
                case _:
                    return None
        sample = generation.join_chunks(attempt.spec, chunks)
        if self.declaration.scoring is not None:
            await self.fleet.scoring.score([('', '')], 10.0)
        return sample.default_value(None)
