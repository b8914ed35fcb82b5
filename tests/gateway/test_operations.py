"""Failures are traced to their causes as ``docs/OPERATIONS.md`` describes.

The nodes are processes; the tests read their log files and metrics.
"""

import asyncio
import functools
import itertools
import json
import pathlib
import re

import pytest

from tests.gateway import processes
from tests.gateway import test_node
from waxwingport.commands import explanation
from waxwingport.http import client
from waxwingport.measure import base
from waxwingport.measure import gatewaylogs
from waxwingport import settings

TABLE = pathlib.Path(__file__).parents[2] / 'docs' / 'reference' / 'logs.md'
COMMON = {'level', 'logger', 'timestamp', 'message', 'request_id'}
LINE_PATTERN = re.compile(r'^\S+ (\S+) (\S+) ?(.*)$')
IDS = {
    'dependency',
    'digest',
    'instance',
    'item',
    'model',
    'node',
    'partition',
    'request',
    'submission',
    'version',
}
WITHOUT_ID = {'reload', 'retention-short'}
SLOW_EVENT_S = 0.15
"""Time between two events, with which a text takes about a second."""


class Operator:
    """Reads log files and metrics of nodes as an operator does."""

    def __init__(self, folder):
        self.deployment = test_node.Deployment()
        self.folder = folder
        self.nodes = []

    async def start_node(self, name):
        node = processes.NodeProcess(
            self.folder, name, self.deployment.store.address
        )
        self.nodes.append(node)
        await node.start(self.deployment.http)
        return node

    def explain(self, wanted):
        """Returns node, event and fields of the lines with an id, in order."""
        files = [node.log for node in self.nodes]
        parsed = []
        for line in explanation.explain(files, wanted):
            source, event, details = LINE_PATTERN.match(line).groups()
            fields = dict(re.findall(r'(\w+)=(\S*)', details))
            parsed.append((source.removesuffix('.log'), event, fields))
        return parsed

    async def wait_for(self, wanted, event, count=1):
        async with asyncio.timeout(10.0):
            while True:
                lines = [
                    line for line in self.explain(wanted) if line[1] == event
                ]
                if len(lines) >= count:
                    return lines
                await asyncio.sleep(0.1)

    async def read_metric(self, node, name):
        found = await node.fetch_status(self.deployment.http, '/metrics')
        text = found.ok.body.decode()
        return [line for line in text.splitlines() if line.startswith(name)]

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        await self.deployment.stop()


def read_table():
    """Returns the fields that the reference page names for each event."""
    fields = {}
    for line in TABLE.read_text().splitlines():
        if line.startswith('| `'):
            _, events, _, named, _ = line.split('|')
            for event in re.findall(r'`([a-z-]+)`', events):
                fields[event] = set(re.findall(r'`(\w+)`', named))
    return fields


def check_lines(folder):
    """Checks each line's fields and returns all events.

    A line has only fields that the reference names for its event, and an id
    among them unless the event is in ``WITHOUT_ID``.
    """
    table = read_table()
    seen = set()
    for path in folder.glob('*.log'):
        for text in path.read_text().splitlines():
            line = json.loads(text)
            event = line['message']
            seen.add(event)
            own = line.keys() - COMMON - {'dropped_lines'}
            assert own <= table[event], (event, own - table[event])
            assert own & IDS or event in WITHOUT_ID, line
            assert not {'load', 'load_age_s'} & own or 'load_age_s' in own
    return seen


@pytest.fixture
async def operator(tmp_path):
    found = Operator(tmp_path)
    yield found
    await found.stop()
    assert check_lines(tmp_path) >= {'gateway-started', 'target-added'}


async def test_a_call_that_got_504_leads_to_the_target_that_kept_it(operator):
    operator.deployment.engine.score_pause = 5.0
    node = await operator.start_node('a')
    header_fields = (
        ('Host', test_node.HOST),
        ('Request-Id', 'c1'),
        ('Deadline-Ms', '400'),
    )
    request = client.Request('POST', '/score/x', header_fields, b'')
    answer = await operator.deployment.http.fetch(node.address, request, 5.0)
    assert answer.ok.status == 504
    await operator.wait_for('c1', 'request-refused')
    found = operator.explain('c1')
    routed = [fields for _, event, fields in found if event == 'call-routed']
    assert routed[0]['instance'] == 'i1'
    assert float(routed[0]['left_s']) <= 0.4
    (refused,) = [
        details for _, event, details in found if event == 'request-refused'
    ]
    assert refused['reason'] == 'timeout'
    assert refused['ran'] == 'unknown'
    counted = await operator.read_metric(
        node, 'waxwingport_gateway_requests_total'
    )
    assert any('504' in line for line in counted)


