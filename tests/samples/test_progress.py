"""Compares ``StepProgress`` with a simple model under random operations.

The simulated trainer loses answers, repeats pulls, restores checkpoints and
pulls from two collectors; attempts fail, finish late and finish twice.
"""

from hypothesis import stateful
from hypothesis import strategies
import msgspec

from waxwingport import ids
from waxwingport.samples import bitmap
from waxwingport.samples import progress
from waxwingport.samples import steps

GROUPS = (3, 1, 2)
SIZE = sum(GROUPS)
BOUND = 1


def make_step(delivery=steps.Delivery.SAMPLE):
    groups = tuple(
        steps.Group(ids.GroupId(f'g{index}'), f'prompt {index}', count)
        for index, count in enumerate(GROUPS)
    )
    return steps.Step(
        ids.StepNumber(1), steps.StepBody(groups, delivery=delivery)
    )


def make_attempt(step, number, name):
    return progress.Attempt(
        ids.RequestId(name), step.number, step.specs[number], 0.0, tokens=1
    )


def make_sample(step, attempt, version):
    spec = attempt.spec
    return steps.Sample(
        spec.number, spec.group.group, spec.index, (version,), spec.group.group
    )


def make_bitmap(numbers):
    found = bitmap.Bitmap(SIZE)
    for number in numbers:
        found.add(number)
    return found


class NaiveCollector:
    """Model of ``StepProgress`` that recomputes everything from plain sets."""

    def __init__(self, step):
        self.step = step
        self.received = set()
        self.stored = {}
        self.running = []

    def list_open(self):
        busy = {attempt.spec.number for attempt in self.running}
        return set(range(SIZE)) - self.received - set(self.stored) - busy

    def finish(self, attempt, sample):
        if attempt not in self.running:
            return False
        self.running = [
            other
            for other in self.running
            if other.spec.number != attempt.spec.number
        ]
        self.stored[sample.number] = sample
        return True

    def record_received(self, numbers):
        self.received = set(numbers)
        self.running = [
            attempt
            for attempt in self.running
            if attempt.spec.number not in numbers
        ]

    def select(self, minimum_version, maximum):
        for number, sample in list(self.stored.items()):
            if (
                number not in self.received
                and sample.oldest_version < minimum_version
            ):
                del self.stored[number]
        fresh = [
            unsent
            for unsent in sorted(self.stored)
            if unsent not in self.received
        ]
        if self.step.by_group:
            whole = []
            start = 0
            for size in GROUPS:
                wanted = set(range(start, start + size)) - self.received
                start += size
                room = len(whole) + len(wanted) <= maximum
                if wanted <= set(fresh) and room:
                    whole += sorted(wanted)
            fresh = whole
        return [self.stored[number] for number in fresh[:maximum]]


