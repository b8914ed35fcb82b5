"""Replays releases and the loss of all nodes for ways to find a version again.

Each way says at which version a stream begins and which one a node that has
just started finds for it.
"""

import abc
import random

import msgspec
import pytest

from waxwingport.scheduling import software_versions

NODES = 12
STREAMS_PER_S = 60
DURATION_S = 60.0
RECORD_DELAY_S = 0.1
"""Time from a first event to its record, where nobody waits for it."""
CHECK_DELAY_S = 0.25
"""Time from a change of the slots to the records of ambiguous streams."""
LIFETIME_S = 120.0
STEP_S = 0.05


class Stream(msgspec.Struct):
    name: str
    node: int
    began_at: float
    ends_at: float


def make_slots(share, slots=40):
    """Returns the slots while the new version has a share of the slots."""
    slots = {'v1': round((1 - share) * slots), 'v2': round(share * slots)}
    return {name: count for name, count in slots.items() if count}


# The share of the new version by time, and when all nodes are killed.
PATTERNS = {
    'side-by-side': (lambda at: 0.5, 30.0),
    'first-engine': (lambda at: 0.2 if at > 29.5 else 0.0, 30.0),
    'one-by-one': (lambda at: min(1.0, max(0.0, (at - 10) // 8 * 0.2)), 30.0),
    'at-once': (lambda at: 1.0 if at > 29.0 else 0.0, 30.0),
    'long-after': (lambda at: 1.0 if at > 10.0 else 0.0, 30.0),
}


class Way(abc.ABC):
    """A way to find out the version of a stream after all nodes were lost."""

    def __init__(self, pattern, killed_at, rng):
        self.share, self.killed_at = pattern, killed_at
        self.lags = [rng.uniform(0.02, 0.3) for _ in range(NODES)]
        self.records = 0
        self.changes = self._list_changes()
        """Times and slots within the lifetime of a stream."""

    def _list_changes(self):
        changes = []
        first = max(0.0, self.killed_at - LIFETIME_S)
        for step in range(round((self.killed_at - first) / STEP_S) + 1):
            at = first + step * STEP_S
            slots = self.get_slots(at)
            if not changes or changes[-1][1] != slots:
                changes.append((at, slots))
        return changes

    def get_slots(self, at):
        return make_slots(self.share(at))

    def begin(self, stream):
        """Returns the version at which a stream begins."""
        seen_at = stream.began_at - self.lags[stream.node]
        return software_versions.assign(stream.name, self.get_slots(seen_at))

    @abc.abstractmethod
    def find(self, stream, software):
        """Returns the version that is found, ``None`` if it is unknown."""


class ComputedNow(Way):
    """Computes the version from the id and the engines that serve."""

    def find(self, stream, software):
        return software_versions.assign(
            stream.name, self.get_slots(self.killed_at + 1.0)
        )


class RecordedAll(Way):
    """Records every stream soon after its first event."""

    def find(self, stream, software):
        self.records += 1
        lost = stream.began_at + RECORD_DELAY_S > self.killed_at
        return None if lost else software


class Published(Way):
    """Computes it from the slots that nodes publish; records the rest."""

    def find(self, stream, software):
        candidates = {}
        for at, slots in self.changes:
            assigned = software_versions.assign(stream.name, slots)
            candidates.setdefault(assigned, at)
        if len(candidates) == 1:
            return next(iter(candidates))
        self.records += 1
        # Known once the first node has published the slots.
        ambiguous_at = sorted(candidates.values())[1] + min(self.lags)
        due = max(
            stream.began_at + RECORD_DELAY_S, ambiguous_at + CHECK_DELAY_S
        )
        return software if due <= self.killed_at else None


def replay(way_type, name, seed):
    """Returns counts of streams taken up, joined, gone on and recorded."""
    pattern, killed_at = PATTERNS[name]
    rng = random.Random(seed)
    way = way_type(pattern, killed_at, rng)
    taken_up = joined = went_on = 0
    for number in range(round(STREAMS_PER_S * DURATION_S)):
        began_at = number / STREAMS_PER_S
        stream = Stream(
            f'{seed}/{number}',
            rng.randrange(NODES),
            began_at,
            began_at + rng.uniform(2.0, 8.0),
        )
        if not stream.began_at <= killed_at < stream.ends_at:
            continue
        taken_up += 1
        software = way.begin(stream)
        found = way.find(stream, software)
        went_on += found == software
        joined += found not in (None, software)
    return taken_up, joined, went_on, way.records


@pytest.mark.parametrize('name', PATTERNS)
@pytest.mark.parametrize('seed', range(3))
def test_published_counts_join_streams_or_lose_most(name, seed):
    taken_up, joined, went_on, _ = replay(Published, name, seed)
    assert taken_up >= 100
    assert joined == 0
    assert went_on >= 0.5 * taken_up


@pytest.mark.parametrize('name', ['one-by-one', 'at-once', 'first-engine'])
def test_a_version_that_is_computed_from_the_id_alone_joins_streams(name):
    # Why the slots of the past are published.
    _, joined, _, _ = replay(ComputedNow, name, 1)
    assert joined >= 10


def test_all_streams_are_recorded_where_few_are_ambiguous():
    # Why only ambiguous streams are recorded.
    *_, all_records = replay(RecordedAll, 'side-by-side', 1)
    *_, records = replay(Published, 'side-by-side', 1)
    assert records == 0
    assert all_records >= 100
    *_, records = replay(Published, 'one-by-one', 1)
    assert 0 < records < all_records
