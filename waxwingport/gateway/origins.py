"""Finds out at which software version a stream began.

Most streams begin at the version that follows from their id and the slots that
the node has counted, so that every node can compute it.  The others have a
record.  What can't be shown is unknown: a stream whose origin is unknown must
not go on.
"""

import asyncio
import collections
import enum
import logging

import msgspec

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import assignments
from waxwingport.gateway import dialect
from waxwingport.gateway import digests
from waxwingport.gateway import routes
from waxwingport.gateway import stream_records
from waxwingport import ids
from waxwingport.log import base
from waxwingport import outcomes

__all__ = ['StreamOrigins', 'Unknown', 'refuse_gone', 'refuse_unknown']

_FIND_TIMEOUT_S = 1.0
"""Bounds the search for an origin: a log that is 50 times slower than usual
answers in time.  The caller is better off with a new stream after that."""
_CHECK_BATCH = 500
"""Streams that are checked at once, which takes some milliseconds."""
_STORE_TIMEOUT_S = 1.0
"""Bounds the write of a record that the first event waits for."""
_MAX_REMEMBERED = 20_000
"""Streams whose origin a node remembers: those of some minutes at 67 streams
a second, some 200 bytes each."""

_LOG_RETRY_AFTER_S = 0.5
"""Sent when the version of a stream can't be read: another node may still
reach the log."""
_NEW_STREAM_RETRY_AFTER_S = 0.05
"""Sent when a stream can't go on: a new one can begin at once."""

_LOG = logging.getLogger(__name__)


class Unknown(enum.Enum):
    """Why the origin of a stream is not known."""

    AMBIGUOUS = 'ambiguous'
    """It may have begun at several versions and has no record."""
    LOG_UNAVAILABLE = 'log-unavailable'
    """The log did not tell in time."""
    NEVER_BEGUN = 'never-begun'
    """No node can have begun it within the lifetime of a stream."""


class _Known(msgspec.Struct, eq=False):
    """A stream whose origin this node knows."""

    origin: fleet.Origin
    known_at: float
    """Loop time."""
    recorded: bool = False
    """Whether it has a record, or was resumed and so left to its caller."""


