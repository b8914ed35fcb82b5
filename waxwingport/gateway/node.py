"""One gateway node: creation, start and shutdown of its components."""

import asyncio
import logging
import random
import socket

from expression import Result
import msgspec
from tornado import httpserver
from tornado import httputil

from waxwingport import background
from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.fleet import speed
from waxwingport.gateway import attempts
from waxwingport.gateway import calls
from waxwingport.gateway import conditions
from waxwingport.gateway import configured
from waxwingport.gateway import crashes
from waxwingport.gateway import origins
from waxwingport.gateway import pools
from waxwingport.gateway import server
from waxwingport.gateway import settings
from waxwingport.gateway import sharing
from waxwingport.gateway import streams
from waxwingport.http import client
from waxwingport import ids
from waxwingport.intake import account as accounts
from waxwingport.intake import connections
from waxwingport.log import base
from waxwingport.log import followers
from waxwingport import metrics
from waxwingport.platform import exchange
from waxwingport.platform import operators
from waxwingport.platform import orders
from waxwingport.platform import store
from waxwingport.platform import usage as platform_usage
from waxwingport.requests import progress
from waxwingport.rollout import controller
from waxwingport.rollout import lease
from waxwingport.scheduling import placement
from waxwingport.submissions import generation
from waxwingport.submissions import holder
from waxwingport.submissions import partition_state
from waxwingport.submissions import runner
from waxwingport.submissions import scores
from waxwingport.submissions import service
from waxwingport.submissions import texts
from waxwingport.submissions import view
from waxwingport.tenancy import counters

__all__ = ['GatewayNode']

_METRICS_PATH = '/metrics'
_METRICS_RETRY_S = 5.0
"""Time between attempts to listen at the address for metrics alone: about as
often as they are collected."""
_EXIT_MARGIN_S = 0.5
"""Time between the end of the last requests and the platform's SIGKILL.
Interrupted requests have the same time to end, together with the refusal of
callers that go on to connect to the node."""
_QUIET_TIME_S = 0.1
"""Time without a new request after which the node closes.  Callers that it has
refused go to other nodes; each of them may have been about to connect."""
_FLUSH_TIME_S = 0.05
"""Time for refusing requests that arrive while the node closes."""

_LOG = logging.getLogger(__name__)


class _Sockets(msgspec.Struct, frozen=True):
    """Sockets without which a node cannot work."""

    callers: list[socket.socket]
    status: list[socket.socket]


def _bind(node: settings.GatewayNodeSettings) -> _Sockets:
    callers = server.bind_sockets(node.listen)
    try:
        return _Sockets(callers, server.bind_sockets(node.status_listen))
    except OSError:
        for bound in callers:
            bound.close()
        raise


