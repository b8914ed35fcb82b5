"""One node over real sockets, with targets that the test adds."""

import asyncio

from waxwingport.configuration import declarations
from waxwingport.http import client
from waxwingport import ids
from waxwingport import node
from waxwingport.outside import base as platform
from waxwingport.requests import settings as request_settings
from waxwingport import server
from waxwingport import settings
from waxwingport.standins import platform as standin_platform
from waxwingport.targets import adapters

POOL = 'drafts'
SERVICE = 'bookings'


def declare(**changes):
    defaults = {
        'pools': (declarations.Pool(name=POOL, selector='kind = engine'),),
        'services': (
            declarations.Service(
                name=SERVICE, selector='kind = service', timeout=5.0
            ),
        ),
    }
    return declarations.Declarations(**(defaults | changes))


def make_vm(name, kind, address):
    return platform.Vm(
        name=name, kind=kind, data_centre='here', address=address, labels={}
    )


class LoneNode:
    """A node and its HTTP server; ``add`` adds targets.

    ``requests`` are fields of ``RequestSettings`` and of ``NodeSettings``.
    """

    def __init__(self, name='node-1', client_settings=None, **requests):
        requests.setdefault('drain_delay', 0.0)
        node_settings = {
            key: requests.pop(key)
            for key in ('max_body_size', 'max_connections', 'shutdown_timeout')
            if key in requests
        }
        configured = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(name),
                data_centre=ids.DataCentre('here'),
                listen='127.0.0.1:0',
                peer_listen='127.0.0.1:0',
                **node_settings,
            ),
            platform=settings.PlatformSettings('', '', ''),
            client=client_settings or client.ClientSettings(),
            requests=request_settings.RequestSettings(**requests),
        )
        self.http = client.HttpClient(configured.client)
        self.caller = client.HttpClient()
        external = node.ExternalSystems(
            log=standin_platform.StandInLog(),
            vm_list=standin_platform.StandInVmList(),
            weight_store=standin_platform.StandInWeightStore(),
            targets=adapters.HttpTargetFactory(self.http),
        )
        self.node = node.Node(configured, external)
        self.declare()
        self.server = server.NodeServer(self.node)
        self._vms = []

    @property
    def url(self):
        return f'http://{self.server.address}'

    @property
    def port(self):
        return int(self.server.address.rpartition(':')[2])

    def declare(self, **changes):
        revision = ids.Revision(self.node.configuration.revision + 1)
        self.node.configuration.apply(revision, declare(**changes))

    def add(self, kind, *addresses):
        for address in addresses:
            name = f'{kind.value}-{len(self._vms)}'
            self._vms.append(make_vm(name, kind, address))
        self.node.targets.update(self._vms)

    def add_services(self, *addresses):
        self.add(platform.VmKind.SERVICE, *addresses)

    def add_engines(self, *addresses):
        self.add(platform.VmKind.ENGINE, *addresses)

    async def fetch(self, method, path, body=b'', headers=(), timeout=10.0):
        """Returns the response to a request; ``timeout`` in seconds."""
        request = client.Request(method, path, tuple(headers), body, True)
        outcome = await self.caller.fetch(
            self.server.address, request, timeout
        )
        assert outcome.is_ok(), outcome
        return outcome.ok

    async def stop(self):
        await asyncio.wait_for(self.server.stop(), 20.0)
        await self.node.stop()
        self.http.close()
        self.caller.close()


async def wait_until(predicate, timeout=5.0):
    """Waits until ``predicate`` is true; fails after ``timeout`` seconds."""
    async with asyncio.timeout(timeout):
        while not predicate():
            await asyncio.sleep(0.005)
