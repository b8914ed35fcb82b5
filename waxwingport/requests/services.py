"""Runs calls of plain services, at most once where the caller needs it."""

import asyncio
import hashlib
import random

from expression import Error
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.keys import base as keys
from waxwingport.limits import admission
from waxwingport.limits import retries
from waxwingport.membership import base as membership
from waxwingport import outcomes
from waxwingport.peers import base as peers
from waxwingport.requests import call_registry
from waxwingport.requests import execution
from waxwingport.requests import owned
from waxwingport.requests import refusals
from waxwingport.requests import remote
from waxwingport.requests import request_ids
from waxwingport.requests import settings
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['ServiceRunner', 'ServiceWork']

_DEFAULT_NODE_NAME = ids.NodeName('node')
_STORED_WINDOWS = 2
"""Length of time for which a call by key is stored, in key windows: an outcome
is stored longer than the log knows its key."""
_KEYED_ID_BYTES = 16
_DEFAULT_RETRY_SHARE = 0.1
"""Retries per request that the budget allows if none is given."""
_RETRY_AFTER_S = 5.0
"""``Retry-After`` of a refusal while the node has no index of keys."""


class ServiceWork(msgspec.Struct, frozen=True):
    """A service call with its id or key, if it has one.

    Either makes a call that is not idempotent run at most once, also if it
    is repeated.  ``key`` is the caller's own idempotency key, ``minted_id``
    a request id that a node issued.
    """

    caller: ids.CallerName
    work: model.Work
    call: base.ServiceCall
    minted_id: str | None = None
    key: str | None = None
    key_window: float = 3600.0
    """Seconds for which the log knows the key."""


