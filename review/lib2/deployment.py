"""A small deployment: gateway processes before stand-ins, on loopback.

The processes are started with the command of the deploy file.  The store and
the engines are stand-ins in the process of the case.
"""

import asyncio
import contextlib
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import tomllib
import traceback

import msgspec

from waxwingport.log import base
from waxwingport.platform import standin
from waxwingport.standins import partitions

__all__ = ['Deployment', 'Node', 'fetch', 'run_case']

ROOT = pathlib.Path(__file__).resolve().parents[2]
OPERATOR = base.Topic('keyed.op')
SERVERS = base.Topic('keyed.servers')
_READY_TIMEOUT_S = 20.0
_CASE_TIMEOUT_S = 110.0
_HEARTBEAT_S = 1.2
_SILENT_HEARTBEATS = 3
"""Heartbeats after which the store drops the entry of a silent engine."""
_SETTINGS = """\
[node]
name = "{name}"
data_centre = "here"
listen = "{ip}:{front}"
status_listen = "{ip}:{ready}"
metrics_listen = "{ip}:9464"
shutdown_timeout = 8
cpu_share = 0.717
cpu_speed = 3
memory_mb = 340
max_fds = 8200

[store]
address = "{store}"
record_size = 262144
call_size = 2097152
retention = 300

[submissions]
status_time = 120

[rollout]
turn_time = 3000e-3

[usage]
turn_time = 3000e-3
"""
"""What ``deploy/gateway.toml`` gives for the sheet's settings."""


class Node:
    """A gateway process at an address of its own."""

    def __init__(self, name, ip, folder, store_address):
        self.name = name
        self.ip = ip
        front, ready = _find_ports(ip, 2)
        self.address = f'{ip}:{front}'
        self.status_address = f'{ip}:{ready}'
        self._log = folder / f'{name}-{ip}.log'
        self._settings = folder / f'{name}-{ip}.toml'
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                front=front,
                ready=ready,
                store=store_address,
            )
        )
        self._process = None

    async def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['gateway']['run'])
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': os.environ.get('PYTHONPATH', ''),
            'WAXWINGPORT_NODE_FILE': str(self._settings),
        }
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words[1:],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self):
        """Waits until the node answers its readiness check with 200."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                status, _ = await fetch(
                    self.status_address, 'GET', '/readiness', {}
                )
                if status == 200:
                    return
                await asyncio.sleep(0.05)

    def send_signal(self, number):
        """Sends a signal unless the process has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self):
        """Waits for the end of the process; returns its exit code."""
        return await self._process.wait()

    async def kill(self):
        """Kills the process and waits for its end."""
        if self._process is not None:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    def read_memory(self):
        """Returns the resident bytes of the process, 0 if it has ended."""
        try:
            text = pathlib.Path(f'/proc/{self._process.pid}/statm').read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')

    def read_log(self):
        """Returns the lines that the process has logged."""
        return self._log.read_text(errors='replace').splitlines()


class Deployment:
    """The store, the engines and the nodes of a case."""

    def __init__(self, record_path):
        self._folder = tempfile.TemporaryDirectory(prefix='case-')
        self.folder = pathlib.Path(self._folder.name)
        self.log = partitions.MemoryLog()
        self.store = standin.StoreStandin(self.log)
        self.nodes = []
        self.engines = []
        self._record_file = record_path.open('w')
        self._started_at = asyncio.get_running_loop().time()
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def record(self, line):
        """Writes a line with the time since the start to the record."""
        now = asyncio.get_running_loop().time() - self._started_at
        print(f'{now:8.3f} {line}', file=self._record_file, flush=True)

    def make_node(self, name, ip, store_address=None):
        """Returns a further node, which is not started yet."""
        node = Node(name, ip, self.folder, store_address or self.store.address)
        self.nodes.append(node)
        return node

    def register(self, engine):
        """Adds an engine, which writes its entry from now on."""
        self.engines.append(engine)
        self.log.write_keyed(SERVERS, engine.name, engine.make_entry())

    async def _beat(self):
        """Writes the entries of engines that run; drops those of others."""
        silent = {}
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for engine in self.engines:
                if engine.up:
                    silent[engine.name] = 0
                    entry = engine.make_entry()
                    self.log.write_keyed(SERVERS, engine.name, entry)
                    continue
                silent[engine.name] = silent.get(engine.name, 0) + 1
                if silent[engine.name] == _SILENT_HEARTBEATS:
                    self.log.write_keyed(SERVERS, engine.name)

    def configure(self, version, routes, services):
        """Writes a configuration as the operator does."""
        document = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 33554432,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
        }
        self.log.write_keyed(OPERATOR, 'config', msgspec.json.encode(document))
        self.record(f'configuration {version}')

    def name_version(self, model, version):
        """Names a version of a model's weights as its trainer does."""
        for engine in self.engines:
            if model in engine.named:
                engine.named[model] = version
        self.log.write_keyed(
            OPERATOR,
            f'version/{model}',
            msgspec.json.encode({'model': model, 'version': version}),
        )
        self.record(f'version {version} of {model} is named')

    async def start_nodes(self, count):
        """Starts nodes and waits until they are ready."""
        for number in range(count):
            node = self.make_node(f'node-{number}', f'127.0.1.{number + 1}')
            await node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def stop(self):
        """Ends all processes and stand-ins."""
        self._beats.cancel()
        for node in self.nodes:
            await node.kill()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        self._record_file.close()
        self._folder.cleanup()


def run_case(file, rule, judge):
    """Runs a case and ends the process with its exit code.

    ``file`` is the case's module, ``judge`` takes the deployment and whether
    there is a disruption, and returns whether the rule was broken.
    """
    sys.exit(asyncio.run(_run_case(pathlib.Path(file), rule, judge)))


async def _run_case(file, rule, judge):
    trouble = os.environ.get('TROUBLE', '1') != '0'
    site = Deployment(file.resolve().parent / 'record.txt')
    try:
        async with asyncio.timeout(_CASE_TIMEOUT_S):
            broken = await judge(site, trouble)
        site.record(f'rule {rule} {"broken" if broken else "held"}')
        return int(broken)
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        await site.stop()


async def fetch(address, method, path, headers, body=b'', timeout=5.0):
    """Sends a request on a new connection; returns status and body.

    The status is 0 if there is no complete answer.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {'Host': 'shop.example', **headers}
            if body or method == 'POST':
                fields['Content-Length'] = str(len(body))
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in fields.items()]
            lines += ['Connection: close', '', '']
            writer.write('\r\n'.join(lines).encode() + body)
            return _parse(await reader.read())
    except (OSError, TimeoutError):
        return 0, b''
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()


def _parse(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    words = lines[0].split(' ')
    if len(words) < 2 or not words[1].isdigit():
        return 0, b''
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.lower() == 'content-length' and len(body) < int(value):
            return 0, b''
    return int(words[1]), body


def _find_ports(ip, count):
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
