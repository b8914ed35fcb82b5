"""A preempted rollout is cancelled and resumes on another engine."""

import asyncio
import contextlib

from expression import Ok
import pytest

from waxwingport import ids
from waxwingport.requests import completions
from waxwingport.routing import model
from waxwingport.standins import engine


class FakeTarget:
    def __init__(self, name):
        settings = engine.StandInEngineSettings(
            median_tokens=60.0, length_sigma=0.01
        )
        self.name = name
        self.engine = engine.StandInEngine(name, settings)


class FakeGrant:
    def __init__(self, work, target):
        self.work = work
        self.target = target
        self.preempted = asyncio.Event()
        self.ends = []

    def finish(self, fault=None):
        self.ends.append(fault)

    def release(self):
        self.ends.append('released')


class FakeAdmission:
    """Grants the two targets alternately."""

    def __init__(self):
        self.targets = [FakeTarget('one'), FakeTarget('two')]
        self.grants = []

    async def acquire(self, work):
        target = self.targets[len(self.grants) % 2]
        self.grants.append(FakeGrant(work, target))
        return Ok(self.grants[-1])


def make_request(work_class):
    work = model.Work(
        request_id=ids.RequestId('r-1'),
        group='pool',
        owner='trainer',
        work_class=work_class,
        deadline=asyncio.get_running_loop().time() + 60.0,
    )
    return completions.CompletionWork(work, 'Probe 5', 200)


@pytest.mark.looptime
@pytest.mark.parametrize('answers', [True, False])
async def test_a_preempted_rollout_resumes_elsewhere(answers):
    gate = FakeAdmission()
    runner = completions.CompletionRunner(gate)
    if not answers:

        async def stall(request_id):
            await asyncio.sleep(60.0)

        gate.targets[0].engine.cancel = stall
    stream = runner.stream(make_request(model.WorkClass.ROLLOUT))
    chunks = []
    async for outcome in stream:
        chunks.append(outcome.ok)
        if len(chunks) == 2:
            gate.grants[0].preempted.set()
    positions = [item.position for item in chunks]
    assert positions == sorted(set(positions))
    assert chunks[-1].finish_reason is not None
    assert sum(item.tokens for item in chunks) == (
        chunks[-1].position + chunks[-1].tokens
    )
    assert [len(item.ends) for item in gate.grants] == [1, 1]
    assert gate.targets[1].engine.started == 1


@pytest.mark.looptime
@pytest.mark.parametrize('work_class', list(model.WorkClass))
async def test_a_closed_stream_ends_its_grant_once(work_class):
    gate = FakeAdmission()
    runner = completions.CompletionRunner(gate)
    stream = runner.stream(make_request(work_class))
    async with contextlib.aclosing(stream):
        await anext(stream)
    await asyncio.sleep(1.0)
    assert [grant.ends for grant in gate.grants] == [['released']]
    load = (await gate.targets[0].engine.read_load()).ok
    assert load.running == 0
