"""Stand-ins of one deployment, served on loopback, and one node."""

import asyncio

import msgspec

from waxwingport import assembly
from waxwingport.configuration import reader
from waxwingport.http import client
from waxwingport import ids
from waxwingport import node
from waxwingport.platform import base as platform
from waxwingport.requests import settings as request_settings
from waxwingport import server
from waxwingport import settings
from waxwingport.standins import engine
from waxwingport.standins import platform as standin_platform
from waxwingport.standins import servers
from waxwingport.standins import services
from waxwingport.trial import deployments

__all__ = ['Stage']

_READY_POLL = 0.01


class Stage:
    """A deployment on loopback; ``start`` it, and ``stop`` it."""

    def __init__(
        self, deployment: deployments.Deployment, port: int = 0
    ) -> None:
        self.deployment = deployment
        self.log = standin_platform.StandInLog()
        self.weight_store = standin_platform.StandInWeightStore()
        self.engines: list[engine.StandInEngine] = []
        self.services: list[services.StandInService] = []
        self.scoring = services.StandInScoringService()
        self.vm_list = standin_platform.StandInVmList()
        self._port = port
        self._http: client.HttpClient | None = None
        self._servers: list[servers.Server] = []
        self.node: node.Node | None = None
        self.node_server: server.NodeServer | None = None

    @property
    def url(self) -> str:
        """Base URL of the node."""
        return f'http://{self.node_server.address}'

    async def start(self) -> None:
        """Starts everything and waits until the node is ready."""
        self.vm_list.replace(self._start_targets())
        await self.log.append(
            reader.STREAM,
            msgspec.json.encode(
                deployments.read_declarations(self.deployment)
            ),
        )
        self._start_node()
        await self.node.start()
        while not self.node.is_ready():
            await asyncio.sleep(_READY_POLL)

    async def stop(self) -> None:
        """Stops everything."""
        await self.node_server.stop()
        await self.node.stop()
        self._http.close()
        for found in self._servers:
            await found.stop()

    def _serve(self, found: servers.Server) -> str:
        self._servers.append(found)
        return found.address

    def _start_targets(self) -> list[platform.Vm]:
        deployment = self.deployment
        vms = []
        for index in range(deployment.engines):
            name = f'{deployment.model}-{index + 1}'
            made = engine.StandInEngine(
                name, engine.StandInEngineSettings(seed=index)
            )
            self.engines.append(made)
            address = self._serve(servers.serve_engine(made))
            labels = {'model': deployment.model}
            vms.append(
                self._list(
                    name, platform.VmKind.ENGINE, index, address, labels
                )
            )
        for index in range(deployment.services):
            name = f'{deployment.application}-{index + 1}'
            service = services.StandInService(deployment.service, name)
            self.services.append(service)
            address = self._serve(servers.serve_service(service))
            labels = {'application': deployment.application}
            vms.append(
                self._list(
                    name, platform.VmKind.SERVICE, index, address, labels
                )
            )
        address = self._serve(servers.serve_scoring(self.scoring))
        name = f'{deployment.scoring}-1'
        vms.append(self._list(name, platform.VmKind.SCORING, 0, address, {}))
        return vms

    def _list(
        self,
        name: str,
        kind: platform.VmKind,
        index: int,
        address: str,
        labels: dict[str, str],
    ) -> platform.Vm:
        centres = self.deployment.data_centres
        return platform.Vm(
            name=name,
            kind=kind,
            data_centre=centres[index % len(centres)],
            address=address,
            labels=labels,
        )

    def _start_node(self) -> None:
        log_address = self._serve(servers.serve_log(self.log))
        list_address = self._serve(servers.serve_vm_list(self.vm_list))
        store_address = self._serve(
            servers.serve_weight_store(self.weight_store)
        )
        centre = self.deployment.data_centres[0]
        configured = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(f'{centre}-1'),
                data_centre=centre,
                listen=f'127.0.0.1:{self._port}',
                peer_listen='127.0.0.1:0',
            ),
            platform=settings.PlatformSettings(
                log=log_address,
                vm_list=list_address,
                weight_store=store_address,
            ),
            requests=request_settings.RequestSettings(drain_delay=0.0),
        )
        self._http = client.HttpClient(configured.client)
        outside = assembly.connect_outside(configured, self._http)
        self.node = node.Node(configured, outside)
        self.node_server = server.NodeServer(self.node)
