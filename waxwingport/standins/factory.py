"""In-memory stand-ins of targets, without HTTP between."""

from collections.abc import Callable

from waxwingport import ids
from waxwingport.outside import base as platform
from waxwingport.standins import engine
from waxwingport.standins import services
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['StandInTargetFactory', 'make_vms']

SettingsOf = Callable[[str], engine.StandInEngineSettings]


class StandInTargetFactory(table.TargetFactory):
    """Makes stand-ins by VM name and keeps them."""

    def __init__(self, settings_of: SettingsOf | None = None) -> None:
        self.engines: dict[str, engine.StandInEngine] = {}
        self.services: dict[str, services.StandInService] = {}
        self._settings_of = settings_of

    def make_engine(self, vm: platform.Vm) -> base.Engine:
        """Returns the stand-in of the engine on ``vm``."""
        if vm.name not in self.engines:
            configured = (
                self._settings_of(vm.name) if self._settings_of else None
            )
            made = engine.StandInEngine(vm.name, configured)
            self.engines[vm.name] = made
        return self.engines[vm.name]

    def make_service(self, vm: platform.Vm) -> base.Service:
        """Returns the stand-in of the plain service on ``vm``."""
        if vm.name not in self.services:
            made = services.StandInService('service', vm.name)
            self.services[vm.name] = made
        return self.services[vm.name]

    def make_scoring(self, vm: platform.Vm) -> base.ScoringService:
        """Returns a stand-in of a scoring service."""
        return services.StandInScoringService()


def make_vms(
    count: int,
    kind: platform.VmKind = platform.VmKind.ENGINE,
    data_centres: tuple[str, ...] = ('muenchen',),
    labels: dict[str, str] | None = None,
) -> list[platform.Vm]:
    """Returns VMs spread over data centres, named by kind and number."""
    return [
        platform.Vm(
            name=f'{kind.value}-{index}',
            kind=kind,
            data_centre=ids.DataCentre(
                data_centres[index % len(data_centres)]
            ),
            address=f'10.0.{index // 250}.{index % 250 + 1}:80',
            labels=labels or {},
        )
        for index in range(count)
    ]
