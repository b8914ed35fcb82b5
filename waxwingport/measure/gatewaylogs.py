"""Measurement of the cost of a gateway's log lines at two loads."""

import asyncio
import logging
import random
import tempfile
import time
from typing import BinaryIO

from expression import Ok
from expression import Result

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import attempts
from waxwingport.gateway import calls
from waxwingport.gateway import conditions
from waxwingport.gateway import configured
from waxwingport.gateway import crashes
from waxwingport.gateway import dialect
from waxwingport.gateway import origins
from waxwingport.gateway import pools
from waxwingport.gateway import routes
from waxwingport.gateway import server
from waxwingport.gateway import stream_records
from waxwingport.gateway import streams
from waxwingport.http import client
from waxwingport import ids
from waxwingport.log import base as log_base
from waxwingport import logs
from waxwingport.measure import base
from waxwingport import metrics
from waxwingport.platform import exchange
from waxwingport.requests import progress
from waxwingport import settings
from waxwingport.standins import partitions
from waxwingport.submissions import model as submissions
from waxwingport.submissions import service
from waxwingport.submissions import texts
from waxwingport.submissions import view

__all__ = ['GatewayLogs']

_TARGET_SLOTS = 8
_CALL_TIME_S = 0.05
"""Time that the target takes for a call."""
_CAPACITY = _TARGET_SLOTS / _CALL_TIME_S
"""Calls a second."""
_LOADS = (('calm', 0.5), ('overloaded', 4.0))
"""Label and offered calls as a multiple of the capacity."""
_CALL_TIMEOUT_S = 1.0
"""Time that callers wait for an answer."""
_TARGET_TIME_S = 0.2
"""Target time of the route, within which an answer has its full value."""
_SERVICE = ids.ServiceName('measured')
_HOST = 'measured.example'
_DATA_CENTRE = ids.DataCentre('here')
_ANSWER_START = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
_ANSWER_END = b'\r\n\r\nok'
_EXCLUDED_HEADERS = (b'host', b'content-', b'connection')
_RECORD_BYTES = 262_144
_TEXT_CACHE_BYTES = 1_000_000
_BODY_BYTES = 64 * 1024 * 1024


class GatewayLogs(base.Measurement):
    """Lines, bytes and processor time of the log lines for each call."""

    name = 'gateway-logs'
    summary = "volume and processor time of a gateway's log lines for a call"

    async def run(self, options: base.Options) -> base.Report:
        """Runs each load once without log lines and once with them."""
        figures: list[base.Figure] = []
        for label, load_factor in _LOADS:
            rate = load_factor * _CAPACITY
            seconds = options.seconds / (2 * len(_LOADS))
            without_logs = await _run_load(rate, seconds, options.seed, None)
            with tempfile.TemporaryFile() as log_file:
                with_logs = await _run_load(
                    rate, seconds, options.seed, log_file
                )
            figures += _make_figures(label, without_logs, with_logs)
        return base.Report(self.name, options, tuple(figures))


class _LoadResult:
    """Statuses of the calls of one run, and their cost."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.cpu_seconds = 0.0
        self.line_count = 0
        self.log_bytes = 0

    @property
    def calls(self) -> int:
        return len(self.statuses)


class _LineCounter(logging.Filter):
    """Counts the records that reach a handler."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Counts the record and accepts it."""
        self.count += 1
        return True


def _make_figures(
    label: str, without_logs: _LoadResult, with_logs: _LoadResult
) -> list[base.Figure]:
    refused = sum(status != 200 for status in with_logs.statuses)
    cost = (
        with_logs.cpu_seconds / with_logs.calls
        - without_logs.cpu_seconds / without_logs.calls
    )
    return [
        base.Figure(f'{label}: calls', with_logs.calls, 'calls'),
        base.Figure(
            f'{label}: not answered', refused / with_logs.calls, 'share'
        ),
        base.Figure(
            f'{label}: lines a call',
            with_logs.line_count / with_logs.calls,
            '',
        ),
        base.Figure(
            f'{label}: bytes a call',
            with_logs.log_bytes / with_logs.calls,
            'B',
        ),
        base.Figure(
            f'{label}: whole call, callers and target included',
            with_logs.cpu_seconds / with_logs.calls * 1e6,
            'us',
        ),
        base.Figure(f'{label}: log lines of a call', cost * 1e6, 'us'),
    ]


async def _run_load(
    rate: float, seconds: float, seed: int, log_file: BinaryIO | None
) -> _LoadResult:
    """Sends calls at random times; without ``log_file`` logging is off."""
    target = _LoopbackTarget()
    await target.start()
    gateway = _LoopbackGateway(target.address)
    counter = _LineCounter()
    root = logging.getLogger()
    handlers, root_level = root.handlers[:], root.level
    if log_file is None:
        root.handlers[:] = []
        root.setLevel(logging.CRITICAL)
    else:
        log_settings = settings.LogSettings()
        handler = logs.make_non_blocking_handler(
            log_file.fileno(), log_settings
        )
        handler.addFilter(logs.RateFilter(log_settings.lines_per_second))
        handler.addFilter(counter)
        root.handlers[:] = [handler]
        root.setLevel(logging.INFO)
    try:
        result = await _send_calls(gateway, rate, seconds, random.Random(seed))
    finally:
        root.handlers[:] = handlers
        root.setLevel(root_level)
    result.line_count = counter.count
    result.log_bytes = log_file.tell() if log_file is not None else 0
    await gateway.stop()
    target.stop()
    return result


