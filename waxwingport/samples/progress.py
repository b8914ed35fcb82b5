"""State of the samples of one step: open, running, stored or received.

Does no input or output.  The bitmap that each pull carries decides which
samples the trainer has received.
"""

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from waxwingport import ids
from waxwingport.samples import bitmap
from waxwingport.samples import steps

__all__ = [
    'Attempt',
    'DroppedSample',
    'FinishOutcome',
    'Selection',
    'StepProgress',
]


class Attempt(msgspec.Struct, eq=False):
    """One generation of a sample; times on the loop's clock.

    ``oldest_version`` is the oldest weight version among the chunks so far.
    """

    request_id: ids.RequestId
    step: ids.StepNumber
    spec: steps.SampleSpec
    started_at: float
    is_second: bool = False
    tokens: int = 0
    first_chunk_at: float | None = None
    oldest_version: ids.WeightVersion | None = None
    reserved_tokens: float = 0.0
    """Tokens that a second attempt may waste, 0 for a first one."""


class FinishOutcome(msgspec.Struct, frozen=True):
    """Whether a finished sample was stored.

    ``losers`` are the sample's other attempts, which the caller cancels.
    """

    accepted: bool
    losers: tuple[Attempt, ...] = ()


class DroppedSample(msgspec.Struct, frozen=True):
    """A stored sample that was dropped, and its tokens.

    The sample is open again.
    """

    number: ids.SampleNumber
    tokens: int


class Selection(msgspec.Struct, frozen=True):
    """Samples for one pull, and those dropped as too old for it."""

    samples: tuple[steps.Sample, ...] = ()
    stale: tuple[DroppedSample, ...] = ()


class _StoredSample(msgspec.Struct, eq=False):
    sample: steps.Sample
    request_id: ids.RequestId
    tokens: int
    awaits_score: bool


