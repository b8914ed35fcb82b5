"""Lease of a duty: calls to the platform's API by one node at a time."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.duties import base
from waxwingport.log import base as log_base
from waxwingport.log import dependency
from waxwingport.log import turn_leases
from waxwingport.log import writers

__all__ = ['DutyLease']

_MAX_TRANSIT_S = 10.0
"""Time in which a call arrives whose intent does not state it."""
_REREAD_INTERVAL_S = 0.2
"""Time between two reads of appended records, if the first one failed."""
_RECORD_OVERHEAD_BYTES = 4
"""Bytes of a record in an append besides its own."""

_LOG = logging.getLogger(__name__)


class _Intent(turn_leases.Intent, frozen=True, tag='intent', array_like=True):
    """The holder is about to send a call."""

    transit: float = _MAX_TRANSIT_S
    """Seconds within which the call arrives, its time-out."""


class DutyLease(turn_leases.TurnLease):
    """Claims and renews one duty, and permits its calls.

    Each duty has a ``partition`` of its own.  ``record_types`` are the
    records that the holder appends there besides those of the lease; each is
    passed to ``handle_content``, on every node and in the order of the log.
    ``append_size`` bounds the bytes of one append.
    """

    def __init__(
        self,
        log: log_base.PartitionLog,
        partition: log_base.Partition,
        holder: turn_leases.Holder,
        turn_time: float,
        record_types: type,
        handle_content: Callable[[msgspec.Struct], None],
        clock: clocks.SuspendAwareClock,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        append_size: int,
    ) -> None:
        self._append_size = append_size
        self._pass_on_content = handle_content
        super().__init__(
            log,
            partition,
            holder,
            turn_time,
            _Intent | record_types,
            clock,
            wall_clock,
            rng,
            append_size,
        )

    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Allows calls once the turn time of the last holder is over."""
        _LOG.info(
            'duty-acquired',
            extra={
                'duty': self._partition.topic,
                'holder': self._member,
                'epoch': writer.epoch,
            },
        )
        super().handle_acquisition(writer)

    def handle_loss(self, reason: str) -> None:
        """Stops all calls and appends."""
        _LOG.info(
            'duty-lost',
            extra={'duty': self._partition.topic, 'reason': reason},
        )
        super().handle_loss(reason)

    @property
    def log_dependency(self) -> dependency.Dependency:
        """Availability of the log, judged by the reads of the duty."""
        return self._tail.dependency

    async def permit(self, timeout: float) -> Result[base.Permit, str]:
        """Returns a permit for one call, which arrives within ``timeout``.

        Fails with a reason if another process holds the duty, if the turn
        time is not over or if the log does not confirm the intent in time.
        """
        writer = self._writer
        intent = _Intent(self._member, self._node, timeout)
        match await self._append_intent(intent):
            case Result(tag='ok', ok=valid_until):
                pass
            case Result(error=reason):
                return Error(reason)
        if writer is None or writer is not self._writer:
            return Error('lease lost during the append')

        def is_valid() -> bool:
            in_time = self._clock.read() <= valid_until
            return in_time and writer is self._writer

        return Ok(base.Permit(self._node, writer.epoch, is_valid))

    async def append(
        self, records: Iterable[msgspec.Struct]
    ) -> Result[None, str]:
        """Appends records, of any total size, under the holder's fence.

        Returns once all are confirmed and have been handled.  Retries while
        the log is unavailable; fails with a reason once the duty is lost.
        """
        writer = self._writer
        if writer is None:
            return Error('lease not held')
        batch: list[bytes] = []
        size = 0
        for record in map(msgspec.msgpack.encode, records):
            if batch and size + len(record) > self._append_size:
                match await writer.write(batch):
                    case Result(tag='error', error=fault):
                        return Error(fault.detail)
                batch, size = [], 0
            batch.append(record)
            size += len(record) + _RECORD_OVERHEAD_BYTES
        match await writer.write(batch):
            case Result(tag='error', error=fault):
                return Error(fault.detail)
        # Without the records the state is that before them, and a report of
        # the same window would be composed and appended again.
        while (await self._tail.catch_up(0.0)).is_error():
            await asyncio.sleep(_REREAD_INTERVAL_S)
            if writer is not self._writer:
                return Error('lease lost before the records were read back')
        return Ok(None)

    def _get_transit_time(self, intent: turn_leases.Intent) -> float:
        if isinstance(intent, _Intent):
            return intent.transit
        return _MAX_TRANSIT_S

    def _handle_content(self, record: msgspec.Struct) -> None:
        if not isinstance(record, turn_leases.Intent):
            self._pass_on_content(record)
