"""What is open, running, held and received of one step.

Pure bookkeeping: the trainer's bitmap is the record of what was delivered,
the ledger only follows it.
"""

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from waxwingport import ids
from waxwingport.samples import bitmap
from waxwingport.samples import steps

__all__ = ['Attempt', 'Dropped', 'Finish', 'Ledger', 'Selection']


class Attempt(msgspec.Struct, eq=False):
    """One generation of a sample; times on the loop's clock."""

    request_id: ids.RequestId
    step: ids.StepNumber
    slot: steps.SampleSlot
    started_at: float
    second: bool = False
    tokens: int = 0
    first_chunk_at: float | None = None
    oldest: ids.WeightVersion | None = None
    committed: float = 0.0
    """Tokens that a second attempt may waste."""


class Finish(msgspec.Struct, frozen=True):
    """What a whole sample changed.

    ``losers`` are the slot's other attempts, to be cancelled.
    """

    accepted: bool
    losers: tuple[Attempt, ...] = ()


class Dropped(msgspec.Struct, frozen=True):
    """A held sample that was dropped and opened again."""

    number: ids.SampleNumber
    tokens: int


class Selection(msgspec.Struct, frozen=True):
    """Samples for one pull, and those that were found too old for it."""

    samples: tuple[steps.Sample, ...] = ()
    stale: tuple[Dropped, ...] = ()


class _Held(msgspec.Struct, eq=False):
    sample: steps.Sample
    request_id: ids.RequestId
    tokens: int
    awaits_score: bool