async def _send_calls(
    gateway: '_LoopbackGateway',
    rate: float,
    seconds: float,
    rng: random.Random,
) -> _LoadResult:
    result = _LoadResult()
    loop = asyncio.get_running_loop()
    started = time.process_time()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            group.create_task(gateway.call(f'call-{number}', result))
    result.cpu_seconds = time.process_time() - started
    return result


class _LoopbackTarget:
    """HTTP server that works on ``_TARGET_SLOTS`` calls at the same time."""

    def __init__(self) -> None:
        self._slots = asyncio.Semaphore(_TARGET_SLOTS)
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listens on loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                async with self._slots:
                    await asyncio.sleep(_CALL_TIME_S)
                writer.write(
                    _ANSWER_START + _select_echoed_headers(head) + _ANSWER_END
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            # The gateway closed the connection.
            writer.close()
        except asyncio.CancelledError:
            # The event loop stops at the end of the measurement.
            writer.close()


def _select_echoed_headers(request_head: bytes) -> bytes:
    """Returns the header lines that the response repeats, such as the id."""
    return b'\r\n'.join(
        line
        for line in request_head.rstrip().split(b'\r\n')[1:]
        if not line.lower().startswith(_EXCLUDED_HEADERS)
    )


class _LoopbackGateway:
    """A gateway with one route and one target, and an HTTP client for it."""

    def __init__(self, target_address: str) -> None:
        self._dialect = exchange.PlatformDialect()
        self._callers = client.HttpClient()
        self._http = client.HttpClient()
        memory_log = partitions.MemoryLog()
        wall_clock = clocks.SystemWallClock()
        target_registry = registry.Registry(
            lambda key, value: Ok(_make_target_entry(target_address))
        )
        target_registry.update(log_base.KeyedRecord('t', b'x'))
        sender = attempts.Sender(
            self._http,
            self._dialect,
            conditions.TargetConditions(
                target_registry, self._http, self._dialect, metrics.Metrics()
            ),
            crashes.CrashWatch(
                memory_log,
                ids.NodeName('n1'),
                target_registry,
                self._http,
                wall_clock,
                metrics.Metrics(),
            ),
        )
        submission_view = view.SubmissionView(
            memory_log, view.SubmissionSettings(), wall_clock
        )
        configuration = _make_configuration()
        pool = pools.TargetPool(
            target_registry,
            _DATA_CENTRE,
            random.Random(0),
            configuration.tenants,
        )
        self._gateway = server.Gateway(
            self._dialect,
            configuration,
            calls.CallForwarder(sender, pool, configuration.tenants),
            streams.StreamForwarder(
                sender,
                pool,
                origins.StreamOrigins(
                    memory_log,
                    log_base.MemberName('n1'),
                    target_registry,
                    wall_clock,
                    stream_records.StreamSettings(),
                    _RECORD_BYTES,
                ),
                configuration.tenants,
            ),
            service.SubmissionService(
                memory_log,
                submission_view,
                texts.TextReader(memory_log, _TEXT_CACHE_BYTES),
                _RECORD_BYTES,
                wall_clock,
            ),
            progress.RequestTracker(_BODY_BYTES),
            wall_clock,
            metrics.Metrics(),
        )
        sockets = server.bind_sockets('127.0.0.1:0')
        self._gateway.server.add_sockets(sockets)
        self._address = server.format_address(sockets[0])

    async def call(self, name: str, result: _LoadResult) -> None:
        """Sends one call and records its status; 0 stands for no answer."""
        item = submissions.Item(
            submissions.ItemId(name),
            '/m/x',
            (),
            b'',
            0,
            None,
            ids.GroupId(''),
            None,
        )
        request = self._dialect.make_request(
            self._dialect.make_item_call(item, _HOST),
            dialect.Expectations(fleet.InstanceId(''), _CALL_TIMEOUT_S),
            False,
        )
        answer = await self._callers.fetch(
            self._address, request, 2 * _CALL_TIMEOUT_S
        )
        match answer:
            case Result(tag='ok', ok=response):
                result.statuses.append(response.status)
            case _:
                result.statuses.append(0)

    async def stop(self) -> None:
        """Stops the gateway and closes all connections."""
        self._callers.close()
        self._http.close()
        self._gateway.server.stop()
        await self._gateway.server.close_all_connections()


def _make_target_entry(address: str) -> fleet.TargetEntry:
    return fleet.TargetEntry(
        fleet.InstanceId('t'),
        _SERVICE,
        address,
        _DATA_CENTRE,
        _TARGET_SLOTS,
        fleet.Stage.READY,
        1,
        {},
    )


def _make_configuration() -> configured.ActiveConfiguration:
    route = routes.Route(
        'measured',
        _HOST,
        '/m/',
        routes.RouteKind.IDEMPOTENT,
        (routes.Share(_SERVICE, 1),),
        3,
        _CALL_TIMEOUT_S,
        _TARGET_TIME_S,
    )
    configuration = routes.Configuration(1, (route,), routes.Limits(), {})
    active = configured.ActiveConfiguration(
        lambda key: True, lambda record: Ok(configuration), lambda record: None
    )
    active.update(log_base.KeyedRecord('configuration', b'x'))
    return active
