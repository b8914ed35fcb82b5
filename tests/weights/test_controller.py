import asyncio
import random

import pytest

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.leases import base as leases
from waxwingport.membership import base as membership
from waxwingport import metrics
from waxwingport.outside import base as platform
from waxwingport.peers import memory
from waxwingport.standins import engine as standin
from waxwingport.standins import platform as standin_platform
from waxwingport.targets import base
from waxwingport.targets import table
from waxwingport.weights import controller
from waxwingport.weights import versions

POOL = ids.PoolName('pool')
TRAINER = ids.TrainerName('trainer')


class Factory(table.TargetFactory):
    """Returns the stand-in engine of a VM by its name."""

    def __init__(self, engines):
        self.engines = engines

    def make_engine(self, vm):
        return self.engines[vm.name]

    def make_service(self, vm):
        raise NotImplementedError

    def make_scoring(self, vm):
        raise NotImplementedError


class Harness:
    """A weight controller over engines in memory."""

    def __init__(self, count=5, checks_fencing=True, rate=2):
        self.engines = {
            f'engine-{index}': standin.StandInEngine(
                f'engine-{index}',
                standin.StandInEngineSettings(checks_fencing=checks_fencing),
            )
            for index in range(count)
        }
        self.targets = table.TargetTable(Factory(self.engines))
        self.targets.update(
            platform.Vm(
                name, platform.VmKind.ENGINE, ids.DataCentre('here'), ''
            )
            for name in self.engines
        )
        self.configuration = state.ConfigurationState()
        self.registry = versions.VersionRegistry()
        self.store = standin_platform.StandInWeightStore(rate)
        self.log_down = False
        self.lease = leases.StaticLease(ids.FencingNumber(7))
        self.controller = controller.WeightController(
            self.configuration,
            self.targets,
            self.registry,
            self.store,
            membership.StaticMembership(make_member('node-1')),
            lambda pool: self.lease,
            metrics.Metrics(),
            is_log_down=lambda: self.log_down,
        )
        self.declare()

    def declare(self, **changes):
        pool = declarations.Pool(POOL, 'kind = engine', **changes)
        trainer = declarations.Trainer(TRAINER, POOL)
        self.configuration.apply(
            ids.Revision(self.configuration.revision + 1),
            declarations.Declarations(pools=(pool,), trainers=(trainer,)),
        )

    def publish(self, version):
        publication = versions.Publication(
            TRAINER, ids.WeightVersion(version), f'weights/{version}'
        )
        assert self.registry.publish(publication).is_ok()

    async def run(self, seconds):
        """Polls engines and sends orders; returns the most loads at once."""
        most = 0
        for _ in range(int(seconds / 0.25)):
            for target in self.targets:
                found = await target.engine.read_state()
                target.engine_state = found.default_value(None)
            await self.controller.send_due()
            loading = sum(
                engine.state.loading is not None for engine in self.all
            )
            most = max(most, loading)
            await asyncio.sleep(0.25)
        return most

    @property
    def all(self):
        return list(self.engines.values())

    @property
    def versions(self):
        return {engine.state.weight_version for engine in self.all}


def make_member(name):
    return membership.Member(
        ids.NodeName(name),
        ids.DataCentre('here'),
        f'{name}:1',
        ids.Incarnation(1),
    )


@pytest.mark.looptime
async def test_new_version_reaches_every_engine_in_waves():
    harness = Harness()
    harness.publish(2)
    most = await harness.run(5.0)
    assert harness.versions == {2}
    assert most == 2


@pytest.mark.looptime
async def test_failed_load_is_repeated_after_a_backoff():
    harness = Harness()
    failing = harness.all[0]
    failing.swap_fails = True
    harness.publish(2)
    await harness.run(6.0)
    assert failing.state.weight_version == 1
    assert harness.versions == {1, 2}
    failing.swap_fails = False
    await harness.run(20.0)
    assert harness.versions == {2}


@pytest.mark.looptime
async def test_restarted_engine_with_old_weights_loads_again():
    harness = Harness()
    harness.publish(3)
    await harness.run(5.0)
    harness.all[0].crash()
    harness.all[0].restart()
    await harness.run(5.0)
    assert harness.versions == {3}


@pytest.mark.looptime
async def test_declared_version_rolls_back_until_it_is_removed():
    harness = Harness()
    harness.publish(2)
    harness.publish(3)
    await harness.run(5.0)
    harness.declare(version=ids.WeightVersion(2))
    await harness.run(5.0)
    assert harness.versions == {2}
    harness.declare()
    await harness.run(5.0)
    assert harness.versions == {3}


