"""An entry of another writer that can't be read, beside those of engines."""

import asyncio
import json
import os
import pathlib
import sys

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2])]

from review.lib import batches  # noqa: E402
from review.lib import deployment  # noqa: E402
from tests.gateway import standin_engine  # noqa: E402

NODES = 3
ITEMS = [f'item{number}' for number in range(6)]
STABLE_S = 3.0
DAY_S = 15.0
FINISH_S = 10.0
UNREADABLE = b'{"service": "llm", "note": ' + b'[' * 2000
"""A record of 2 KB, cut off inside nested lists."""


async def run(site, trouble):
    """Returns how rules were broken, one line each."""
    engines = [
        standin_engine.StandinEngine(f'i{number}', 0.3) for number in range(2)
    ]
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        for engine in engines:
            site.write(
                deployment.SERVERS, engine.name, engine.make_entry('llm')
            )
        site.configure(batches.ROUTES, [{'name': 'llm'}])
        await site.start_nodes(NODES)
        await asyncio.sleep(STABLE_S)
        broken = []
        await batches.submit(site, 'lot1', ITEMS)
        if trouble:
            site.write(deployment.SERVERS, 'other-writer', UNREADABLE)
            site.record(f'another writer wrote {len(UNREADABLE)} bytes')
        while loop.time() < started_at + DAY_S:
            # The heartbeats of the engines go on.
            for engine in engines:
                entry = json.loads(engine.make_entry('llm'))
                entry['seq'] = int(loop.time() * 1000)
                site.write(deployment.SERVERS, engine.name, entry)
            await asyncio.sleep(1.2)
        site.record('the day has ended')
        results = await batches.read(
            site, 'lot1', len(ITEMS), loop.time() + FINISH_S + 10.0
        )
        if results is None:
            broken.append('LOST: a batch that was accepted cannot be read')
        ends = {node.name: len(node.own_ends) for node in site.nodes}
        site.record(f'processes that ended by themselves: {ends}')
        if sum(count >= 3 for count in ends.values()) >= 2:
            broken.append(f'Fault: processes ended by themselves: {ends}')
        ran = [name for engine in engines for name, _ in engine.runs]
        site.record(f'runs at the engines: {ran}')
        return broken
    finally:
        for engine in engines:
            await engine.stop()


if __name__ == '__main__':
    deployment.run_case(run, os.environ['TROUBLE'] != '0', sys.argv[1])
