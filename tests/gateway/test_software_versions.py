"""No stream holds events of two versions of the engines' software.

The nodes are processes; two engines of each version serve side by side.
"""

import asyncio
import itertools
import signal

import pytest

from tests.gateway import processes
from tests.gateway import resuming_callers
from tests.gateway import test_node
from tests.soak import proxy

STREAMS = 48
EVENTS = 30
EVENT_INTERVAL_S = 0.03
SETTLING_S = 0.5
"""Time in which all nodes know the engines that serve."""
FIRST_EVENTS_S = 0.4
"""Time after which all streams have begun."""
MAX_REFUSAL_S = 1.0
PATIENT_TRIES = 60
"""Tries of callers that wait until killed nodes are back."""


class Site:
    """Three node processes and engines of several software versions."""

    def __init__(self, folder):
        self.deployment = test_node.Deployment()
        self.deployment.configure(**{'timeout-ms': 4000})
        self._numbers = itertools.count()
        self._folder = folder
        self.nodes = []
        self.links = []
        """The link of each node to the log."""
        self._prepare(self.deployment.engine, 'v1')
        for number, software in enumerate(['v1', 'v2', 'v2'], start=2):
            self.add_engine(f'i{number}', software)

    def _prepare(self, engine, software):
        engine.software = software
        engine.marks_software = True
        engine.events = EVENTS
        engine.pause = EVENT_INTERVAL_S
        self.deployment.register(engine)

    def add_engine(self, name, software):
        engine = self.deployment.add_engine(name)
        self._prepare(engine, software)
        return engine

    def find_engines(self, software):
        return [
            engine
            for engine in self.deployment.engines
            if engine.software == software
        ]

    async def remove_engines(self, software):
        """Ends the engines of a version and removes their entries."""
        for engine in self.find_engines(software):
            self.deployment.log.write_keyed(test_node.TARGETS, engine.name)
            engine.down_time = 60.0
            await engine.crash()

    async def add_node(self):
        link = proxy.Proxy(self.deployment.store.address)
        await link.start()
        self.links.append(link)
        name = f'n{len(self.nodes)}'
        node = processes.NodeProcess(self._folder, name, link.address)
        self.nodes.append(node)

    async def start(self):
        http = self.deployment.http
        await asyncio.gather(*(node.start(http) for node in self.nodes))
        await asyncio.sleep(SETTLING_S)

    async def kill_all(self):
        await asyncio.gather(*(node.kill() for node in self.nodes))

    def start_streams(self, nodes=None, count=STREAMS, **options):
        """Starts streams at the nodes in turn; each try is at another."""
        nodes = nodes or self.nodes

        def start():
            first = next(self._numbers)
            caller = resuming_callers.Caller(
                self.deployment.http,
                lambda attempt: nodes[(first + attempt) % len(nodes)],
                **options,
            )
            return asyncio.ensure_future(caller.run(f'q{first}', 0.3))

        return [start() for _ in range(count)]

    async def stop(self):
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            await node.kill()
        for link in self.links:
            await link.stop()
        await self.deployment.stop()


@pytest.fixture
async def site(tmp_path):
    found = Site(tmp_path)
    for _ in range(3):
        await found.add_node()
    yield found
    await found.stop()


async def gather(streams):
    outcomes = await asyncio.gather(*streams)
    return resuming_callers.count(outcomes), outcomes


async def test_a_broken_stream_goes_on_at_another_version(site):
    await site.start()
    for engine in site.deployment.engines:
        engine.break_probability = 0.03
    counts, outcomes = await gather(site.start_streams())
    assert counts.joined == 0
    assert counts.gaps == 0
    assert sum(outcome.complete for outcome in outcomes) >= STREAMS / 2


async def test_a_stream_is_taken_up_at_another_version(site):
    await site.start()
    counts, _ = await gather(site.start_streams(leave_after=5))
    assert counts.joined == 0
    assert counts.taken_up == counts.streams
    assert counts.went_on >= 0.9 * counts.taken_up


async def test_streams_are_joined_after_all_nodes_were_killed(site):
    await site.start()
    streams = site.start_streams(tries=PATIENT_TRIES)
    await asyncio.sleep(FIRST_EVENTS_S)
    await site.kill_all()
    await site.start()
    counts, _ = await gather(streams)
    assert counts.joined == 0
    assert counts.taken_up >= STREAMS / 2
    assert counts.went_on >= 0.9 * counts.taken_up


async def test_streams_of_a_version_that_left_are_joined(site):
    await site.start()
    streams = site.start_streams(tries=PATIENT_TRIES)
    await asyncio.sleep(FIRST_EVENTS_S)
    await site.kill_all()
    await site.remove_engines('v1')
    await site.start()
    counts, outcomes = await gather(streams)
    assert counts.joined == 0
    left = [
        outcome
        for outcome in outcomes
        if outcome.resumed and outcome.events[0][1] == 'v1'
    ]
    assert left
    assert not any(200 in outcome.resumed for outcome in left)
    assert all(
        time < MAX_REFUSAL_S
        for outcome in left
        for time in outcome.refusal_times
    )
    assert counts.went_on >= 0.9 * (counts.taken_up - len(left))


