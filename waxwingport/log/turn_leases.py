"""Leases whose holders act on something outside of the log, one at a time.

The holder of a partition appends an intent there directly before each action.
A later holder's claim fences that append, so a holder that was disconnected,
suspended or slow cannot act once the claim is in the log.  A new holder waits
until the last action of another node is a turn time old.
"""

import abc
import asyncio
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport import decoding
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import leases
from waxwingport.log import tails
from waxwingport.log import writers

__all__ = ['Holder', 'Intent', 'TurnLease']

_INTENT_VALIDITY_S = 0.4
"""Time from sending an intent within which its action has to begin."""
_MAX_BACKLOG = 32
"""Appends that may wait for the log when an intent is appended.  One that is
not confirmed in time stays queued, and the holder tries again and again."""
_RESIGN_TIMEOUT_S = 1.0
"""Bounds the release of the lease before the node stops."""
_MAX_APPEND_BYTES = 65_536
"""Bound of one append; an intent takes some dozen bytes."""

_LOG = logging.getLogger(__name__)


class Intent(msgspec.Struct, frozen=True, tag='intent', array_like=True):
    """The holder is about to act."""

    member: base.MemberName
    node: ids.NodeName | None = None
    """Node of the member; earlier versions wrote none of what follows."""


class Holder(msgspec.Struct, frozen=True):
    """A process that may hold a lease.

    ``member`` has to be unique to this run of the process, while ``node``
    names its VM.
    """

    node: ids.NodeName
    member: base.MemberName


class TurnLease(tails.RecordListener, leases.LeaseListener):
    """Claims, renews and checks the right to act.

    ``turn_time`` is the least number of seconds between the actions of two
    nodes.  ``clock`` has to advance while the machine is suspended.
    ``record_types`` are those of the partition besides lease records.
    ``append_size`` bounds the bytes of one append.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        partition: base.Partition,
        holder: Holder,
        turn_time: float,
        record_types: type,
        clock: clocks.SuspendAwareClock,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        append_size: int = _MAX_APPEND_BYTES,
    ) -> None:
        self._node = holder.node
        self._member = holder.member
        self._turn_time = turn_time
        self._record_types = leases.LeaseRecord | record_types
        self._clock = clock
        self._writer: writers.FencedWriter | None = None
        self._turn_ends_at = float('-inf')
        """Time by ``clock`` at which another node's last action is a turn
        time old."""
        self._free_at = float('-inf')
        """Time by ``clock`` from which on this node may act."""
        self._partition = partition
        self._tail = tails.PartitionTail(
            log,
            partition,
            self,
            dependency.Dependency(f'log:{partition.topic}'),
            needs_records=self._needs_records,
        )
        self._lease = leases.PartitionLease(
            log,
            self._tail,
            holder.member,
            self,
            append_size,
            wall_clock,
            rng,
            self._compute_turn_left,
        )

    @property
    def fencing_number(self) -> base.Epoch:
        """Number of the present holder's claim; higher than any before."""
        return self._lease.epoch

    @property
    def held(self) -> bool:
        """Whether this process holds the lease, as far as it has read."""
        return self._writer is not None

    @property
    def busy(self) -> bool:
        """Always false: a change of holders need not be quick."""
        return False

    async def run(self) -> None:
        """Follows the lease and claims it when it is not renewed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tail.run())
            group.create_task(self._lease.run())

    async def resign(self) -> None:
        """Releases the lease for another node; called before a stop.

        Logs a warning if that takes too long; another node then claims the
        lease when it expires.
        """
        try:
            async with asyncio.timeout(_RESIGN_TIMEOUT_S):
                await self._lease.resign()
        except TimeoutError:
            _LOG.warning(
                'resignation-timeout',
                extra={'partition': str(self._partition), 'held': self.held},
            )
            self._lease.drop('not released in time')

    def handle_record(self, record: bytes) -> None:
        """Applies the next record; logs and skips an undecodable one."""
        match decoding.read_msgpack(record, self._record_types):
            case Result(tag='ok', ok=found):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={
                        'partition': str(self._partition),
                        'reason': reason,
                    },
                )
                return
        if isinstance(found, leases.LeaseRecord):
            self._lease.handle_record(found)
            return
        if isinstance(found, Intent) and found.member != self._member:
            self._apply_intent(found)
        self._handle_content(found)

    def handle_gap(self) -> None:
        """Does nothing: renewals and later intents repeat what expired."""

    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Allows intents with ``writer``."""
        self._writer = writer

    def handle_loss(self, reason: str) -> None:
        """Stops sending intents."""
        self._writer = None

    def may_act(self) -> bool:
        """Returns whether the lease is held and no wait is left.

        The turn time counts from another node's last intent.  After an intent
        of an earlier process of this node, which is the same holder, only its
        action may still have to arrive.
        """
        return self.held and self._clock.read() > self._free_at

    @abc.abstractmethod
    def _get_transit_time(self, intent: Intent) -> float:
        """Returns the seconds that the action may take to arrive."""

    def _handle_content(self, record: msgspec.Struct) -> None:  # noqa: B027
        """Handles a record that is not one of the lease, by any holder."""

    def _needs_records(self) -> bool:
        """Returns whether this node needs to read records at once."""
        return self.held

    def _apply_intent(self, intent: Intent) -> None:
        now = self._clock.read()
        transit = self._get_transit_time(intent)
        if intent.node == self._node:
            wait = _INTENT_VALIDITY_S + transit
        else:
            self._turn_ends_at = now + self._turn_time
            wait = self._turn_time + transit
        self._free_at = max(self._free_at, now + wait)

    def _compute_turn_left(self) -> float:
        """Returns the seconds of turn time left, 0 if none are.

        Load pattern: all nodes are killed at once.  The node that acted last
        may act sooner than the others, so it claims first.
        """
        return max(0.0, self._turn_ends_at - self._clock.read())

    async def _append_intent(self, intent: Intent) -> Result[float, str]:
        """Appends an intent, which proves that the lease is still held.

        The action may begin only directly after this succeeds.  Returns the
        time by ``clock`` until which it may.  Fails with a reason if another
        process holds the lease, if the turn time is not over or if the log
        does not confirm the intent in time.
        """
        writer = self._writer
        if writer is None or not self.may_act():
            return Error('lease not held or turn time not over')
        if writer.backlog >= _MAX_BACKLOG:
            # Takes as long as an intent that the log does not confirm.
            await asyncio.sleep(_INTENT_VALIDITY_S)
            return Error('the log does not confirm earlier appends')
        sent_at = self._clock.read()
        record = msgspec.msgpack.encode(intent)
        try:
            async with asyncio.timeout(_INTENT_VALIDITY_S):
                done = await writer.write((record,))
        except TimeoutError:
            return Error('the log did not confirm the intent in time')
        match done:
            case Result(tag='error', error=fault):
                return Error(fault.detail)
        if self._clock.read() - sent_at > _INTENT_VALIDITY_S:
            return Error('process was suspended during the append')
        return Ok(sent_at + _INTENT_VALIDITY_S)
