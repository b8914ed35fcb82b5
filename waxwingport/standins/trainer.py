"""Stand-in for a trainer that checks the samples that it receives."""

import asyncio
import collections

from expression import Result
import msgspec

from waxwingport import client
from waxwingport import ids

__all__ = ['ReceivedSample', 'StandInTrainer', 'StandInTrainerSettings']


class StandInTrainerSettings(msgspec.Struct, frozen=True):
    """Sizes of a stand-in trainer's steps; times in seconds."""

    groups_per_step: int = 4
    samples_per_group: int = 4
    train_time: float = 1.0
    steps_ahead: int = 1
    """Later steps that are submitted before a step is collected."""
    staleness_bound: int = 2
    max_tokens: int = 4096
    delivery: client.Delivery = client.Delivery.SAMPLE
    weights_prefix: str = 'weights'
    """Prefix of the references under which versions are published."""


class ReceivedSample(msgspec.Struct, frozen=True):
    """A sample with the trainer's version and the time when it arrived.

    ``at`` is a time of the event loop's clock.
    """

    step: int
    version: int
    sample: client.Sample
    at: float


class StandInTrainer:
    """Collects steps, simulates training and publishes a version after each.

    ``faults`` describes each refused request and each breach of the contract:
    a sample that is too old or was delivered twice, or a text that belongs to
    another prompt.  ``idle_time``, ``training_time`` and ``step_waits`` are in
    seconds.
    """

    def __init__(
        self,
        trainer_client: client.TrainerClient,
        settings: StandInTrainerSettings | None = None,
    ) -> None:
        self.client = trainer_client
        self.settings = settings or StandInTrainerSettings()
        self.received: list[ReceivedSample] = []
        self.faults: list[str] = []
        self.idle_time = 0.0
        self.training_time = 0.0
        self.step_waits: list[float] = []
        self.steps_done = 0
        self._deliveries: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self._submitted: set[int] = set()

    async def run(self, steps: int | None = None) -> None:
        """Trains ``steps`` steps, or until cancelled or a step is refused."""
        while steps is None or self.steps_done < steps:
            step = self.steps_done + 1
            newest = step + self.settings.steps_ahead
            for number in range(step, newest + 1):
                if steps is None or number <= steps:
                    await self._submit_step(number)
            if not await self.collect(step):
                return
            await self._train(step)
            self.steps_done = step

    async def collect(self, step: int) -> bool:
        """Receives all samples of a step; returns false if it was refused."""
        start = _now()
        async for outcome in self.client.samples(step):
            match outcome:
                case Result(tag='ok', ok=sample):
                    self._check_sample(step, sample)
                case Result(error=fault):
                    self.faults.append(f'step {step}: {fault}')
                    return False
        waited = _now() - start
        self.idle_time += waited
        self.step_waits.append(waited)
        return True

    def make_groups(self, step: int) -> list[client.Group]:
        """Returns the prompts of a step."""
        return [
            client.Group(
                ids.GroupId(f'g{index}'),
                f'step {step} prompt {index}',
                self.settings.samples_per_group,
            )
            for index in range(self.settings.groups_per_step)
        ]

    async def _submit_step(self, step: int) -> None:
        if step in self._submitted:
            return
        self._submitted.add(step)
        outcome = await self.client.put_step(
            step,
            self.make_groups(step),
            {'max_tokens': self.settings.max_tokens},
            self.settings.delivery,
        )
        if outcome.is_error():
            self.faults.append(f'step {step}: {outcome.error}')

    async def _train(self, step: int) -> None:
        start = _now()
        await asyncio.sleep(self.settings.train_time)
        version = self.client.version + 1
        reference = f'{self.settings.weights_prefix}/{version}'
        outcome = await self.client.publish_version(version, reference)
        if outcome.is_error():
            self.faults.append(f'version {version}: {outcome.error}')
        self.client.forget(step)
        self.training_time += _now() - start

    def _check_sample(self, step: int, sample: client.Sample) -> None:
        version = self.client.version
        self.received.append(ReceivedSample(step, version, sample, _now()))
        key = (step, sample.number)
        self._deliveries[key] += 1
        name = f'step {step} sample {sample.number}'
        if self._deliveries[key] > 1:
            self.faults.append(
                f'{name}: delivered {self._deliveries[key]} times'
            )
        oldest = min(sample.weight_versions, default=0)
        if version - oldest > self.settings.staleness_bound:
            self.faults.append(f'{name}: version {oldest} at {version}')
        group = sample.number // self.settings.samples_per_group
        if not sample.text.startswith(f'step {step} prompt {group}'):
            self.faults.append(f'{name}: answers another prompt')


def _now() -> float:
    return asyncio.get_running_loop().time()
