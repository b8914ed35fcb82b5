"""Any interleaving leaves every node with what a naive fold gives.

Holds the invariant that an accepted configuration never reverts: the
revision of no living node falls, and what is in force at a revision is the
same on every node, whichever way it learned of it.
"""

import asyncio
import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from tests.configuration import conftest
from tests.configuration import test_publisher
from waxwingport.configuration import consistency
from waxwingport.configuration import declarations
from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import keys
from waxwingport.configuration import messages
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.standins import platform

WINDOW = 8
NODES = 3

POOL = keys.make_key('pools', 'a')
CANDIDATES = [
    (POOL, declarations.Pool('a', 'x', weight=1.0)),
    (POOL, declarations.Pool('a', 'x', weight=2.0)),
    (POOL, declarations.Pool('a', '= broken')),
    (POOL, None),
    (POOL, None),
    ('pools/b', declarations.Pool('b', 'x')),
    ('pools/b', None),
    ('services/b', declarations.Service('b', 'y')),
    ('services/b', None),
    ('trainers/t', declarations.Trainer('t', 'a')),
    ('trainers/t', declarations.Trainer('t', 'b', scoring='b')),
    ('trainers/t', None),
]
VALUES = st.lists(st.sampled_from(CANDIDATES), min_size=1, max_size=2).map(
    dict
)


class Naive:
    """Folds with unbounded memory and checks everything each time."""

    def __init__(self):
        self.states = {-1: {}}
        self._rows = {}
        self._changed = {}
        self._seen = set()
        self._floor = -1

    def take(self, offset, body):
        self._fold(offset, body)
        self.states[offset] = dict(self._rows)

    def _fold(self, offset, body):
        try:
            record = json.loads(body)
        except ValueError:
            return
        if isinstance(record, dict) and record.get('kind') == 'reset':
            self._reset(offset, record)
            return
        if 'id' not in record or record['id'] in self._seen:
            return
        self._seen.add(record['id'])
        base, values = record['based_on'], record['values']
        if not max(offset - WINDOW, self._floor) <= base < offset:
            return
        if any(self._changed.get(key, -1) > base for key in values):
            return
        rows = self._merge(dict(self._rows), values)
        if not consistency.find_faults(rows):
            self._rows = rows
            self._changed |= dict.fromkeys(values, offset)

    def _reset(self, offset, record):
        rows = self._merge({}, record['values'])
        if not consistency.find_faults(rows):
            self._rows, self._seen = rows, {record['id']}
            self._changed = dict.fromkeys(rows, offset)
            self._floor = offset

    def _merge(self, rows, values):
        for key, value in values.items():
            rows.pop(key, None)
            if value is not None:
                kind = keys.KINDS[key.partition('/')[0]]
                rows[key] = msgspec.convert(value, kind)
        return rows


class FoldMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.window, fold.WINDOW = fold.WINDOW, WINDOW
        self.runner = asyncio.Runner()
        settings = platform.StandInLogSettings(
            appends_per_second=10**6, retention=1e9, delay=0.0
        )
        self.log = platform.StandInLog(settings)
        self.naive = Naive()
        self.appended = []
        self.changes = conftest.Changes()
        self.nodes = [self.make_node() for _ in range(NODES)]
        self.highest = [-1] * NODES

    def teardown(self):
        self.runner.close()
        fold.WINDOW = self.window

    def make_node(self):
        vm_list = platform.StandInVmList([test_publisher.ENGINE])
        return test_publisher.Desk(self.log, vm_list)

    def run(self, work):
        return self.runner.run(work)

    def note_appends(self):
        """Feeds the naive fold with what the log took."""
        stream = self.log._stream(reader.STREAM)
        start = len(self.appended)
        for index in range(start - stream.first, len(stream.records)):
            body = stream.records[index][1]
            self.naive.take(len(self.appended), body)
            self.appended.append(body)

    def append(self, body):
        self.run(self.log.append(reader.STREAM, body))
        self.note_appends()

    @stateful.rule(
        values=VALUES, back=st.integers(0, 3) | st.integers(0, WINDOW + 3)
    )
    def change(self, values, back):
        base = max(-1, len(self.appended) - 1 - back)
        made = self.changes.make(values, based_on=base)
        self.append(records.encode(made))

    @stateful.rule(
        node=st.integers(0, NODES - 1),
        values=VALUES,
        back=st.integers(0, 3),
        lost=st.integers(0, 2),
    )
    def publish(self, node, values, back, lost):
        desk = self.nodes[node]
        base = max(-1, desk.state.revision - back)
        self.log.lost_answers = lost
        before = len(self.appended)
        made = self.changes.make(values, based_on=base)
        outcome = self.run(desk.publish(made, force=True))
        self.log.lost_answers = 0
        self.note_appends()
        assert len(self.appended) <= before + 1
        if outcome.is_ok():
            stored = self.naive.states[outcome.ok]
            for key, value in values.items():
                assert stored.get(key) == value

    @stateful.precondition(lambda self: self.appended)
    @stateful.rule(data=st.data())
    def repeat_record(self, data):
        self.append(data.draw(st.sampled_from(self.appended)))

    @stateful.rule(body=st.sampled_from([b'', b'{}', b'[1]', b'\xff']))
    def append_garbage(self, body):
        self.append(body)

    @stateful.rule(values=VALUES)
    def reset(self, values):
        record_id = f'reset{len(self.appended)}'
        written = records.write_values(values)
        self.append(records.encode(records.Reset(record_id, 'o', written)))

    @stateful.rule(node=st.integers(0, NODES - 1))
    def write_snapshot(self, node):
        folded = self.nodes[node].state.folded
        if folded.revision >= 0:
            self.append(records.encode(initial_state.make_snapshot(folded)))

    @stateful.rule(data=st.data())
    def expire(self, data):
        oldest = data.draw(st.integers(0, len(self.appended)))
        self.log.expire_before(reader.STREAM, oldest)

    @stateful.rule(node=st.integers(0, NODES - 1))
    def read(self, node):
        self.run(self.nodes[node].reader.step(0.0))

    @stateful.rule(
        node=st.integers(0, NODES - 1), other=st.integers(0, NODES - 1)
    )
    def take_state(self, node, other):
        packed = messages.pack_state(self.nodes[other].state.folded)
        unpacked = messages.unpack_state(packed)
        if unpacked.is_ok():
            self.nodes[node].state.replace(unpacked.ok)

    @stateful.rule(
        node=st.integers(0, NODES - 1), other=st.integers(0, NODES - 1)
    )
    def take_records(self, node, other):
        taker = self.nodes[node].state
        rows = self.nodes[other].state.list_recent(taker.revision)
        taker.advance(rows or ())

    @stateful.rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.nodes[node] = self.make_node()
        self.highest[node] = -1

    @stateful.invariant()
    def nodes_hold_what_the_naive_fold_gives(self):
        for node in self.nodes:
            folded = node.state.folded
            assert folded.rows == self.naive.states[folded.revision]

    @stateful.invariant()
    def revisions_never_fall(self):
        for index, node in enumerate(self.nodes):
            assert node.state.revision >= self.highest[index]
            self.highest[index] = node.state.revision

    @stateful.invariant()
    def equal_revisions_have_equal_snapshots(self):
        written = {}
        for node in self.nodes:
            folded = node.state.folded
            body = records.encode(initial_state.make_snapshot(folded))
            assert written.setdefault(folded.revision, body) == body


TestFoldMachine = FoldMachine.TestCase
TestFoldMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
