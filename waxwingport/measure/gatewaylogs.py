"""Measurement of what a gateway's log lines cost, calm and overloaded."""

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
from waxwingport.gateway import configured
from waxwingport.gateway import dialect
from waxwingport.gateway import pools
from waxwingport.gateway import routes
from waxwingport.gateway import server
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
from waxwingport.submissions import archive
from waxwingport.submissions import model as submissions
from waxwingport.submissions import service
from waxwingport.submissions import texts

__all__ = ['GatewayLogs']

_SLOTS = 8
_WORK = 0.05
"""Seconds that the target works on a call."""
_CAPACITY = _SLOTS / _WORK
"""Calls a second."""
_LOADS = (('calm', 0.5), ('overloaded', 4.0))
"""Offered calls over the capacity."""
_PATIENCE = 1.0
"""Seconds that callers wait."""
_TARGET_TIME = 0.2
"""Seconds within which an answer is worth most."""
_SERVICE = ids.ServiceName('measured')
_HOST = 'measured.example'
_CENTRE = ids.DataCentre('here')
_ANSWER_START = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
_ANSWER_END = b'\r\n\r\nok'
_OWN_HEADERS = (b'host', b'content-', b'connection')
_RECORD_SIZE = 262_144
_TEXT_MEMORY = 1_000_000
_BODY_MEMORY = 64 * 1024 * 1024


class GatewayLogs(base.Measurement):
    """Lines, bytes and processor time of logs for each call."""

    name = 'gateway-logs'
    summary = "volume and processor time of a gateway's log lines for a call"

    async def run(self, options: base.Options) -> base.Report:
        """Measures each load with log lines and without."""
        figures: list[base.Figure] = []
        for label, factor in _LOADS:
            rate = factor * _CAPACITY
            seconds = options.seconds / (2 * len(_LOADS))
            quiet = await _run_load(rate, seconds, options.seed, None)
            with tempfile.TemporaryFile() as sink:
                loud = await _run_load(rate, seconds, options.seed, sink)
            figures += _describe(label, quiet, loud)
        return base.Report(self.name, options, tuple(figures))


class _Load:
    """What one run saw."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.cpu = 0.0
        self.lines = 0
        self.size = 0

    @property
    def calls(self) -> int:
        return len(self.statuses)


class _LineCounter(logging.Filter):
    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Keeps and counts every record."""
        self.count += 1
        return True


def _describe(label: str, quiet: _Load, loud: _Load) -> list[base.Figure]:
    refused = sum(status != 200 for status in loud.statuses)
    cost = loud.cpu / loud.calls - quiet.cpu / quiet.calls
    return [
        base.Figure(f'{label}: calls', loud.calls, 'calls'),
        base.Figure(f'{label}: not answered', refused / loud.calls, 'share'),
        base.Figure(f'{label}: lines a call', loud.lines / loud.calls, ''),
        base.Figure(f'{label}: bytes a call', loud.size / loud.calls, 'B'),
        base.Figure(
            f'{label}: whole call, callers and target included',
            loud.cpu / loud.calls * 1e6,
            'us',
        ),
        base.Figure(f'{label}: log lines of a call', cost * 1e6, 'us'),
    ]


async def _run_load(
    rate: float, seconds: float, seed: int, sink: BinaryIO | None
) -> _Load:
    """Sends calls at random times; lines go to ``sink``, or nowhere."""
    target = _Target()
    await target.start()
    served = _Served(target.address)
    counter = _LineCounter()
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    if sink is None:
        root.handlers[:] = []
        root.setLevel(logging.CRITICAL)
    else:
        wanted = settings.LogSettings()
        handler = logs.make_non_blocking_handler(sink.fileno(), wanted)
        handler.addFilter(logs.RateFilter(wanted.lines_per_second))
        handler.addFilter(counter)
        root.handlers[:] = [handler]
        root.setLevel(logging.INFO)
    try:
        load = await _send(served, rate, seconds, random.Random(seed))
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
    load.lines = counter.count
    load.size = sink.tell() if sink is not None else 0
    await served.stop()
    target.stop()
    return load


