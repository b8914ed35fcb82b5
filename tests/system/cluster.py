"""Nodes as processes of their own around stand-ins in the test process."""

import asyncio
import os
import signal
import subprocess
import sys

import msgspec
from tornado import httpclient

from tests import ports
from waxwingport import ids
from waxwingport.outside import base as platform
from waxwingport import settings
from waxwingport.trial import external

SECRET = 'a secret that every node of this test shares'  # noqa: S105
READY_TIMEOUT = 30.0
STOP_TIMEOUT = 30.0
POLL_INTERVAL = 0.02


class Process:
    """One node's process."""

    def __init__(self, configured, folder):
        self.settings = configured
        self.name = configured.node.name
        self.url = f'http://{configured.node.listen}'
        self.path = folder / f'{self.name}.toml'
        self.path.write_bytes(
            msgspec.toml.encode(msgspec.to_builtins(drop_unset(configured)))
        )
        self.log_path = folder / f'{self.name}.log'
        self.popen = None

    def start(self):
        with self.log_path.open('ab') as output:
            self.popen = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'waxwingport',
                    'serve',
                    '--settings',
                    str(self.path),
                ],
                stdout=output,
                stderr=output,
            )

    def send(self, number):
        os.kill(self.popen.pid, number)

    def kill(self):
        """Ends the process at once, as a crash does."""
        self.popen.kill()
        self.popen.wait()

    async def stop(self):
        """Stops the process as planned; returns its exit code."""
        self.popen.terminate()
        return await asyncio.to_thread(self.popen.wait, STOP_TIMEOUT)

    def end(self):
        """Ends the process whatever state it is in."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.kill()


def drop_unset(configured):
    """Returns settings as builtins without the values that are None."""
    rows = msgspec.to_builtins(configured)
    return {
        section: {k: v for k, v in values.items() if v is not None}
        for section, values in rows.items()
        if values is not None
    }


class Cluster:
    """A deployment whose nodes run as processes."""

    def __init__(self, deployment, folder):
        self.deployment = deployment
        self.folder = folder
        self.external = external.ExternalStandIns(deployment)
        self.nodes = {}

    async def start(self, count):
        """Starts nodes, spread over the data centres, until all serve."""
        self.platform = await self.external.start()
        centres = self.deployment.data_centres
        for index in range(count):
            centre = centres[index % len(centres)]
            self.add(f'{centre}-{index // len(centres) + 1}', centre)
        self.list_nodes()
        for node in self.nodes.values():
            node.start()
        await asyncio.gather(
            *(self.wait_ready(node) for node in self.nodes.values())
        )

    async def stop(self):
        for node in self.nodes.values():
            node.end()
        await self.external.stop()

    def add(self, name, centre):
        configured = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(name),
                data_centre=centre,
                listen=f'127.0.0.1:{ports.find_port()}',
                peer_listen=f'127.0.0.1:{ports.find_port()}',
                shutdown_timeout=10.0,
            ),
            platform=self.platform,
            peers=settings.peer_base.PeerSettings(secret=SECRET),
        )
        self.nodes[name] = Process(configured, self.folder)
        return self.nodes[name]

    def list_nodes(self, without=()):
        """Shows the nodes in the platform's list, ``without`` some."""
        targets = [
            row
            for row in self.external.vm_list.latest
            if row.kind is not platform.VmKind.NODE
        ]
        rows = [
            platform.Vm(
                name=name,
                kind=platform.VmKind.NODE,
                data_centre=node.settings.node.data_centre,
                address=node.settings.node.listen,
                peer_address=node.settings.node.peer_listen,
            )
            for name, node in self.nodes.items()
            if name not in without
        ]
        self.external.vm_list.replace([*targets, *rows])

    async def wait_ready(self, node):
        for _ in range(int(READY_TIMEOUT / POLL_INTERVAL)):
            status, _ = await fetch(node.url, 'GET', '/readyz')
            if status == 200:
                return
            await asyncio.sleep(POLL_INTERVAL)
        raise AssertionError(node.log_path.read_text()[-4000:])

    async def wait_until(self, check, timeout=READY_TIMEOUT):
        """Waits until an awaitable check is true."""
        for _ in range(int(timeout / POLL_INTERVAL)):
            if await check():
                return
            await asyncio.sleep(POLL_INTERVAL)
        raise AssertionError(f'not within {timeout} s')


async def fetch(url, method, path, body=None, headers=None, timeout=20.0):
    """Returns status and decoded body; 0 when there was no answer."""
    request = httpclient.HTTPRequest(
        url + path,
        method=method,
        headers=headers,
        body=None if body is None else msgspec.json.encode(body),
        allow_nonstandard_methods=True,
        request_timeout=timeout,
    )
    client = httpclient.AsyncHTTPClient()
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, httpclient.HTTPClientError):
        return 0, None
    if response.code == 599:
        return 0, None
    try:
        return response.code, msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return response.code, response.body