class Ledger:
    """The samples of one step."""

    def __init__(
        self, step: steps.Step, received: bitmap.Bitmap | None = None
    ) -> None:
        self.step = step
        self.received = bitmap.Bitmap(len(step))
        self.held_size = 0
        self.unscored = 0
        self._open = set(range(len(step)))
        self._held: dict[ids.SampleNumber, _Held] = {}
        self._undelivered: dict[ids.SampleNumber, _Held] = {}
        """Those of the held samples that the trainer lacks."""
        self._running: dict[ids.SampleNumber, list[Attempt]] = {}
        self._lacking = [row.samples for row in step.body.groups]
        self._group_of = [
            index
            for index, row in enumerate(step.body.groups)
            for _ in range(row.samples)
        ]
        if received is not None:
            self.record_received(received)

    @property
    def is_whole(self) -> bool:
        """Whether the trainer holds every sample."""
        return len(self.received) == len(self.step)

    @property
    def is_generated(self) -> bool:
        """Whether no sample is open and none has an attempt running."""
        return not self._open and not any(self._running.values())

    @property
    def open_count(self) -> int:
        """Number of samples that nothing is being done for."""
        return len(self._open)

    @property
    def held_count(self) -> int:
        """Number of samples in memory."""
        return len(self._held)

    def list_open(self) -> Iterator[steps.SampleSlot]:
        """Yields the slots that need an attempt."""
        return (self.step.slots[number] for number in self._open)

    def is_open(self, number: ids.SampleNumber) -> bool:
        """Returns whether a slot needs an attempt."""
        return number in self._open

    def count_missing(self, slot: steps.SampleSlot) -> int:
        """Returns how many samples of the slot's group are not there yet."""
        return self._lacking[self._group_of[slot.number]]

    def list_running(self) -> Iterator[tuple[Attempt, ...]]:
        """Yields the attempts of each slot that has one."""
        return (tuple(rows) for rows in self._running.values())

    def begin(self, attempt: Attempt) -> None:
        """Notes an attempt that was started."""
        number = attempt.slot.number
        self._open.discard(number)
        self._running.setdefault(number, []).append(attempt)

    def fail(self, attempt: Attempt) -> None:
        """Notes an attempt that ended without a sample."""
        number = attempt.slot.number
        if self._remove(attempt) and number not in self._running:
            self._reopen(number)

    def finish(
        self,
        attempt: Attempt,
        sample: steps.Sample,
        awaits_score: bool = False,
    ) -> Finish:
        """Takes a whole sample; the first one of a slot wins."""
        number = sample.number
        if not self._remove(attempt):
            return Finish(False)
        if number in self._held or number in self.received:
            return Finish(False)
        losers = tuple(self._running.pop(number, ()))
        held = _Held(sample, attempt.request_id, attempt.tokens, awaits_score)
        self._held[number] = self._undelivered[number] = held
        self.held_size += len(sample.text)
        self.unscored += awaits_score
        self._open.discard(number)
        self._lacking[self._group_of[number]] -= 1
        return Finish(True, losers)

    def score(
        self,
        number: ids.SampleNumber,
        request_id: ids.RequestId,
        score: float | None,
    ) -> bool:
        """Gives a held sample its score; false if it is held no more."""
        held = self._held.get(number)
        if held is None or held.request_id != request_id:
            return False
        if held.awaits_score:
            self.unscored -= 1
            held.awaits_score = False
            held.sample = msgspec.structs.replace(held.sample, score=score)
        return True

    def record_received(self, received: bitmap.Bitmap) -> list[Attempt]:
        """Follows the trainer's bitmap; returns attempts to cancel.

        An older bitmap, after a restart from a checkpoint, opens again what
        is held no more.
        """
        useless: list[Attempt] = []
        for number in self.received.list_changes(received):
            if number in received:
                self._open.discard(number)
                self._undelivered.pop(number, None)
                useless += self._running.pop(number, ())
                if number not in self._held:
                    self._lacking[self._group_of[number]] -= 1
            elif number in self._held:
                self._undelivered[number] = self._held[number]
            else:
                self._lacking[self._group_of[number]] += 1
                self._open.add(number)
        self.received = received
        return useless

    def select(
        self, oldest: int, received: bitmap.Bitmap, maximum: int
    ) -> Selection:
        """Returns samples that are not older than ``oldest``.

        Those that are get dropped and opened again.
        """
        stale = self.drop_older(oldest)
        ready = [
            row.sample
            for number, row in self._undelivered.items()
            if number not in received and not row.awaits_score
        ]
        ready.sort(key=lambda row: row.number)
        if self.step.by_group:
            ready = self._keep_whole_groups(ready, received, maximum)
        return Selection(tuple(ready[:maximum]), stale)

    def drop_older(self, oldest: int) -> tuple[Dropped, ...]:
        """Drops the samples not yet received that are older."""
        return self._drop_where(lambda row: row.sample.oldest < oldest)

    def drop_held(self) -> tuple[Dropped, ...]:
        """Drops all samples not yet received."""
        return self._drop_where(lambda row: True)

    def drop_unscored(self) -> tuple[Dropped, ...]:
        """Drops the samples that await a score."""
        return self._drop_where(lambda row: row.awaits_score)

    def drop_received(self) -> None:
        """Drops the bodies of the samples that the trainer holds."""
        for number in [row for row in self._held if row in self.received]:
            self._drop(number)

    def _drop_where(
        self, unwanted: Callable[[_Held], bool]
    ) -> tuple[Dropped, ...]:
        dropped = tuple(
            Dropped(number, row.tokens)
            for number, row in self._undelivered.items()
            if unwanted(row)
        )
        for row in dropped:
            self._drop(row.number)
            self._lacking[self._group_of[row.number]] += 1
            self._open.add(row.number)
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
        for index, rows in groups.items():
            start = rows[0].number - rows[0].index
            size = self.step.body.groups[index].samples
            wanted = sum(
                number not in received for number in range(start, start + size)
            )
            if len(rows) == wanted and len(chosen) + wanted <= maximum:
                chosen += rows
        return chosen

    def _remove(self, attempt: Attempt) -> bool:
        number = attempt.slot.number
        rows = self._running.get(number, [])
        if attempt not in rows:
            return False
        rows.remove(attempt)
        if not rows:
            del self._running[number]
        return True

    def _reopen(self, number: ids.SampleNumber) -> None:
        if number not in self.received and number not in self._held:
            self._open.add(number)

    def _drop(self, number: ids.SampleNumber) -> None:
        held = self._held.pop(number)
        self._undelivered.pop(number, None)
        self.held_size -= len(held.sample.text)
        self.unscored -= held.awaits_score
