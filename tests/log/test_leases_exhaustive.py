"""Explores every order of events of two processes that claim one partition.

The lease's own code claims, applies records and ends; only the log, the tail
and the writer's one pending append are modelled.  A process may claim at any
time, so that no property depends on a clock.  An append takes effect any time
after it is sent, once or twice, and its answer arrives or is lost.
"""

from typing import NamedTuple

import pytest

from tests import explorer
from tests import loop_clocks
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import leases
from waxwingport.log import tails

PARTITION = base.Partition(base.Topic('submissions'), 0)
RESULT = 'result'
pytestmark = pytest.mark.looptime


class Append(NamedTuple):
    """One append; ``record`` is a claim's record or ``RESULT``."""

    member: str
    epoch: int
    sequence: int
    record: object


class Process(NamedTuple):
    """State of one run of a process."""

    member: str
    position: int = 0
    epoch: int = 0
    held: bool = False
    writer: tuple | None = None  # epoch and number of the next append
    waiting: Append | None = None  # sent and not answered


class State(NamedTuple):
    log: tuple = ()
    seen_epoch: int = 0
    seen_sequence: int = 0
    in_flight: tuple = ()
    answers: frozenset = frozenset()  # (append, whether it succeeded)
    processes: tuple = ()
    sends: int = 0
    restarts: int = 0


class Writer:
    def __init__(self, epoch):
        self.epoch = epoch

    def abandon(self, fault):
        pass


class Listener(leases.LeaseListener):
    busy = False

    def handle_acquisition(self, writer):
        pass

    def handle_loss(self, reason):
        pass


class TasklessLease(leases.PartitionLease):
    """A lease whose background tasks are discarded."""

    def _spawn(self, work):
        work.close()


class FixedNumbers:
    """Draws a fixed number as the sequence number of a claim."""

    def __init__(self, number):
        self._number = number

    def getrandbits(self, bits):
        return self._number

    def uniform(self, low, high):
        return low


class Records(tails.RecordListener):
    def handle_record(self, record):
        pass

    def handle_gap(self):
        pass


def restore_lease(process):
    """Returns a lease with the state of the process."""
    tail = tails.PartitionTail(
        None, PARTITION, Records(), dependency.Dependency('log')
    )
    tail.first_caught_up_at = 0.0
    found = TasklessLease(
        None,
        tail,
        process.member,
        Listener(),
        1 << 16,
        loop_clocks.LoopWallClock(),
        FixedNumbers(1000 * (1 + ord(process.member[0])) + process.epoch),
    )
    found.epoch = process.epoch
    found.held = process.held
    if process.writer is not None:
        found._writer = Writer(process.writer[0])
    return found


def save_lease(process, found, writer):
    """Returns the process with the state of its lease."""
    kept = writer if found._writer is not None else None
    waiting = process.waiting if kept is not None else None
    return process._replace(
        epoch=found.epoch, held=found.held, writer=kept, waiting=waiting
    )


def execute(state, append):
    """Returns the state after the log handled an append by its rules."""
    done = (append.epoch, append.sequence) in {
        (row.epoch, row.sequence) for row in state.log
    }
    if not done and append.epoch >= state.seen_epoch:
        newer = append.epoch > state.seen_epoch
        if newer or append.sequence == state.seen_sequence + 1:
            done = True
            state = state._replace(
                log=(*state.log, append),
                seen_epoch=append.epoch,
                seen_sequence=append.sequence,
            )
    return add_answer(state, append, done)


def add_answer(state, append, done):
    """Returns the state with an answer sent to the process that waits."""
    awaited = {process.waiting for process in state.processes}
    kept = {row for row in state.answers if row[0] in awaited}
    return state._replace(answers=frozenset(kept | {(append, done)}))


