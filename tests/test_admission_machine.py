import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from tests import bench
from waxwingport.outside import base as platform
from waxwingport.routing import model
from waxwingport.targets import base

FAULTS = [None, *base.TargetFaultKind]
STEPS = st.one_of(
    st.tuples(
        st.just('ask'), st.integers(0, 3), st.booleans(), st.floats(0.1, 9.0)
    ),
    st.tuples(st.just('cancel'), st.integers(0, 50)),
    st.tuples(st.just('finish'), st.integers(0, 50), st.sampled_from(FAULTS)),
    st.tuples(st.just('release'), st.integers(0, 50)),
    st.tuples(
        st.just('list'),
        st.integers(0, 2),
        st.sampled_from(list(platform.VmState)),
    ),
    st.tuples(st.just('report'), st.integers(0, 2), st.integers(0, 4)),
    st.tuples(st.just('sleep'), st.floats(0.0, 2.0)),
)


class Machine:
    """Requests, cancels and ends grants in any order; checks the counts.

    The names of the steps are the names of its methods.
    """

    def __init__(self):
        self.test_bench = bench.make_bench(3, capacity=2)
        self.waiting = []
        self.grants = []
        self.released = 0
        self.granted = 0

    def ask(self, owner, live, timeout):
        make = bench.make_work if live else bench.make_rollout
        now = asyncio.get_running_loop().time()
        work = make(
            len(self.waiting), owner=f'o{owner}', deadline=now + timeout
        )
        self.waiting.append(self.test_bench.start(work))

    def cancel(self, index):
        if self.waiting:
            self.waiting[index % len(self.waiting)].cancel()

    def finish(self, index, kind):
        if self.grants:
            grant = self.grants.pop(index % len(self.grants))
            sent = kind not in (None, base.TargetFaultKind.REFUSED)
            fault = kind and base.TargetFault(kind, 'test', sent)
            grant.finish(fault)
            grant.release()

    def release(self, index):
        self.finish(index, None)

    def list(self, index, state):
        self.test_bench.list_vms(**{f'engine_{index}': state})

    def report(self, index, running):
        target = self.test_bench.targets.find(f'engine-{index}')
        target.record_load(base.LoadReport(running, 0, 2))

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)

    async def step(self, name, *arguments):
        before = {
            target.name: target.in_progress
            for target in self.test_bench.targets
        }
        outcome = getattr(self, name)(*arguments)
        if outcome is not None:
            await outcome
        for _ in range(6):
            await asyncio.sleep(0)
        self.collect()
        self.check(before)

    def collect(self):
        for task in [waiter for waiter in self.waiting if waiter.done()]:
            self.waiting.remove(task)
            if not task.cancelled() and task.result().is_ok():
                self.grants.append(task.result().ok)
                self.granted += 1

    def check(self, before):
        in_progress = dict.fromkeys(before, 0)
        for grant in self.grants:
            in_progress[grant.target.name] += 1
        for target in self.test_bench.targets:
            assert target.in_progress == in_progress[target.name]
            grown = target.in_progress > before[target.name]
            if grown:
                assert target.in_progress <= target.limit + 1e-9
                assert target.state in (
                    model.TargetState.LIVE,
                    model.TargetState.JOINING,
                )
        assert self.test_bench.gate.count_waiting('pool') == len(self.waiting)

    async def drain(self):
        for name in ('engine_0', 'engine_1', 'engine_2'):
            self.test_bench.list_vms(**{name: platform.VmState.LIVE})
        for _ in range(400):
            while self.grants:
                self.finish(0, None)
            if not self.waiting:
                break
            await asyncio.sleep(0.05)
            self.collect()
        assert not self.waiting and not self.grants
        assert all(
            target.in_progress == 0 for target in self.test_bench.targets
        )
        group = self.test_bench.gate._get_or_create_group('pool')
        assert group.total_in_progress == 0
        assert group.preempting_count == 0


@hypothesis.given(steps=st.lists(STEPS, max_size=50))
@hypothesis.settings(max_examples=150)
@pytest.mark.looptime
async def test_counts_stay_correct_and_no_waiter_is_lost(steps):
    machine = Machine()
    for step in steps:
        await machine.step(*step)
    await machine.drain()
