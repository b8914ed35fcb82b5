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

_SHARDS = 8
"""The same on every node: a key belongs to one stream for all of them."""

_APPENDS_PER_SECOND = 240
"""All data centres and shards together."""
_SHORTEST_PACE = 0.02
_APPENDERS = 3
_FIRST_SHARE = 0.6
"""Of the time left, for each appender but the last."""
_FIRST_TIMEOUT = 2.0
_AVOIDED = 5.0
"""Seconds for which an appender that was silent is asked last."""
_APPENDER_SHARE = 0.9
"""Of the time for an appender, what is its own; the rest is for the way."""
_IDLE_TIMEOUT = 60.0
_UPKEEP_INTERVAL = 1.0
_RETRY_AFTER = 1.0
_REMEMBERED = 65_536
_LOG = logging.getLogger(__name__)

_REASONS = {
    shard.VerdictKind.BUSY: outcomes.Reason.OVERLOADED,
    shard.VerdictKind.DOWN: outcomes.Reason.LOG_UNAVAILABLE,
    shard.VerdictKind.LATE: outcomes.Reason.LOG_UNAVAILABLE,
    shard.VerdictKind.UNSURE: outcomes.Reason.LOG_UNAVAILABLE,
}


class _Handoff(msgspec.Struct, frozen=True, array_like=True):
    """An intent for its appender; ``timeout`` in seconds."""

    intent: fold.Intent
    timeout: float


_Value = TypeVar('_Value')


class _Recent(collections.OrderedDict[bytes, _Value]):
    """The latest entries of a mapping, bounded in number."""

    def __setitem__(self, key: bytes, value: _Value) -> None:
        super().__setitem__(key, value)
        if len(self) > _REMEMBERED:
            self.popitem(last=False)


