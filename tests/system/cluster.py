"""Nodes in separate processes, with stand-ins in the test process."""

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
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


class NodeProcess:
    """A node in its own process, which logs to ``log_path``."""

    def __init__(self, node_settings, folder):
        self.settings = node_settings
        self.name = node_settings.node.name
        self.url = f'http://{node_settings.node.listen}'
        self.path = folder / f'{self.name}.toml'
        self.path.write_bytes(
            msgspec.toml.encode(
                msgspec.to_builtins(remove_unset(node_settings))
            )
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

    def send_signal(self, number):
        os.kill(self.popen.pid, number)

    def kill(self):
        """Kills the process with SIGKILL, without a shutdown."""
        self.popen.kill()
        self.popen.wait()

    async def stop(self):
        """Stops the process with SIGTERM and returns its exit code."""
        self.popen.terminate()
        return await asyncio.to_thread(self.popen.wait, STOP_TIMEOUT_S)

    def kill_if_running(self):
        """Kills the process if it still runs, even if it is suspended."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.kill()


def remove_unset(node_settings):
    """Returns settings as builtin types, without values that are None."""
    sections = msgspec.to_builtins(node_settings)
    return {
        section: {
            key: value for key, value in values.items() if value is not None
        }
        for section, values in sections.items()
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
        """Starts ``count`` nodes and waits until all are ready.

        They are assigned to the data centres in turn.
        """
        self.platform = await self.external.start()
        data_centres = self.deployment.data_centres
        for index in range(count):
            data_centre = data_centres[index % len(data_centres)]
            self.add_node(
                f'{data_centre}-{index // len(data_centres) + 1}', data_centre
            )
        self.publish_vm_list()
        for node in self.nodes.values():
            node.start()
        await asyncio.gather(
            *(self.wait_until_ready(node) for node in self.nodes.values())
        )

    async def stop(self):
        for node in self.nodes.values():
            node.kill_if_running()
        await self.external.stop()

    def add_node(self, name, data_centre):
        node_settings = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(name),
                data_centre=data_centre,
                listen=f'127.0.0.1:{ports.find_port()}',
                peer_listen=f'127.0.0.1:{ports.find_port()}',
                shutdown_timeout=10.0,
            ),
            platform=self.platform,
            peers=settings.peer_base.PeerSettings(secret=SECRET),
        )
        self.nodes[name] = NodeProcess(node_settings, self.folder)
        return self.nodes[name]

    def publish_vm_list(self, without=()):
        """Writes all nodes but those in ``without`` to the VM list."""
        targets = [
            vm
            for vm in self.external.vm_list.latest
            if vm.kind is not platform.VmKind.NODE
        ]
        nodes = [
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
        self.external.vm_list.replace([*targets, *nodes])

    async def wait_until_ready(self, node):
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            status, _ = await fetch(node.url, 'GET', '/readyz')
            if status == 200:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(node.log_path.read_text()[-4000:])

    async def wait_until(self, check, timeout=READY_TIMEOUT_S):
        """Waits until the coroutine function ``check`` returns true."""
        for _ in range(int(timeout / POLL_INTERVAL_S)):
            if await check():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f'not within {timeout} s')


async def fetch(url, method, path, body=None, headers=None, timeout=20.0):
    """Returns the status and decoded body; status 0 means no response."""
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
