"""Stand-ins for one deployment, served on loopback, and one node."""

import asyncio

from waxwingport import assembly
from waxwingport import client as trainer_client
from waxwingport.http import client
from waxwingport import ids
from waxwingport import node
from waxwingport.requests import settings as request_settings
from waxwingport import server
from waxwingport import settings
from waxwingport.standins import trainer
from waxwingport.trial import deployments
from waxwingport.trial import external

__all__ = ['LocalDeployment']

_READY_POLL_INTERVAL_S = 0.01


class LocalDeployment:
    """A deployment on loopback with one node, which listens on ``port``.

    Call ``start`` before use and ``stop`` after it.  A ``port`` of 0 lets the
    system choose a free one.
    """

    def __init__(
        self, deployment: deployments.Deployment, port: int = 0
    ) -> None:
        self.deployment = deployment
        self.external = external.ExternalStandIns(deployment)
        self.log = self.external.log
        self.vm_list = self.external.vm_list
        self.engines = self.external.engines
        self.services = self.external.services
        self.scoring = self.external.scoring
        self._port = port
        self._http: client.HttpClient | None = None
        self.node: node.Node | None = None
        self.node_server: server.NodeServer | None = None

    @property
    def url(self) -> str:
        """Base URL of the node."""
        return f'http://{self.node_server.address}'

    async def start(self) -> None:
        """Starts the stand-ins and the node, and waits until it is ready."""
        self._start_node(await self.external.start())
        await self.node.start()
        while not self.node.is_ready():
            await asyncio.sleep(_READY_POLL_INTERVAL_S)

    def start_trainer(self) -> trainer.StandInTrainer:
        """Starts and returns a stand-in trainer, which runs until ``stop``."""
        name = self.deployment.trainer
        declaration = self.node.configuration.declarations.find_trainer(name)
        created = trainer.StandInTrainer(
            trainer_client.TrainerClient(self.url, name),
            trainer.StandInTrainerSettings(
                staleness_bound=declaration.staleness_bound
            ),
        )
        self.node.background.spawn(created.run())
        return created

    async def stop(self) -> None:
        """Stops the node, then the stand-ins."""
        await self.node_server.stop()
        await self.node.stop()
        self._http.close()
        await self.external.stop()

    def _start_node(self, platform: settings.PlatformSettings) -> None:
        data_centre = self.deployment.data_centres[0]
        node_settings = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(f'{data_centre}-1'),
                data_centre=data_centre,
                listen=f'127.0.0.1:{self._port}',
                peer_listen='127.0.0.1:0',
            ),
            platform=platform,
            requests=request_settings.RequestSettings(drain_delay=0.0),
        )
        self._http = client.HttpClient(node_settings.client)
        external_systems = assembly.connect_external_systems(
            node_settings, self._http
        )
        self.node = node.Node(node_settings, external_systems)
        self.node_server = server.NodeServer(self.node)
