import asyncio
import itertools
import random


import msgspec
import pytest

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.limits import admission
from waxwingport.membership import base as membership
from waxwingport import metrics
from waxwingport.outside import base as platform
from waxwingport.peers import memory
from waxwingport.samples import collectors
from waxwingport.samples import settings
from waxwingport import settings as node_settings
from waxwingport.standins import engine
from waxwingport.standins import services
from waxwingport.targets import table

TRAINER = declarations.Trainer(
    name=ids.TrainerName('trainer'),
    pool=ids.PoolName('pool'),
    staleness_bound=1,
)
DECLARED = declarations.Declarations(
    pools=(declarations.Pool(ids.PoolName('pool'), 'kind = engine'),),
    trainers=(TRAINER,),
    services=(
        declarations.Service(ids.ServiceName('scores'), 'kind = scoring'),
    ),
)
NODE = node_settings.NodeSettings(
    name=ids.NodeName('node'),
    data_centre=ids.DataCentre('muenchen'),
    listen='127.0.0.1:0',
    peer_listen='127.0.0.1:0',
)
ENGINE = engine.StandInEngineSettings(token_time=0.01, swap_time=1.0)


class Fleet(table.TargetFactory):
    """Engines and scoring services in memory."""

    def __init__(self, engines=3, configured=ENGINE):
        self.engines = {
            f'engine-{index}': engine.StandInEngine(
                f'engine-{index}', configured
            )
            for index in range(engines)
        }
        self.scoring = {'scoring-0': services.StandInScoringService()}

    def make_engine(self, vm):
        return self.engines[vm.name]

    def make_service(self, vm):
        raise AssertionError

    def make_scoring(self, vm):
        return self.scoring[vm.name]

    def list_vms(self):
        kinds = [(name, platform.VmKind.ENGINE) for name in self.engines]
        kinds += [(name, platform.VmKind.SCORING) for name in self.scoring]
        return [
            platform.Vm(name, kind, ids.DataCentre('muenchen'), name, {})
            for name, kind in kinds
        ]


class Site:
    """A node reduced to what collects samples."""

    def __init__(
        self, fleet, trainer=TRAINER, sample_settings=None, nodes=None
    ):
        self.fleet = fleet
        self.ids = itertools.count()
        self.configuration = state.ConfigurationState()
        self.targets = table.TargetTable(fleet, NODE)
        self.targets.update(fleet.list_vms())
        self.collectors = collectors.Collectors(
            collectors.NodeDependencies(
                self.configuration,
                self.targets,
                admission.Admission(
                    self.configuration, self.targets, random.Random(1)
                ),
                metrics.Metrics(),
                sample_settings=sample_settings or settings.SampleSettings(),
                generate_request_id=lambda: ids.RequestId(
                    f'attempt-{next(self.ids)}'
                ),
            ),
            nodes,
        )
        self.declare(trainer)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._poll()),
            loop.create_task(self.collectors.run()),
        ]

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.collectors.close()

    async def _poll(self):
        while True:
            await self.refresh()
            await asyncio.sleep(0.25)

    def declare(self, trainer):
        declared = msgspec.structs.replace(DECLARED, trainers=(trainer,))
        revision = ids.Revision(self.configuration.revision + 1)
        self.configuration.apply(revision, declared)

    async def refresh(self):
        """Reads the state and load of each engine that runs."""
        for target in self.targets:
            if target.engine is not None and not target.engine.crashed:
                target.engine_state = target.engine.state
                target.record_load((await target.engine.read_load()).ok)

    @property
    def collector(self):
        return self.collectors.get_or_create(TRAINER.name)


@pytest.fixture
async def make_site():
    """Returns a function that makes a node without peers."""
    made = []

    def make(
        trainer=TRAINER, sample_settings=None, engines=3, configured=ENGINE
    ):
        made.append(Site(Fleet(engines, configured), trainer, sample_settings))
        return made[-1]

    yield make
    for site in made:
        await site.close()


@pytest.fixture
async def make_sites():
    """Returns a function that makes nodes with one network and one fleet."""
    sites = []

    def make(count=2, sample_settings=None):
        network = memory.MemoryNetwork()
        fleet = Fleet()
        members = [
            membership.Member(
                ids.NodeName(f'node-{index}'),
                ids.DataCentre('muenchen'),
                f'10.0.0.{index}:1',
                ids.Incarnation(1),
            )
            for index in range(count)
        ]
        for own in members:
            others = [member for member in members if member is not own]
            links = collectors.PeerNodes(
                membership.StaticMembership(own, others),
                network.join(own.name, own.peer_address, own.incarnation),
            )
            sites.append(Site(fleet, TRAINER, sample_settings, links))
        return network, sites

    yield make
    for site in sites:
        await site.close()