@pytest.mark.looptime
async def test_late_order_to_engine_without_fencing_is_corrected():
    harness = Harness(checks_fencing=False)
    harness.publish(3)
    await harness.run(5.0)
    late = base.Order(
        base.OrderKind.LOAD_VERSION,
        ids.FencingNumber(1),
        weight_version=ids.WeightVersion(2),
    )
    assert (await harness.all[0].send_order(late)).is_ok()
    await harness.run(5.0)
    assert harness.versions == {3}


@pytest.mark.looptime
async def test_late_order_is_refused_by_engine_with_fencing():
    harness = Harness()
    harness.publish(3)
    await harness.run(5.0)
    late = base.Order(
        base.OrderKind.LOAD_VERSION,
        ids.FencingNumber(1),
        weight_version=ids.WeightVersion(2),
    )
    assert (await harness.all[0].send_order(late)).is_error()
    assert harness.versions == {3}


@pytest.mark.looptime
@pytest.mark.parametrize(
    ('log_down', 'version', 'role', 'expected_version', 'expected_role'),
    [
        (False, 2, 'drafting', 1, None),
        (True, 2, 'drafting', 2, None),
    ],
)
async def test_orders_without_a_lease(
    log_down, version, role, expected_version, expected_role
):
    harness = Harness()
    harness.lease.number = None
    harness.log_down = log_down
    harness.targets.set_label_rules(
        [declarations.LabelRule('role', 'kind = engine', {'role': role})]
    )
    harness.publish(version)
    await harness.run(5.0)
    assert harness.versions == {expected_version}
    assert {engine.state.role for engine in harness.all} == {expected_role}


@pytest.mark.looptime
async def test_labels_set_role_drain_and_adapters():
    harness = Harness()
    harness.declare(adapters=('notes',))
    harness.targets.set_label_rules(
        [
            declarations.LabelRule(
                'all', 'kind = engine', {'role': 'drafting', 'drain': 'on'}
            )
        ]
    )
    await harness.run(2.0)
    assert {engine.state.role for engine in harness.all} == {'drafting'}
    assert all(engine.state.draining for engine in harness.all)
    assert {engine.state.adapters for engine in harness.all} == {('notes',)}
    harness.targets.set_label_rules([])
    await harness.run(2.0)
    assert not any(engine.state.draining for engine in harness.all)


@pytest.mark.looptime
async def test_version_spreads_while_the_log_is_down_and_is_logged_later():
    network = memory.MemoryNetwork()
    log = standin_platform.StandInLog()
    log.down = True
    members = [make_member(f'node-{index}') for index in range(4)]
    registries, exchanges = [], []
    for own in members:
        registry = versions.VersionRegistry()
        end = network.join(own.name, own.peer_address, own.incarnation)
        others = [item for item in members if item is not own]
        exchanges.append(
            versions.VersionExchange(
                registry,
                log,
                membership.StaticMembership(own, others),
                end,
                random.Random(1),
            )
        )
        registries.append(registry)
    tasks = [asyncio.create_task(item.run()) for item in exchanges]
    network.partition({'node-0:1'}, {'node-3:1'})
    publication = versions.Publication(TRAINER, ids.WeightVersion(2), 'w/2')
    await exchanges[0].publish(publication)
    await asyncio.sleep(0.1)
    assert registries[1].find_latest(TRAINER) == publication
    assert registries[3].find_latest(TRAINER) is None
    await asyncio.sleep(20.0)
    assert registries[3].find_latest(TRAINER) == publication
    log.down = False
    await asyncio.sleep(5.0)
    assert registries[0].list_unlogged() == []
    page = await log.read(versions.STREAM, ids.Offset(0))
    assert len(page.ok.records) >= 1
    for task in tasks:
        task.cancel()


def test_version_under_another_reference_is_refused():
    registry = versions.VersionRegistry()
    first = versions.Publication(TRAINER, ids.WeightVersion(2), 'w/2')
    other = versions.Publication(TRAINER, ids.WeightVersion(2), 'w/x')
    assert registry.publish(first).ok is True
    assert registry.publish(first).ok is False
    assert registry.publish(other).is_error()


def test_an_engine_whose_orders_fail_for_days_does_not_end_the_controller():
    # Guards against a delay that grows until it is no number any more.
    backoff = controller._Backoff()
    for _ in range(5000):
        backoff.record_failure(0.0)
    assert 0.0 < backoff.retry_at <= 60.0
