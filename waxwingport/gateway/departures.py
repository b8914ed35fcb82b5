"""Targets that say in their answers that they leave.

Nothing new may be sent to such a target, whatever its entry in the log says.
What is in progress there may finish.
"""

import logging

from tornado import httputil

from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import dialect
from waxwingport.http import client
from waxwingport import metrics

__all__ = ['Departures']

_LOG = logging.getLogger(__name__)


class Departures:
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

    def make_peer(self, target: fleet.Target) -> client.Peer:
        """Returns the peer of a request to ``target``.

        It withdraws the request if the target no longer accepts work when the
        request is about to be sent.
        """
        return _TargetPeer(self, target)

    def read_head(
        self,
        target: fleet.Target,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Records the target as leaving if its answer says so.

        An answer that another instance has the address may come from any
        target that is registered there.
        """
        if not self._dialect.is_leaving(headers):
            return
        self._record(target)
        head = self._dialect.read_answer(status, tuple(headers.get_all()))
        if head.moved:
            for other in self._targets.find_at(target.entry.address):
                self._record(other)

    def _record(self, target: fleet.Target) -> None:
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


class _TargetPeer(client.Peer):
    __slots__ = ('_departures', '_target')

    def __init__(self, departures: Departures, target: fleet.Target) -> None:
        self._departures = departures
        self._target = target

    def accepts_requests(self) -> bool:
        return self._target.stage is fleet.Stage.READY

    def record_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        self._departures.read_head(self._target, status, headers)
