"""Two holders, one lease, a log that loses and delays: every interleaving.

The keepers' own code decides and folds; only the log and the clock are
modelled.  A record sent lands any time later or never, and answers are
never seen, so each outcome of an append is covered.
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
    """A keeper whose appends are caught."""

    caught = None

    async def _append_in_time(self, body):
        self.caught = body
        kind = platform.LogFaultKind.UNKNOWN
        return Error(platform.LogFault(kind, 'lost'))


class Holder(NamedTuple):
    """What one process remembers."""

    name: str
    life: int
    start: int
    next: int
    caught_up: bool
    state: keeper.LeaseState
    valid_until: float
    heard_at: float
    tried_at: float
    sent: tuple


class State(NamedTuple):
    """All times are relative to the present, which is 0."""

    oldest: int
    log: tuple  # (time of landing, record body)
    flying: tuple
    holders: tuple
    sends: int
    restarts: int


def revive(world, memory, fold_class):
    """Returns a keeper with what the process remembers."""
    found = Probe(
        None, 'lease', name_process(memory.name, memory.life), SETTINGS
    )
    found._loop = Clock(0)
    found._fold = fold_class(memory.start)
    for offset in range(memory.start, memory.next):
        found._fold.apply(offset, decode(world.log[offset][1]))
    found._caught_up = memory.caught_up
    found.state = memory.state
    found.valid_until = memory.valid_until
    found._heard_at = memory.heard_at
    found._tried_at = memory.tried_at
    found._sent = dict(memory.sent)
    return found


@functools.cache
def name_process(name, life):
    return membership.Member(name, 'm', 'x:1', life)


@functools.cache
def decode(body):
    return msgspec.msgpack.decode(body, type=fold.LeaseRecord)


def remember(found, start, log):
    folded = {
        decode(body).record_id for _, body in log[start : found._fold.next]
    }
    return Holder(
        found._own.name,
        found._own.incarnation,
        start,
        found._fold.next,
        found._caught_up,
        found.state,
        found.valid_until,
        found._heard_at,
        found._tried_at,
        tuple(row for row in found._sent.items() if row[0] not in folded),
    )


def start_process(name, life, world):
    return Holder(
        name,
        life,
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
    """Returns the state one tick later; what no longer matters is dropped.

    That keeps the number of states finite without a bound on the time.
    """
    log = world.log
    if expires:
        log = tuple((max(at - 1, -RETENTION), body) for at, body in log)
    holders = tuple(age(memory) for memory in world.holders)
    return world._replace(log=log, holders=holders)


def age(memory):
    valid = memory.valid_until - 1
    lapsed = valid <= 0 and memory.state is keeper.LeaseState.HELD
    silence = SETTINGS.duration + SETTINGS.takeover_margin
    sent = tuple((name, max(at - 1, -3)) for name, at in memory.sent)
    return memory._replace(
        valid_until=valid if valid > 0 else NEVER,
        state=keeper.LeaseState.LAPSED if lapsed else memory.state,
        heard_at=max(memory.heard_at - 1, -silence),
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
        for index, body in enumerate(world.flying):
            rest = world.flying[:index] + world.flying[index + 1 :]
            landed = world.log + ((0, body),)
            yield 'land', world._replace(flying=rest, log=landed)
        if self.expires and any(
            at <= -RETENTION for at, _ in world.log[world.oldest :]
        ):
            yield 'expire', world._replace(oldest=world.oldest + 1)
        for index in (0, 1):
            yield from self.list_moves(world, index)

    def list_moves(self, world, index):
        memory = world.holders[index]
        name = memory.name
        if memory.next < len(world.log) or not memory.caught_up:
            yield f'{name} reads', self.read(world, index)
        found = revive(world, memory, self.fold)
        if world.sends < self.sends and found._is_due():
            yield f'{name} sends', self.send(world, index, found)
        if world.restarts < self.restarts:
            fresh = start_process(name, memory.life + 1, world)
            yield (
                f'{name} restarts',
                self.put(world, index, fresh)._replace(
                    restarts=world.restarts + 1
                ),
            )

    def read(self, world, index):
        """One record at a time, so that each prefix of the log is met."""
        memory = world.holders[index]
        found = revive(world, memory, self.fold)
        start = memory.start
        if memory.next < world.oldest:
            found._fold = self.fold(world.oldest)
            found._caught_up = False
            found._heard_at = 0
            start = world.oldest
        first = found._fold.next
        rows = tuple(
            platform.LogRecord(first + n, row[1])
            for n, row in enumerate(world.log[first : first + 1])
        )
        page = platform.LogPage(rows, world.oldest, first + len(rows))
        found._take(first, page)
        return self.put(world, index, remember(found, start, world.log))

    def send(self, world, index, found):
        coroutine = found._append()
        with pytest.raises(StopIteration):
            coroutine.send(None)
        record = decode(found.caught)
        named = msgspec.structs.replace(record, record_id=str(world.sends))
        found._sent[named.record_id] = found._sent.pop(record.record_id)
        body = msgspec.msgpack.encode(named)
        memory = remember(found, world.holders[index].start, world.log)
        return self.put(world, index, memory)._replace(
            sends=world.sends + 1, flying=tuple(sorted((*world.flying, body)))
        )

    def put(self, world, index, memory):
        rows = list(world.holders)
        rows[index] = memory
        return world._replace(holders=tuple(rows))

    def check(self, world):
        numbers = []
        for memory in world.holders:
            if memory.state is not keeper.LeaseState.HELD:
                continue
            number = revive(world, memory, self.fold).get_fencing_number()
            if number is not None:
                numbers.append(number)
        if len(numbers) > 1:
            return f'two valid holders: {numbers}'
        return None


class AcceptsAll(fold.LeaseFold):
    """A fold that forgets to look at what stands between."""

    def apply(self, offset, record):
        self._last = record.read_up_to
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
    """Others that do not wait for the duration overlap with the holder."""
    hasty = keeper.LeaseSettings(
        duration=1, renewal_interval=0, takeover_margin=-1
    )
    monkeypatch.setattr(f'{__name__}.SETTINGS', hasty)
    model = Model(sends=3, restarts=0)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, model.check)
