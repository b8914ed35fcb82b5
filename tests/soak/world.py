"""A log, engines, node processes, and callers that check the promises."""

import asyncio
import base64
import collections
import itertools
import random

import msgspec

from tests.gateway import processes
from tests.gateway import standin_engine
from tests.soak import faults
from tests.soak import proxy
from waxwingport.http import client
from waxwingport.log import base
from waxwingport.platform import standin
from waxwingport.standins import partitions

OPERATOR = base.Topic('keyed.op')
TARGETS = base.Topic('keyed.servers')
HOST = 'shop.example'
NODES = 3
ENGINES = 2
ITEMS = 3
REFUSALS = (429, 503)
EVENT_PAUSE = 0.05
CALL_TIME = 0.2
"""Seconds that a call runs, so that faults meet it under way."""
SETTLE_TIME = 1.0
"""Seconds after which every node knows a submission."""
RECOVERY_TIME = 20.0
"""Seconds after the last fault in which all that was accepted is done."""


class Node(processes.NodeProcess):
    """A node that is started again and again."""

    async def launch(self):
        if not self.running:
            await self.run_process()


class World:
    """One run with one seed."""

    def __init__(self, folder, seed):
        self._rng = random.Random(seed)
        self._folder = folder
        self.log = partitions.MemoryLog()
        self._store = standin.StoreStandin(self.log)
        self._http = client.HttpClient()
        self.engines = [
            standin_engine.StandinEngine(f'i{number}', EVENT_PAUSE)
            for number in range(ENGINES)
        ]
        for found in self.engines:
            found.score_pause = CALL_TIME
        self.nodes = []
        self.links = []
        self.faults = faults.Faults(self, self._rng)
        self.accepted = {}
        """Submission by id: the ids of its items."""
        self._accepted_at = {}
        self.refused = set()
        """Submissions that were refused at every try."""
        self.calls = collections.Counter()
        """Calls that may run once, by how they were answered."""
        self.refused_calls = set()
        self.seen = {}
        """Results by submission and position, as any node told them."""
        self.wrong = []

    async def start(self):
        for number in range(NODES):
            link = proxy.Proxy(self._store.address)
            await link.start()
            self.links.append(link)
            made = Node(self._folder, f'n{number}', link.address)
            self.nodes.append(made)
        for found in self.engines:
            link = proxy.Proxy(found.address)
            await link.start()
            self.links.append(link)
            entry = msgspec.json.decode(found.make_entry('llm'))
            entry['address'] = link.address
            value = msgspec.json.encode(entry)
            self.log.write_keyed(TARGETS, found.name, value)
        self._configure()
        await asyncio.gather(
            *(found.start(self._http) for found in self.nodes)
        )

    async def stop(self):
        for found in self.nodes:
            await found.kill()
        for link in self.links:
            await link.stop()
        self._http.close()
        for found in self.engines:
            await found.stop()
        await self._store.stop()

    async def run(self, seconds):
        """Returns what was wrong; empty if every promise was kept."""
        work = asyncio.ensure_future(self._work())
        await self.faults.run(seconds)
        work.cancel()
        await asyncio.gather(*(found.launch() for found in self.nodes))
        await self._check_end()
        self._check_engines()
        return self.wrong

    def _configure(self):
        common = {
            'host': HOST,
            'service': 'llm',
            'timeout-ms': 2000,
            'latency-target-ms': 500,
            'max-attempts': 3,
            'run-target-ms': 5000,
            'retention-s': 300,
        }
        rows = [
            {'name': 'r1', 'path-prefix': '/gen/', 'kind': 'rollout'},
            {'name': 'r2', 'path-prefix': '/score/', 'kind': 'idempotent'},
            {'name': 'r3', 'path-prefix': '/once/', 'kind': 'non_idempotent'},
        ]
        found = {
            'version': 1,
            'routes': [common | row for row in rows],
            'services': [{'name': 'llm'}],
        }
        self.log.write_keyed(OPERATOR, 'config', msgspec.json.encode(found))

    async def _work(self):
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                group.create_task(self._submit(f's{number}'))
                group.create_task(self._call_once(f'c{number}'))
                for name in list(self.accepted):
                    found = self._rng.choice(self.nodes)
                    group.create_task(self._read(found, name))
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))

    async def _call(self, found, method, path, name, body=b'', patience=2.0):
        """Returns the status and body; status 0 is no answer."""
        rows = (
            ('Host', HOST),
            ('Request-Id', name),
            ('Deadline-Ms', str(round(patience * 1000))),
        )
        request = client.Request(method, path, rows, body, fresh=True)
        answer = await self._http.fetch(found.address, request, patience + 1)
        if answer.is_error():
            return 0, b''
        return answer.ok.status, answer.ok.body

    async def _submit(self, name):
        items = [f'{name}-{number}' for number in range(ITEMS)]
        rows = [
            {
                'id': item,
                'path': '/gen/x',
                'headers': {'Model': 'm'},
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': 10,
                'group': name,
                'scorer-url': {
                    'id': f'score-{item}',
                    'host': HOST,
                    'path': '/score/x',
                    'body': '',
                },
            }
            for item in items
        ]
        body = {
            'step': 1,
            'model': self._rng.choice(['m', 'other']),
            'min-version': 1,
            'target-groups': 1,
            'items': rows,
        }
        statuses = []
        encoded = msgspec.json.encode(body)
        for _ in range(4):
            found = self._rng.choice(self.nodes)
            status, _ = await self._call(
                found, 'POST', '/gen/s', name, encoded, 1.0
            )
            statuses.append(status)
            if status == 202:
                self.accepted[name] = items
                self._accepted_at[name] = asyncio.get_running_loop().time()
                return
        if all(status in REFUSALS for status in statuses):
            self.refused.add(name)

    async def _call_once(self, name):
        found = self._rng.choice(self.nodes)
        status, _ = await self._call(found, 'POST', '/once/x', name)
        self.calls[status] += 1
        if status in REFUSALS:
            self.refused_calls.add(name)

    async def _read(self, found, name):
        """Reads results; returns how many there are, or ``None``."""
        age = asyncio.get_running_loop().time() - self._accepted_at[name]
        status, body = await self._call(found, 'GET', f'/lots/{name}', name)
        if status == 404 and age > SETTLE_TIME:
            self.wrong.append(f'{found.name} does not know {name}')
        if status != 200:
            return None
        rows = msgspec.json.decode(body)['results']
        for position, row in enumerate(rows):
            known = self.seen.setdefault((name, position), row)
            if known != row:
                self.wrong.append(
                    f'{found.name} {name} {position}: {row} was {known}'
                )
        return len(rows)

    async def _check_end(self):
        """Waits until every node tells all that was accepted as done."""
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVERY_TIME
        missing = [
            (found, name) for found in self.nodes for name in self.accepted
        ]
        while missing and loop.time() < end:
            counts = await asyncio.gather(
                *(self._read(found, name) for found, name in missing)
            )
            missing = [
                row
                for row, count in zip(missing, counts, strict=True)
                if count != ITEMS
            ]
            await asyncio.sleep(0.3)
        self.wrong += [
            f'{found.name} has not all of {name}' for found, name in missing
        ]
        for name, items in self.accepted.items():
            rows = [
                self.seen[key]
                for position in range(ITEMS)
                if (key := (name, position)) in self.seen
            ]
            if sorted(row['id'] for row in rows) != sorted(items):
                self.wrong.append(f'{name} lists {rows}')
            self.wrong += [
                f'wrong text of {row}'
                for row in rows
                if row['output'] != _write_text(row['id'])
            ]

    def _check_engines(self):
        runs = collections.Counter(
            name for found in self.engines for name, _ in found.runs
        )
        for name, count in runs.items():
            if name.startswith('c') and count > 1:
                self.wrong.append(f'{name} ran {count} times')
            if name in self.refused_calls:
                self.wrong.append(f'{name} was refused and ran')
            if name.rpartition('-')[0] in self.refused:
                self.wrong.append(f'{name} ran, its submission was refused')


def _write_text(item):
    return '\n'.join(
        f'{item}-{number}' for number in range(1, standin_engine.EVENTS + 1)
    )


async def play(folder, seed, seconds):
    """Plays one seed; returns the world and what was wrong in it."""
    played = World(folder, seed)
    await played.start()
    try:
        wrong = await played.run(seconds)
    finally:
        await played.stop()
    return played, wrong
