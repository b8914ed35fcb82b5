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
async def test_cancellation_is_never_swallowed_by_a_request(ticks):
    """A background task that is cancelled once ends, so that a node stops."""
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
