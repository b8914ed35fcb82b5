"""Stand-ins for the external systems of one deployment, on loopback."""

from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.outside import base as platform
from waxwingport import settings
from waxwingport.standins import engine
from waxwingport.standins import platform as standin_platform
from waxwingport.standins import servers
from waxwingport.standins import services
from waxwingport.trial import deployments

__all__ = ['ExternalStandIns']


class ExternalStandIns:
    """The platform and the targets of a deployment, in production size.

    Call ``start`` before use and ``stop`` after it.  The attributes of the
    stand-ins inject faults.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.log = standin_platform.StandInLog()
        self.vm_list = standin_platform.StandInVmList()
        self.weight_store = standin_platform.StandInWeightStore()
        self.engines: list[engine.StandInEngine] = []
        self.services: list[services.StandInService] = []
        self.scoring = services.StandInScoringService()
        self.platform: settings.PlatformSettings | None = None
        self._servers: list[servers.Server] = []

    async def start(self) -> settings.PlatformSettings:
        """Starts all servers and publishes the declarations to the log.

        Returns the platform's addresses.
        """
        change = deployments.make_initial_change(self.deployment)
        await self.log.append(reader.STREAM, records.encode(change))
        self.vm_list.replace(self._start_targets())
        self.platform = settings.PlatformSettings(
            log=self._serve(servers.serve_log(self.log)),
            vm_list=self._serve(servers.serve_vm_list(self.vm_list)),
            weight_store=self._serve(
                servers.serve_weight_store(self.weight_store)
            ),
        )
        return self.platform

    async def stop(self) -> None:
        """Stops all servers."""
        for server in self._servers:
            await server.stop()

    def _serve(self, server: servers.Server) -> str:
        self._servers.append(server)
        return server.address

    def _start_targets(self) -> list[platform.Vm]:
        deployment = self.deployment
        vms = []
        for index in range(deployment.engine_count):
            name = f'{deployment.model}-{index + 1}'
            created = engine.StandInEngine(
                name, engine.StandInEngineSettings(seed=index)
            )
            self.engines.append(created)
            address = self._serve(servers.serve_engine(created))
            labels = {'model': deployment.model}
            vms.append(
                self._make_vm(
                    name, platform.VmKind.ENGINE, index, address, labels
                )
            )
        for index in range(deployment.service_count):
            name = f'{deployment.application}-{index + 1}'
            service = services.StandInService(deployment.service, name)
            self.services.append(service)
            address = self._serve(servers.serve_service(service))
            labels = {'application': deployment.application}
            vms.append(
                self._make_vm(
                    name, platform.VmKind.SERVICE, index, address, labels
                )
            )
        address = self._serve(servers.serve_scoring(self.scoring))
        name = f'{deployment.scoring}-1'
        vms.append(
            self._make_vm(name, platform.VmKind.SCORING, 0, address, {})
        )
        return vms

    def _make_vm(
        self,
        name: str,
        kind: platform.VmKind,
        index: int,
        address: str,
        labels: dict[str, str],
    ) -> platform.Vm:
        data_centres = self.deployment.data_centres
        return platform.Vm(
            name=name,
            kind=kind,
            data_centre=data_centres[index % len(data_centres)],
            address=address,
            labels=labels,
        )