async def _send(
    served: '_Served', rate: float, seconds: float, rng: random.Random
) -> _Load:
    load = _Load()
    loop = asyncio.get_running_loop()
    started = time.process_time()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            group.create_task(served.call(f'call-{number}', load))
    load.cpu = time.process_time() - started
    return load


class _Target:
    """Works on ``_SLOTS`` calls at the same time."""

    def __init__(self) -> None:
        self._slots = asyncio.Semaphore(_SLOTS)
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
                    await asyncio.sleep(_WORK)
                writer.write(_ANSWER_START + _echo(head) + _ANSWER_END)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The gateway closed the connection; it is of no use any more.
            writer.close()
        except asyncio.CancelledError:
            # The measurement is over.
            writer.close()


def _echo(head: bytes) -> bytes:
    """Returns the request's own headers, among them its id."""
    return b'\r\n'.join(
        line
        for line in head.rstrip().split(b'\r\n')[1:]
        if not line.lower().startswith(_OWN_HEADERS)
    )


class _Served:
    """A gateway with one route and one target, and a caller before it."""

    def __init__(self, target: str) -> None:
        self._dialect = exchange.PlatformDialect()
        self._callers = client.HttpClient()
        self._http = client.HttpClient()
        log = partitions.MemoryLog()
        wall = clocks.SystemWallClock()
        targets = registry.Registry(lambda key, value: Ok(_enter(target)))
        targets.update(log_base.KeyedRecord('t', b'x'))
        sender = attempts.Sender(self._http, self._dialect)
        pool = pools.TargetPool(targets, _CENTRE, random.Random(0))
        archive_ = archive.Archive(log, archive.ArchiveSettings(), wall)
        self._gateway = server.Gateway(
            self._dialect,
            _configure(),
            calls.CallForwarder(sender, pool),
            streams.StreamForwarder(sender, pool),
            service.SubmissionService(
                log,
                archive_,
                texts.TextReader(log, _TEXT_MEMORY),
                _RECORD_SIZE,
                wall,
            ),
            progress.RequestTracker(_BODY_MEMORY),
            wall,
            metrics.Metrics(),
        )
        sockets = server.bind_sockets('127.0.0.1:0')
        self._gateway.server.add_sockets(sockets)
        self._address = server.format_address(sockets[0])

    async def call(self, name: str, load: _Load) -> None:
        """Sends one call and notes its status; 0 is no answer."""
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
            dialect.Expectations(fleet.InstanceId(''), _PATIENCE),
            False,
        )
        answer = await self._callers.fetch(
            self._address, request, 2 * _PATIENCE
        )
        match answer:
            case Result(tag='ok', ok=found):
                load.statuses.append(found.status)
            case _:
                load.statuses.append(0)

    async def stop(self) -> None:
        """Closes every connection."""
        self._callers.close()
        self._http.close()
        self._gateway.server.stop()
        await self._gateway.server.close_all_connections()


def _enter(address: str) -> fleet.TargetEntry:
    return fleet.TargetEntry(
        fleet.InstanceId('t'),
        _SERVICE,
        address,
        _CENTRE,
        _SLOTS,
        fleet.Stage.READY,
        1,
        {},
    )


def _configure() -> configured.ActiveConfiguration:
    route = routes.Route(
        'measured',
        _HOST,
        '/m/',
        routes.RouteKind.IDEMPOTENT,
        (routes.Share(_SERVICE, 1),),
        3,
        _PATIENCE,
        _TARGET_TIME,
    )
    found = routes.Configuration(1, (route,), routes.Limits(), {})
    made = configured.ActiveConfiguration(
        lambda key: True, lambda row: Ok(found), lambda row: None
    )
    made.update(log_base.KeyedRecord('configuration', b'x'))
    return made
