"""The platform's wire format of reports of usage."""

import random

from expression import Result
import msgspec
from tornado import httputil

from waxwingport import clocks
from waxwingport.duties import base
from waxwingport.duties import service
from waxwingport.gateway import attempts
from waxwingport.gateway import settings
from waxwingport.http import client
from waxwingport.log import base as log_base
from waxwingport.log import turn_leases
from waxwingport import metrics
from waxwingport import numerals

__all__ = ['PlatformUsageApi', 'make_usage']

_DUTY = 'metering'
"""Name of the reports among the duties in the settings."""
_PATH = '/usage'
_DONE = 200
_BUSY = 429


class _Body(msgspec.Struct, frozen=True):
    window: int
    counts: dict[str, int]


class _PermitCheck(client.Peer):
    """Withdraws a call whose permit has ended before it is written."""

    def __init__(self, permit: base.Permit) -> None:
        self._permit = permit

    def admit(self) -> bool:
        """Admits every call; the log and the lease limit them."""
        return True

    def accepts_requests(self) -> bool:
        """Returns whether the permit is valid."""
        return self._permit.is_valid()

    def record_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Does nothing."""


class PlatformUsageApi(base.UsageApi):
    """Reports usage by requests to ``/usage`` at ``address``, ``ip:port``."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def report_usage(
        self, report: base.UsageReport, permit: base.Permit, timeout: float
    ) -> base.CallAnswer:
        """Sends a report once and returns the outcome.

        The connection is closed after ``timeout`` seconds, so that the
        report does not arrive later.
        """
        request = client.Request(
            'POST',
            _PATH,
            (
                ('Content-Type', 'application/json'),
                ('Lease-Holder', permit.holder),
                ('Fencing-Token', str(permit.fencing_number)),
            ),
            msgspec.json.encode(_Body(report.window, report.counts)),
            fresh=True,
            peer=_PermitCheck(permit),
        )
        match await self._http.fetch(self._address, request, timeout):
            case Result(tag='ok', ok=response):
                return _read_answer(response)
            case Result(error=fault):
                pass
        if fault.sent:
            return base.CallAnswer(base.CallOutcome.UNKNOWN, fault.detail)
        return base.CallAnswer(base.CallOutcome.UNSENT, fault.detail)


def make_usage(
    settings_: settings.GatewaySettings,
    http: client.HttpClient,
    log: log_base.PartitionLog,
    member: log_base.MemberName,
    wall_clock: clocks.WallClock,
    counters: metrics.Metrics,
) -> service.Usage:
    """Returns the reports of usage, which are off unless they are expected.

    ``member`` has to be unique to this run of the process.
    """
    usage = settings_.usage
    if not usage.complete or _DUTY not in usage.duties:
        return service.NoUsage()
    return service.UsageReports(
        service.LogAccess(
            log, settings_.store.call_size, settings_.store.retention
        ),
        turn_leases.Holder(settings_.node.name, member),
        PlatformUsageApi(http, usage.address),
        usage,
        clocks.BootClock(),
        wall_clock,
        random.Random(),
        counters,
        lambda outcome: not isinstance(outcome, attempts.NotRun),
    )


def _read_answer(response: client.WholeResponse) -> base.CallAnswer:
    if response.status == _DONE:
        return base.CallAnswer(base.CallOutcome.DONE)
    outcome = base.CallOutcome.FAILED
    if response.status == _BUSY:
        outcome = base.CallOutcome.BUSY
    fields = httputil.HTTPHeaders()
    for name, value in response.headers:
        fields.add(name, value)
    retry_after = numerals.read_decimal(fields.get('Retry-After'))
    if retry_after is not None and retry_after < 0:
        retry_after = None
    return base.CallAnswer(outcome, f'status {response.status}', retry_after)
