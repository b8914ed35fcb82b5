"""Sends recorded reports to the API, at the holder, one call at a time."""

import asyncio
import logging
import random

from expression import Result

from waxwingport import clocks
from waxwingport.duties import base
from waxwingport.duties import lease
from waxwingport.duties import records
from waxwingport.duties import settings
from waxwingport.duties import state
from waxwingport import metrics

__all__ = ['UsageSender']

_INTERVAL_S = 0.1
"""Time between two looks for a report that waits."""
_RATE_SHARE = 0.1
"""Share of the calls that the API takes which reports use at most."""
_MIN_TIMEOUT_S = 2.0
"""Shortest time-out of a call.  The next holder waits for as long, so that a
longer one would make the report of a lost holder late."""
_MAX_TIMEOUT_S = 8.0
"""Longest time-out, for an API that answers slowly."""
_TIMEOUT_RATIO = 4.0
"""Time-out of a call as a multiple of the time of the last answer."""
_MIN_RETRY_DELAY_S = 0.2
"""Delay before a call is repeated, doubled with each failure in a row."""
_MAX_RETRY_DELAY_S = 2.0
"""Upper bound of that delay: reports follow soon after an outage, and 690
nodes together send half a call a second during it."""
_MAX_RETRY_AFTER_S = 5.0
"""Longest wait that the API may ask for; longer ones make reports late."""

_LOG = logging.getLogger(__name__)


class UsageSender:
    """Sends each recorded report until the API has accepted it."""

    def __init__(
        self,
        duty: lease.DutyLease,
        usage_state: state.UsageState,
        api: base.UsageApi,
        settings_: settings.UsageSettings,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._duty = duty
        self._state = usage_state
        self._api = api
        self._settings = settings_
        self._wall_clock = wall_clock
        self._rng = rng
        self._metrics = counters
        self._timeout = _MIN_TIMEOUT_S
        self._failures = 0
        """Failed calls since the last success."""
        self._sent_window: int | None = None
        """Window of the last call."""

    async def run(self) -> None:
        """Sends reports while this node may act, until cancelled."""
        spacing = 1.0 / (_RATE_SHARE * self._settings.calls_per_second)
        while True:
            report = None
            if self._duty.may_act():
                report = self._state.find_oldest()
            if report is None:
                await asyncio.sleep(_INTERVAL_S)
                continue
            delay = await self._send(report)
            await asyncio.sleep(max(delay, spacing))

    async def _send(self, report: records.Report) -> float:
        """Sends a report once; returns the seconds to wait after that."""
        timeout = self._timeout
        match await self._duty.permit(timeout):
            case Result(tag='ok', ok=permit):
                pass
            case Result(error=reason):
                _LOG.info(
                    'usage-withheld',
                    extra={'window': report.window, 'reason': reason},
                )
                return _MIN_RETRY_DELAY_S
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await self._api.report_usage(
            base.UsageReport(report.window, report.counts), permit, timeout
        )
        taken = loop.time() - sent_at
        self._record_answer(report, permit, answer, taken)
        if answer.outcome is not base.CallOutcome.DONE:
            return self._compute_delay(answer)
        self._failures = 0
        self._timeout = _clamp_timeout(_TIMEOUT_RATIO * taken)
        match await self._duty.append((records.Done(report.window),)):
            case Result(tag='error', error=reason):
                _LOG.warning(
                    'usage-unfinished',
                    extra={'window': report.window, 'reason': reason},
                )
                return _MIN_RETRY_DELAY_S
        self._record_done(report.window)
        return 0.0

    def _compute_delay(self, answer: base.CallAnswer) -> float:
        """Returns the seconds to wait after a call that failed."""
        if answer.outcome is base.CallOutcome.UNKNOWN:
            self._timeout = _clamp_timeout(2 * self._timeout)
        delay = min(
            _MIN_RETRY_DELAY_S * 2 ** min(self._failures, 10),
            _MAX_RETRY_DELAY_S,
        )
        self._failures += 1
        delay *= self._rng.uniform(0.5, 1.0)
        if answer.retry_after is not None:
            delay = max(delay, min(answer.retry_after, _MAX_RETRY_AFTER_S))
        return delay

    def _record_answer(
        self,
        report: records.Report,
        permit: base.Permit,
        answer: base.CallAnswer,
        taken: float,
    ) -> None:
        repeated = self._sent_window == report.window
        self._sent_window = report.window
        _LOG.info(
            'usage-sent',
            extra={
                'window': report.window,
                'holder': permit.holder,
                'epoch': permit.fencing_number,
                'repeated': repeated,
                'outcome': answer.outcome.value,
                'reason': answer.detail,
                'taken_s': round(taken, 3),
                'waiting': self._state.waiting_count,
            },
        )
        self._metrics.count(
            'waxwingport_usage_calls_total',
            'Calls that report usage, by their outcome.',
            outcome=answer.outcome.value,
        )

    def _record_done(self, window: int) -> None:
        ended_at = (window + 1) * self._settings.window
        age = self._wall_clock.read() - ended_at
        late = age > self._settings.report_time
        _LOG.info(
            'usage-done',
            extra={'window': window, 'age_s': round(age, 3), 'late': late},
        )
        self._metrics.count(
            'waxwingport_usage_windows_total',
            'Windows whose usage was reported.',
            late=str(late).lower(),
        )


def _clamp_timeout(timeout: float) -> float:
    return min(max(timeout, _MIN_TIMEOUT_S), _MAX_TIMEOUT_S)