class ServiceRunner:
    """Runs calls of plain services.

    Idempotent calls may run repeatedly.  Other calls are sent once, or go to
    the process that owns their id or key.
    """

    def __init__(
        self,
        gate: admission.Admission,
        name: ids.NodeName = _DEFAULT_NODE_NAME,
        incarnation: ids.Incarnation | None = None,
        budget: retries.RetryBudget | None = None,
        rng: random.Random | None = None,
        request_settings: settings.RequestSettings | None = None,
    ) -> None:
        limits = request_settings or settings.RequestSettings()
        self.id_generator = request_ids.RequestIdGenerator(
            name, incarnation or ids.generate_incarnation()
        )
        self.registry = call_registry.CallRegistry(limits)
        self._execution = execution.Execution(
            gate,
            budget or retries.RetryBudget(_DEFAULT_RETRY_SHARE),
            rng or random.Random(),
        )
        self._owned = owned.OwnedCalls(
            self._execution, self.id_generator, self.registry, limits
        )
        self._remote: remote.RemoteCalls | None = None
        self._members: membership.Membership | None = None
        self._keys: keys.KeyIndex | None = None

    def connect(
        self, transport: peers.PeerTransport, members: membership.Membership
    ) -> None:
        """Enables calls by id or key that another node owns."""
        self._remote = remote.RemoteCalls(transport, self._owned)
        self._members = members

    def use_keys(self, index: keys.KeyIndex) -> None:
        """Enables calls by the caller's idempotency key."""
        self._keys = index

    def refuse_new(self) -> None:
        """Refuses calls by id that are not stored yet."""
        self._owned.refusing = True

    async def wait_finished(self) -> None:
        """Waits until no call by id or key is running."""
        await self.registry.wait_finished()

    def generate_ids(
        self, caller: ids.CallerName, count: int
    ) -> list[ids.RequestId]:
        """Returns ``count`` new request ids that this process owns."""
        now = asyncio.get_running_loop().time()
        return self.id_generator.generate(caller, count, now)

    async def call(self, request: ServiceWork) -> call_registry.Outcome:
        """Returns the service's answer, or a refusal that says if it ran."""
        if not request.call.idempotent and request.key is not None:
            return await self._call_by_key(request, request.key)
        if not request.call.idempotent and request.minted_id is not None:
            return await self._call_by_id(request, request.minted_id)
        return await self._execution.run(request.work, request.call)

    async def _call_by_id(
        self, request: ServiceWork, request_id: str
    ) -> call_registry.Outcome:
        match request_ids.parse(request_id):
            case Result(tag='ok', ok=parsed):
                pass
            case Result(error=detail):
                return Error(
                    outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail)
                )
        return await self._send_to_owner(
            parsed.node,
            parsed.incarnation,
            _make_owned_call(request, request_id),
        )

    async def _call_by_key(
        self, request: ServiceWork, key: str
    ) -> call_registry.Outcome:
        if self._keys is None:
            return Error(_make_no_index_refusal())
        fingerprint = _compute_fingerprint(request)
        request_id = self._make_keyed_id(request.caller, key, fingerprint)
        fresh = self.registry.find(request_id) is None
        refusal = self._add_entry(request, request_id, fingerprint)
        if refusal is not None:
            return Error(refusal)
        now = asyncio.get_running_loop().time()
        claimed = await self._keys.claim(
            request.caller,
            key,
            fingerprint,
            request_id,
            request.work.deadline - now,
        )
        match claimed:
            case Result(tag='ok', ok=claim):
                return await self._apply_claim(
                    request, request_id, claim, fresh
                )
            case Result(error=refusal):
                # The intent may still reach the log.  The entry stays, so
                # that a repeat can start the call in this process.
                return Error(refusal)

    async def _apply_claim(
        self,
        request: ServiceWork,
        request_id: ids.RequestId,
        claim: keys.Claim,
        fresh: bool,
    ) -> call_registry.Outcome:
        """Runs, forwards or refuses the call, depending on the claim.

        ``fresh`` says that this process had no entry for the call before.
        Only ``OURS`` may start such a call: the process may have run it
        earlier and removed its entry.
        """
        if claim.state is keys.ClaimState.MISMATCH:
            self.registry.drop(request_id)
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.CONFLICT,
                    'this key was used before with a different request',
                )
            )
        if claim.state is keys.ClaimState.OURS:
            owned_call = _make_owned_call(request, request_id, keyed=True)
            return await self._owned.answer(owned_call)
        if fresh or claim.request_id != request_id:
            self.registry.drop(request_id)
        return await self._send_to_owner(
            claim.owner,
            claim.incarnation,
            _make_owned_call(request, claim.request_id, keyed=True),
        )

    def _add_entry(
        self,
        request: ServiceWork,
        request_id: ids.RequestId,
        fingerprint: str,
    ) -> outcomes.Refusal | None:
        """Adds an entry to the registry before the key is claimed."""
        if self.registry.find(request_id) is not None:
            return None
        now = asyncio.get_running_loop().time()
        admitted = self.registry.admit(
            request_id,
            request.caller,
            fingerprint,
            now + _STORED_WINDOWS * request.key_window,
        )
        return admitted.swap().default_value(None)

    def _make_keyed_id(
        self, caller: ids.CallerName, key: str, fingerprint: str
    ) -> ids.RequestId:
        """Returns the same id for every use of a key in this process.

        Repeats therefore find the same entry, also while the log is down.
        """
        parts = (
            self.id_generator.node,
            f'{self.id_generator.incarnation:x}',
            caller,
            key,
            fingerprint,
        )
        digest = hashlib.blake2b(
            '\0'.join(parts).encode(), digest_size=_KEYED_ID_BYTES
        )
        return ids.RequestId(f'k1.{digest.hexdigest()}')

    async def _send_to_owner(
        self,
        node: ids.NodeName,
        incarnation: ids.Incarnation,
        request: owned.OwnedCall,
    ) -> call_registry.Outcome:
        if (node, incarnation) == (
            self.id_generator.node,
            self.id_generator.incarnation,
        ):
            return await self._owned.answer(request)
        member = self._members.find(node) if self._members else None
        if (
            node == self.id_generator.node
            or member is None
            or self._remote is None
        ):
            return Error(
                refusals.refuse_unknown(
                    f'the process on {node} that owns this request has ended'
                )
            )
        peer = peers.Peer(node, member.peer_address, incarnation)
        return await self._remote.forward(peer, request)


def _make_owned_call(
    request: ServiceWork, request_id: str, keyed: bool = False
) -> owned.OwnedCall:
    return owned.OwnedCall(
        caller=request.caller,
        request_id=ids.RequestId(request_id),
        fingerprint=_compute_fingerprint(request),
        work=request.work,
        call=request.call,
        keyed=keyed,
    )


def _compute_fingerprint(request: ServiceWork) -> str:
    return owned.compute_fingerprint(request.work.group, request.call)


def _make_no_index_refusal() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE,
        'this node has no index of idempotency keys yet',
        retry_after=_RETRY_AFTER_S,
    )
