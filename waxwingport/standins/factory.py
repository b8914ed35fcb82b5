"""Stand-ins for targets that nodes call in process, without HTTP."""

from collections.abc import Callable

from waxwingport import ids
from waxwingport.outside import base as platform
from waxwingport.standins import engine
from waxwingport.standins import services
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['StandInTargetFactory', 'make_vms']

SettingsFinder = Callable[[str], engine.StandInEngineSettings]


class StandInTargetFactory(table.TargetFactory):
    """Makes one stand-in for each VM name and returns it again later.

    ``find_settings`` returns the settings of the engine on the named VM; all
    engines have the defaults without it.
    """

    def __init__(self, find_settings: SettingsFinder | None = None) -> None:
        self.engines: dict[str, engine.StandInEngine] = {}
        self.services: dict[str, services.StandInService] = {}
        self._find_settings = find_settings

    def make_engine(self, vm: platform.Vm) -> base.Engine:
        """Returns the stand-in for the engine on ``vm``."""
        if vm.name not in self.engines:
            configured = (
                self._find_settings(vm.name) if self._find_settings else None
            )
            created = engine.StandInEngine(vm.name, configured)
            self.engines[vm.name] = created
        return self.engines[vm.name]

    def make_service(self, vm: platform.Vm) -> base.Service:
        """Returns the stand-in for the plain service on ``vm``."""
        if vm.name not in self.services:
            created = services.StandInService('service', vm.name)
            self.services[vm.name] = created
        return self.services[vm.name]

    def make_scoring(self, vm: platform.Vm) -> base.ScoringService:
        """Returns a new stand-in for a scoring service."""
        return services.StandInScoringService()


def make_vms(
    count: int,
    kind: platform.VmKind = platform.VmKind.ENGINE,
    data_centres: tuple[str, ...] = ('muenchen',),
    labels: dict[str, str] | None = None,
) -> list[platform.Vm]:
    """Returns ``count`` VMs of one kind, named by kind and index.

    They are assigned to the data centres in turn.
    """
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
