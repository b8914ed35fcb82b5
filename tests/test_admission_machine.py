import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from tests import bench
from waxwingport.outside import base as platform
from waxwingport.routing import candidates
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
    """Asks, cancels and releases in any order, and checks what must hold."""

    def __init__(self):
        self.found = bench.make_bench(3, capacity=2)
        self.asked = []
        self.held = []
        self.released = 0
        self.granted = 0

    def ask(self, owner, live, patience):
        make = bench.make_work if live else bench.make_rollout
        now = asyncio.get_running_loop().time()
        work = make(
            len(self.asked), owner=f'o{owner}', deadline=now + patience
        )
        self.asked.append(self.found.start(work))

    def cancel(self, index):
        if self.asked:
            self.asked[index % len(self.asked)].cancel()

    def finish(self, index, kind):
        if self.held:
            grant = self.held.pop(index % len(self.held))
            sent = kind not in (None, base.TargetFaultKind.REFUSED)
            fault = kind and base.TargetFault(kind, 'test', sent)
            grant.finish(fault)
            grant.release()

    def release(self, index):
        self.finish(index, None)

    def list(self, index, found):
        self.found.list_vms(**{f'engine_{index}': found})

    def report(self, index, running):
        target = self.found.targets.find(f'engine-{index}')
        target.record_load(base.LoadReport(running, 0, 2))

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)

    async def step(self, name, *arguments):
        before = {row.name: row.in_progress for row in self.found.targets}
        outcome = getattr(self, name)(*arguments)
        if outcome is not None:
            await outcome
        for _ in range(6):
            await asyncio.sleep(0)
        self.collect()
        self.check(before)

    def collect(self):
        for task in [row for row in self.asked if row.done()]:
            self.asked.remove(task)
            if not task.cancelled() and task.result().is_ok():
                self.held.append(task.result().ok)
                self.granted += 1

    def check(self, before):
        counted = dict.fromkeys(before, 0)
        for grant in self.held:
            counted[grant.target.name] += 1
        for target in self.found.targets:
            assert target.in_progress == counted[target.name]
            grown = target.in_progress > before[target.name]
            if grown:
                assert target.in_progress <= target.limit + 1e-9
                assert target.state in (
                    candidates.TargetState.LIVE,
                    candidates.TargetState.JOINING,
                )
        assert self.found.gate.count_waiting('pool') == len(self.asked)

    async def drain(self):
        for name in ('engine_0', 'engine_1', 'engine_2'):
            self.found.list_vms(**{name: platform.VmState.LIVE})
        for _ in range(400):
            while self.held:
                self.finish(0, None)
            if not self.asked:
                break
            await asyncio.sleep(0.05)
            self.collect()
        assert not self.asked and not self.held
        assert all(row.in_progress == 0 for row in self.found.targets)
        group = self.found.gate._find_group('pool')
        assert group.total == 0
        assert group.preempting == 0


@hypothesis.given(steps=st.lists(STEPS, max_size=50))
@hypothesis.settings(max_examples=150)
@pytest.mark.looptime
async def test_no_count_goes_wrong_and_no_waiter_is_lost(steps):
    machine = Machine()
    for step in steps:
        await machine.step(*step)
    await machine.drain()