class Model:
    def __init__(self, sends, restarts, repeats):
        self._sends = sends
        self._restarts = restarts
        self._repeats = repeats

    def initial(self):
        return State(processes=(Process('a1'), Process('b1')))

    def list_steps(self, state):
        for append in set(state.in_flight):
            rest = list(state.in_flight)
            rest.remove(append)
            yield (
                'execute',
                execute(state._replace(in_flight=tuple(rest)), append),
            )
        for index, process in enumerate(state.processes):
            yield from self.list_moves(state, index, process)

    def list_moves(self, state, index, process):
        name = process.member

        def put(found, **changes):
            rows = list(state.processes)
            rows[index] = found
            return state._replace(processes=tuple(rows), **changes)

        if process.position < len(state.log):
            yield f'{name} reads', put(self.read(state, process))
        if state.sends < self._sends:
            append = self.send(process)
            if append is not None:
                after, sent = append
                yield (
                    f'{name} sends',
                    put(
                        after,
                        in_flight=(*state.in_flight, sent),
                        sends=state.sends + 1,
                    ),
                )
        if process.waiting is not None:
            if self._repeats and process.waiting not in state.in_flight:
                in_flight = (*state.in_flight, process.waiting)
                yield f'{name} repeats', put(process, in_flight=in_flight)
            for append, done in state.answers:
                if append == process.waiting:
                    yield f'{name} answered', put(self.answer(process, done))
        if state.restarts < self._restarts:
            life = Process(f'{name[0]}{int(name[1:]) + 1}')
            yield (
                f'{name} restarts',
                put(life, restarts=state.restarts + 1),
            )

    def read(self, state, process):
        append = state.log[process.position]
        after = process._replace(position=process.position + 1)
        if append.record == RESULT:
            return after
        found = restore_lease(after)
        found.handle_record(
            leases.Claim(append.member, base.Epoch(append.epoch), 0.0)
        )
        return save_lease(after, found, process.writer)

    def send(self, process):
        """Returns the process and its next append, ``None`` if it may not."""
        if process.waiting is not None:
            return None
        if process.held and process.writer is not None:
            epoch, sequence = process.writer
            append = Append(process.member, epoch, sequence, RESULT)
            return process._replace(waiting=append), append
        if process.writer is not None:
            return None
        found = restore_lease(process)
        found._claim()
        epoch = found._writer.epoch
        append = Append(
            process.member, epoch, found._rng.getrandbits(40), 'claim'
        )
        after = process._replace(
            writer=(epoch, append.sequence), waiting=append
        )
        return after, append

    def answer(self, process, done):
        """Returns the process after the answer to its append."""
        epoch, sequence = process.writer
        if done:
            return process._replace(writer=(epoch, sequence + 1), waiting=None)
        found = restore_lease(process)
        found._end(found._writer, 'fenced')
        return save_lease(process, found, None)


def check(state):
    """Returns which property a state violates, ``None`` if none."""
    claim = None
    for append in state.log:
        if append.record != RESULT:
            claim = append
        elif (append.member, append.epoch) != (claim.member, claim.epoch):
            return 'a result of a process that is not the holder'
    places = [(row.epoch, row.sequence) for row in state.log]
    if len(set(places)) < len(places):
        return 'an append stands twice'
    current = [
        process
        for process in state.processes
        if process.held and process.position == len(state.log)
    ]
    if len(current) > 1:
        return 'two holders that have both read everything'
    if any(process.member != claim.member for process in current):
        return 'a holder whose claim is not the last'
    return None


@pytest.mark.parametrize(
    ('sends', 'restarts', 'repeats'),
    [(4, 0, True), (3, 1, True), (4, 1, False), (5, 0, False)],
)
async def test_no_order_of_events_lets_two_holders_list_results(
    sends, restarts, repeats
):
    model = Model(sends, restarts, repeats)
    count = explorer.explore(model.initial(), model.list_steps, check)
    assert count > 1000


async def test_a_lease_that_keeps_its_writer_is_detected(monkeypatch):
    """The exploration finds a holder that ignores a later claim."""

    def apply_claim(self, member, epoch, written_at):
        if epoch > self.epoch:
            self.epoch = epoch
            self.held = self.held or member == self._member

    monkeypatch.setattr(leases.PartitionLease, '_apply_claim', apply_claim)
    model = Model(4, 0, False)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, check)


async def test_a_log_without_fencing_is_detected(monkeypatch):
    """The exploration finds a result of an earlier holder."""

    def execute_anything(state, append):
        return add_answer(
            state._replace(log=(*state.log, append)), append, True
        )

    monkeypatch.setitem(globals(), 'execute', execute_anything)
    model = Model(4, 0, False)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, check)
