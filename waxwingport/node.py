"""An entry node: its subsystems, their start and their stop."""

import asyncio
import collections
from collections.abc import Coroutine
import logging
import random

from expression import Result
import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import reader
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.keys import index
from waxwingport.leases import base as leases
from waxwingport.leases import pools
from waxwingport.limits import admission
from waxwingport.limits import retries
from waxwingport.membership import base as membership
from waxwingport.membership import live
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.peers import base as peers
from waxwingport.peers import transport
from waxwingport.platform import base as platform
from waxwingport.requests import completions
from waxwingport.requests import progress
from waxwingport.requests import services
from waxwingport.routing import candidates
from waxwingport.samples import collector
from waxwingport import settings
from waxwingport.targets import table
from waxwingport import tasks
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
    ``joined`` with its ``incarnation`` replaces the transport in tests.
    """

    def __init__(
        self,
        configured: settings.Settings,
        outside: Outside,
        rng: random.Random | None = None,
        joined: peers.Peers | None = None,
        incarnation: ids.Incarnation | None = None,
    ) -> None:
        self.settings = configured
        self.outside = outside
        self.incarnation = incarnation or ids.mint_incarnation()
        self.rng = rng or random.Random()
        self.metrics = metrics.Metrics()
        self.peers = joined or self._join_peers()
        self.membership = self._join_members()
        self.configuration = state.ConfigurationState()
        self.targets = table.TargetTable(outside.targets, configured.node)
        self.configuration.listen(
            lambda declared: self.targets.set_rules(declared.labels)
        )
        self.configuration.listen(
            lambda _: self.membership.publish(
                'configuration', self.configuration.revision
            )
        )
        self.admission = admission.Admission(
            self.configuration, self.targets, self.rng
        )
        self.progress = progress.Progress(configured.requests.body_memory)
        self.retry_budget = retries.RetryBudget(
            self.configuration.declarations.limit.retry_share
        )
        self.configuration.listen(self._set_limits)
        self.completions = completions.CompletionRunner(
            self.admission, self.retry_budget, self.rng, configured.requests
        )
        self.services = services.ServiceRunner(
            self.admission,
            configured.node.name,
            self.incarnation,
            self.retry_budget,
            self.rng,
            configured.requests,
        )
        self.services.connect(self.peers, self.membership)
        self.versions = versions.VersionBook()
        self.leases = pools.PoolLeases(outside.log, self.membership)
        self.keys = index.LogKeyIndex(
            outside.log,
            self.membership,
            self.peers,
            lambda: self.configuration.declarations.limit.key_window,
        )
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
        self._refusals: collections.Counter[
            tuple[outcomes.Reason, outcomes.Ran]
        ] = collections.Counter()
        self._collectors: dict[ids.TrainerName, collector.Collector] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the node's background work."""
        source = reader.ConfigurationReader(
            self.outside.log, self.configuration
        )
        self._spawn(source.run())
        self._spawn(self.membership.run())
        self._spawn(self.keys.run())
        self._spawn(self._follow_vms())
        self._spawn(self._poll_engines())
        self._spawn(self.version_exchange.run())
        self._spawn(self.weights.run())

    async def stop(self) -> None:
        """Stops the node's background work."""
        self.membership.leave()
        for trainer in self._collectors.values():
            trainer.close()
        await self.leases.stop()
        await tasks.cancel_all(self._tasks)
        await self.peers.close()

    def is_ready(self) -> bool:
        """Returns whether requests can be taken."""
        return (
            self.progress.ready
            and self.configuration.revision >= 0
            and len(self.targets) > 0
        )

    def find_collector(
        self, name: ids.TrainerName
    ) -> collector.Collector | None:
        """Returns the collector of a declared trainer, or ``None``."""
        declared = self.configuration.declarations.trainer(name)
        if declared is None:
            return None
        if name not in self._collectors:
            self._collectors[name] = collector.Collector(
                declared, self.completions
            )
        return self._collectors[name]

    def find_lease(self, pool: ids.PoolName) -> leases.Lease:
        """Returns the lease for orders to a pool in this data centre."""
        return self.leases.find(pool)

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

    def note_refusal(self, refusal: outcomes.Refusal) -> None:
        """Counts a refusal by its reason."""
        self._refusals[refusal.reason, refusal.ran] += 1
        self.metrics.count(
            'waxwingport_refusals_total',
            'Refused requests by reason, and whether they may have run',
            reason=refusal.reason.value,
            ran=refusal.ran.value,
        )

    def update_gauges(self) -> None:
        """Sets the gauges that are read off the node's state."""
        revision = self.configuration.revision
        self.metrics.set(
            'waxwingport_configuration_revision',
            'Offset of the last configuration record in force',
            revision,
        )
        states = collections.Counter(row.state for row in self.targets)
        for found in candidates.TargetState:
            self.metrics.set(
                'waxwingport_targets',
                'Targets by state',
                states[found],
                state=found.value,
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
            'refusals': [
                {'reason': reason.value, 'ran': ran.value, 'count': count}
                for (reason, ran), count in self._refusals.items()
            ],
            'nodes': [
                self._describe_member(row)
                for row in self.membership.list_members()
            ],
        }

    def _describe_member(self, row: membership.Member) -> dict[str, object]:
        return {
            'name': row.name,
            'data_centre': row.data_centre,
            'state': row.state.value,
            'revision': self.membership.find_hint(row.name, 'configuration'),
        }

    def _set_limits(self, declared: declarations.Declarations) -> None:
        self.retry_budget.retry_share = declared.limit.retry_share

    def _describe_trainer(self, declared) -> dict[str, object]:
        latest = self.versions.find_latest(declared.name)
        return {
            'name': declared.name,
            'staleness_bound': declared.staleness_bound,
            'version': latest.version if latest else 1,
        }

    def _join_peers(self) -> peers.Peers:
        configured = self.settings
        return transport.PynngPeers(
            configured.node.name,
            configured.node.peer_listen,
            self.incarnation,
            configured.peers,
        )

    def _join_members(self) -> live.LiveMembership:
        configured = self.settings.node
        own = membership.Member(
            configured.name,
            configured.data_centre,
            self.peers.address,
            self.incarnation,
        )
        return live.LiveMembership(
            own, self.peers, self.rng, is_ready=self.is_ready
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    async def _follow_vms(self) -> None:
        while True:
            match await self.outside.vm_list.read():
                case Result(tag='ok', ok=vms):
                    self.targets.update(vms)
                    self.membership.update(vms)
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