class Delivery(stateful.RuleBasedStateMachine):
    """A trainer that pulls from two collectors, with faults on both sides."""

    @stateful.initialize(delivery=strategies.sampled_from(steps.Delivery))
    def start(self, delivery):
        self.step = make_step(delivery)
        self.pairs = [self.make_pair(), self.make_pair()]
        self.attempts = [[], []]
        self.received = {}
        self.checkpoint = {}
        self.version = 1
        self.count = 0

    def make_pair(self):
        return progress.StepProgress(self.step), NaiveCollector(self.step)

    @stateful.rule(
        node=strategies.integers(0, 1), number=strategies.integers(0, SIZE - 1)
    )
    def begin(self, node, number):
        real, naive = self.pairs[node]
        running = {other.spec.number for other in naive.running}
        if number not in naive.list_open() and number not in running:
            return
        self.count += 1
        attempt = make_attempt(self.step, number, f'a{self.count}')
        real.add_attempt(attempt)
        naive.running.append(attempt)
        self.attempts[node].append(attempt)

    @stateful.rule(node=strategies.integers(0, 1), data=strategies.data())
    def finish_maybe_late(self, node, data):
        if not self.attempts[node]:
            return
        attempt = data.draw(strategies.sampled_from(self.attempts[node]))
        version = data.draw(strategies.integers(1, self.version))
        sample = make_sample(self.step, attempt, version)
        real, naive = self.pairs[node]
        finish = real.finish(attempt, sample)
        assert finish.accepted == naive.finish(attempt, sample)

    @stateful.rule(node=strategies.integers(0, 1), data=strategies.data())
    def fail(self, node, data):
        real, naive = self.pairs[node]
        if naive.running:
            attempt = data.draw(strategies.sampled_from(naive.running))
            naive.running.remove(attempt)
            real.remove_attempt(attempt)

    @stateful.rule(
        node=strategies.integers(0, 1),
        lost=strategies.booleans(),
        maximum=strategies.integers(3, SIZE),
    )
    def pull(self, node, lost, maximum):
        real, naive = self.pairs[node]
        sent = make_bitmap(self.received)
        minimum_version = self.version - BOUND
        real.record_received(sent)
        naive.record_received(self.received)
        samples = real.select(minimum_version, sent, maximum).samples
        assert list(samples) == naive.select(minimum_version, maximum)
        for sample in samples:
            assert sample.number not in self.received
            assert self.version - sample.oldest_version <= BOUND
            assert sample.group == self.step.specs[sample.number].group.group
        if not lost:
            for sample in samples:
                assert sample.number not in self.received
                self.received[sample.number] = sample

    @stateful.rule()
    def train(self):
        self.version += 1

    @stateful.rule()
    def save(self):
        self.checkpoint = dict(self.received)

    @stateful.rule()
    def restore(self):
        self.received = dict(self.checkpoint)

    @stateful.rule(node=strategies.integers(0, 1))
    def crash(self, node):
        self.pairs[node] = self.make_pair()
        self.attempts[node] = []

    @stateful.rule(node=strategies.integers(0, 1))
    def free_memory(self, node):
        real, naive = self.pairs[node]
        real.drop_received()
        for number in naive.received:
            naive.stored.pop(number, None)

    @stateful.invariant()
    def agree(self):
        for real, naive in getattr(self, 'pairs', ()):
            opened = {other.number for other in real.list_open()}
            assert opened == naive.list_open()
            assert real.stored_count == len(naive.stored)
            finished = naive.received | set(naive.stored)
            for spec in self.step.specs:
                group = [
                    other.number
                    for other in self.step.specs
                    if other.group is spec.group
                ]
                missing = len(set(group) - finished)
                assert real.count_missing(spec) == missing

    def teardown(self):
        """Checks that the step can still be completed."""
        if not hasattr(self, 'pairs'):
            return
        real, _ = self.pairs[0]
        sent = make_bitmap(self.received)
        real.record_received(sent)
        real.select(self.version - BOUND, sent, SIZE)
        for number in range(SIZE):
            if number in self.received:
                continue
            attempt = make_attempt(self.step, number, f'last{number}')
            real.add_attempt(attempt)
            real.finish(attempt, make_sample(self.step, attempt, self.version))
        for sample in real.select(self.version - BOUND, sent, SIZE).samples:
            assert sample.number not in self.received
            self.received[sample.number] = sample
        assert set(self.received) == set(range(SIZE))


TestDelivery = Delivery.TestCase


def test_sample_awaits_its_score():
    step = make_step()
    found = progress.StepProgress(step)
    attempt = make_attempt(step, 0, 'a')
    found.add_attempt(attempt)
    found.finish(attempt, make_sample(step, attempt, 1), awaits_score=True)
    assert found.unscored == 1
    assert not found.select(1, found.received, SIZE).samples
    assert not found.score(0, ids.RequestId('other'), 0.1)
    assert found.score(0, ids.RequestId('a'), 0.5)
    assert found.score(0, ids.RequestId('a'), 0.9)
    (sample,) = found.select(1, found.received, SIZE).samples
    assert (sample.score, found.unscored) == (0.5, 0)


def test_first_finished_attempt_of_a_slot_wins():
    step = make_step()
    found = progress.StepProgress(step)
    first, second = (make_attempt(step, 0, name) for name in 'ab')
    found.add_attempt(first)
    found.add_attempt(second)
    finish = found.finish(second, make_sample(step, second, 1))
    assert finish == progress.FinishOutcome(True, (first,))
    late = found.finish(first, make_sample(step, first, 2))
    assert not late.accepted
    (sample,) = found.select(1, found.received, SIZE).samples
    assert sample.weight_versions == (1,)


def test_bitmap_refuses_numbers_beyond_the_step():
    for text in ('gA==', 'AAA=', '!', 'ü'):
        assert bitmap.Bitmap.decode(SIZE, text).is_error()
    full = make_bitmap(range(SIZE))
    assert bitmap.Bitmap.decode(SIZE, full.encode()).ok.encode() == (
        full.encode()
    )
    assert len(bitmap.Bitmap.decode(SIZE, '').ok) == 0


def test_fingerprint_ignores_the_order_of_parameters():
    raw = (
        b'{"groups":[{"group":"a","prompt":"p","samples":1}],"parameters":%s}'
    )
    one, two, other = (
        steps.Step(
            1, msgspec.json.decode(raw % parameters, type=steps.StepBody)
        )
        for parameters in (
            b'{"x":1,"y": 2}',
            b'{"y":2, "x":1}',
            b'{"x":1,"y":3}',
        )
    )
    assert one.fingerprint == two.fingerprint != other.fingerprint
