"""An entry node: its subsystems, their start and their stop."""

import asyncio
from collections.abc import Coroutine
import logging
import random

from expression import Result
import msgspec

from waxwingport.configuration import reader
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.leases import base as leases
from waxwingport.limits import admission
from waxwingport.membership import base as membership
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.peers import base as peers
from waxwingport.peers import memory
from waxwingport.platform import base as platform
from waxwingport.requests import completions
from waxwingport.requests import services
from waxwingport.samples import collectors
from waxwingport import settings
from waxwingport.targets import table
from waxwingport.weights import controller
from waxwingport.weights import versions

__all__ = ['Node', 'Outside']

_LIST_INTERVAL = 0.5
_POLL_INTERVAL = 0.25
_LOG = logging.getLogger(__name__)


class Outside(msgspec.Struct, frozen=True):
    """The outside systems that a node uses."""

    log: platform.Log
    vm_list: platform.VmList
    weight_store: platform.WeightStore
    targets: table.TargetFactory


class Node:
    """One entry node.

    Construct it inside a running loop, ``start`` it, and ``stop`` it.
    """

    def __init__(
        self,
        configured: settings.Settings,
        outside: Outside,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = configured
        self.outside = outside
        self.incarnation = ids.mint_incarnation()
        self.rng = rng or random.Random()
        self.metrics = metrics.Metrics()
        self.peers = self._join_peers()
        self.membership = self._join_members()
        self.configuration = state.ConfigurationState()
        self.targets = table.TargetTable(outside.targets)
        self.configuration.listen(
            lambda declared: self.targets.set_rules(declared.labels)
        )
        self.admission = admission.Admission(
            self.configuration, self.targets, self.rng
        )
        self.completions = completions.CompletionRunner(self.admission)
        self.services = services.ServiceRunner(self.admission)
        self.versions = versions.VersionBook()
        self.version_exchange = versions.VersionExchange(
            self.versions,
            outside.log,
            self.membership,
            self.peers,
            self.rng,
        )
        self.weights = controller.WeightController(
            self.configuration,
            self.targets,
            self.versions,
            outside.weight_store,
            self.membership,
            self.find_lease,
            self.metrics,
            is_log_down=lambda: self.version_exchange.log_down,
        )
        self.collectors = collectors.Collectors(
            collectors.Parts(
                self.configuration,
                self.targets,
                self.admission,
                self.metrics,
                self._find_version,
                configured.samples,
            ),
            collectors.Neighbours(self.membership, self.peers),
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the node's background work."""
        source = reader.ConfigurationReader(
            self.outside.log, self.configuration
        )
        self._spawn(source.run())
        self._spawn(self._follow_vms())
        self._spawn(self._poll_engines())
        self._spawn(self.version_exchange.run())
        self._spawn(self.weights.run())
        self._spawn(self.collectors.run())

    async def stop(self) -> None:
        """Stops the node's background work."""
        await self.collectors.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_ready(self) -> bool:
        """Returns whether requests can be taken."""
        return self.configuration.revision >= 0 and len(self.targets) > 0

    def find_lease(self, pool: ids.PoolName) -> leases.Lease:
        """Returns the lease for orders to a pool in this data centre."""
        return leases.StaticLease(ids.FencingNumber(0))

    async def publish_version(
        self,
        trainer: ids.TrainerName,
        version: ids.WeightVersion,
        reference: str,
    ) -> Result[bool, outcomes.Refusal]:
        """Takes a trainer's new weight version; returns whether it was new.

        Fails when the version is known under another reference.
        """
        return await self.version_exchange.publish(
            versions.Publication(trainer, version, reference)
        )

    def describe(self) -> dict[str, object]:
        """Returns what holds at this node, for ``/v1/status``."""
        declared = self.configuration.declarations
        return {
            'node': self.settings.node.name,
            'revision': self.configuration.revision,
            'pools': [{'name': row.name} for row in declared.pools],
            'services': [{'name': row.name} for row in declared.services],
            'trainers': [
                self._describe_trainer(row) for row in declared.trainers
            ],
            'targets': [_describe_target(row) for row in self.targets],
            'nodes': [{'name': self.settings.node.name, 'state': 'live'}],
        }

    def _describe_trainer(self, declared) -> dict[str, object]:
        found = self.collectors.peek(declared.name)
        return {
            'name': declared.name,
            'staleness_bound': declared.staleness_bound,
            'version': self._find_version(declared.name) or 1,
            **(found.describe() if found else {}),
        }

    def _find_version(
        self, trainer: ids.TrainerName
    ) -> ids.WeightVersion | None:
        latest = self.versions.find_latest(trainer)
        return latest.version if latest else None

    def _join_peers(self) -> peers.Peers:
        configured = self.settings.node
        return memory.MemoryNetwork().join(
            configured.name, configured.peer_listen, self.incarnation
        )

    def _join_members(self) -> membership.Membership:
        configured = self.settings.node
        return membership.StaticMembership(
            membership.Member(
                configured.name,
                configured.data_centre,
                configured.peer_listen,
                self.incarnation,
            )
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    async def _follow_vms(self) -> None:
        while True:
            match await self.outside.vm_list.read():
                case Result(tag='ok', ok=vms):
                    self.targets.update(vms)
                case Result(error=fault):
                    _LOG.warning('VM list: %s', fault.detail)
            await asyncio.sleep(_LIST_INTERVAL)

    async def _poll_engines(self) -> None:
        while True:
            engines = [row for row in self.targets if row.engine is not None]
            await asyncio.gather(*(_poll(row) for row in engines))
            await asyncio.sleep(_POLL_INTERVAL)


async def _poll(target: table.Target) -> None:
    match await target.engine.read_load():
        case Result(tag='ok', ok=report):
            target.note_load(report)
        case Result(error=fault):
            _LOG.info('load of %s: %s', target.name, fault.detail)
            return
    match await target.engine.read_state():
        case Result(tag='ok', ok=found):
            target.engine_state = found
        case Result(error=fault):
            _LOG.info('state of %s: %s', target.name, fault.detail)


def _describe_target(target: table.Target) -> dict[str, object]:
    found = target.engine_state
    return {
        'name': target.name,
        'data_centre': target.vm.data_centre,
        'state': target.state.value,
        'weight_version': found.weight_version if found else None,
        'in_progress': target.in_progress,
        'labels': target.labels,
    }