async def test_a_call_that_got_503_leads_to_the_missing_target(operator):
    node = await operator.start_node('a')
    operator.deployment.log.write_keyed(test_node.TARGETS, 'i1')
    await operator.wait_for('i1', 'target-removed')
    answer = await operator.deployment.call(
        node, 'POST', '/score/x', b'', 'c2'
    )
    assert answer.status == 503
    (refused,) = await operator.wait_for('c2', 'request-refused')
    assert refused[2]['reason'] == 'no-target'
    assert refused[2]['ran'] == 'no'
    assert 'call-routed' not in [
        event for _, event, _ in operator.explain('c2')
    ]


async def test_a_call_refused_for_crashes_leads_to_the_targets(operator):
    deployment = operator.deployment
    deployment.add_engine('i2')
    for engine in deployment.engines:
        engine.crashing_bodies.add(b'bad')
        engine.down_time = 0.3
        engine.on_restart = functools.partial(deployment.register, engine)
    nodes = [await operator.start_node(name) for name in ('a', 'b')]
    async with asyncio.timeout(15.0):
        for number in itertools.count():
            answer = await deployment.call(
                nodes[number % 2], 'POST', '/score/x', b'bad', f'c{number}'
            )
            if b'crashes-targets' in answer.body:
                break
            await asyncio.sleep(0.2)
    ((_, _, refused),) = await operator.wait_for(
        f'c{number}', 'request-refused'
    )
    digest = refused['digest']
    stopped = await operator.wait_for(digest, 'request-stopped', 2)
    assert {source for source, _, _ in stopped} == {'a', 'b'}
    crashed = await operator.wait_for(digest, 'target-crashed', 3)
    assert {fields['instance'] for _, _, fields in crashed} == {'i1', 'i2'}
    assert len(crashed) == int(stopped[0][2]['crashes'])
    counted = await operator.read_metric(
        nodes[0], 'waxwingport_requests_stopped_total'
    )
    assert counted[-1].endswith(' 1')


async def test_an_item_that_ran_twice_leads_to_the_lost_holder(operator):
    engine = operator.deployment.engine
    engine.pause = SLOW_EVENT_S
    node = await operator.start_node('a')
    await operator.start_node('b')
    await operator.deployment.submit(node, items=1)
    ((first, _, _),) = await operator.wait_for('s1-0', 'item-started')
    ((accepting, _, accepted),) = await operator.wait_for(
        's1', 'submission-accepted'
    )
    holder = next(
        candidate for candidate in operator.nodes if candidate.name == first
    )
    await holder.kill()
    engine.pause = 0.0
    runs = await operator.wait_for('s1-0', 'item-started', 2)
    assert runs[1][0] != first
    claims = [
        (source, fields)
        for source, event, fields in operator.explain(accepted['partition'])
        if event == 'partition-claimed' and fields['own'] == 'True'
    ]
    assert [source for source, _ in claims[-2:]] == [first, runs[1][0]]
    await operator.wait_for('s1-0', 'item-listed')


async def test_an_item_that_was_given_up_leads_to_its_reward_call(operator):
    operator.deployment.engine.failing_scores = {'score-s1-0'}
    node = await operator.start_node('a')
    await operator.deployment.submit(node, items=1)
    ((_, _, given_up),) = await operator.wait_for('s1-0', 'item-given-up')
    assert given_up['reason'] == 'no'
    attempts = [
        fields
        for _, event, fields in operator.explain('score-s1-0')
        if event == 'attempt-failed'
    ]
    assert attempts
    assert {attempt['instance'] for attempt in attempts} == {'i1'}
    await operator.wait_for('s1-0', 'item-listed')
    counted = await operator.read_metric(
        node, 'waxwingport_items_listed_total'
    )
    assert any('errored' in line for line in counted)


async def test_a_late_step_leads_to_the_weights_that_were_missing(operator):
    node = await operator.start_node('a')
    await operator.deployment.submit(node, items=1, minimum=2)
    await operator.wait_for('s1', 'submission-started')
    await asyncio.sleep(0.5)
    assert not [
        line for line in operator.explain('s1') if line[1] == 'item-started'
    ]
    operator.deployment.publish(2)
    async with asyncio.timeout(10.0):
        while not operator.deployment.engine.orders:
            await asyncio.sleep(0.05)
    operator.deployment.write_entry()
    ((_, _, started),) = await operator.wait_for('s1-0', 'item-started')
    assert started['minimum_version'] == '2'
    events = [event for _, event, _ in operator.explain('m')]
    assert events.index('version-published') < events.index('order-given')
    orders = [
        line for line in operator.explain('m') if line[1] == 'order-given'
    ]
    assert orders[0][2]['instance'] == 'i1'


async def test_log_lines_stay_within_their_rate_limit():
    seconds = 2.0
    report = await gatewaylogs.GatewayLogs().run(base.Options(seconds, 1))
    figures = {figure.name: figure.value for figure in report.figures}
    bound = settings.LogSettings().lines_per_second
    for load in ('calm', 'overloaded'):
        calls = figures[f'{load}: calls']
        lines = calls * figures[f'{load}: lines a call']
        # The run that counts lines takes a quarter of the time, and may
        # overlap two more seconds of the clock partly.
        assert calls <= lines <= bound * (seconds / 4 + 2)
