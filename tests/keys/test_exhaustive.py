"""Two nodes, one key, a log that loses and delays: every interleaving.

The fold and the history are the real ones; what a shard does between them is
modelled.  A batch sent lands any time later or never, answers are never
seen, requests are given up, processes restart, the log drops old records.
"""

from typing import NamedTuple

import pytest

from tests import explorer
from waxwingport.keys import fold
from waxwingport.keys import history

WINDOW = 1
LAST_TIME = 1


class Node(NamedTuple):
    name: str
    life: int
    start: int
    next: int
    samples: tuple  # (time, end) of each read
    attempt: int
    unused: int
    """Attempt given up, whose right is still there; -1 for none."""
    done: bool


class State(NamedTuple):
    now: int
    oldest: int
    log: tuple  # (time of landing, node name, life, attempt, since)
    flying: tuple
    nodes: tuple
    grants: tuple  # offsets of the intents under which a request ran
    sends: int
    restarts: int


class Model:
    def __init__(self, fold_class=fold.KeyFold, sends=3, restarts=1):
        self.fold = fold_class
        self.sends = sends
        self.restarts = restarts

    def initial(self):
        nodes = tuple(Node(n, 0, 0, 0, (), 0, -1, False) for n in 'ab')
        return State(0, 0, (), (), nodes, (), 0, 0)

    def list_steps(self, world):
        if world.now < LAST_TIME:
            yield 'tick', world._replace(now=world.now + 1)
        for index, row in enumerate(world.flying):
            rest = world.flying[:index] + world.flying[index + 1 :]
            landed = (*world.log, (world.now, *row))
            yield 'land', world._replace(flying=rest, log=landed)
        old = world.log[world.oldest : world.oldest + 1]
        if old and old[0][0] <= world.now - WINDOW:
            yield 'expire', world._replace(oldest=world.oldest + 1)
        for index, node in enumerate(world.nodes):
            for label, after in self.list_moves(world, index, node):
                yield f'{node.name} {label}', after

    def list_moves(self, world, index, node):
        if world.restarts < self.restarts:
            fresh = Node(
                node.name, node.life + 1, world.oldest, world.oldest, (), 0,
                -1, False,
            )  # fmt: skip
            yield (
                'restarts',
                self.put(world, index, fresh)._replace(
                    restarts=world.restarts + 1
                ),
            )
        if (
            not node.samples
            or node.samples[-1][0] < world.now
            or (node.next < len(world.log))
        ):
            yield 'reads', self.put(world, index, self.read(world, node))
        if not node.samples or node.done:
            return
        found, start = self.look(world, node)
        if found is not None and found.last >= start:
            yield 'concludes', self.conclude(world, index, node, found)
        elif world.sends < self.sends:
            sent = (node.name, node.life, node.attempt, start)
            yield (
                'sends',
                world._replace(
                    flying=tuple(sorted((*world.flying, sent))),
                    sends=world.sends + 1,
                ),
            )
        if node.attempt < 1:
            later = node._replace(attempt=1, unused=node.attempt)
            yield 'gives up', self.put(world, index, later)

    def read(self, world, node):
        """Reads one record, or none at the end of the log."""
        if node.next < world.oldest:
            node = node._replace(
                start=world.oldest, next=world.oldest, samples=()
            )
        end = min(node.next + 1, len(world.log))
        samples = node.samples
        if not samples or samples[-1][0] < world.now:
            samples = (*samples, (world.now, end))
        return node._replace(next=end, samples=samples)

    def look(self, world, node):
        rows = self.fold(node.start)
        for offset in range(node.start, node.next):
            _, name, life, attempt, since = world.log[offset]
            intent = fold.Intent(b'k', b'f', name, life, 'r', attempt)
            rows.apply(offset, fold.Batch(since, (intent,)))
        past = history.ReadHistory(node.start)
        for at, end in node.samples:
            past.record(end, WINDOW, at)
        return rows.find(b'k'), past.find_window_start(WINDOW, world.now)

    def conclude(self, world, index, node, found):
        winner = found.winner
        own = (winner.owner, winner.incarnation) == (node.name, node.life)
        attempts = (node.attempt, node.unused)
        ours = own and found.conclusive and winner.attempt in attempts
        after = self.put(world, index, node._replace(done=True, unused=-1))
        if not ours:
            return after
        landed = next(
            offset
            for offset, row in enumerate(world.log)
            if row[1:4] == (node.name, node.life, winner.attempt)
        )
        return after._replace(grants=(*world.grants, landed))

    def put(self, world, index, node):
        rows = list(world.nodes)
        rows[index] = node
        return world._replace(nodes=tuple(rows))

    def check(self, world):
        times = sorted(world.log[offset][0] for offset in world.grants)
        for first, second in zip(times, times[1:], strict=False):
            if second - first < WINDOW:
                return f'ran twice within the window: {world.grants}'
        return None


class IgnoresOrder(fold.KeyFold):
    """A fold in which the last intent wins."""

    def _add(self, offset, since, intent):
        super()._add(offset, offset, intent)


def test_one_key_never_runs_twice_within_the_window():
    model = Model(sends=2, restarts=0)
    count = explorer.explore(model.initial(), model.list_steps, model.check)
    assert count > 72_000


def test_exploration_finds_a_fold_in_which_the_last_wins():
    model = Model(IgnoresOrder, sends=2, restarts=0)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, model.check)
