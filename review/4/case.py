"""An engine crashes while it sends streams to consumers."""

import asyncio
import os
import pathlib
import sys

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2])]

from review.lib import deployment  # noqa: E402
from review.lib import engine as standin  # noqa: E402
from review.lib import engines  # noqa: E402
from review.lib import streams  # noqa: E402

STABLE_S = 3.0
CRASH_AFTER_S = 1.3
STREAMS = 24
ENGINES = 6
ROUTES = [
    {
        'name': 'r1',
        'host': deployment.HOST,
        'path-prefix': '/stream/',
        'kind': 'streaming',
        'resumable': True,
        'service': 'llm',
        'timeout-ms': 12000,
        'latency-target-ms': 500,
        'max-attempts': 3,
    }
]


async def run(site, trouble):
    """Returns how the rule was broken, one line for each stream."""
    fleet = [
        engines.EngineProcess(site, f'i{number}') for number in range(ENGINES)
    ]
    try:
        for engine in fleet:
            await engine.start()
        site.configure(ROUTES, [{'name': 'llm'}])
        await site.start_nodes(2)
        await asyncio.sleep(STABLE_S)
        consumers = [
            streams.StreamConsumer(site, f's{number}', site.nodes[number % 2])
            for number in range(STREAMS)
        ]
        reading = [
            asyncio.ensure_future(consumer.run()) for consumer in consumers
        ]
        if trouble:
            await asyncio.sleep(CRASH_AFTER_S)
            await fleet[0].crash()
            site.record('i0 has crashed')
        await asyncio.gather(*reading)
        broken = []
        cut = standin.find_cut_events(fleet[0].runs.read_text())
        if trouble:
            site.record(f'events in which streams were cut off: {cut}')
        for consumer in consumers:
            numbers = [number for number, _ in consumer.events]
            if numbers == list(range(1, standin.EVENTS + 1)):
                continue
            site.record(f'{consumer.name} got {numbers}')
            # A stream that was cut off between two events is left out.
            attempt = f'{consumer.name}-{consumer.tries}'
            if consumer.ended and attempt in cut:
                broken.append(
                    f'ORDER: {attempt} ended as complete after event '
                    f'{numbers[-1:]} of {standin.EVENTS}, and was cut off in '
                    f'event {cut[attempt]}'
                )
        for engine in fleet:
            site.record(f'runs at {engine.name}: {engine.list_runs()}')
        return broken
    finally:
        for engine in fleet:
            await engine.stop()


if __name__ == '__main__':
    deployment.run_case(run, os.environ['TROUBLE'] != '0', sys.argv[1])
