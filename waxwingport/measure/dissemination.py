"""Measurement of ways to send a configuration record to every node.

Compares sending within each data centre with push along prefix trees, after
"Heterogeneous and reliable peer-to-peer streaming with scalable and erasure
coding over prefix-based overlays" (2012), sections 4.2 and 4.3.  It counts
messages in a graph of nodes; no time passes.
"""

import collections
import random

import msgspec

from waxwingport.measure import base

__all__ = ['Dissemination']

_NODES = 690
_DATA_CENTRES = 25
_READERS = 3
_RECORD_BYTES = 600
_FAILED_SHARES = (0.0, 0.05, 0.2)
_TRIALS = 20
_ID_BITS = 16


class _TrialResult(msgspec.Struct):
    """Reach and messages of one method in one trial."""

    reached: int
    live: int
    hops: int
    messages: int
    remote_messages: int
    most_sent: int


class _Overlay:
    """Nodes with random ids, each in a data centre; some have failed."""

    def __init__(self, rng: random.Random, failed_share: float) -> None:
        self.ids = rng.sample(range(2**_ID_BITS), _NODES)
        self.data_centres = {
            node: index % _DATA_CENTRES for index, node in enumerate(self.ids)
        }
        failed = rng.sample(self.ids, int(failed_share * _NODES))
        self.failed = frozenset(failed)

    def count_live(self) -> int:
        return len(self.ids) - len(self.failed)


class Dissemination(base.Measurement):
    """Reach, hops and bytes of two levels compared with prefix trees."""

    name = 'dissemination'
    summary = 'two levels by data centre against prefix trees, 690 nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Returns the means over the trials of each method."""
        figures: list[base.Figure] = []
        methods = {
            'two levels': _send_by_data_centre,
            'prefix tree': lambda overlay, rng: _send_along_prefixes(
                overlay, rng, 1
            ),
            'prefix tree, backup': lambda overlay, rng: _send_along_prefixes(
                overlay, rng, 2
            ),
        }
        for failed_share in _FAILED_SHARES:
            for method, send in methods.items():
                rng = random.Random(options.seed)
                results = [
                    send(_Overlay(rng, failed_share), rng)
                    for _ in range(_TRIALS)
                ]
                title = f'{method}, {failed_share:.0%} failed'
                figures.extend(_make_figures(title, results))
        return base.Report(self.name, options, tuple(figures))


def _make_figures(
    title: str, results: list[_TrialResult]
) -> list[base.Figure]:
    def mean(values) -> float:
        return sum(values) / len(results)

    reached_share = mean(result.reached / result.live for result in results)
    return [
        base.Figure(f'{title}: reached', reached_share, 'share of live nodes'),
        base.Figure(
            f'{title}: hops',
            mean(result.hops for result in results),
            'at most',
        ),
        base.Figure(
            f'{title}: between data centres',
            mean(result.remote_messages for result in results) * _RECORD_BYTES,
            'bytes a record',
        ),
        base.Figure(
            f'{title}: busiest node',
            mean(result.most_sent for result in results) * _RECORD_BYTES,
            'bytes a record',
        ),
    ]


def _send_by_data_centre(
    overlay: _Overlay, rng: random.Random
) -> _TrialResult:
    """Readers of each data centre send the record to all nodes there.

    Only the first live reader sends.  Reads from the log count as messages
    between data centres.  Without a live reader every node reads the log.
    """
    members = collections.defaultdict(list)
    for node in overlay.ids:
        members[overlay.data_centres[node]].append(node)
    sent = collections.Counter()
    reached: set[int] = set()
    remote = 0
    for local_nodes in members.values():
        live = [node for node in local_nodes if node not in overlay.failed]
        readers = [
            node
            for node in local_nodes[:_READERS]
            if node not in overlay.failed
        ]
        remote += len(readers) or len(live)
        for reader in readers[:1]:
            sent[reader] += len(local_nodes) - 1
        reached.update(live)
    hops = 2
    return _TrialResult(
        reached=len(reached),
        live=overlay.count_live(),
        hops=hops,
        messages=sum(sent.values()) + remote,
        remote_messages=remote,
        most_sent=max(sent.values(), default=0),
    )


def _send_along_prefixes(
    overlay: _Overlay, rng: random.Random, max_attempts: int
) -> _TrialResult:
    """Pushes the record along shared prefixes of the node ids.

    For each prefix length a node tries up to ``max_attempts`` neighbours
    until one of them is live.
    """
    live = [node for node in overlay.ids if node not in overlay.failed]
    source = rng.choice(live)
    hops = {source: 0}
    sent = collections.Counter()
    remote = 0
    queue = collections.deque([(source, 0)])
    groups = _group_by_prefix(overlay.ids)
    while queue:
        node, prefix_length = queue.popleft()
        for length in range(prefix_length, _ID_BITS):
            sibling = (length + 1, (node >> (_ID_BITS - length - 1)) ^ 1)
            choices = groups.get(sibling, [])
            for target in _choose_neighbours(
                node, choices, overlay, max_attempts, rng
            ):
                sent[node] += 1
                remote += (
                    overlay.data_centres[target] != overlay.data_centres[node]
                )
                if target in overlay.failed:
                    continue
                if target not in hops:
                    hops[target] = hops[node] + 1
                    queue.append((target, length + 1))
                break
    return _TrialResult(
        reached=len(hops),
        live=len(live),
        hops=max(hops.values()),
        messages=sum(sent.values()),
        remote_messages=remote,
        most_sent=max(sent.values()),
    )


def _choose_neighbours(
    node: int,
    choices: list[int],
    overlay: _Overlay,
    count: int,
    rng: random.Random,
) -> list[int]:
    """Returns random neighbours, those in the same data centre first."""
    local_data_centre = overlay.data_centres[node]
    drawn = rng.sample(choices, len(choices))
    drawn.sort(
        key=lambda other: overlay.data_centres[other] != local_data_centre
    )
    return drawn[:count]


def _group_by_prefix(
    node_ids: list[int],
) -> dict[tuple[int, int], list[int]]:
    groups = collections.defaultdict(list)
    for node in node_ids:
        for length in range(1, _ID_BITS + 1):
            groups[length, node >> (_ID_BITS - length)].append(node)
    return groups
