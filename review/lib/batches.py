"""Consumers of batch submissions."""

import asyncio
import base64
import json

from review.lib import deployment

ROUTES = [
    {
        'name': 'r1',
        'host': deployment.HOST,
        'path-prefix': '/gen/',
        'kind': 'rollout',
        'service': 'llm',
        'timeout-ms': 10000,
        'latency-target-ms': 500,
        'max-attempts': 3,
        'run-target-ms': 7500,
        'retention-s': 40,
    },
    {
        'name': 'r2',
        'host': deployment.HOST,
        'path-prefix': '/score/',
        'kind': 'idempotent',
        'service': 'llm',
        'timeout-ms': 3000,
        'latency-target-ms': 500,
        'max-attempts': 4,
    },
]


def make_batch(items):
    """Returns a submission of items with the given ids."""
    entries = [
        {
            'id': item,
            'path': '/gen/x',
            'headers': {'Model': 'm'},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 10,
            'group': 'g1',
            'scorer-url': {
                'id': f'score-{item}',
                'host': deployment.HOST,
                'path': '/score/x',
                'body': '',
            },
        }
        for item in items
    ]
    return json.dumps(
        {
            'step': 1,
            'model': 'm',
            'min-version': 1,
            'target-groups': 1,
            'items': entries,
        }
    ).encode()


async def submit(site, name, items):
    """Submits a batch, again at other nodes until it is accepted."""
    for number in range(8):
        node = site.nodes[number % len(site.nodes)]
        answer = await deployment.call(
            node.address,
            'POST',
            '/gen/s',
            {'Host': deployment.HOST, 'Request-Id': name},
            make_batch(items),
        )
        site.record(f'submit {name} at {node.name}: {answer.status}')
        if answer.status == 202:
            return
        await asyncio.sleep(0.3)
    raise RuntimeError(f'{name} was not accepted')


async def read(site, name, count, end):
    """Reads a batch from its start, again after each failure.

    Returns the results, or ``None`` if no node could read it until the loop
    time ``end``.
    """
    loop = asyncio.get_running_loop()
    statuses = {}
    results = None
    while loop.time() < end and (results is None or len(results) < count):
        for node in site.nodes:
            answer = await deployment.call(
                node.address,
                'GET',
                f'/lots/{name}?after=0',
                {'Host': deployment.HOST, 'Request-Id': f'read-{name}'},
                b'',
            )
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            if answer.status == 200:
                results = json.loads(answer.body)['results']
        await asyncio.sleep(0.3)
    listed = None if results is None else len(results)
    site.record(f'read {name}: statuses {statuses}, {listed} results')
    return results
