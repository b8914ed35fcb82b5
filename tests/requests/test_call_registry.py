"""The call registry: a call runs at most once, and memory is bounded."""

import asyncio

from expression import Error
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
import pytest

from waxwingport import outcomes
from waxwingport.requests import call_registry
from waxwingport.requests import refusals
from waxwingport.requests import request_ids
from waxwingport.requests import settings
from waxwingport.targets import base

ANSWER = base.ServiceAnswer(200, (), b'x' * 100)
NOT_RUN = outcomes.Refusal(outcomes.Reason.NO_TARGET, 'none')


def make_registry(**limits):
    defaults = {
        'answers_held': 8,
        'answer_bytes': 1000,
        'answer_lifetime': 50.0,
    }
    return call_registry.CallRegistry(
        settings.RequestSettings(**(defaults | limits))
    )


def now():
    return asyncio.get_running_loop().time()


class Runs:
    """A run that counts its calls and returns outcomes in turn."""

    def __init__(self, *outcomes_left):
        self.outcomes_left = list(outcomes_left)
        self.count = 0

    async def __call__(self):
        self.count += 1
        await asyncio.sleep(1.0)
        return self.outcomes_left.pop(0)


@pytest.mark.looptime
async def test_a_full_ledger_refuses_instead_of_forgetting():
    registry = make_registry()
    for number in range(8):
        caller = f'c{number % 2}'
        call = registry.admit(f'r{number}', caller, 'f', now() + 10).ok
        await registry.run_once(call, Runs(Ok(ANSWER)), now() + 5)
    refusal = registry.admit('r8', 'c2', 'f', now() + 10).swap().ok
    assert refusal.ran is outcomes.Ran.NO
    assert all(
        registry.find(f'r{number}').outcome.is_ok() for number in range(8)
    )
    await asyncio.sleep(60.0)
    assert registry.admit('r8', 'c2', 'f', now() + 10).is_ok()
    assert registry.stored_bytes == 0


@pytest.mark.looptime
async def test_one_caller_cannot_fill_the_ledger():
    registry = make_registry()
    admitted = [
        registry.admit(f'r{number}', 'greedy', 'f', now() + 10).is_ok()
        for number in range(8)
    ]
    assert admitted == [True] * 4 + [False] * 4
    assert registry.admit('other', 'modest', 'f', now() + 10).is_ok()


@pytest.mark.looptime
async def test_an_answer_too_large_to_keep_is_still_not_run_again():
    registry = make_registry(answer_bytes=50)
    call = registry.admit('r', 'c', 'f', now() + 10).ok
    runs = Runs(Ok(ANSWER))
    first = await registry.run_once(call, runs, now() + 5)
    again = await registry.run_once(call, runs, now() + 5)
    assert first.is_ok()
    assert again.swap().ok.ran is outcomes.Ran.UNKNOWN
    assert runs.count == 1
    assert registry.stored_bytes == 0


@pytest.mark.looptime
async def test_a_run_that_raises_leaves_the_outcome_unknown():
    registry = make_registry()
    call = registry.admit('r', 'c', 'f', now() + 10).ok

    async def fail():
        raise AssertionError

    with pytest.raises(AssertionError):
        await registry.run_once(call, fail, now() + 5)
    outcome = await registry.run_once(call, fail, now() + 5)
    assert outcome.swap().ok.ran is outcomes.Ran.UNKNOWN


possible_outcomes = st.sampled_from(
    [Ok(ANSWER), Error(NOT_RUN), Error(refusals.refuse_unknown('?'))]
)


@given(
    st.lists(possible_outcomes, min_size=1, max_size=5),
    st.lists(st.floats(0.0, 4.0), min_size=1, max_size=8),
)
def test_nothing_runs_after_a_run_that_may_have_happened(run_outcomes, starts):
    """A repeat at any time starts a call again only after "not run"."""

    async def run_all():
        registry = make_registry()
        call = registry.admit('r', 'c', 'f', now() + 10).ok
        runs = []

        async def run():
            runs.append(run_outcomes[min(len(runs), len(run_outcomes) - 1)])
            await asyncio.sleep(0.001)
            return runs[-1]

        async def repeat(delay):
            await asyncio.sleep(delay / 1000)
            return await registry.run_once(call, run, now() + 5)

        answers = await asyncio.gather(*map(repeat, starts))
        return runs, answers

    runs, answers = asyncio.run(run_all())
    not_run = [item.is_error() and item.swap().ok is NOT_RUN for item in runs]
    assert all(not_run[:-1])
    assert all(
        any(item is run or item == run for run in runs) for item in answers
    )


@given(st.text(max_size=60))
def test_no_text_is_accepted_as_an_issued_id(text):
    generator = request_ids.RequestIdGenerator('node-1', 7)
    for candidate in (text, f'w1.{text}', f'w1.node-1.7.0.1.{text}'):
        parsed = request_ids.parse(candidate)
        assert parsed.is_error() or not generator.verify(parsed.ok, 'teller')


def test_an_issued_id_is_unchanged_by_parsing():
    generator = request_ids.RequestIdGenerator('node.with.dots', 2**60)
    (issued,) = generator.generate('teller', 1, 12.5)
    parsed = request_ids.parse(issued).ok
    assert parsed.format() == issued
    assert generator.verify(parsed, 'teller')
    assert not generator.verify(parsed, 'rival')
    assert not request_ids.RequestIdGenerator('node.with.dots', 2**60).verify(
        parsed, 'teller'
    )
