"""A small deployment: gateway processes before a stand-in store.

The processes are started with the command of ``deploy/system.toml`` and the
settings of ``deploy/gateway.toml``, on loopback addresses and free ports.
"""

import asyncio
import json
import logging
import os
import pathlib
import signal
import sys
import tempfile
import time

from tests import ports
from tests.soak import proxy
from waxwingport.log import base
from waxwingport.platform import standin
from waxwingport.standins import partitions

ROOT = pathlib.Path(__file__).resolve().parents[2]
OPERATOR = base.Topic('keyed.op')
SERVERS = base.Topic('keyed.servers')
HOST = 'shop.example'
GRACE_S = 8
READY_TIMEOUT_S = 20.0
TIMEOUT_S = 110.0
RESTART_DELAY_S = 0.5
"""The platform starts a process that has ended again after a short delay."""


def find_port():
    """Returns a free port."""
    return ports.find_port()


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text('')
        self._started_at = time.monotonic()

    def __call__(self, text):
        """Writes a line with the seconds since the start."""
        at = time.monotonic() - self._started_at
        with self._path.open('a') as file:
            file.write(f'{at:8.3f} {text}\n')


class Node:
    """One gateway process."""

    def __init__(self, deployment, name, store_address):
        self._deployment = deployment
        self.name = name
        self.address = f'127.0.0.1:{find_port()}'
        self.ready_address = f'127.0.0.1:{find_port()}'
        self.process = None
        self.starts = 0
        self.own_ends = []
        """Exit codes of processes that ended by themselves."""
        self._told_to_end = False
        self._settings = deployment.folder / f'{name}.toml'
        self._settings.write_text(
            '[node]\n'
            f'name = "{name}"\n'
            'data_centre = "here"\n'
            f'listen = "{self.address}"\n'
            f'status_listen = "{self.ready_address}"\n'
            f'metrics_listen = "127.0.0.1:{find_port()}"\n'
            f'shutdown_timeout = {GRACE_S}\n'
            'cpu_share = 0.717\n'
            'cpu_speed = 3\n'
            '[store]\n'
            f'address = "{store_address}"\n'
            'record_size = 262144\n'
            'call_size = 2097152\n'
            'retention = 300\n'
            '[submissions]\n'
            'status_time = 120\n'
            '[rollout]\n'
            'turn_time = 3000e-3\n'
        )

    async def start(self):
        """Starts the process."""
        self.starts += 1
        self._told_to_end = False
        log = (self._deployment.folder / f'{self.name}.log').open('ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['WAXWINGPORT_NODE_FILE'] = str(self._settings)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'waxwingport.gateway',
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        """Sends a signal if the process runs."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._told_to_end = True
        if self.running:
            self.process.send_signal(number)

    async def kill(self):
        """Ends the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def keep_running(self):
        """Starts the process again whenever it has ended by itself."""
        while True:
            process = self.process
            code = await process.wait()
            if self._told_to_end:
                return
            self.own_ends.append(code)
            self._deployment.record(
                f'{self.name} ended by itself with code {code}'
            )
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    async def is_ready(self):
        """Returns whether the node answers that it is ready."""
        answer = await call(self.ready_address, 'GET', '/readiness', {}, b'')
        return answer.status == 200


class Answer:
    """A response; ``status`` 0 means that there was none."""

    def __init__(self, status=0, headers=None, body=b'', complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


async def call(address, method, path, headers, body, timeout=2.0):
    """Sends a request over a new connection and returns the answer."""
    try:
        async with asyncio.timeout(timeout):
            return await _exchange(address, method, path, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer()


def encode_request(method, path, headers, body):
    """Returns the bytes of a request."""
    head = [f'{method} {path} HTTP/1.1']
    head += [f'{name}: {value}' for name, value in headers.items()]
    if 'Host' not in headers:
        head.append('Host: node')
    head.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*head, '', '']).encode() + body


async def read_head(reader):
    """Returns the status and the headers, by lower-case name."""
    status_line = await reader.readline()
    status = int(status_line.split()[1]) if status_line else 0
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.lower()] = value.strip()
    return status, headers


async def _exchange(address, method, path, headers, body):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(encode_request(method, path, headers, body))
        status, fields = await read_head(reader)
        if not status:
            return Answer()
        if 'content-length' in fields:
            content = await reader.readexactly(int(fields['content-length']))
        else:
            content = await reader.read()
        return Answer(status, fields, content, True)
    finally:
        writer.close()


class Deployment:
    """Gateway processes, a store and the operator's writes."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.log = partitions.MemoryLog()
        self._store = standin.StoreStandin(self.log)
        self.store_address = self._store.address
        self.nodes = []
        self.links = []
        """Link of each node to the store, if they have any."""
        self._watches = []

    def write(self, topic, key, content):
        """Writes a record of a keyed topic, as operator or engine."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.log.write_keyed(topic, key, content)

    def configure(self, routes, services, version=1):
        """Writes a configuration as the operator."""
        self.write(
            OPERATOR,
            'config',
            {'version': version, 'routes': routes, 'services': services},
        )

    async def start_nodes(self, count, link_nodes=False):
        """Starts nodes and waits until all of them are ready.

        With ``link_nodes`` each has a link of its own to the store.
        """
        for number in range(count):
            address = self.store_address
            if link_nodes:
                link = proxy.Proxy(address)
                await link.start()
                self.links.append(link)
                address = link.address
            self.nodes.append(Node(self, f'n{number}', address))
        await asyncio.gather(*(node.start() for node in self.nodes))
        self._watches = [
            asyncio.ensure_future(node.keep_running()) for node in self.nodes
        ]
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.05)
        self.record(f'{count} nodes are ready')

    async def stop(self):
        """Ends all processes and removes the temporary folder."""
        for watch in self._watches:
            watch.cancel()
        # One that was about to start a process ends it.
        await asyncio.gather(*self._watches, return_exceptions=True)
        for node in self.nodes:
            await node.kill()
        for link in self.links:
            await link.stop()
        await self._store.stop()
        self._temporary.cleanup()


def run_case(run, trouble, record_path):
    """Runs a case and exits with its code; 2 if it could not run."""
    # Closed connections are part of the cases.
    logging.getLogger('tornado').setLevel(logging.CRITICAL + 1)

    async def play():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record_path)
        deployment.record(f'trouble: {trouble}')
        try:
            async with asyncio.timeout(TIMEOUT_S):
                broken = await run(deployment, trouble)
        finally:
            await deployment.stop()
        for line in broken:
            deployment.record(f'BROKEN {line}')
            print(f'BROKEN {line}')
        if not broken:
            deployment.record('held')
            print('held')
        return 1 if broken else 0

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        print(f'could not run: {error!r}')
        code = 2
    sys.exit(code)
