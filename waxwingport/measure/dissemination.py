"""Ways to pass a configuration record on to every node.

Compares two levels by data centre with push along prefix trees, after
"Heterogeneous and reliable peer-to-peer streaming with scalable and erasure
coding over prefix-based overlays" (2012), sections 4.2 and 4.3.  Works on the
graph of who sends to whom; no time passes.
"""

import collections
import random

import msgspec

from waxwingport.measure import base

__all__ = ['Dissemination']

_NODES = 690
_CENTRES = 25
_READERS = 3
_RECORD_BYTES = 600
_FAILED_SHARES = (0.0, 0.05, 0.2)
_TRIALS = 20
_ID_BITS = 16


class _Spread(msgspec.Struct):
    """What one way of spreading did in one trial."""

    reached: int
    live: int
    hops: int
    messages: int
    remote_messages: int
    most_sent: int


class _Nodes:
    """Nodes with random ids, their data centres, and which have failed."""

    def __init__(self, rng: random.Random, failed_share: float) -> None:
        self.ids = rng.sample(range(2**_ID_BITS), _NODES)
        self.centre = {
            node: index % _CENTRES for index, node in enumerate(self.ids)
        }
        failed = rng.sample(self.ids, int(failed_share * _NODES))
        self.failed = frozenset(failed)

    def count_live(self) -> int:
        return len(self.ids) - len(self.failed)


class Dissemination(base.Measurement):
    """Reach, hops and bytes of two levels against prefix trees."""

    name = 'dissemination'
    summary = 'two levels by data centre against prefix trees, 690 nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Returns the mean figures over the trials."""
        figures: list[base.Figure] = []
        ways = {
            'two levels': _spread_two_levels,
            'prefix tree': lambda nodes, rng: _spread_tree(nodes, rng, 1),
            'prefix tree, backup': lambda nodes, rng: _spread_tree(
                nodes, rng, 2
            ),
        }
        for failed_share in _FAILED_SHARES:
            for label, spread in ways.items():
                rng = random.Random(options.seed)
                rows = [
                    spread(_Nodes(rng, failed_share), rng)
                    for _ in range(_TRIALS)
                ]
                title = f'{label}, {failed_share:.0%} failed'
                figures.extend(_summarise(title, rows))
        return base.Report(self.name, options, tuple(figures))


def _summarise(title: str, rows: list[_Spread]) -> list[base.Figure]:
    def mean(values) -> float:
        return sum(values) / len(rows)

    reach = mean(row.reached / row.live for row in rows)
    return [
        base.Figure(f'{title}: reached', reach, 'share of live nodes'),
        base.Figure(f'{title}: hops', mean(r.hops for r in rows), 'at most'),
        base.Figure(
            f'{title}: between data centres',
            mean(row.remote_messages for row in rows) * _RECORD_BYTES,
            'bytes a record',
        ),
        base.Figure(
            f'{title}: busiest node',
            mean(row.most_sent for row in rows) * _RECORD_BYTES,
            'bytes a record',
        ),
    ]


def _spread_two_levels(nodes: _Nodes, rng: random.Random) -> _Spread:
    """Readers of each data centre pass on to all nodes there.

    The first live reader sends; the reads from the log count as messages
    between data centres.  Without a live reader every node reads for itself.
    """
    members = collections.defaultdict(list)
    for node in nodes.ids:
        members[nodes.centre[node]].append(node)
    sent = collections.Counter()
    reached: set[int] = set()
    remote = 0
    for rows in members.values():
        live = [node for node in rows if node not in nodes.failed]
        readers = [row for row in rows[:_READERS] if row not in nodes.failed]
        remote += len(readers) or len(live)
        for reader in readers[:1]:
            sent[reader] += len(rows) - 1
        reached.update(live)
    hops = 2
    return _Spread(
        reached=len(reached),
        live=nodes.count_live(),
        hops=hops,
        messages=sum(sent.values()) + remote,
        remote_messages=remote,
        most_sent=max(sent.values(), default=0),
    )


def _spread_tree(
    nodes: _Nodes, rng: random.Random, neighbours: int
) -> _Spread:
    """Pushes along shared prefixes, to ``neighbours`` for each prefix.

    A node with backups sends to the first neighbour that answers.
    """
    live = [node for node in nodes.ids if node not in nodes.failed]
    source = rng.choice(live)
    hops = {source: 0}
    sent = collections.Counter()
    remote = 0
    queue = collections.deque([(source, 0)])
    groups = _group_by_prefix(nodes.ids)
    while queue:
        node, fixed = queue.popleft()
        for length in range(fixed, _ID_BITS):
            sibling = (length + 1, (node >> (_ID_BITS - length - 1)) ^ 1)
            choices = groups.get(sibling, [])
            for target in _draw_near(node, choices, nodes, neighbours, rng):
                sent[node] += 1
                remote += nodes.centre[target] != nodes.centre[node]
                if target in nodes.failed:
                    continue
                if target not in hops:
                    hops[target] = hops[node] + 1
                    queue.append((target, length + 1))
                break
    return _Spread(
        reached=len(hops),
        live=len(live),
        hops=max(hops.values()),
        messages=sum(sent.values()),
        remote_messages=remote,
        most_sent=max(sent.values()),
    )


def _draw_near(
    node: int,
    choices: list[int],
    nodes: _Nodes,
    count: int,
    rng: random.Random,
) -> list[int]:
    """Returns neighbours drawn at random, those near ``node`` first."""
    own = nodes.centre[node]
    drawn = rng.sample(choices, len(choices))
    drawn.sort(key=lambda other: nodes.centre[other] != own)
    return drawn[:count]


def _group_by_prefix(
    names: list[int],
) -> dict[tuple[int, int], list[int]]:
    groups = collections.defaultdict(list)
    for node in names:
        for length in range(1, _ID_BITS + 1):
            groups[length, node >> (_ID_BITS - length)].append(node)
    return groups
