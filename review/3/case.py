"""A trainer ends a batch submission soon after it was accepted."""

import asyncio
import os
import pathlib
import sys

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2])]

from review.lib import batches  # noqa: E402
from review.lib import deployment  # noqa: E402
from tests.gateway import standin_engine  # noqa: E402

NODES = 4
STABLE_S = 3.0
ACK_S = 4.0
CANCEL_S = 3.0
SUBMISSIONS = 50
PROMPT = (1, 4)
"""Of five submissions in a row these two are ended soon after their 202."""
DELAYS_S = [0.03, 0.06, 0.09, 0.05, 0.08, 0.02, 0.1, 0.04, 0.07, 0.06] * 2
"""Times from the 202 to the call that ends a submission."""
CALM_DELAY_S = 1.5
ITEMS = 120
CALM_ITEMS = 2


async def end(site, name, delay, node):
    """Ends a submission after a delay, in one call.

    Returns the loop time from which its end counts as acknowledged.
    """
    await asyncio.sleep(delay)
    answer = await deployment.call(
        node.address,
        'DELETE',
        f'/lots/{name}',
        {'Host': deployment.HOST, 'Request-Id': f'end-{name}'},
        b'',
    )
    site.record(f'end {name} at {node.name} after {delay} s: {answer.status}')
    now = asyncio.get_running_loop().time()
    return now if answer.status == 200 else now + ACK_S


async def run(site, trouble):
    """Returns how the rule was broken, one line for each submission."""
    engines = [
        standin_engine.StandinEngine(f'i{number}', 0.5) for number in range(2)
    ]
    try:
        for engine in engines:
            site.write(
                deployment.SERVERS, engine.name, engine.make_entry('llm')
            )
        site.configure(batches.ROUTES, [{'name': 'llm'}])
        await site.start_nodes(NODES)
        await asyncio.sleep(STABLE_S)
        delays = iter(DELAYS_S)
        ends = {}
        for number in range(SUBMISSIONS):
            name = f'lot{number}'
            prompt = number % 5 in PROMPT
            count = ITEMS if prompt else CALM_ITEMS
            items = [f'{name}-{item}' for item in range(count)]
            await batches.submit(site, name, items)
            delay = next(delays) if prompt and trouble else CALM_DELAY_S
            node = site.nodes[1 + number % (NODES - 1)]
            ends[name] = asyncio.ensure_future(end(site, name, delay, node))
            await asyncio.sleep(0.3)
        ended_at = {name: await task for name, task in ends.items()}
        await asyncio.sleep(ACK_S + CANCEL_S + 8.0)
        broken = []
        arrivals = [
            arrival for engine in engines for arrival in engine.arrivals
        ]
        for name, at in ended_at.items():
            late = [
                item
                for arrived_at, _, item in arrivals
                if item.startswith(f'{name}-') and arrived_at > at + CANCEL_S
            ]
            ran = sum(item.startswith(f'{name}-') for _, _, item in arrivals)
            site.record(f'{name}: {ran} items ran, too late: {late}')
            if late:
                broken.append(
                    f'UNASKED: {len(late)} items of {name} reached engines '
                    f'over {CANCEL_S} s after its end counted as acknowledged'
                )
        return broken
    finally:
        for engine in engines:
            await engine.stop()


if __name__ == '__main__':
    deployment.run_case(run, os.environ['TROUBLE'] != '0', sys.argv[1])
