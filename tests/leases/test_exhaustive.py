"""Explores every interleaving of two processes that claim one lease.

The processes run the code of the keeper and the fold; only the log and the
clock are modelled.  An appended record reaches the log at any later time or
never, and its answer is always lost, so each outcome of an append is covered.
"""

import functools
from typing import NamedTuple

from expression import Error
import msgspec
import pytest

from tests import explorer
from waxwingport.leases import fold
from waxwingport.leases import keeper
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform

SETTINGS = keeper.LeaseSettings(
    duration=1, renewal_interval=0, takeover_margin=1
)
RETENTION = 3
NEVER = float('-inf')


class Clock:
    def __init__(self, now):
        self.now = now

    def time(self):
        return self.now


class Probe(keeper.LeaseKeeper):
    """A keeper whose appends are stored in ``caught``."""

    caught = None

    async def _append_with_timeout(self, body):
        self.caught = body
        kind = platform.LogFaultKind.UNKNOWN
        return Error(platform.LogFault(kind, 'lost'))


class Holder(NamedTuple):
    """State of one process."""

    name: str
    incarnation: int
    start: int
    next: int
    caught_up: bool
    state: keeper.LeaseState
    valid_until: float
    last_win_read_at: float
    last_append_at: float
    sent: tuple


class State(NamedTuple):
    """All times are relative to the current time, which is 0."""

    oldest: int
    log: tuple  # (append time, record body)
    in_flight: tuple  # appended records that the log has not stored
    holders: tuple
    sends: int
    restarts: int


def make_keeper(world, process, fold_class):
    """Returns a keeper with the state of a process."""
    found = Probe(
        None,
        'lease',
        name_process(process.name, process.incarnation),
        SETTINGS,
    )
    found._loop = Clock(0)
    found._fold = fold_class(process.start)
    for offset in range(process.start, process.next):
        found._fold.apply(offset, decode(world.log[offset][1]))
    found._caught_up = process.caught_up
    found.state = process.state
    found.valid_until = process.valid_until
    found._last_win_read_at = process.last_win_read_at
    found._last_append_at = process.last_append_at
    found._sent_at = dict(process.sent)
    return found


@functools.cache
def name_process(name, incarnation):
    return membership.Member(name, 'm', 'x:1', incarnation)


@functools.cache
def decode(body):
    return msgspec.msgpack.decode(body, type=fold.LeaseRecord)


def save_keeper(found, start, log):
    folded = {
        decode(body).record_id for _, body in log[start : found._fold.next]
    }
    return Holder(
        found._local_member.name,
        found._local_member.incarnation,
        start,
        found._fold.next,
        found._caught_up,
        found.state,
        found.valid_until,
        found._last_win_read_at,
        found._last_append_at,
        tuple(row for row in found._sent_at.items() if row[0] not in folded),
    )


def start_process(name, incarnation, world):
    return Holder(
        name,
        incarnation,
        world.oldest,
        world.oldest,
        False,
        keeper.LeaseState.FOLLOWING,
        NEVER,
        0,
        NEVER,
        (),
    )


def pass_time(world, expires):
    """Returns the state one tick later; times are capped.

    Times that are old enough to have no effect become equal, so the number
    of states is finite although time is unbounded.
    """
    log = world.log
    if expires:
        log = tuple((max(at - 1, -RETENTION), body) for at, body in log)
    holders = tuple(shift_times(process) for process in world.holders)
    return world._replace(log=log, holders=holders)


def shift_times(process):
    valid = process.valid_until - 1
    lapsed = valid <= 0 and process.state is keeper.LeaseState.HELD
    takeover_delay = SETTINGS.duration + SETTINGS.takeover_margin
    sent = tuple((name, max(at - 1, -3)) for name, at in process.sent)
    return process._replace(
        valid_until=valid if valid > 0 else NEVER,
        state=keeper.LeaseState.LAPSED if lapsed else process.state,
        last_win_read_at=max(process.last_win_read_at - 1, -takeover_delay),
        sent=sent,
    )


