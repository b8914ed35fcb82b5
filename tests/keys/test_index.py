"""The key index over several nodes, under a virtual clock."""

import asyncio

import pytest

from tests.keys import conftest
from waxwingport.keys import base
from waxwingport.keys import shard
from waxwingport import outcomes

pytestmark = pytest.mark.looptime

OURS = base.ClaimState.OURS
ELSEWHERE = base.ClaimState.ELSEWHERE


def start_all(cluster, count=4):
    for number in range(count):
        cluster.start(f'n{number}')


def count_ours(results):
    claims = [claim.ok for claim in results if claim.is_ok()]
    return sum(claim.state is OURS for claim in claims)


async def test_first_of_many_is_ours_and_all_name_it(cluster):
    start_all(cluster)
    results = await asyncio.gather(
        *(cluster.claim(f'n{n % 4}', f'r{n}') for n in range(12))
    )
    claims = [claim.ok for claim in results]
    assert count_ours(results) == 1
    assert len({(claim.owner, claim.request_id) for claim in claims}) == 1


async def test_repeat_is_elsewhere_without_an_append(cluster):
    start_all(cluster)
    first = (await cluster.claim('n0', 'r0')).ok
    appends = cluster.log.appends
    repeat = (await cluster.claim('n1', 'r1')).ok
    assert (first.state, repeat.state) == (OURS, ELSEWHERE)
    assert (repeat.owner, repeat.request_id) == ('n0', 'r0')
    assert cluster.log.appends == appends


async def test_other_request_under_the_key_is_a_mismatch(cluster):
    start_all(cluster)
    await cluster.claim('n0', 'r0', text='one')
    other = (await cluster.claim('n1', 'r1', text='two')).ok
    assert other.state is base.ClaimState.MISMATCH


async def test_same_request_is_granted_once(cluster):
    start_all(cluster)
    results = [await cluster.claim('n0', 'r0') for _ in range(3)]
    assert count_ours(results) == 1


async def test_key_is_known_for_the_window_and_free_after_it(cluster):
    start_all(cluster)
    await cluster.claim('n0', 'r0')
    await asyncio.sleep(conftest.WINDOW - 5)
    assert (await cluster.claim('n1', 'r1')).ok.state is ELSEWHERE
    await asyncio.sleep(conftest.WINDOW)
    assert (await cluster.claim('n1', 'r2')).ok.state is OURS
    assert (await cluster.claim('n2', 'r3')).ok.request_id == 'r2'


async def test_intents_share_appends(cluster):
    start_all(cluster)
    await asyncio.sleep(2)
    await asyncio.gather(
        *(cluster.claim(f'n{n % 4}', f'r{n}', key=f'k{n}') for n in range(400))
    )
    assert cluster.log.appends <= 3 * 8


async def test_log_down_is_refused_not_run_at_once(cluster):
    start_all(cluster)
    await cluster.claim('n0', 'r0')
    cluster.log.down = True
    await asyncio.sleep(2)
    begin = asyncio.get_running_loop().time()
    refusal = (await cluster.claim('n1', 'r1', key='other')).error
    assert asyncio.get_running_loop().time() - begin < 0.1
    assert refusal.ran is outcomes.Ran.NO
    assert refusal.reason is outcomes.Reason.LOG_UNAVAILABLE
    assert refusal.retry_after > 0


async def test_lost_append_answer_is_found_in_the_log(cluster):
    start_all(cluster)
    await asyncio.sleep(2)
    cluster.log.lost_answers = 1
    assert (await cluster.claim('n0', 'r0')).ok.state is OURS
    assert cluster.log.appends == 1
    assert (await cluster.claim('n1', 'r1')).ok.state is ELSEWHERE


async def test_next_appender_answers_for_a_silent_one(cluster):
    start_all(cluster)
    await asyncio.sleep(2)
    appender = cluster.nodes['n0']._list_appenders(0)[0].name
    keys = [f'k{n}' for n in range(40)]
    cluster.network.frozen.add(f'{appender}:1')
    other = next(name for name in cluster.nodes if name != appender)
    results = await asyncio.gather(
        *(cluster.claim(other, f'r-{key}', key=key) for key in keys)
    )
    assert count_ours(results) == len(keys)
    cluster.network.frozen.clear()
    await asyncio.sleep(10)
    results = [await cluster.claim(other, f's-{key}', key=key) for key in keys]
    assert count_ours(results) == 0


async def test_silent_appender_is_asked_last_for_a_while(cluster):
    start_all(cluster, 2)
    await asyncio.sleep(2)
    cluster.network.frozen.add('n1:1')
    begin = asyncio.get_running_loop().time()
    for n in range(20):
        assert (await cluster.claim('n0', f'r{n}', f'k{n}')).is_ok()
    assert asyncio.get_running_loop().time() - begin < 5


async def test_owner_that_died_stays_the_owner(cluster):
    start_all(cluster)
    await cluster.claim('n0', 'r0')
    cluster.crash('n0')
    cluster.start('n0')
    claim = (await cluster.claim('n0', 'r1')).ok
    assert claim.state is ELSEWHERE
    assert claim.incarnation != cluster.members['n0'].local_member.incarnation


