"""One run of the soak test: nodes, engines, a log and checking callers."""

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
REFUSAL_STATUSES = (429, 503)
EVENT_INTERVAL_S = 0.05
CALL_DURATION_S = 0.2
"""Duration of a call, so that faults occur while it runs."""
PROPAGATION_TIME_S = 1.0
"""Time within which every node knows a submission."""
RECOVERY_TIME_S = 20.0
"""Time after the last fault within which accepted submissions finish."""


class Node(processes.NodeProcess):
    """A node that can be started again after it has ended."""

    async def launch(self):
        if not self.running:
            await self.run_process()


class SoakRun:
    """One run with one seed.

    ``accepted`` has the ids of each accepted submission's items, ``refused``
    the submissions that were refused at every attempt.  ``calls`` counts the
    statuses of calls that may run at most once; status 0 is no response.
    ``results`` has each result by submission and position as first read.
    """

    def __init__(self, folder, seed):
        self._rng = random.Random(seed)
        self._folder = folder
        self.log = partitions.MemoryLog()
        self._store = standin.StoreStandin(self.log)
        self._http = client.HttpClient()
        self.engines = [
            standin_engine.StandinEngine(f'i{number}', EVENT_INTERVAL_S)
            for number in range(ENGINES)
        ]
        for engine in self.engines:
            engine.score_pause = CALL_DURATION_S
        self.nodes = []
        self.links = []
        self.faults = faults.Faults(self, self._rng)
        self.accepted = {}
        """Ids of the items of each accepted submission."""
        self._accepted_at = {}
        self.refused = set()
        """Submissions that were refused at every attempt."""
        self.calls = collections.Counter()
        """Number of calls that may run at most once, by status."""
        self.refused_calls = set()
        self.results = {}
        """Results by submission and position, as first read from any node."""
        self.violations = []

    async def start(self):
        for number in range(NODES):
            link = proxy.Proxy(self._store.address)
            await link.start()
            self.links.append(link)
            node = Node(self._folder, f'n{number}', link.address)
            self.nodes.append(node)
        for member in self.engines:
            link = proxy.Proxy(member.address)
            await link.start()
            self.links.append(link)
            entry = msgspec.json.decode(member.make_entry('llm'))
            entry['address'] = link.address
            value = msgspec.json.encode(entry)
            self.log.write_keyed(TARGETS, member.name, value)
        self._publish_configuration()
        await asyncio.gather(
            *(member.start(self._http) for member in self.nodes)
        )

    async def stop(self):
        for member in self.nodes:
            await member.kill()
        for link in self.links:
            await link.stop()
        self._http.close()
        for member in self.engines:
            await member.stop()
        await self._store.stop()

    async def run(self, seconds):
        """Injects faults for ``seconds``, then checks the outcome.

        Returns a description of each violated guarantee.
        """
        callers = asyncio.ensure_future(self._run_callers())
        await self.faults.run(seconds)
        callers.cancel()
        await asyncio.gather(*(node.launch() for node in self.nodes))
        await self._check_submissions()
        self._check_executions()
        return self.violations

    def _publish_configuration(self):
        common = {
            'host': HOST,
            'service': 'llm',
            'timeout-ms': 2000,
            'latency-target-ms': 500,
            'max-attempts': 3,
            'run-target-ms': 5000,
            'retention-s': 300,
        }
        routes = [
            {'name': 'r1', 'path-prefix': '/gen/', 'kind': 'rollout'},
            {'name': 'r2', 'path-prefix': '/score/', 'kind': 'idempotent'},
            {'name': 'r3', 'path-prefix': '/once/', 'kind': 'non_idempotent'},
        ]
        configuration = {
            'version': 1,
            'routes': [common | route for route in routes],
            'services': [{'name': 'llm'}],
        }
        self.log.write_keyed(
            OPERATOR, 'config', msgspec.json.encode(configuration)
        )

    async def _run_callers(self):
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                group.create_task(self._submit(f's{number}'))
                group.create_task(self._call_once(f'c{number}'))
                for name in list(self.accepted):
                    node = self._rng.choice(self.nodes)
                    group.create_task(self._read_results(node, name))
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))

    async def _call(self, node, method, path, name, body=b'', timeout=2.0):
        """Returns the status and body; status 0 means no response."""
        headers = (
            ('Host', HOST),
            ('Request-Id', name),
            ('Deadline-Ms', str(round(timeout * 1000))),
        )
        request = client.Request(method, path, headers, body, fresh=True)
        response = await self._http.fetch(node.address, request, timeout + 1)
        if response.is_error():
            return 0, b''
        return response.ok.status, response.ok.body

    async def _submit(self, name):
        items = [f'{name}-{number}' for number in range(ITEMS)]
        encoded_items = [
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
            'items': encoded_items,
        }
        statuses = []
        encoded = msgspec.json.encode(body)
        for _ in range(4):
            node = self._rng.choice(self.nodes)
            status, _ = await self._call(
                node, 'POST', '/gen/s', name, encoded, 1.0
            )
            statuses.append(status)
            if status == 202:
                self.accepted[name] = items
                self._accepted_at[name] = asyncio.get_running_loop().time()
                return
        if all(status in REFUSAL_STATUSES for status in statuses):
            self.refused.add(name)

    async def _call_once(self, name):
        node = self._rng.choice(self.nodes)
        status, _ = await self._call(node, 'POST', '/once/x', name)
        self.calls[status] += 1
        if status in REFUSAL_STATUSES:
            self.refused_calls.add(name)

    async def _read_results(self, node, name):
        """Checks a submission's results; returns their number, or ``None``."""
        age = asyncio.get_running_loop().time() - self._accepted_at[name]
        status, body = await self._call(node, 'GET', f'/lots/{name}', name)
        if status == 404 and age > PROPAGATION_TIME_S:
            self.violations.append(f'{node.name} does not know {name}')
        if status != 200:
            return None
        results = msgspec.json.decode(body)['results']
        for position, result in enumerate(results):
            first = self.results.setdefault((name, position), result)
            if first != result:
                self.violations.append(
                    f'{node.name} {name} {position}: {result} was {first}'
                )
        return len(results)

    async def _check_submissions(self):
        """Waits until every node reports all accepted submissions as done.

        Then checks that each item has its own text and appears once.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVERY_TIME_S
        missing = [
            (node, name) for node in self.nodes for name in self.accepted
        ]
        while missing and loop.time() < end:
            counts = await asyncio.gather(
                *(self._read_results(node, name) for node, name in missing)
            )
            missing = [
                entry
                for entry, count in zip(missing, counts, strict=True)
                if count != ITEMS
            ]
            await asyncio.sleep(0.3)
        self.violations += [
            f'{node.name} has not all of {name}' for node, name in missing
        ]
        for name, items in self.accepted.items():
            results = [
                self.results[key]
                for position in range(ITEMS)
                if (key := (name, position)) in self.results
            ]
            if sorted(entry['id'] for entry in results) != sorted(items):
                self.violations.append(f'{name} lists {results}')
            self.violations += [
                f'wrong text of {entry}'
                for entry in results
                if entry['output'] != _make_expected_text(entry['id'])
            ]

    def _check_executions(self):
        runs = collections.Counter(
            name for engine in self.engines for name, _ in engine.runs
        )
        for name, count in runs.items():
            if name.startswith('c') and count > 1:
                self.violations.append(f'{name} ran {count} times')
            if name in self.refused_calls:
                self.violations.append(f'{name} was refused and ran')
            if name.rpartition('-')[0] in self.refused:
                self.violations.append(
                    f'{name} ran, its submission was refused'
                )


def _make_expected_text(item):
    return '\n'.join(
        f'{item}-{number}' for number in range(1, standin_engine.EVENTS + 1)
    )


async def run_seed(folder, seed, seconds):
    """Runs one seed; returns the finished run and its violations."""
    soak = SoakRun(folder, seed)
    await soak.start()
    try:
        violations = await soak.run(seconds)
    finally:
        await soak.stop()
    return soak, violations
