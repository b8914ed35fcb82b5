"""Index of idempotency keys on the platform's log."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import logging
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport import ids
from waxwingport.keys import base
from waxwingport.keys import fold
from waxwingport.keys import shard
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport import outcomes
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['LogKeyIndex']

_SHARD_COUNT = 8
"""Number of streams.  All nodes must agree on it to find a key's stream."""

_APPENDS_PER_SECOND = 240
"""Limit over all data centres and shards together."""
_MIN_APPEND_INTERVAL_S = 0.02
_MAX_APPENDERS = 3
"""First nodes of a shard's ranking that are asked.

This node is asked last if it is none of them.
"""
_ATTEMPT_SHARE = 0.6
"""Share of the remaining time that each appender but the last gets."""
_ATTEMPT_TIMEOUT_S = 2.0
"""Maximum time that each appender but the last gets."""
_AVOID_DURATION_S = 5.0
"""Time for which an appender that did not answer is asked last."""
_REMOTE_TIMEOUT_SHARE = 0.9
"""Share of a request's timeout that the appender gets to answer.

The rest is for the transport.
"""
_SHARD_IDLE_TIMEOUT_S = 60.0
"""Time after which a shard that is not used any more is closed."""
_MAINTENANCE_INTERVAL_S = 1.0
_RETRY_AFTER_S = 1.0
"""Delay that a refusal asks the caller to wait before a retry."""
_MAX_RECENT_ENTRIES = 65_536
"""Maximum entries of each ``_BoundedMapping``."""
_LOG = logging.getLogger(__name__)

_REASONS = {
    shard.VerdictKind.BUSY: outcomes.Reason.OVERLOADED,
    shard.VerdictKind.DOWN: outcomes.Reason.LOG_UNAVAILABLE,
    shard.VerdictKind.LATE: outcomes.Reason.LOG_UNAVAILABLE,
    shard.VerdictKind.UNSURE: outcomes.Reason.LOG_UNAVAILABLE,
}


class _IntentRequest(msgspec.Struct, frozen=True, array_like=True):
    """An intent sent to the shard's appender; ``timeout`` in seconds."""

    intent: fold.Intent
    timeout: float


_Value = TypeVar('_Value')


class _BoundedMapping(collections.OrderedDict[bytes, _Value]):
    """Drops the oldest entries beyond a maximum number."""

    def __setitem__(self, key: bytes, value: _Value) -> None:
        super().__setitem__(key, value)
        if len(self) > _MAX_RECENT_ENTRIES:
            self.popitem(last=False)