class LogKeyIndex(base.KeyIndex):
    """First intent in the log wins.

    A key's shard has one appender in the data centre, chosen by rendezvous
    hashing.  It follows the shard's stream, appends what the nodes hand to
    it and answers from its fold.  When it is silent the next one is asked:
    an intent that is then in the log twice counts once.
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
        self._avoided: dict[ids.NodeName, float] = {}
        self._attempts = itertools.count()
        self._granted: _Recent[ids.RequestId] = _Recent()
        """Request granted for each key that this process may run."""
        self._unused: _Recent[int] = _Recent()
        """Own attempts, by key, that were given up without being granted."""
        transport.set_handler(peers.MessageKind.INTENT, self._answer_handoff)

    @property
    def size(self) -> int:
        """How many keys this node knows."""
        return sum(row.size for row in self._shards.values())

    async def run(self) -> None:
        """Follows the shards that this node appends to, until cancelled."""
        try:
            while True:
                self._tend_shards()
                await asyncio.sleep(_UPKEEP_INTERVAL)
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
        """Records an intent and returns whose intent came first."""
        own = self._members.local_member
        intent = fold.Intent(
            fold.hash_key(caller, key),
            fold.hash_text(fingerprint),
            own.name,
            own.incarnation,
            request_id,
            next(self._attempts),
        )
        verdict = shard.Verdict(shard.VerdictKind.LATE)
        try:
            verdict = await self._seek_verdict(intent, timeout)
        finally:
            if verdict.winner is None:
                self._unused[intent.key] = intent.attempt
        _LOG.info(
            'key request=%s verdict=%s winner=%s',
            request_id,
            verdict.kind.value,
            verdict.winner.request_id if verdict.winner else None,
        )
        if verdict.winner is None:
            return Error(_refuse(verdict.kind))
        return Ok(self._conclude(intent, verdict.winner, verdict.sure))

    async def _seek_verdict(
        self, intent: fold.Intent, timeout: float
    ) -> shard.Verdict:
        end = self._loop.time() + timeout
        verdict = shard.Verdict(shard.VerdictKind.LATE)
        appenders = self._list_appenders(_find_shard(intent.key))
        for member in appenders:
            left = end - self._loop.time()
            if member is not appenders[-1]:
                left = min(left * _FIRST_SHARE, _FIRST_TIMEOUT)
            verdict = await self._ask(member, intent, left)
            if verdict.kind is not shard.VerdictKind.LATE:
                break
        return verdict

    def _list_appenders(self, number: int) -> list[membership.Member]:
        """Returns who appends to a shard, the one to ask first in front."""
        own = self._members.local_member
        rows = self._members.list_live(own.data_centre)
        members = {row.name: row for row in rows} or {own.name: own}
        ranked = rendezvous.rank(f'keys/{number}', members)[:_APPENDERS]
        now = self._loop.time()
        ranked.sort(key=lambda name: self._avoided.get(name, now) > now)
        found = [members[name] for name in ranked]
        return found if own.name in ranked else [*found, own]

    async def _ask(
        self, member: membership.Member, intent: fold.Intent, timeout: float
    ) -> shard.Verdict:
        if member.name == self._members.local_member.name:
            return await self._submit(intent, timeout)
        handoff = _Handoff(intent, timeout * _APPENDER_SHARE)
        body = msgspec.msgpack.encode(handoff)
        outcome = await self._peers.request(
            member.peer, peers.MessageKind.INTENT, body, timeout
        )
        match outcome:
            case Result(tag='ok', ok=answer):
                return _read_verdict(answer)
            case Result(error=fault):
                _LOG.info('key appender=%s fault=%s', member.name, fault)
                self._avoided[member.name] = self._loop.time() + _AVOIDED
                return shard.Verdict(shard.VerdictKind.LATE)

    async def _answer_handoff(
        self, sender: ids.NodeName, body: bytes
    ) -> bytes:
        handoff = msgspec.msgpack.decode(body, type=_Handoff)
        verdict = await self._submit(handoff.intent, handoff.timeout)
        return msgspec.msgpack.encode(verdict)

    async def _submit(
        self, intent: fold.Intent, timeout: float
    ) -> shard.Verdict:
        found = self._open(_find_shard(intent.key))
        return await found.submit(intent, timeout)

    def _conclude(
        self, intent: fold.Intent, winner: fold.Intent, sure: bool
    ) -> base.Claim:
        """Returns what this process may do; grants each key once."""
        state = base.ClaimState.ELSEWHERE
        request_id = winner.request_id
        if winner.fingerprint != intent.fingerprint:
            state = base.ClaimState.MISMATCH
        elif sure and self._may_grant(intent, winner):
            state = base.ClaimState.OURS
            request_id = intent.request_id
            self._granted[intent.key] = request_id
            self._unused.pop(intent.key, None)
        elif self._is_own(winner):
            request_id = self._granted.get(intent.key, request_id)
        return base.Claim(state, winner.owner, winner.incarnation, request_id)

    def _may_grant(self, intent: fold.Intent, winner: fold.Intent) -> bool:
        """Returns whether the right to run for the key is here, unused.

        An intent of this very process that won after its request had been
        refused leaves the right to the next request for the key.
        """
        if winner == intent:
            return True
        left = self._unused.get(intent.key)
        return self._is_own(winner) and left == winner.attempt

    def _is_own(self, intent: fold.Intent) -> bool:
        own = self._members.local_member
        return (intent.owner, intent.incarnation) == (
            own.name,
            own.incarnation,
        )

    def _open(self, number: int) -> shard.Shard:
        found = self._shards.get(number)
        if found is None:
            stream = ids.StreamName(f'keys-{number}')
            found = shard.Shard(self._log, stream, self._window, self._pace)
            self._shards[number] = found
            self._tasks[number] = self._loop.create_task(found.run())
        return found

    def _tend_shards(self) -> None:
        """Follows the shards that are this node's, drops unused others."""
        own = self._members.local_member.name
        for number in range(_SHARDS):
            if self._list_appenders(number)[0].name == own:
                self._open(number).used_at = self._loop.time()
        now = self._loop.time()
        self._avoided = {
            name: until for name, until in self._avoided.items() if until > now
        }
        oldest = now - _IDLE_TIMEOUT
        for number, row in list(self._shards.items()):
            if row.used_at < oldest:
                self._tasks.pop(number).cancel()
                del self._shards[number]

    def _pace(self) -> float:
        """Returns a pace at which all appenders stay within the rate."""
        rows = self._members.list_live()
        centres = len({row.data_centre for row in rows}) or 1
        return max(_SHORTEST_PACE, _SHARDS * centres / _APPENDS_PER_SECOND)


def _read_verdict(answer: bytes) -> shard.Verdict:
    try:
        return msgspec.msgpack.decode(answer, type=shard.Verdict)
    except msgspec.DecodeError as error:
        _LOG.warning('key verdict: %s', error)
        return shard.Verdict(shard.VerdictKind.LATE)


def _find_shard(key: bytes) -> int:
    return key[0] % _SHARDS


def _refuse(kind: shard.VerdictKind) -> outcomes.Refusal:
    return outcomes.Refusal(
        _REASONS[kind],
        f'the log can not say whose request came first: {kind.value}',
        outcomes.Ran.NO,
        _RETRY_AFTER,
    )
