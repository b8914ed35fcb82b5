"""Calls by issued id and by idempotency key, over two nodes."""

import asyncio
import json

from expression import Error
from expression import Ok
import pytest

from tests import lone_node
from tests import raw_target
from waxwingport import ids
from waxwingport.keys import base as keys
from waxwingport.membership import base as membership
from waxwingport import outcomes
from waxwingport.peers import memory

CALL = f'/v1/services/{lone_node.SERVICE}/transfers'
BODY = b'{"shares": 3}'


class FakeKeyIndex:
    """An index in memory, shared by the nodes; the first intent wins."""

    def __init__(self):
        self.down = False
        self.lose_answer = False
        self.intents = {}

    def view(self, node):
        return _View(self, node)


class _View(keys.KeyIndex):
    def __init__(self, index, node):
        self.index = index
        self.node = node

    async def claim(self, caller, key, fingerprint, request_id, timeout):
        index = self.index
        await asyncio.sleep(0)
        refusal = outcomes.Refusal(
            outcomes.Reason.LOG_UNAVAILABLE, 'down', retry_after=1.0
        )
        if index.down:
            return Error(refusal)
        intent = (self.node.name, self.node.incarnation, request_id)
        first = index.intents.setdefault((caller, key), (fingerprint, intent))
        if index.lose_answer:
            return Error(refusal)
        state = keys.ClaimState.ELSEWHERE
        if first[0] != fingerprint:
            state = keys.ClaimState.MISMATCH
        elif first[1] == intent:
            state = keys.ClaimState.OURS
        return Ok(keys.Claim(state, *first[1]))


class Pair:
    """Two nodes with one target, in-memory peers and a fake key index."""

    def __init__(self, make_node):
        self.network = memory.MemoryNetwork()
        self.index = FakeKeyIndex()
        self.nodes = [make_node(name=f'node-{each}') for each in range(2)]
        members = [
            membership.Member(
                each.node.settings.node.name,
                ids.DataCentre('here'),
                each.node.settings.node.name,
                each.node.incarnation,
            )
            for each in self.nodes
        ]
        for served, own in zip(self.nodes, members, strict=True):
            others = [each for each in members if each is not own]
            end = self.network.join(
                own.name, own.peer_address, own.incarnation
            )
            served.node.services.connect(
                end, membership.StaticMembership(own, others)
            )
            served.node.services.use_keys(self.index.view(own))

    async def issue_id(self, node, **headers):
        header_pairs = tuple(headers.items())
        response = await self.nodes[node].fetch(
            'POST', '/v1/request-ids', b'{"count": 1}', header_pairs
        )
        return json.loads(response.body)['request_ids'][0]

    async def post(self, node, *headers, body=BODY, path=CALL):
        response = await self.nodes[node].fetch('POST', path, body, headers)
        return response.status, json.loads(response.body)


@pytest.fixture
async def target(make_raw_target):
    return await make_raw_target()


@pytest.fixture
async def pair(make_node, target):
    found = Pair(make_node)
    for served in found.nodes:
        served.add_services(target.address)
    return found


def by_id(request_id, caller='teller'):
    return (
        ('Waxwingport-Request-Id', request_id),
        ('Waxwingport-Caller', caller),
    )


def by_key(key, caller='teller'):
    return (('Idempotency-Key', key), ('Waxwingport-Caller', caller))


async def test_an_issued_id_runs_once_through_every_node(pair, target):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    answers = await asyncio.gather(
        *(pair.post(number % 2, *by_id(issued_id)) for number in range(8))
    )
    assert answers == [(200, {'ok': True})] * 8
    assert target.runs == 1


async def test_an_id_of_another_caller_or_request_is_refused(pair, target):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    for node in range(2):
        status, answer = await pair.post(node, *by_id(issued_id, 'rival'))
        assert (status, answer['ran']) == (403, 'no')
    assert (await pair.post(0, *by_id(issued_id)))[0] == 200
    for node in range(2):
        status, answer = await pair.post(node, *by_id(issued_id), body=b'{}')
        assert (status, answer['ran']) == (409, 'no')
        status, _ = await pair.post(node, *by_id(issued_id, 'rival'))
        assert status == 403
    assert target.runs == 1


@pytest.mark.parametrize('part', range(1, 6))
async def test_an_altered_id_is_refused(pair, target, part):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    fields = issued_id.split('.')
    fields[part] = 'node-9' if part == 1 else fields[part][:-1] + 'e'
    if fields[part] == issued_id.split('.')[part]:
        fields[part] = fields[part][:-1] + 'd'
    status, answer = await pair.post(0, *by_id('.'.join(fields)))
    assert status in (403, 502)
    assert target.runs == 0


async def test_an_id_that_no_node_issued_is_refused(pair, target):
    status, answer = await pair.post(0, *by_id('my-own-17'))
    assert (status, answer['ran']) == (400, 'no')
    assert target.runs == 0


