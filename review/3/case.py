"""A trainer ends a batch submission soon after it was accepted."""

import asyncio
import os
import pathlib
import sys

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2])]

from review.lib import batches  # noqa: E402
from review.lib import deployment  # noqa: E402
from tests.gateway import standin_engine  # noqa: E402

NODES = 3
STABLE_S = 3.0
ACK_S = 4.0
CANCEL_S = 3.0
DELAYS_S = [
    0.03,
    0.06,
    0.09,
    0.12,
    0.15,
    0.06,
    0.09,
    0.12,
    0.05,
    0.08,
    0.1,
    0.14,
]
"""Times from the 202 to the call that ends a submission."""
ITEMS = 120


async def run(site, trouble):
    """Returns how the rule was broken, one line for each submission."""
    engines = [
        standin_engine.StandinEngine(f'i{number}', 0.5) for number in range(2)
    ]
    loop = asyncio.get_running_loop()
    try:
        for engine in engines:
            site.write(
                deployment.SERVERS, engine.name, engine.make_entry('llm')
            )
        site.configure(batches.ROUTES, [{'name': 'llm'}])
        await site.start_nodes(NODES)
        await asyncio.sleep(STABLE_S)
        ended_at = {}
        for number, delay in enumerate(DELAYS_S):
            name = f'lot{number}'
            items = [f'{name}-{item}' for item in range(ITEMS)]
            await batches.submit(site, name, items)
            await asyncio.sleep(delay if trouble else 1.5)
            node = site.nodes[1 + number % 2]
            answer = await deployment.call(
                node.address,
                'DELETE',
                f'/lots/{name}',
                {'Host': deployment.HOST, 'Request-Id': f'end-{name}'},
                b'',
            )
            acknowledged = answer.status == 200
            site.record(f'end {name} at {node.name}: {answer.status}')
            ended_at[name] = loop.time() + (0.0 if acknowledged else ACK_S)
            await asyncio.sleep(0.2)
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
            site.record(f'{name}: {len(late)} items came too late')
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
    deployment.run_case(run, os.path.dirname(os.path.abspath(__file__)))