class StepProgress:
    """Tracks which samples of a step are open, running, stored and received.

    A sample is open while it is neither stored nor received and no attempt
    to generate it runs.  ``stored_size`` is in characters; ``unscored``
    counts stored samples that await a score.
    """

    def __init__(
        self, step: steps.Step, received: bitmap.Bitmap | None = None
    ) -> None:
        self.step = step
        self.received = bitmap.Bitmap(len(step))
        self.stored_size = 0
        self.unscored = 0
        self._open = set(range(len(step)))
        self._stored: dict[ids.SampleNumber, _StoredSample] = {}
        self._unreceived: dict[ids.SampleNumber, _StoredSample] = {}
        """Stored samples that the trainer has not received."""
        self._running: dict[ids.SampleNumber, list[Attempt]] = {}
        self._missing = [group.samples for group in step.body.groups]
        """Samples neither stored nor received, by group."""
        self._group_of = [
            index
            for index, group in enumerate(step.body.groups)
            for _ in range(group.samples)
        ]
        if received is not None:
            self.record_received(received)

    @property
    def is_fully_received(self) -> bool:
        """Whether the trainer has received every sample."""
        return len(self.received) == len(self.step)

    @property
    def is_fully_generated(self) -> bool:
        """Whether no sample is open and none has an attempt running."""
        return not self._open and not any(self._running.values())

    @property
    def open_count(self) -> int:
        """Number of samples that need an attempt."""
        return len(self._open)

    @property
    def stored_count(self) -> int:
        """Number of samples in memory, received ones included."""
        return len(self._stored)

    def list_open(self) -> Iterator[steps.SampleSpec]:
        """Yields the samples that need an attempt."""
        return (self.step.specs[number] for number in self._open)

    def is_open(self, number: ids.SampleNumber) -> bool:
        """Returns whether a sample needs an attempt."""
        return number in self._open

    def count_missing(self, spec: steps.SampleSpec) -> int:
        """Returns how many samples of a group are not stored or received."""
        return self._missing[self._group_of[spec.number]]

    def list_running(self) -> Iterator[tuple[Attempt, ...]]:
        """Yields the running attempts of each sample that has any."""
        return (tuple(attempts) for attempts in self._running.values())

    def add_attempt(self, attempt: Attempt) -> None:
        """Adds a started attempt; its sample is no longer open."""
        number = attempt.spec.number
        self._open.discard(number)
        self._running.setdefault(number, []).append(attempt)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt that ended without a sample.

        Opens the sample again unless another attempt runs.
        """
        number = attempt.spec.number
        if self._remove(attempt) and number not in self._running:
            self._reopen(number)

    def finish(
        self,
        attempt: Attempt,
        sample: steps.Sample,
        awaits_score: bool = False,
    ) -> FinishOutcome:
        """Stores a finished sample unless it is already stored or received.

        Also does nothing if the attempt was removed before.
        """
        number = sample.number
        if not self._remove(attempt):
            return FinishOutcome(False)
        if number in self._stored or number in self.received:
            return FinishOutcome(False)
        losers = tuple(self._running.pop(number, ()))
        stored = _StoredSample(
            sample, attempt.request_id, attempt.tokens, awaits_score
        )
        self._stored[number] = self._unreceived[number] = stored
        self.stored_size += len(sample.text)
        self.unscored += awaits_score
        self._open.discard(number)
        self._missing[self._group_of[number]] -= 1
        return FinishOutcome(True, losers)

    def score(
        self,
        number: ids.SampleNumber,
        request_id: ids.RequestId,
        score: float | None,
    ) -> bool:
        """Sets a stored sample's score; ``None`` releases it without one.

        Returns whether the sample of that attempt is still stored.
        """
        stored = self._stored.get(number)
        if stored is None or stored.request_id != request_id:
            return False
        if stored.awaits_score:
            self.unscored -= 1
            stored.awaits_score = False
            stored.sample = msgspec.structs.replace(stored.sample, score=score)
        return True

    def record_received(self, received: bitmap.Bitmap) -> list[Attempt]:
        """Applies the trainer's bitmap; returns attempts to cancel.

        After a restart from a checkpoint the bitmap is an older one: samples
        that it lacks are returned again, or opened if they are no longer
        stored.
        """
        useless: list[Attempt] = []
        for number in self.received.list_differences(received):
            if number in received:
                self._open.discard(number)
                self._unreceived.pop(number, None)
                useless += self._running.pop(number, ())
                if number not in self._stored:
                    self._missing[self._group_of[number]] -= 1
            elif number in self._stored:
                self._unreceived[number] = self._stored[number]
            else:
                self._missing[self._group_of[number]] += 1
                self._open.add(number)
        self.received = received
        return useless

    def select(
        self, minimum_version: int, received: bitmap.Bitmap, maximum: int
    ) -> Selection:
        """Returns up to ``maximum`` samples that are not in ``received``.

        Samples older than ``minimum_version`` are dropped and opened again.
        Groups that are delivered whole are selected whole.
        """
        stale = self.drop_older(minimum_version)
        ready = [
            entry.sample
            for number, entry in self._unreceived.items()
            if number not in received and not entry.awaits_score
        ]
        ready.sort(key=lambda entry: entry.number)
        if self.step.by_group:
            ready = self._keep_whole_groups(ready, received, maximum)
        return Selection(tuple(ready[:maximum]), stale)

    def drop_older(self, minimum_version: int) -> tuple[DroppedSample, ...]:
        """Drops unreceived samples older than ``minimum_version``."""
        return self._drop_where(
            lambda stored: stored.sample.oldest_version < minimum_version
        )

    def drop_unreceived(self) -> tuple[DroppedSample, ...]:
        """Drops all unreceived samples."""
        return self._drop_where(lambda stored: True)

    def drop_unscored(self) -> tuple[DroppedSample, ...]:
        """Drops the unreceived samples that await a score."""
        return self._drop_where(lambda stored: stored.awaits_score)

    def drop_received(self) -> None:
        """Frees the memory of the samples that the trainer has received."""
        for number in [
            known for known in self._stored if known in self.received
        ]:
            self._drop(number)

    def _drop_where(
        self, unwanted: Callable[[_StoredSample], bool]
    ) -> tuple[DroppedSample, ...]:
        dropped = tuple(
            DroppedSample(number, entry.tokens)
            for number, entry in self._unreceived.items()
            if unwanted(entry)
        )
        for entry in dropped:
            self._drop(entry.number)
            self._missing[self._group_of[entry.number]] += 1
            self._open.add(entry.number)
        return dropped

    def _keep_whole_groups(
        self,
        ready: list[steps.Sample],
        received: bitmap.Bitmap,
        maximum: int,
    ) -> list[steps.Sample]:
        groups: dict[int, list[steps.Sample]] = {}
        for sample in ready:
            groups.setdefault(self._group_of[sample.number], []).append(sample)
        chosen: list[steps.Sample] = []
        for index, samples in groups.items():
            start = samples[0].number - samples[0].index
            size = self.step.body.groups[index].samples
            lacking = sum(
                number not in received for number in range(start, start + size)
            )
            if len(samples) == lacking and len(chosen) + lacking <= maximum:
                chosen += samples
        return chosen

    def _remove(self, attempt: Attempt) -> bool:
        number = attempt.spec.number
        attempts = self._running.get(number, [])
        if attempt not in attempts:
            return False
        attempts.remove(attempt)
        if not attempts:
            del self._running[number]
        return True

    def _reopen(self, number: ids.SampleNumber) -> None:
        if number not in self.received and number not in self._stored:
            self._open.add(number)

    def _drop(self, number: ids.SampleNumber) -> None:
        stored = self._stored.pop(number)
        self._unreceived.pop(number, None)
        self.stored_size -= len(stored.sample.text)
        self.unscored -= stored.awaits_score
