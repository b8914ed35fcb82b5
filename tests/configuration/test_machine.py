"""Every interleaving gives each node the result of a reference fold.

Checks the invariant that a configuration in force never reverts: the revision
of a running node never decreases, and the declarations at one revision are
the same on every node, whether they came from the log or from a peer.
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


class ReferenceFold:
    """Folds with unbounded memory and checks all rules on each change."""

    def __init__(self):
        self.states = {-1: {}}
        self._declared = {}
        self._changed = {}
        self._seen = set()
        self._floor = -1

    def add(self, offset, body):
        self._fold(offset, body)
        self.states[offset] = dict(self._declared)

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
        merged = self._merge(dict(self._declared), values)
        if not consistency.find_faults(merged):
            self._declared = merged
            self._changed |= dict.fromkeys(values, offset)

    def _reset(self, offset, record):
        merged = self._merge({}, record['values'])
        if not consistency.find_faults(merged):
            self._declared, self._seen = merged, {record['id']}
            self._changed = dict.fromkeys(merged, offset)
            self._floor = offset

    def _merge(self, declared, values):
        for key, value in values.items():
            declared.pop(key, None)
            if value is not None:
                kind = keys.KINDS[key.partition('/')[0]]
                declared[key] = msgspec.convert(value, kind)
        return declared


class FoldMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.original_window, fold.WINDOW = fold.WINDOW, WINDOW
        self.runner = asyncio.Runner()
        settings = platform.StandInLogSettings(
            appends_per_second=10**6, retention=1e9, delay=0.0
        )
        self.log = platform.StandInLog(settings)
        self.reference = ReferenceFold()
        self.appended = []
        self.changes = conftest.Changes()
        self.nodes = [self.make_node() for _ in range(NODES)]
        self.highest = [-1] * NODES

    def teardown(self):
        self.runner.close()
        fold.WINDOW = self.original_window

    def make_node(self):
        vm_list = platform.StandInVmList([test_publisher.ENGINE])
        return test_publisher.Operator(self.log, vm_list)

    def run(self, work):
        return self.runner.run(work)

    def record_appends(self):
        """Passes new records of the log to the reference fold."""
        stream = self.log._get_stream(reader.STREAM)
        start = len(self.appended)
        for index in range(start - stream.first, len(stream.records)):
            body = stream.records[index][1]
            self.reference.add(len(self.appended), body)
            self.appended.append(body)

    def append(self, body):
        self.run(self.log.append(reader.STREAM, body))
        self.record_appends()

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
        operator = self.nodes[node]
        base = max(-1, operator.state.revision - back)
        self.log.lost_answers = lost
        before = len(self.appended)
        made = self.changes.make(values, based_on=base)
        outcome = self.run(operator.publish(made, force=True))
        self.log.lost_answers = 0
        self.record_appends()
        assert len(self.appended) <= before + 1
        if outcome.is_ok():
            stored = self.reference.states[outcome.ok]
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
        self.run(self.nodes[node].reader.read_once(0.0))

    @stateful.rule(
        node=st.integers(0, NODES - 1), other=st.integers(0, NODES - 1)
    )
    def receive_state(self, node, other):
        packed = messages.pack_state(self.nodes[other].state.folded)
        unpacked = messages.unpack_state(packed)
        if unpacked.is_ok():
            self.nodes[node].state.replace(unpacked.ok)

    @stateful.rule(
        node=st.integers(0, NODES - 1), other=st.integers(0, NODES - 1)
    )
    def receive_records(self, node, other):
        receiver = self.nodes[node].state
        recent = self.nodes[other].state.list_recent(receiver.revision)
        receiver.advance(recent or ())

    @stateful.rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.nodes[node] = self.make_node()
        self.highest[node] = -1

    @stateful.invariant()
    def nodes_match_the_reference_fold(self):
        for node in self.nodes:
            folded = node.state.folded
            assert folded.declared == self.reference.states[folded.revision]

    @stateful.invariant()
    def revisions_never_decrease(self):
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
