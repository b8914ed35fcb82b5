"""An entry node: constructs, starts and stops its subsystems."""

import collections
import random

from expression import Result
import msgspec

from waxwingport import background
from waxwingport.configuration import declarations
from waxwingport.configuration import distribution
from waxwingport.configuration import publisher
from waxwingport.configuration import snapshots
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.keys import index
from waxwingport.leases import pools
from waxwingport.limits import admission
from waxwingport.limits import retries
from waxwingport.membership import base as membership
from waxwingport.membership import live
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers
from waxwingport.peers import transport
from waxwingport.requests import completions
from waxwingport.requests import progress
from waxwingport.requests import services
from waxwingport.samples import collectors
from waxwingport import settings
from waxwingport.targets import listing
from waxwingport.targets import poller
from waxwingport.targets import table
from waxwingport.weights import controller
from waxwingport.weights import controllers
from waxwingport.weights import versions

__all__ = ['ExternalSystems', 'Node']


class ExternalSystems(msgspec.Struct, frozen=True):
    """The external systems that a node uses."""

    log: platform.Log
    vm_list: platform.VmList
    weight_store: platform.WeightStore
    targets: table.TargetFactory


class Node:
    """One entry node.

    Construct it inside a running event loop, then ``start`` and ``stop`` it.
    ``peer_transport`` and its ``incarnation`` replace the transport over
    sockets in tests.
    """

    def __init__(
        self,
        configured: settings.Settings,
        external: ExternalSystems,
        rng: random.Random | None = None,
        peer_transport: peers.PeerTransport | None = None,
        incarnation: ids.Incarnation | None = None,
    ) -> None:
        self.settings = configured
        self.external = external
        self.incarnation = incarnation or ids.generate_incarnation()
        self.rng = rng or random.Random()
        self.metrics = metrics.Metrics()
        self.peers = peer_transport or self._make_peer_transport()
        self.membership = self._make_membership()
        self._add_configuration()
        self._add_targets()
        self._add_requests()
        self._add_weight_control()
        self._add_collectors()
        self.refusals: collections.Counter[
            tuple[outcomes.Reason, outcomes.Ran]
        ] = collections.Counter()
        self.background = background.BackgroundTasks()

    async def start(self) -> None:
        """Starts the background tasks of the node; returns at once."""
        for work in (
            self.distribution.run(),
            self.snapshots.run(),
            self.membership.run(),
            self.keys.run(),
            self.vms.run(),
            self.poller.run(),
            self.version_exchange.run(),
            self.weights.run(),
            self.collectors.run(),
        ):
            self.background.spawn(work)

    async def stop(self) -> None:
        """Leaves the membership, then stops every background task."""
        self.membership.leave()
        await self.collectors.close()
        await self.leases.stop()
        await self.background.stop()
        await self.peers.close()

    def is_ready(self) -> bool:
        """Returns whether the node can accept requests.

        It can when it is not shutting down, has a configuration in force and
        knows at least one target.
        """
        return (
            self.request_tracker.ready
            and self.configuration.revision >= 0
            and len(self.targets) > 0
        )

    async def publish_version(
        self,
        trainer: ids.TrainerName,
        version: ids.WeightVersion,
        reference: str,
    ) -> Result[bool, outcomes.Refusal]:
        """Publishes a trainer's weight version; returns whether it was new.

        ``reference`` names the weights in the weight store.  Fails when the
        version is known with another reference.
        """
        return await self.version_exchange.publish(
            versions.Publication(trainer, version, reference)
        )

    def record_refusal(self, refusal: outcomes.Refusal) -> None:
        """Counts a refusal by its reason and ``ran``."""
        self.refusals[refusal.reason, refusal.ran] += 1
        self.metrics.count(
            'waxwingport_refusals_total',
            'Refused requests by reason, and whether they may have run',
            reason=refusal.reason.value,
            ran=refusal.ran.value,
        )

    def _add_configuration(self) -> None:
        self.configuration = state.ConfigurationState()
        self.distribution = distribution.Distribution(
            self.external.log,
            self.configuration,
            self.membership,
            self.peers,
            self.settings.distribution,
            self.rng,
        )
        self.snapshots = snapshots.SnapshotWriter(
            self.external.log,
            self.configuration,
            self.distribution.reader,
            self.membership,
            self.settings.snapshots,
        )
        self.publisher = publisher.Publisher(
            self.external.log,
            self.external.vm_list,
            self.configuration,
            self.distribution.reader,
        )
        self.configuration.listen_for_revisions(
            lambda revision: self.membership.publish_hint(
                'configuration', revision
            )
        )
        self.membership.listen_for_hints(self._handle_hint)

    def _add_targets(self) -> None:
        self.targets = table.TargetTable(
            self.external.targets, self.settings.node
        )
        self.configuration.listen(
            lambda declared: self.targets.set_label_rules(declared.labels)
        )
        self.admission = admission.Admission(
            self.configuration, self.targets, self.rng
        )
        self.vms = listing.VmFollower(
            self.external.vm_list,
            [self.targets.update],
            self.membership,
            self.peers,
            self.membership.update,
        )
        self.poller = poller.EnginePoller(
            self.targets,
            self.admission.router.index,
            self.membership,
            self.peers,
        )

    def _add_requests(self) -> None:
        self.request_tracker = progress.RequestTracker(
            self.settings.requests.body_memory
        )
        self.retry_budget = retries.RetryBudget(
            self.configuration.declarations.effective_limits.retry_share
        )
        self.configuration.listen(self._set_limits)
        self.completions = completions.CompletionRunner(
            self.admission, self.retry_budget, self.rng, self.settings.requests
        )
        self.services = services.ServiceRunner(
            self.admission,
            self.settings.node.name,
            self.incarnation,
            self.retry_budget,
            self.rng,
            self.settings.requests,
        )
        self.services.connect(self.peers, self.membership)
        self.keys = index.LogKeyIndex(
            self.external.log,
            self.membership,
            self.peers,
            lambda: (
                self.configuration.declarations.effective_limits.key_window
            ),
        )
        self.services.use_keys(self.keys)

    def _add_weight_control(self) -> None:
        self.versions = versions.VersionRegistry()
        self.leases = pools.PoolLeases(self.external.log, self.membership)
        self.version_exchange = versions.VersionExchange(
            self.versions,
            self.external.log,
            self.membership,
            self.peers,
            self.rng,
        )
        self.weights = controllers.WeightControllers(
            self.membership, self.targets, self._make_controller
        )

    def _add_collectors(self) -> None:
        self.collectors = collectors.Collectors(
            collectors.NodeDependencies(
                self.configuration,
                self.targets,
                self.admission,
                self.metrics,
                self._find_version,
                self.settings.samples,
                self._make_runner,
            ),
            collectors.PeerNodes(self.membership, self.peers),
        )

    def _handle_hint(self, key: str, value: int) -> None:
        if key == 'configuration':
            self.distribution.record_highest(ids.Revision(value))

    def _set_limits(self, declared: declarations.Declarations) -> None:
        self.retry_budget.retry_share = declared.effective_limits.retry_share

    def _find_version(
        self, trainer: ids.TrainerName
    ) -> ids.WeightVersion | None:
        latest = self.versions.find_latest(trainer)
        return latest.version if latest else None

    def _make_runner(
        self, admitting: admission.Admission
    ) -> completions.CompletionRunner:
        return completions.CompletionRunner(
            admitting, self.retry_budget, self.rng, self.settings.requests
        )

    def _make_controller(
        self, data_centre: ids.DataCentre
    ) -> controller.WeightController:
        return controller.WeightController(
            self.configuration,
            self.targets,
            self.versions,
            self.external.weight_store,
            self.membership,
            lambda pool: self.leases.find(pool, data_centre),
            self.metrics,
            is_log_down=lambda: self.version_exchange.log_down,
            data_centre=data_centre,
        )

    def _make_peer_transport(self) -> peers.PeerTransport:
        configured = self.settings
        return transport.PynngTransport(
            configured.node.name,
            configured.node.peer_listen,
            self.incarnation,
            configured.peers,
        )

    def _make_membership(self) -> live.LiveMembership:
        configured = self.settings.node
        local_member = membership.Member(
            configured.name,
            configured.data_centre,
            self.peers.address,
            self.incarnation,
        )
        return live.LiveMembership(
            local_member, self.peers, self.rng, is_ready=self.is_ready
        )
