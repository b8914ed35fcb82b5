"""Nodes whose addresses or outputs are not to be had when they start."""

import asyncio
import contextlib
import socket
import sys

import pytest

from tests.gateway import processes
from tests.gateway import test_node
from tests import ports
from waxwingport.commands import gateway_node
from waxwingport.gateway import node
from waxwingport.gateway import settings
from waxwingport.platform import store

deployment = test_node.deployment


def read_address(held):
    return '{}:{}'.format(*held.getsockname())


@contextlib.contextmanager
def hold_port():
    with socket.create_server(('127.0.0.1', 0)) as held:
        yield read_address(held)


def make_settings(**options):
    addresses = {'listen': '127.0.0.1:0', 'status_listen': '127.0.0.1:0'}
    return settings.GatewaySettings(
        settings.GatewayNodeSettings('n0', 'here', **(addresses | options)),
        store.StoreSettings('127.0.0.1:9'),
    )


async def test_a_port_for_metrics_in_use_ends_a_node(deployment, monkeypatch):
    # Guards against nodes at one address of which all but one end at once.
    monkeypatch.setattr(node, '_METRICS_RETRY_S', 0.05)
    with hold_port() as address:
        served = await deployment.start_node(metrics_listen=address)
        assert (await deployment.submit(served)).status == 202
        await asyncio.sleep(0.2)
        assert not served.background.failed.done()
        assert served.metrics_address is None
    async with asyncio.timeout(5.0):
        while served.metrics_address != address:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('name', ['listen', 'status_listen'])
async def test_an_address_in_use_leaves_the_other_one_bound(name):
    # Guards against an attempt that is in the way of the next one.
    addresses = {
        key: f'127.0.0.1:{ports.find_port()}'
        for key in ('listen', 'status_listen')
    }
    with socket.create_server(('127.0.0.1', 0)) as held:
        addresses[name] = read_address(held)
        with pytest.raises(OSError, match=addresses[name]):
            node.GatewayNode(make_settings(**addresses))
    made = node.GatewayNode(make_settings(**addresses))
    await made.close()


async def test_an_address_that_stays_in_use_is_not_named(monkeypatch):
    # Guards against an error that does not tell which address it was.
    monkeypatch.setattr(gateway_node, '_BIND_RETRY_S', 0.01)
    with hold_port() as address:
        found = await gateway_node.run_gateway(
            make_settings(status_listen=address, shutdown_timeout=0.05)
        )
    assert address in found.error


@pytest.fixture
async def node_process(deployment, tmp_path):
    """A process that tests start; it ends with the test."""
    found = processes.NodeProcess(tmp_path, 'n0', deployment.store.address)
    yield found
    await found.kill()


async def test_an_address_of_an_earlier_process_ends_a_node(
    deployment, node_process
):
    # Guards against a start that fails until the last process has ended.
    served = node_process
    host, _, port = served.address.rpartition(':')
    with socket.create_server((host, int(port))):
        await served.run_process()
        async with asyncio.timeout(processes.READY_TIMEOUT_S):
            while 'address-unavailable' not in served.log.read_text():
                await asyncio.sleep(0.05)
    await served.start(deployment.http)
    assert not served.own_ends
    assert served.starts == 1


async def test_a_closed_standard_output_ends_a_node(deployment, tmp_path):
    # Guards against a start that fails without a place to log to.
    served = processes.NodeProcess(tmp_path, 'n0', deployment.store.address)
    process = await asyncio.create_subprocess_exec(
        'sh',
        '-c',
        f'exec {sys.executable} -m waxwingport.gateway '
        f'--settings {served._settings} >&- 2>&-',
    )
    try:
        async with asyncio.timeout(processes.READY_TIMEOUT_S):
            while not await served.is_ready(deployment.http):
                assert process.returncode is None
                await asyncio.sleep(0.05)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        await process.wait()
