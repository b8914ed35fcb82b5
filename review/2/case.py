"""An engine crashes while it generates the texts of items."""

import asyncio
import os
import pathlib
import sys

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2])]

from review.lib import batches  # noqa: E402
from review.lib import deployment  # noqa: E402
from review.lib import engine as standin  # noqa: E402
from review.lib import engines  # noqa: E402

STABLE_S = 3.0
ENGINES = 6
CRASH_AFTER_S = 1.3
ITEMS = [f'item{number}' for number in range(24)]
END_S = 20.0


async def run(site, trouble):
    """Returns how the rule was broken, one line for each item."""
    fleet = [
        engines.EngineProcess(site, f'i{number}') for number in range(ENGINES)
    ]
    loop = asyncio.get_running_loop()
    try:
        for engine in fleet:
            await engine.start()
        site.configure(batches.ROUTES, [{'name': 'llm'}])
        await site.start_nodes(2)
        await asyncio.sleep(STABLE_S)
        await batches.submit(site, 'lot1', ITEMS)
        if trouble:
            await asyncio.sleep(CRASH_AFTER_S)
            await fleet[0].crash()
            site.record('i0 has crashed')
        results = await batches.read(
            site, 'lot1', len(ITEMS), loop.time() + END_S
        )
        if not results:
            raise RuntimeError('no results were read')
        broken = []
        cut = standin.find_cut_events(fleet[0].runs.read_text())
        if trouble:
            site.record(f'events in which texts were cut off: {cut}')
        for result in results:
            site.record(f'{result}')
            name = result['id']
            if result['output'] == standin.make_output(name):
                continue
            # A text that was cut off between two events is left out.
            if result['state'] == 'completed' and name in cut:
                broken.append(
                    f'MIXED: {name} is completed with '
                    f'{len(result["output"].splitlines())} of '
                    f'{standin.EVENTS} events, and was cut off in event '
                    f'{cut[name]}'
                )
        for engine in fleet:
            site.record(f'runs at {engine.name}: {engine.list_runs()}')
        return broken
    finally:
        for engine in fleet:
            await engine.stop()


if __name__ == '__main__':
    deployment.run_case(run, os.environ['TROUBLE'] != '0', sys.argv[1])