class LogKeyIndex(base.KeyIndex):
    """Decides by the order of the intents in the log.

    Each shard has one appender in the data centre, chosen by rendezvous
    hashing.  It reads the shard's stream, appends the intents that the nodes
    send it and answers from its fold.  If it does not answer, the next node
    in the ranking is asked; an intent that is in the log twice counts once.
    """

    def __init__(
        self,
        log: platform.Log,
        members: membership.Membership,
        transport: peers.PeerTransport,
        window: Callable[[], float],
    ) -> None:
        self._log = log
        self._members = members
        self._peers = transport
        self._window = window
        self._loop = asyncio.get_running_loop()
        self._shards: dict[int, shard.Shard] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._avoided_until: dict[ids.NodeName, float] = {}
        self._attempts = itertools.count()
        self._granted_requests: _BoundedMapping[ids.RequestId] = (
            _BoundedMapping()
        )
        """Request of this process that may run, by key."""
        self._unused_attempts: _BoundedMapping[int] = _BoundedMapping()
        """Latest attempt of this process without a verdict, by key."""
        transport.set_handler(peers.MessageKind.INTENT, self._handle_intent)

    @property
    def size(self) -> int:
        """Number of keys in the shards that this node follows."""
        return sum(followed.size for followed in self._shards.values())

    async def run(self) -> None:
        """Follows the shards that this node appends to, until cancelled."""
        try:
            while True:
                self._maintain_shards()
                await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def claim(
        self,
        caller: ids.CallerName,
        key: str,
        fingerprint: str,
        request_id: ids.RequestId,
        timeout: float,
    ) -> Result[base.Claim, outcomes.Refusal]:
        """Records an intent and returns whose intent came first.

        See ``KeyIndex.claim``.
        """
        local_member = self._members.local_member
        intent = fold.Intent(
            fold.hash_key(caller, key),
            fold.hash_fingerprint(fingerprint),
            local_member.name,
            local_member.incarnation,
            request_id,
            next(self._attempts),
        )
        verdict = shard.Verdict(shard.VerdictKind.LATE)
        try:
            verdict = await self._find_verdict(intent, timeout)
        finally:
            if verdict.winner is None:
                self._unused_attempts[intent.key] = intent.attempt
        _LOG.info(
            'key request=%s verdict=%s winner=%s',
            request_id,
            verdict.kind.value,
            verdict.winner.request_id if verdict.winner else None,
        )
        if verdict.winner is None:
            return Error(_make_refusal(verdict.kind))
        return Ok(self._make_claim(intent, verdict.winner, verdict.conclusive))

    async def _find_verdict(
        self, intent: fold.Intent, timeout: float
    ) -> shard.Verdict:
        end = self._loop.time() + timeout
        verdict = shard.Verdict(shard.VerdictKind.LATE)
        appenders = self._list_appenders(_choose_shard(intent.key))
        for member in appenders:
            remaining = end - self._loop.time()
            if member is not appenders[-1]:
                remaining = min(remaining * _ATTEMPT_SHARE, _ATTEMPT_TIMEOUT_S)
            verdict = await self._request_verdict(member, intent, remaining)
            if verdict.kind is not shard.VerdictKind.LATE:
                break
        return verdict

    def _list_appenders(self, number: int) -> list[membership.Member]:
        """Returns the nodes that append to a shard, in the order to ask.

        Nodes that recently did not answer come last; this node is always
        included.
        """
        local_member = self._members.local_member
        live = self._members.list_live(local_member.data_centre)
        members = {member.name: member for member in live} or {
            local_member.name: local_member
        }
        ranked = rendezvous.rank(f'keys/{number}', members)[:_MAX_APPENDERS]
        now = self._loop.time()
        ranked.sort(key=lambda name: self._avoided_until.get(name, now) > now)
        appenders = [members[name] for name in ranked]
        return (
            appenders
            if local_member.name in ranked
            else [*appenders, local_member]
        )

    async def _request_verdict(
        self, member: membership.Member, intent: fold.Intent, timeout: float
    ) -> shard.Verdict:
        if member.name == self._members.local_member.name:
            return await self._submit(intent, timeout)
        request = _IntentRequest(intent, timeout * _REMOTE_TIMEOUT_SHARE)
        body = msgspec.msgpack.encode(request)
        outcome = await self._peers.request(
            member.peer, peers.MessageKind.INTENT, body, timeout
        )
        match outcome:
            case Result(tag='ok', ok=answer):
                return _decode_verdict(answer)
            case Result(error=fault):
                _LOG.info('key appender=%s fault=%s', member.name, fault)
                self._avoided_until[member.name] = (
                    self._loop.time() + _AVOID_DURATION_S
                )
                return shard.Verdict(shard.VerdictKind.LATE)

    async def _handle_intent(self, sender: ids.NodeName, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=_IntentRequest)
        verdict = await self._submit(request.intent, request.timeout)
        return msgspec.msgpack.encode(verdict)

    async def _submit(
        self, intent: fold.Intent, timeout: float
    ) -> shard.Verdict:
        followed = self._open_shard(_choose_shard(intent.key))
        return await followed.submit(intent, timeout)

    def _make_claim(
        self, intent: fold.Intent, winner: fold.Intent, conclusive: bool
    ) -> base.Claim:
        """Returns this process's claim on the key; grants each key once."""
        state = base.ClaimState.ELSEWHERE
        request_id = winner.request_id
        if winner.fingerprint != intent.fingerprint:
            state = base.ClaimState.MISMATCH
        elif conclusive and self._may_grant(intent, winner):
            state = base.ClaimState.OURS
            request_id = intent.request_id
            self._granted_requests[intent.key] = request_id
            self._unused_attempts.pop(intent.key, None)
        elif self._is_own(winner):
            request_id = self._granted_requests.get(intent.key, request_id)
        return base.Claim(state, winner.owner, winner.incarnation, request_id)

    def _may_grant(self, intent: fold.Intent, winner: fold.Intent) -> bool:
        """Returns whether the request of ``intent`` may run for the key.

        An earlier intent of this process may win after its own request was
        refused as not run.  Then the next request for the key may run.
        """
        if winner == intent:
            return True
        attempt = self._unused_attempts.get(intent.key)
        return self._is_own(winner) and attempt == winner.attempt

    def _is_own(self, intent: fold.Intent) -> bool:
        local_member = self._members.local_member
        return (intent.owner, intent.incarnation) == (
            local_member.name,
            local_member.incarnation,
        )

    def _open_shard(self, number: int) -> shard.Shard:
        followed = self._shards.get(number)
        if followed is None:
            stream = ids.StreamName(f'keys-{number}')
            followed = shard.Shard(
                self._log, stream, self._window, self._compute_append_interval
            )
            self._shards[number] = followed
            self._tasks[number] = self._loop.create_task(followed.run())
        return followed

    def _maintain_shards(self) -> None:
        """Opens the shards that this node appends to; closes unused others."""
        local_name = self._members.local_member.name
        for number in range(_SHARD_COUNT):
            if self._list_appenders(number)[0].name == local_name:
                self._open_shard(number).used_at = self._loop.time()
        now = self._loop.time()
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if until > now
        }
        oldest = now - _SHARD_IDLE_TIMEOUT_S
        for number, followed in list(self._shards.items()):
            if followed.used_at < oldest:
                self._tasks.pop(number).cancel()
                del self._shards[number]

    def _compute_append_interval(self) -> float:
        """Returns the interval that keeps all appenders within the limit."""
        live = self._members.list_live()
        data_centres = len({member.data_centre for member in live}) or 1
        return max(
            _MIN_APPEND_INTERVAL_S,
            _SHARD_COUNT * data_centres / _APPENDS_PER_SECOND,
        )


def _decode_verdict(answer: bytes) -> shard.Verdict:
    match decoding.read_msgpack(answer, shard.Verdict):
        case Result(tag='ok', ok=verdict):
            return verdict
        case Result(error=reason):
            _LOG.warning(
                'key verdict: undecodable answer of the appender: %s', reason
            )
            return shard.Verdict(shard.VerdictKind.LATE)


def _choose_shard(key: bytes) -> int:
    return key[0] % _SHARD_COUNT


def _make_refusal(kind: shard.VerdictKind) -> outcomes.Refusal:
    return outcomes.Refusal(
        _REASONS[kind],
        f'the log does not show which request came first: {kind.value}',
        outcomes.Ran.NO,
        _RETRY_AFTER_S,
    )