async def test_key_of_a_refused_request_goes_to_the_next(cluster):
    """The intent reached the log after its request was refused."""
    start_all(cluster, 1)
    await asyncio.sleep(2)
    cluster.log.delay = 3.0
    refused = await cluster.claim('n0', 'r0', timeout=2.0)
    assert refused.error.ran is outcomes.Ran.NO
    cluster.log.delay = 0.002
    await asyncio.sleep(8)
    results = [await cluster.claim('n0', f'r{n}') for n in range(1, 4)]
    assert [result.ok.state for result in results] == [
        OURS,
        ELSEWHERE,
        ELSEWHERE,
    ]
    assert results[1].ok.request_id == 'r1'


async def test_partitioned_nodes_of_two_data_centres_share_the_log(cluster):
    cluster.start('a', data_centre='m')
    cluster.start('b', data_centre='n')
    cluster.network.partition({'a:1'}, {'b:1'})
    results = await asyncio.gather(
        *(cluster.claim(n, f'{n}{i}', f'k{i}') for n in 'ab' for i in range(9))
    )
    assert count_ours(results) == 9


async def test_node_without_peers_appends_for_itself(cluster):
    start_all(cluster, 6)
    own = {'n0:1'}
    rest = {f'n{n}:1' for n in range(1, 6)}
    cluster.network.partition(own, rest)
    results = await asyncio.gather(
        *(cluster.claim('n0', f'r{n}', f'k{n}', timeout=9) for n in range(9))
    )
    assert count_ours(results) == 9


async def test_restarted_node_reads_the_keys_in_the_log(cluster):
    start_all(cluster, 2)
    for n in range(30):
        await cluster.claim('n0', f'r{n}', f'k{n}')
    cluster.crash('n0')
    cluster.crash('n1')
    cluster.start('n0')
    cluster.start('n1')
    results = [await cluster.claim('n0', f's{n}', f'k{n}') for n in range(30)]
    assert count_ours(results) == 0


async def test_log_that_drops_records_within_the_window_is_detected(cluster):
    start_all(cluster, 1)
    await cluster.claim('n0', 'r0')
    found = cluster.nodes['n0']
    streams = [item._stream for item in found._shards.values()]
    await cluster.claim('n0', 'r1', 'another')
    for stream in streams:
        cluster.log.expire_before(stream, 1)
    await asyncio.sleep(3)
    refusals = [
        (await cluster.claim('n0', f's{n}', f'x{n}')) for n in range(20)
    ]
    overloaded = [item for item in refusals if item.is_error()]
    assert overloaded
    assert {item.error.reason for item in overloaded} == {
        outcomes.Reason.OVERLOADED
    }


async def test_full_index_refuses_new_keys_and_keeps_old_ones(
    cluster, monkeypatch
):
    monkeypatch.setattr(shard, '_MAX_KEYS', 1)
    start_all(cluster, 1)
    results = [await cluster.claim('n0', f'r{n}', f'k{n}') for n in range(30)]
    assert 1 <= count_ours(results) <= 8
    repeats = [await cluster.claim('n0', f's{n}', f'k{n}') for n in range(30)]
    assert count_ours(repeats) == 0
    assert sum(result.is_ok() for result in repeats) == count_ours(results)


STEPS = {
    'append refused': {'down': True},
    'append lost': {'lost_answers': 1},
    'read slow': {'delay': 0.5},
}


@pytest.mark.parametrize('step', sorted(STEPS))
@pytest.mark.parametrize('crash_at', [0.0, 0.001, 0.003, 0.005, 0.3])
async def test_crash_between_intent_and_answer(cluster, step, crash_at):
    """A request never runs twice, whenever its owner crashes."""
    start_all(cluster, 3)
    await asyncio.sleep(2)
    for name, value in STEPS[step].items():
        setattr(cluster.log, name, value)
    waiting = asyncio.ensure_future(cluster.claim('n0', 'r0'))
    await asyncio.sleep(crash_at)
    granted = waiting.done() and waiting.result().is_ok()
    waiting.cancel()
    cluster.crash('n0')
    cluster.log.down, cluster.log.delay = False, 0.002
    await asyncio.sleep(5)
    others = [await cluster.claim(f'n{n}', f's{n}') for n in (1, 2, 1, 2)]
    assert granted + count_ours(others) <= 1


async def test_same_id_is_granted_again_after_the_window(cluster):
    """A request id derived from the key is granted in each window."""
    start_all(cluster, 2)
    assert (await cluster.claim('n0', 'r0')).ok.state is OURS
    assert (await cluster.claim('n0', 'r0')).ok.state is ELSEWHERE
    await asyncio.sleep(2 * conftest.WINDOW)
    assert (await cluster.claim('n0', 'r0')).ok.state is OURS
    assert (await cluster.claim('n1', 'r0')).ok.state is ELSEWHERE


async def test_stream_whose_records_all_expired_still_works(cluster):
    start_all(cluster, 1)
    assert (await cluster.claim('n0', 'r0')).ok.state is OURS
    await asyncio.sleep(3 * conftest.WINDOW)
    assert (await cluster.claim('n0', 'r1')).ok.state is OURS
    cluster.crash('n0')
    cluster.start('n0')
    assert (await cluster.claim('n0', 'r2')).ok.state is ELSEWHERE