async def test_streams_are_joined_while_the_log_is_away(site):
    await site.start()
    site.deployment.log.down = True
    counts, _ = await gather(site.start_streams(leave_after=5))
    assert counts.joined == 0
    assert counts.begun >= 0.9 * STREAMS


async def test_a_stream_waits_in_vain_while_the_log_is_away(site):
    # What no node can know meanwhile is refused at once.
    await site.start()
    for engine in site.deployment.engines:
        engine.events = 10 * EVENTS
    streams = site.start_streams(tries=2)
    await asyncio.sleep(FIRST_EVENTS_S)
    site.deployment.log.down = True
    await asyncio.sleep(4 * SETTLING_S)
    for engine in site.deployment.engines:
        engine.down_time = 60.0
        await engine.crash()
    _, outcomes = await gather(streams)
    times = [time for each in outcomes for time in each.refusal_times]
    assert len(times) >= STREAMS / 2
    assert max(times) < MAX_REFUSAL_S / 4


async def test_streams_begun_while_a_version_is_added_are_joined(site):
    await site.remove_engines('v2')
    await site.start()
    before = site.start_streams(tries=PATIENT_TRIES)
    await asyncio.sleep(FIRST_EVENTS_S)
    site.add_engine('i7', 'v3')
    site.add_engine('i8', 'v3')
    await asyncio.sleep(0.02)
    during = site.start_streams(tries=PATIENT_TRIES)
    await asyncio.sleep(FIRST_EVENTS_S)
    await site.kill_all()
    await site.start()
    counts, _ = await gather([*before, *during])
    assert counts.joined == 0
    assert counts.went_on >= 0.5 * counts.taken_up


async def test_streams_of_a_frozen_node_are_joined_at_others(site):
    await site.remove_engines('v2')
    await site.start()
    frozen, *others = site.nodes
    frozen.send_signal(signal.SIGSTOP)
    site.add_engine('i7', 'v3')
    site.add_engine('i8', 'v3')
    await asyncio.sleep(2.0)
    frozen.send_signal(signal.SIGCONT)
    # The node takes these before it has read of the new version.
    streams = site.start_streams([frozen, *others], leave_after=3)
    counts, _ = await gather(streams)
    assert counts.joined == 0
    assert counts.went_on >= 0.5 * counts.taken_up


async def test_streams_of_a_node_without_the_log_are_joined_at_others(site):
    await site.remove_engines('v2')
    await site.start()
    site.links[0].set_impairment(proxy.Impairment.CUT)
    site.add_engine('i7', 'v3')
    site.add_engine('i8', 'v3')
    await asyncio.sleep(2.0)
    streams = site.start_streams(leave_after=3)
    counts, outcomes = await gather(streams)
    assert counts.joined == 0
    assert counts.begun >= 0.9 * STREAMS
    # Of those that began at the other nodes all go on that reach the log.
    assert counts.went_on >= 0.5 * counts.taken_up


async def test_an_engine_with_an_old_entry_goes_on_at_another_version(site):
    # An engine may start anew under its id before its entry tells of it.
    await site.start()
    streams = site.start_streams()
    await asyncio.sleep(FIRST_EVENTS_S)
    for engine in site.find_engines('v1'):
        engine.down_time = 0.1
        engine.next_software = 'v3'
        await engine.crash()
    counts, _ = await gather([*streams, *site.start_streams(leave_after=5)])
    assert counts.joined == 0
    assert counts.begun >= 0.9 * counts.streams


async def read_texts(site, items):
    """Returns the software versions in the text of each finished item."""
    results = await site.deployment.read_all(site.nodes[0], items)
    assert all(result['state'] == 'completed' for result in results)
    texts = [result['output'].splitlines() for result in results]
    for text in texts:
        assert [event.rsplit('-', 1)[1] for event in text] == [
            str(number) for number in range(1, EVENTS + 1)
        ]
    return [{event.split()[0] for event in text} for text in texts]


async def test_the_text_of_an_item_goes_on_at_another_version(site):
    await site.start()
    for engine in site.deployment.engines:
        engine.break_probability = 0.03
    assert (await site.deployment.submit(site.nodes[0], 24)).status == 202
    texts = await read_texts(site, 24)
    assert sum(len(versions) > 1 for versions in texts) == 0


async def test_the_draft_of_an_item_goes_on_at_another_version(site):
    await site.start()
    for engine in site.deployment.engines:
        engine.pause = 0.08
    assert (await site.deployment.submit(site.nodes[0], 16)).status == 202
    # Drafts are stored twice a second.
    await asyncio.sleep(1.6)
    await site.kill_all()
    await site.start()
    texts = await read_texts(site, 16)
    assert sum(len(versions) > 1 for versions in texts) == 0
