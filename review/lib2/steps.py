"""Steps of a trainer: their submissions and results."""

import asyncio
import base64

import msgspec

from review.lib2 import deployment
from review.lib2 import engine

__all__ = ['HOST', 'MODEL', 'Step', 'make_routes']

HOST = 'shop.example'
MODEL = 'm'
_TOKENS_BY_GROUP = 300
"""Estimated output tokens of the first group; later ones have some more."""
_READ_INTERVAL_S = 0.25
"""Time between two reads of results; trainers read about twice a second."""


def make_routes():
    """Returns the routes of a service for texts and one for scores."""
    common = {
        'host': HOST,
        'latency-target-ms': 500,
        'priority': 0,
    }
    return [
        common
        | {
            'name': 'steps',
            'path-prefix': '/gen/',
            'kind': 'rollout',
            'service': 'llm',
            'timeout-ms': 10000,
            'max-attempts': 3,
            'run-target-ms': 7500,
            'retention-s': 40,
        },
        common
        | {
            'name': 'scores',
            'path-prefix': '/score/',
            'kind': 'idempotent',
            'service': 'scores',
            'timeout-ms': 3000,
            'max-attempts': 4,
        },
    ]


class Step:
    """One step, submitted to and read from the nodes of ``site``.

    ``results`` has the results as read, by item.
    """

    def __init__(self, site, step, groups, group_size, minimum):
        self._site = site
        self.name = f'lot-{step}'
        self.items = [
            _make_item(step, group, number)
            for group in range(groups)
            for number in range(group_size)
        ]
        self.results = {}
        self._body = {
            'step': step,
            'model': MODEL,
            'min-version': minimum,
            'target-groups': max(1, 9 * groups // 10),
            'items': self.items,
        }

    @property
    def complete(self):
        """Whether all items are listed."""
        return len(self.results) == len(self.items)

    async def submit(self):
        """Submits the step; raises ``RuntimeError`` if it is refused."""
        if await self.try_submit(self._site.nodes[0]) != 202:
            raise RuntimeError('the submission was not accepted')

    async def try_submit(self, node):
        """Submits the step to a node; returns the status."""
        body = msgspec.json.encode(self._body)
        status, _ = await deployment.fetch(
            node.address,
            'POST',
            '/gen/step',
            {'Request-Id': self.name, 'Deadline-Ms': '10000'},
            body,
        )
        self._site.record(
            f'submission {self.name} of {len(body)} bytes -> {status}'
        )
        return status

    async def read_until(self, end):
        """Reads results until the loop time ``end`` or all are listed."""
        loop = asyncio.get_running_loop()
        reads = 0
        while loop.time() < end and not self.complete:
            node = self._site.nodes[reads % len(self._site.nodes)]
            reads += 1
            status, body = await deployment.fetch(
                node.address,
                'GET',
                f'/lots/{self.name}?after={len(self.results)}',
                {},
            )
            if status == 200:
                for result in msgspec.json.decode(body)['results']:
                    self._take(result)
            await asyncio.sleep(_READ_INTERVAL_S)

    async def end(self):
        """Ends the submission; returns the status."""
        status, _ = await deployment.fetch(
            self._site.nodes[0].address, 'DELETE', f'/lots/{self.name}', {}
        )
        return status

    def _take(self, result):
        self.results[result['id']] = result
        events = result['output'].count('\n') + 1
        self._site.record(
            f'result {result["id"]} {result["state"]} events {events} of '
            f'{engine.EVENTS} versions {result["versions"]}'
        )


def _make_item(step, group, number):
    name = f's{step}g{group}i{number}'
    return {
        'id': name,
        'path': f'/gen/{name}',
        'headers': {
            'Model': MODEL,
            'Token-Usage': '255,400',
            'Prompt-Prefix': f'a{group}:255',
            'Length-Hint': str(_TOKENS_BY_GROUP + group),
        },
        'body': base64.b64encode(name.encode()).decode(),
        'tokens': 655,
        'group': f's{step}g{group}',
        'scorer-url': {
            'id': f'r.{name}',
            'host': HOST,
            'path': f'/score/{name}',
            'body': '',
        },
    }