class GatewayNode:
    """The components of a gateway process, connected to each other.

    Creation binds the listening sockets and raises ``OSError`` if that fails;
    no socket is left open then.
    """

    def __init__(self, settings_: settings.GatewaySettings) -> None:
        self._settings = settings_
        node = settings_.node
        self._sockets = _bind(node)
        self.metrics = metrics.Metrics()
        self._divide_memory()
        self._connections = connections.ConnectionTable(
            self._account, self.metrics, node.max_fds
        )
        self._log = store.StoreLog(self._http, settings_.store, self.metrics)
        self._wall_clock = clocks.SystemWallClock()
        self._dialect = exchange.PlatformDialect()
        self._versions = controller.VersionRegistry()
        self._member_name = base.MemberName(
            f'{node.name}-{ids.generate_incarnation():x}'
        )
        self.background = background.BackgroundTasks()
        self.request_tracker = progress.RequestTracker(self._account.budget)
        self.usage = platform_usage.make_usage(
            settings_,
            self._http,
            self._log,
            self._member_name,
            self._wall_clock,
            self.metrics,
        )
        self._make_followers()
        self._make_submissions(node.data_centre)
        self._make_rollout()
        self._make_server()

    def _divide_memory(self) -> None:
        node = self._settings.node
        budget = answers = node.body_memory
        if node.memory_mb:
            budget, answers = accounts.divide_memory(node.memory_mb)
        client_settings = self._settings.client
        client_settings = msgspec.structs.replace(
            client_settings,
            whole_memory=min(answers, client_settings.whole_memory),
        )
        self._account = accounts.MemoryAccount(
            budget, bounds_copies=bool(node.memory_mb)
        )
        self._http = client.HttpClient(client_settings)

    def _make_followers(self) -> None:
        self.targets = registry.Registry(operators.read_target)
        self.configuration = configured.ActiveConfiguration(
            operators.is_configuration,
            lambda record: operators.read_configuration(record.value or b''),
            self._record_version,
        )
        self.configuration.add_listener(
            counters.OmissionRecorder(self.metrics).record
        )
        self._target_follower = followers.KeyedFollower(
            self._log,
            operators.TARGET_TOPIC,
            self.targets,
            needs_records=lambda: (
                self.holder.count_held() > 0 or self.lease.held
            ),
        )
        self.targets.set_log_dependency(self._target_follower.dependency)
        self._conditions = conditions.TargetConditions(
            self.targets, self._http, self._dialect, self.metrics
        )
        self.limit_sharing = sharing.LimitSharing(
            self._log,
            self._settings.node.name,
            self.targets,
            self._wall_clock,
        )
        self._conditions.add_limit_listener(self.limit_sharing.add)
        self.crash_watch = crashes.CrashWatch(
            self._log,
            self._settings.node.name,
            self.targets,
            self._http,
            self._wall_clock,
            self.metrics,
        )
        self.stream_origins = origins.StreamOrigins(
            self._log,
            self._member_name,
            self.targets,
            self._wall_clock,
            self._settings.streams,
            self._settings.store.call_size,
        )
        self.configuration.add_listener(self.stream_origins.set_configuration)
        self._operator_follower = followers.KeyedFollower(
            self._log, operators.OPERATOR_TOPIC, self.configuration
        )
        self.configuration.set_log_dependency(
            self._operator_follower.dependency
        )

    def _make_submissions(self, local_data_centre: ids.DataCentre) -> None:
        settings_ = self._settings
        store_settings = settings_.store
        rng = random.Random()
        sender = attempts.Sender(
            self._http, self._dialect, self._conditions, self.crash_watch
        )
        self.submission_view = view.SubmissionView(
            self._log, settings_.submissions, self._wall_clock
        )
        pool = pools.TargetPool(
            self.targets, local_data_centre, rng, self.configuration.tenants
        )
        self.call_forwarder = calls.CallForwarder(
            sender, pool, self.configuration.tenants, self.usage.counter
        )
        self.stream_forwarder = streams.StreamForwarder(
            sender,
            pool,
            self.stream_origins,
            self.configuration.tenants,
            self.usage.counter,
        )
        reader = texts.TextReader(self._log, settings_.submissions.text_memory)
        self.submission_service = service.SubmissionService(
            self._log,
            self.submission_view,
            reader,
            store_settings.record_size,
            self._wall_clock,
        )
        self.runner = runner.ItemRunner(
            generation.ItemGenerator(sender),
            scores.RewardScorer(
                self._dialect,
                self.call_forwarder,
                self.configuration.find_route,
            ),
            self.targets,
            self.submission_view,
            reader,
            self.configuration.find_route,
            placement.Placement(local_data_centre, rng),
            self._wall_clock,
            self.metrics,
            self.configuration.tenants,
        )
        self.targets.add_listener(self.runner.wake)
        self.holder = holder.Holder(
            self._log,
            self.submission_view,
            self.runner,
            holder.AppendLimits(
                store_settings.record_size, store_settings.call_size
            ),
            self._member_name,
            reader,
            self._wall_clock,
            rng,
            settings_.node.cpu_share * settings_.node.cpu_speed,
        )
        for partition in self.submission_view:
            partition.add_listener(self._record_submission)

    def _make_rollout(self) -> None:
        node = self._settings.node
        self.lease = lease.OrderLease(
            self._log,
            self._settings.node.name,
            self._member_name,
            self._settings.rollout,
            clocks.BootClock(),
            self._wall_clock,
            random.Random(),
            needs_records=lambda: self.holder.count_held() > 0,
        )
        self.lease.add_load_listener(self._expect_load)
        self.controller = controller.RolloutController(
            node.name,
            orders.PlatformEngineControl(self._http, self._conditions),
            self.targets,
            self._versions,
            self.lease,
            self.metrics,
        )

    def _make_server(self) -> None:
        self.gateway = server.Gateway(
            self._dialect,
            self.configuration,
            self.call_forwarder,
            self.stream_forwarder,
            self.submission_service,
            self.request_tracker,
            self._wall_clock,
            self.metrics,
            self._connections,
        )
        self.gateway.server.add_sockets(self._sockets.callers)
        self.address = server.format_address(self._sockets.callers[0])
        self._status_server = httpserver.HTTPServer(self._answer_status)
        self._status_server.add_sockets(self._sockets.status)
        self.status_address = server.format_address(self._sockets.status[0])
        self.metrics_address: str | None = None
        """Additional address for metrics, once the node listens there."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return (
            self.request_tracker.ready
            and self.configuration.current is not None
            and self._target_follower.started.is_set()
            and self.stream_origins.ready
        )

    def start(self) -> None:
        """Starts the node's background tasks."""
        for coroutine in (
            self._operator_follower.run(),
            self._target_follower.run(),
            self.submission_view.run(),
            self.runner.run(),
            self.holder.run(),
            self.lease.run(),
            self.usage.run(),
            self.controller.run(),
            self.limit_sharing.run(),
            self.crash_watch.run(),
            self.stream_origins.run(),
            self._connections.run(),
            self._serve_metrics(),
        ):
            self.background.spawn(coroutine)

    async def _serve_metrics(self) -> None:
        """Listens at the additional address for metrics, if there is one.

        A node serves callers also while another process has that address.
        """
        address = self._settings.node.metrics_listen
        failed = False
        while address and self.metrics_address is None:
            try:
                sockets = server.bind_sockets(address)
            except OSError as error:
                if not failed:
                    _LOG.error(
                        'metrics-unserved', extra={'reason': str(error)}
                    )
                failed = True
                await asyncio.sleep(_METRICS_RETRY_S)
            else:
                self._status_server.add_sockets(sockets)
                self.metrics_address = server.format_address(sockets[0])

    async def stop(self) -> None:
        """Resigns the leases, lets requests finish and closes the node.

        New requests are accepted for ``drain_delay``; requests are
        interrupted in time for the node to end within ``shutdown_timeout``.
        """
        node = self._settings.node
        async with asyncio.TaskGroup() as group:
            group.create_task(self.lease.resign())
            group.create_task(self.usage.resign())
            group.create_task(self.holder.resign())
            await self.request_tracker.drain(
                node.drain_delay,
                node.shutdown_timeout - node.drain_delay - 2 * _EXIT_MARGIN_S,
                lambda: None,
            )
        async with asyncio.TaskGroup() as group:
            group.create_task(self.limit_sharing.resign())
            group.create_task(self.usage.flush())
            await self.request_tracker.wait_quiet(
                _QUIET_TIME_S, _EXIT_MARGIN_S / 2
            )
            await self.request_tracker.wait_idle(_EXIT_MARGIN_S / 2)
        await self.close()

    async def close(self) -> None:
        """Stops all tasks and closes all connections at once."""
        self.gateway.server.stop()
        self._status_server.stop()
        await self.background.stop()
        self._http.close()
        await self.request_tracker.wait_idle(_FLUSH_TIME_S)
        await self.gateway.server.close_all_connections()
        await self._status_server.close_all_connections()

    def _expect_load(self, instance: fleet.InstanceId, model: str) -> None:
        target = self.targets.find(instance)
        if target is not None:
            target.expect_load(model, asyncio.get_running_loop().time())

    def _record_version(self, record: base.KeyedRecord) -> None:
        match operators.read_published_version(
            record.key, record.value or b''
        ):
            case Result(
                tag='ok', ok=operators.PublishedVersion() as published
            ):
                self._versions.record_published(
                    published.model, published.version
                )
            case Result(tag='ok'):
                return
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={'key': record.key, 'reason': reason},
                )

    def _record_submission(
        self, partition: view.SubmissionPartition, entry: partition_state.Entry
    ) -> None:
        if not entry.results and not entry.ended:
            submission = entry.submission
            self._versions.record_minimum(
                submission.model, submission.minimum_version
            )
            route = self.configuration.find_route(
                submission.host, submission.path
            )
            if route is not None and route.single_version:
                self._versions.record_single_version(submission.model)

    def _answer_status(self, request: httputil.HTTPServerRequest) -> None:
        status = 200 if self.ready else 503
        body = b''
        headers = httputil.HTTPHeaders()
        if request.path == _METRICS_PATH:
            status = 200
            body, content_headers = self._render_metrics()
            headers.update(content_headers)
        headers['Content-Length'] = str(len(body))
        request.connection.write_headers(
            httputil.ResponseStartLine('', status, ''), headers, body or None
        )
        request.connection.finish()

    def _render_metrics(self) -> tuple[bytes, dict[str, str]]:
        now = asyncio.get_running_loop().time()
        self.usage.update_metrics()
        speeds = [
            target.speed for target in self.targets if target.reports_slowdown
        ]
        for name, help_text, value in (
            (
                'items_waiting',
                'Items that wait for a slot.',
                self.runner.count_waiting(),
            ),
            ('targets', 'Registered targets.', len(self.targets)),
            (
                'targets_reporting_slowdown',
                'Targets whose last answer had the slowdown of their machine.',
                len(speeds),
            ),
            (
                'slowdown_ratio',
                'Mean time of work on these machines over the usual one.',
                speed.compute_mean(one.mean_slowdown for one in speeds),
            ),
            (
                'slowdown_error_ratio',
                'Mean difference between a reported slowdown and its '
                'estimate.',
                speed.compute_mean(one.mean_error for one in speeds),
            ),
            (
                'partitions_held',
                'Partitions of submissions owned by this node.',
                self.holder.count_held(),
            ),
            (
                'order_lease_held',
                'Whether this node holds the lease to order engines.',
                int(self.lease.held),
            ),
            (
                'configuration_age_seconds',
                'Seconds since the current configuration was applied.',
                now - self.configuration.applied_at,
            ),
            (
                'configuration_unconfirmed_seconds',
                'Seconds since the log last told what the newest one is.',
                now - self._operator_follower.dependency.answered_at,
            ),
        ):
            self.metrics.set(f'waxwingport_{name}', help_text, value)
        self.gateway.tenant_counters.render()
        return self.metrics.render()
