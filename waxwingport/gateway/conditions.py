"""Conditions that targets name in their answers.

Nothing new may be sent to a target that leaves, whatever its entry in the log
says.  What is in progress there may finish.  A target that names a limit takes
so many requests a second from all nodes together, for as long as its answers
say so.
"""

import asyncio
from collections.abc import Callable
import logging

from expression import Ok
from expression import Result
from tornado import httputil

from waxwingport.fleet import limits
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import dialect
from waxwingport.http import client
from waxwingport import metrics

__all__ = ['TargetConditions']

_UNLIMITED: Result[float | None, str] = Ok(None)

_LOG = logging.getLogger(__name__)


class TargetConditions:
    """Watches the answers of all targets.

    Every request to a target has to be made with its ``make_peer``.
    """

    def __init__(
        self,
        targets: registry.Registry,
        http: client.HttpClient,
        dialect_: dialect.Dialect,
        counters: metrics.Metrics,
    ) -> None:
        self._targets = targets
        self._http = http
        self._dialect = dialect_
        self._metrics = counters
        self._limit_listeners: list[Callable[[fleet.Target], None]] = []

    def add_limit_listener(
        self, listener: Callable[[fleet.Target], None]
    ) -> None:
        """Calls ``listener`` with each target that begins to name a limit."""
        self._limit_listeners.append(listener)

    def make_peer(
        self, target: fleet.Target, is_stopped: Callable[[], bool]
    ) -> client.Peer:
        """Returns the peer of a request of work to ``target``.

        It withdraws the request if the target no longer accepts work or
        ``is_stopped`` returns that the request may reach no target when it is
        about to be sent, or if the target has a limit and no turn was reserved
        for the request.
        """
        return _TargetPeer(self, target, is_stopped)

    def make_question_peer(self, target: fleet.Target) -> client.Peer:
        """Returns the peer of a question about an answer that has begun.

        Unlike reports and orders it goes to a target that leaves as well: it
        is no work.
        """
        return _QuestionPeer(self, target)

    def make_control_peer(self, target: fleet.Target) -> client.Peer:
        """Returns the peer of a report or an order.

        It does not wait for a turn of this node, but uses one up.
        """
        return _ControlPeer(self, target)

    def read_head(
        self,
        target: fleet.Target,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Records the conditions that the head of an answer names.

        An answer that another instance has the address may come from any
        target that is registered there.
        """
        limit = self._dialect.read_limit(headers)
        leaving = self._dialect.is_leaving(headers)
        if limit == _UNLIMITED and target.limit is None and not leaving:
            return
        head = self._dialect.read_answer(status, tuple(headers.get_all()))
        if not head.moved:
            self._read_limit(target, limit)
        if not leaving:
            return
        self._record_leaving(target)
        if head.moved:
            for other in self._targets.find_at(target.entry.address):
                self._record_leaving(other)

    def _read_limit(
        self, target: fleet.Target, limit: Result[float | None, str]
    ) -> None:
        match limit:
            case Result(tag='ok', ok=None):
                self._lift_limit(target)
            case Result(tag='ok', ok=rate):
                self._record_limit(target, rate)
            case Result(error=reason):
                # The limit that is in force stays.
                _LOG.warning(
                    'target-limit-unreadable',
                    extra={
                        'instance': target.entry.instance,
                        'reason': reason,
                    },
                )

    def _record_limit(self, target: fleet.Target, rate: float) -> None:
        now = asyncio.get_running_loop().time()
        if target.limit is not None:
            target.limit.hear(rate, now)
            return
        target.limit = limits.RateLimit(rate, now)
        for listener in self._limit_listeners:
            listener(target)
        self._metrics.count(
            'waxwingport_targets_limited_total',
            'Targets whose answers began to name a limit.',
            service=target.entry.service,
        )
        _LOG.info(
            'target-limited',
            extra={
                'instance': target.entry.instance,
                'service': target.entry.service,
                'rate': rate,
                'running': target.running,
            },
        )

    def _lift_limit(self, target: fleet.Target) -> None:
        limit = target.limit
        if limit is None:
            return
        target.limit = None
        now = asyncio.get_running_loop().time()
        _LOG.info(
            'target-unlimited',
            extra={
                'instance': target.entry.instance,
                'service': target.entry.service,
                'rate': limit.rate,
                'limited_s': round(now - limit.began_at, 3),
            },
        )

    def _record_leaving(self, target: fleet.Target) -> None:
        entry = target.entry
        if not self._targets.record_leaving(target):
            return
        self._http.close_idle(entry.address)
        self._metrics.count(
            'waxwingport_targets_leaving_total',
            'Targets whose answers said that they leave.',
            service=entry.service,
        )
        _LOG.info(
            'target-leaving',
            extra={
                'instance': entry.instance,
                'service': entry.service,
                'stage': entry.stage.value,
                'running': target.running,
            },
        )


class _Peer(client.Peer):
    __slots__ = ('_conditions', '_target')

    def __init__(
        self, conditions: TargetConditions, target: fleet.Target
    ) -> None:
        self._conditions = conditions
        self._target = target

    def accepts_requests(self) -> bool:
        return self._target.stage is fleet.Stage.READY

    def record_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        self._conditions.read_head(self._target, status, headers)


class _TargetPeer(_Peer):
    __slots__ = ('_is_stopped',)

    def __init__(
        self,
        conditions: TargetConditions,
        target: fleet.Target,
        is_stopped: Callable[[], bool],
    ) -> None:
        super().__init__(conditions, target)
        self._is_stopped = is_stopped

    def accepts_requests(self) -> bool:
        return super().accepts_requests() and not self._is_stopped()

    def admit(self) -> bool:
        limit = self._target.limit
        now = asyncio.get_running_loop().time()
        return limit is None or limit.redeem(now)


class _ControlPeer(_Peer):
    __slots__ = ()

    def admit(self) -> bool:
        if self._target.limit is not None:
            self._target.limit.charge(asyncio.get_running_loop().time())
        return True


class _QuestionPeer(_ControlPeer):
    __slots__ = ('_answered',)

    def __init__(
        self, conditions: TargetConditions, target: fleet.Target
    ) -> None:
        super().__init__(conditions, target)
        self._answered = False

    def accepts_requests(self) -> bool:
        # Once it is answered, this tells whether to keep the connection.
        return not self._answered or super().accepts_requests()

    def record_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        self._answered = True
        super().record_head(status, headers)