class StreamOrigins:
    """Where the streams that callers resume began."""

    def __init__(
        self,
        log: base.PartitionLog,
        member: base.MemberName,
        targets: registry.Registry,
        wall_clock: clocks.WallClock,
        settings: stream_records.StreamSettings,
        call_size: int,
    ) -> None:
        self._assignments = assignments.Assignments(
            log, member, targets, wall_clock, settings, call_size
        )
        self._records = stream_records.StreamRecords(
            log,
            member,
            wall_clock,
            settings,
            call_size,
            lambda: self._assignments.node_count,
        )
        self._lifetime = settings.lifetime
        self._shares: dict[tuple[str, str], tuple[routes.Share, ...]] = {}
        """Services of the routes whose streams may be resumed, by host and
        prefix."""
        self._known: collections.OrderedDict[
            stream_records.StreamKey, _Known
        ] = collections.OrderedDict()

    @property
    def ready(self) -> bool:
        """Whether origins can be found."""
        return self._assignments.ready

    async def run(self) -> None:
        """Exchanges with other nodes what they need until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._assignments.run())
            group.create_task(self._records.run())
            group.create_task(self._record_ambiguous_streams())

    def set_configuration(self, configuration: routes.Configuration) -> None:
        """Sets the routes, some of whose streams callers may resume."""
        shares = {
            (route.host, route.prefix): route.shares
            for route in configuration.routes
            if route.kind is routes.RouteKind.STREAMING and route.resumable
        }
        self._assignments.set_services(
            share.service
            for of_route in shares.values()
            for share in of_route
            if share.weight > 0
        )
        if self._shares and shares != self._shares:
            # The service of a stream can't be computed from its id any more.
            for key, known in self._list_unrecorded():
                self._record(key, known)
        self._shares = shares

    def assign(
        self, service: ids.ServiceName, request_id: ids.RequestId
    ) -> ids.SoftwareVersion | None:
        """Returns the version at which a new stream should begin.

        ``None`` if the node can't tell the others of any.
        """
        return self._assignments.assign(service, _make_id(request_id))

    def may_deviate(self) -> bool:
        """Returns whether a stream may begin at another version."""
        return self._assignments.log_available

    async def settle(self, call: dialect.Call, origin: fleet.Origin) -> bool:
        """Settles the origin of a stream before its first event is sent.

        Returns whether other nodes can find it.  If not, the stream must not
        go on at all: the record may still take effect.
        """
        key = _make_key(call, call.request_id)
        if self._assignments.implies(origin, key.stream_id):
            self._record_if_ambiguous(key, self._remember(key, origin))
            return True
        if not await self._store(call, key, origin):
            return False
        self._remember(key, origin).recorded = True
        return True

    async def _store(
        self,
        call: dialect.Call,
        key: stream_records.StreamKey,
        origin: fleet.Origin,
    ) -> bool:
        """Writes a record that the first event waits for."""
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                return await self._records.store(key, origin)
        except TimeoutError:
            _LOG.warning(
                'stream-not-recorded',
                extra={
                    'request': call.request_id,
                    'software': origin.software,
                    'reason': f'no answer within {_STORE_TIMEOUT_S:g} s',
                },
            )
            return False

    def _remember(
        self, key: stream_records.StreamKey, origin: fleet.Origin
    ) -> _Known:
        now = asyncio.get_running_loop().time()
        known = self._known[key] = _Known(origin, now)
        self._known.move_to_end(key)
        if len(self._known) > _MAX_REMEMBERED:
            self._known.popitem(last=False)
        return known

    async def find(
        self,
        call: dialect.Call,
        first_id: ids.RequestId | None,
        service: ids.ServiceName,
    ) -> fleet.Origin | Unknown:
        """Returns where a stream that a caller resumes began.

        ``first_id`` is the id of the try that brought its first event, if
        the caller names it; ``service`` is that of streams without a record.
        """
        key = None if first_id is None else _make_key(call, first_id)
        if key in self._known:
            return self._known[key].origin
        if self._assignments.compute_log_absence() > _FIND_TIMEOUT_S:
            return Unknown.LOG_UNAVAILABLE
        try:
            async with asyncio.timeout(_FIND_TIMEOUT_S):
                found = await self._search(key, service)
        except stream_records.ConflictError as error:
            _log_unread(call, first_id, str(error))
            return Unknown.AMBIGUOUS
        except LookupError as error:
            _log_unread(call, first_id, str(error))
            return Unknown.LOG_UNAVAILABLE
        except TimeoutError:
            _log_unread(call, first_id, 'no answer of the log in time')
            return Unknown.LOG_UNAVAILABLE
        if isinstance(found, fleet.Origin) and key is not None:
            self._remember(key, found).recorded = True
        return found

    async def _search(
        self,
        key: stream_records.StreamKey | None,
        service: ids.ServiceName,
    ) -> fleet.Origin | Unknown:
        if key is not None:
            recorded = await self._records.find(key)
            if recorded is not None:
                return recorded
        if not await self._assignments.catch_up():
            return Unknown.LOG_UNAVAILABLE
        candidates = self._assignments.find_candidates(
            service, key.stream_id if key else None
        )
        if len(candidates) > 1:
            return Unknown.AMBIGUOUS
        for software in candidates:
            return fleet.Origin(service, software)
        return Unknown.NEVER_BEGUN

    def _record_if_ambiguous(
        self, key: stream_records.StreamKey, known: _Known
    ) -> None:
        candidates = self._assignments.find_candidates(
            known.origin.service, key.stream_id
        )
        if len(candidates) > 1:
            self._record(key, known)

    def _record(self, key: stream_records.StreamKey, known: _Known) -> None:
        known.recorded = True
        self._records.add(key, known.origin)

    def _list_unrecorded(
        self,
    ) -> list[tuple[stream_records.StreamKey, _Known]]:
        """Returns the streams without a record that may still be resumed."""
        earliest = asyncio.get_running_loop().time() - self._lifetime
        return [
            (key, known)
            for key, known in self._known.items()
            if not known.recorded and known.known_at > earliest
        ]

    async def _record_ambiguous_streams(self) -> None:
        """Records streams that new counts of any node make ambiguous.

        Load pattern: all nodes are killed soon after a version was added.
        """
        while True:
            await self._assignments.wait_for_new_counts()
            unrecorded = self._list_unrecorded()
            for number, (key, known) in enumerate(unrecorded, start=1):
                self._record_if_ambiguous(key, known)
                if number % _CHECK_BATCH == 0:
                    await asyncio.sleep(0)


def refuse_gone() -> outcomes.Refusal:
    """Returns the refusal of a stream whose version has no target left."""
    return outcomes.Refusal(
        outcomes.Reason.NOT_RESUMABLE,
        'no target has the version that began the stream; begin a new one',
        retry_after=_NEW_STREAM_RETRY_AFTER_S,
    )


def refuse_unknown(reason: Unknown) -> outcomes.Refusal:
    """Returns the refusal of a stream whose version is not known."""
    if reason is Unknown.LOG_UNAVAILABLE:
        return outcomes.Refusal(
            outcomes.Reason.LOG_UNAVAILABLE,
            'the version that began the stream could not be read',
            retry_after=_LOG_RETRY_AFTER_S,
        )
    return outcomes.Refusal(
        outcomes.Reason.NOT_RESUMABLE,
        'the version that began the stream is not known; begin a new one',
        retry_after=_NEW_STREAM_RETRY_AFTER_S,
    )


def _log_unread(
    call: dialect.Call, first_id: ids.RequestId | None, reason: str
) -> None:
    _LOG.info(
        'stream-origin-unread',
        extra={
            'request': call.request_id,
            'resumes': first_id,
            'reason': reason,
        },
    )


def _make_id(first_id: ids.RequestId) -> stream_records.StreamId:
    return stream_records.StreamId(
        digests.compute_digest(first_id.encode(errors='surrogatepass'))
    )


def _make_key(
    call: dialect.Call, first_id: ids.RequestId
) -> stream_records.StreamKey:
    """Returns a stream's key, by the id of its first try and any try."""
    digest = call.digest or ids.RequestDigest('')
    return stream_records.StreamKey(_make_id(first_id), digest)
