"""Explores every interleaving of two nodes that claim one key.

The fold and the read history are the real classes; the rest of a shard is
modelled.  An appended batch reaches the log at any later time or never, its
answer is always lost, requests are abandoned, processes restart, and the log
drops old records.
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
    incarnation: int
    start: int
    next: int
    samples: tuple  # (time, end) of each read
    attempt: int
    unused: int
    """Abandoned attempt that may still win for the node; -1 for none."""
    done: bool


class State(NamedTuple):
    now: int
    oldest: int
    log: tuple  # (append time, node, incarnation, attempt, window start)
    in_flight: tuple  # appended batches that the log has not stored
    nodes: tuple
    grants: tuple  # offsets of the intents whose request ran
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
        for index, batch in enumerate(world.in_flight):
            rest = world.in_flight[:index] + world.in_flight[index + 1 :]
            stored = (*world.log, (world.now, *batch))
            yield 'store', world._replace(in_flight=rest, log=stored)
        old = world.log[world.oldest : world.oldest + 1]
        if old and old[0][0] <= world.now - WINDOW:
            yield 'expire', world._replace(oldest=world.oldest + 1)
        for index, node in enumerate(world.nodes):
            for label, after in self.list_moves(world, index, node):
                yield f'{node.name} {label}', after

    def list_moves(self, world, index, node):
        if world.restarts < self.restarts:
            fresh = Node(
                node.name, node.incarnation + 1, world.oldest, world.oldest,
                (), 0, -1, False,
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
        found, start = self.fold_log(world, node)
        if found is not None and found.last >= start:
            yield 'concludes', self.conclude(world, index, node, found)
        elif world.sends < self.sends:
            sent = (node.name, node.incarnation, node.attempt, start)
            yield (
                'sends',
                world._replace(
                    in_flight=tuple(sorted((*world.in_flight, sent))),
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

    def fold_log(self, world, node):
        key_fold = self.fold(node.start)
        for offset in range(node.start, node.next):
            _, name, incarnation, attempt, window_start = world.log[offset]
            intent = fold.Intent(b'k', b'f', name, incarnation, 'r', attempt)
            key_fold.apply(offset, fold.Batch(window_start, (intent,)))
        past = history.ReadHistory(node.start)
        for at, end in node.samples:
            past.record(end, WINDOW, at)
        return key_fold.find(b'k'), past.find_window_start(WINDOW, world.now)

    def conclude(self, world, index, node, found):
        winner = found.winner
        own = (winner.owner, winner.incarnation) == (
            node.name,
            node.incarnation,
        )
        attempts = (node.attempt, node.unused)
        ours = own and found.conclusive and winner.attempt in attempts
        after = self.put(world, index, node._replace(done=True, unused=-1))
        if not ours:
            return after
        winning_offset = next(
            offset
            for offset, batch in enumerate(world.log)
            if batch[1:4] == (node.name, node.incarnation, winner.attempt)
        )
        return after._replace(grants=(*world.grants, winning_offset))

    def put(self, world, index, node):
        nodes = list(world.nodes)
        nodes[index] = node
        return world._replace(nodes=tuple(nodes))

    def check(self, world):
        times = sorted(world.log[offset][0] for offset in world.grants)
        for first, second in zip(times, times[1:], strict=False):
            if second - first < WINDOW:
                return f'ran twice within the window: {world.grants}'
        return None


class IgnoresOrder(fold.KeyFold):
    """A fold in which the last intent wins."""

    def _add(self, offset, window_start, intent):
        super()._add(offset, offset, intent)


def test_one_key_never_runs_twice_within_the_window():
    model = Model(sends=2, restarts=0)
    count = explorer.explore(model.initial(), model.list_steps, model.check)
    assert count > 72_000


def test_exploration_finds_a_fold_in_which_the_last_wins():
    model = Model(IgnoresOrder, sends=2, restarts=0)
    with pytest.raises(explorer.Violation):
        explorer.explore(model.initial(), model.list_steps, model.check)
