import asyncio

import pytest

from waxwingport.http import client
from waxwingport import ids
from waxwingport.outside import adapters
from waxwingport.standins import platform
from waxwingport.standins import servers

_STREAM = ids.StreamName('s')
_ROUNDS = 8


@pytest.mark.parametrize('ticks', range(12))
async def test_cancellation_is_not_swallowed_by_a_request(ticks):
    """A task in a request ends when it is cancelled once.

    A request that swallowed the cancellation would keep a node from stopping.
    The cancellation comes after each number of event loop passes.
    """
    server = servers.serve_log(platform.StandInLog())
    for _ in range(_ROUNDS):
        http = client.HttpClient()
        log = adapters.HttpLog(http, server.address)
        task = asyncio.create_task(log.read(_STREAM, ids.Offset(0)))
        for _ in range(ticks):
            await asyncio.sleep(0)
        ended_before = task.done()
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() or ended_before
        http.close()
    await server.stop()
