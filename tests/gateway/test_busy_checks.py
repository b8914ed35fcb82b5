"""A busy process judges targets by the time that it had to look at them."""

import asyncio
import time

from tests.gateway import test_crash_watch
from waxwingport.standins import partitions


class BusyConnections(test_crash_watch.Connections):
    """Answers while something else holds up the loop."""

    async def is_refused(self, address):
        for _ in range(4):
            time.sleep(0.1)
            await asyncio.sleep(0)
        return await super().is_refused(address)


async def test_a_busy_node_takes_a_crash_for_a_cut():
    watcher = test_crash_watch.Watcher(partitions.MemoryLog(), 'n1')
    watcher.connections = watcher.watch._http = BusyConnections()
    watcher.connections.refused.add('t0')
    assert await watcher.lose('t0', 'q')


async def test_a_busy_node_takes_a_cut_for_a_crash():
    watcher = test_crash_watch.Watcher(partitions.MemoryLog(), 'n1')
    watcher.connections = watcher.watch._http = BusyConnections()
    watcher.connections.silent.add('t0')
    assert not await watcher.lose('t0', 'q')