async def test_the_outcome_is_unknown_when_the_owner_is_unreachable(
    pair, target
):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    own = pair.nodes[0].node.settings.node.name
    pair.network.leave(own)
    headers = (*by_id(issued_id), ('Waxwingport-Timeout-Ms', '300'))
    status, answer = await pair.post(1, *headers)
    assert (status, answer['ran']) == (502, 'unknown')
    pair.network.join(own, own, ids.generate_incarnation())
    status, answer = await pair.post(1, *headers)
    assert (status, answer['ran']) == (502, 'unknown')
    assert target.runs == 0


async def test_an_id_of_a_call_that_did_not_run_can_be_used_again(
    pair, target
):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    target.fault = raw_target.Fault.REFUSES
    status, answer = await pair.post(1, *by_id(issued_id))
    assert (status, answer['ran']) == (503, 'no')
    target.fault = raw_target.Fault.NONE
    assert (await pair.post(1, *by_id(issued_id)))[0] == 200
    assert (await pair.post(0, *by_id(issued_id)))[0] == 200
    assert target.runs == 1


async def test_an_id_of_a_call_that_may_have_run_stays_unknown(pair, target):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    target.fault = raw_target.Fault.RESET_AFTER_BODY
    for node in (1, 0, 1):
        status, answer = await pair.post(node, *by_id(issued_id))
        assert (status, answer['ran']) == (502, 'unknown')
        target.fault = raw_target.Fault.NONE
    assert target.runs == 1


async def test_the_call_continues_when_its_caller_disconnects(pair, target):
    issued_id = await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
    target.delay = 0.2
    first = asyncio.create_task(pair.post(0, *by_id(issued_id)))
    await lone_node.wait_until(lambda: target.runs == 1)
    first.cancel()
    assert await pair.post(1, *by_id(issued_id)) == (200, {'ok': True})
    assert target.runs == 1


async def test_a_key_runs_once_through_every_node(pair, target):
    answers = await asyncio.gather(
        *(pair.post(number % 2, *by_key('transfer-7')) for number in range(8))
    )
    assert answers == [(200, {'ok': True})] * 8
    assert target.runs == 1


async def test_a_key_with_another_request_is_refused(pair, target):
    await pair.post(0, *by_key('transfer-7'))
    for node in range(2):
        status, answer = await pair.post(
            node, *by_key('transfer-7'), body=b'{}'
        )
        assert (status, answer['ran']) == (409, 'no')
    assert target.runs == 1


async def test_callers_do_not_share_keys(pair, target):
    for caller in ('coop-a', 'coop-b'):
        status, _ = await pair.post(0, *by_key('transfer-7', caller))
        assert status == 200
    assert target.runs == 2


async def test_without_the_log_a_key_does_not_run(pair, target):
    pair.index.down = True
    status, answer = await pair.post(0, *by_key('transfer-7'))
    assert (status, answer['ran']) == (503, 'no')
    assert target.runs == 0


async def test_a_claim_whose_answer_was_lost_still_runs_once(pair, target):
    pair.index.lose_answer = True
    status, answer = await pair.post(0, *by_key('transfer-7'))
    assert (status, answer['ran']) == (503, 'no')
    pair.index.lose_answer = False
    for node in (1, 0, 1):
        assert (await pair.post(node, *by_key('transfer-7')))[0] == 200
    assert target.runs == 1


async def test_a_key_whose_owner_stopped_is_unknown(pair, target):
    assert (await pair.post(0, *by_key('transfer-7')))[0] == 200
    pair.network.leave(pair.nodes[0].node.settings.node.name)
    headers = (*by_key('transfer-7'), ('Waxwingport-Timeout-Ms', '300'))
    status, answer = await pair.post(1, *headers)
    assert (status, answer['ran']) == (502, 'unknown')
    assert target.runs == 1


async def test_an_id_and_a_key_exclude_each_other(pair, target):
    issued_id = await pair.issue_id(0)
    headers = (*by_id(issued_id), ('Idempotency-Key', 'k'))
    assert (await pair.post(0, *headers))[0] == 400
    assert target.runs == 0


async def test_a_stopping_owner_refuses_new_calls(pair, target):
    first, second = [
        await pair.issue_id(0, **{'Waxwingport-Caller': 'teller'})
        for _ in range(2)
    ]
    assert (await pair.post(1, *by_id(first)))[0] == 200
    pair.nodes[0].node.services.refuse_new()
    status, answer = await pair.post(1, *by_id(second))
    assert (status, answer['ran']) == (503, 'no')
    assert (await pair.post(1, *by_id(first)))[0] == 200
    assert target.runs == 1


async def test_an_expired_id_is_unknown_and_never_run(make_node, target):
    served = make_node(id_lifetime=0.05)
    served.add_services(target.address)
    (issued_id,) = served.node.services.generate_ids(
        ids.CallerName('teller'), 1
    )
    await asyncio.sleep(0.1)
    response = await served.fetch('POST', CALL, BODY, by_id(issued_id))
    assert response.status == 502
    assert json.loads(response.body)['ran'] == 'unknown'
    assert target.runs == 0