class Model:
    def __init__(
        self, keeper_fold=fold.LeaseFold, sends=3, restarts=0, expires=False
    ):
        self.fold = keeper_fold
        self.sends = sends
        self.restarts = restarts
        self.expires = expires

    def initial(self):
        empty = State(0, (), (), (), 0, 0)
        holders = tuple(
            start_process(name, 1, empty)._replace(caught_up=True)
            for name in 'ab'
        )
        return empty._replace(holders=holders)

    def list_steps(self, world):
        yield 'tick', pass_time(world, self.expires)
        for index, body in enumerate(world.in_flight):
            rest = world.in_flight[:index] + world.in_flight[index + 1 :]
            stored = world.log + ((0, body),)
            yield 'store', world._replace(in_flight=rest, log=stored)
        if self.expires and any(
            at <= -RETENTION for at, _ in world.log[world.oldest :]
        ):
            yield 'expire', world._replace(oldest=world.oldest + 1)
        for index in (0, 1):
            yield from self.list_moves(world, index)

    def list_moves(self, world, index):
        process = world.holders[index]
        name = process.name
        if process.next < len(world.log) or not process.caught_up:
            yield f'{name} reads', self.read(world, index)
        found = make_keeper(world, process, self.fold)
        if world.sends < self.sends and found._is_due():
            yield f'{name} sends', self.send(world, index, found)
        if world.restarts < self.restarts:
            fresh = start_process(name, process.incarnation + 1, world)
            yield (
                f'{name} restarts',
                self.put(world, index, fresh)._replace(
                    restarts=world.restarts + 1
                ),
            )

    def read(self, world, index):
        """Reads one record, so that every prefix of the log is explored."""
        process = world.holders[index]
        found = make_keeper(world, process, self.fold)
        start = process.start
        if process.next < world.oldest:
            found._fold = self.fold(world.oldest)
            found._caught_up = False
            found._last_win_read_at = 0
            start = world.oldest
        first = found._fold.next
        rows = tuple(
            platform.LogRecord(first + n, row[1])
            for n, row in enumerate(world.log[first : first + 1])
        )
        page = platform.LogPage(rows, world.oldest, first + len(rows))
        found._apply_page(first, page)
        return self.put(world, index, save_keeper(found, start, world.log))

    def send(self, world, index, found):
        coroutine = found._append()
        with pytest.raises(StopIteration):
            coroutine.send(None)
        record = decode(found.caught)
        named = msgspec.structs.replace(record, record_id=str(world.sends))
        found._sent_at[named.record_id] = found._sent_at.pop(record.record_id)
        body = msgspec.msgpack.encode(named)
        process = save_keeper(found, world.holders[index].start, world.log)
        return self.put(world, index, process)._replace(
            sends=world.sends + 1,
            in_flight=tuple(sorted((*world.in_flight, body))),
        )

    def put(self, world, index, process):
        rows = list(world.holders)
        rows[index] = process
        return world._replace(holders=tuple(rows))

    def check(self, world):
        numbers = []
        for process in world.holders:
            if process.state is not keeper.LeaseState.HELD:
                continue
            number = make_keeper(
                world, process, self.fold
            ).get_fencing_number()
            if number is not None:
                numbers.append(number)
        if len(numbers) > 1:
            return f'two valid holders: {numbers}'
        return None


class AcceptsAll(fold.LeaseFold):
    """A fold that ignores the records since the writer's last read."""

    def apply(self, offset, record):
        self._decisive_offset = record.read_up_to
        return super().apply(offset, record)


SIZES = {
    'three records': ({'sends': 3}, 82_000),
    'two records and a restart': ({'sends': 2, 'restarts': 1}, 18_000),
    'two records and expiry': ({'sends': 2, 'expires': True}, 23_000),
}


@pytest.mark.parametrize('size', sorted(SIZES))
async def test_never_two_valid_holders(size):
    options, states = SIZES[size]
    model = Model(**options)
    count = explorer.explore(model.initial(), model.list_steps, model.check)
    assert count > states


async def test_exploration_finds_a_fold_that_accepts_all():
    model = Model(AcceptsAll, sends=3, restarts=0)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, model.check)


async def test_exploration_finds_a_margin_that_is_missing(monkeypatch):
    """Processes that do not wait for the duration overlap with a holder."""
    no_wait = keeper.LeaseSettings(
        duration=1, renewal_interval=0, takeover_margin=-1
    )
    monkeypatch.setattr(f'{__name__}.SETTINGS', no_wait)
    model = Model(sends=3, restarts=0)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, model.check)
