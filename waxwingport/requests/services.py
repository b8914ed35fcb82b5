"""Calls of plain services: idempotent, by id, by key, or sent once."""

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
from waxwingport.requests import execution
from waxwingport.requests import ledger
from waxwingport.requests import minted
from waxwingport.requests import owned
from waxwingport.requests import refusals
from waxwingport.requests import remote
from waxwingport.requests import settings
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['ServiceRunner', 'ServiceWork']

_ALONE = ids.NodeName('node')
_WINDOWS_KEPT = 2
"""The outcome of a keyed call outlives what the log knows of its key."""
_KEYED_ID_BYTES = 16
_RETRY_SHARE = 0.1
_RETRY_AFTER = 5.0


class ServiceWork(msgspec.Struct, frozen=True):
    """A service call and what makes it run at most once, if anything.

    ``key`` is the caller's own, ``minted_id`` one that a node gave out.
    """

    caller: ids.CallerName
    work: candidates.Work
    call: base.ServiceCall
    minted_id: str | None = None
    key: str | None = None
    key_window: float = 3600.0
    """Seconds for which the key is known."""


class ServiceRunner:
    """Runs calls of plain services."""

    def __init__(
        self,
        gate: admission.Admission,
        name: ids.NodeName = _ALONE,
        incarnation: ids.Incarnation | None = None,
        budget: retries.RetryBudget | None = None,
        rng: random.Random | None = None,
        configured: settings.RequestSettings | None = None,
    ) -> None:
        limits = configured or settings.RequestSettings()
        self.mint = minted.Mint(name, incarnation or ids.mint_incarnation())
        self.held = ledger.Ledger(limits)
        self._execution = execution.Execution(
            gate,
            budget or retries.RetryBudget(_RETRY_SHARE),
            rng or random.Random(),
        )
        self._owned = owned.OwnedCalls(
            self._execution, self.mint, self.held, limits
        )
        self._remote: remote.RemoteCalls | None = None
        self._members: membership.Membership | None = None
        self._keys: keys.KeyIndex | None = None

    def connect(
        self, transport: peers.PeerTransport, members: membership.Membership
    ) -> None:
        """Lets calls pass between this node and the others."""
        self._remote = remote.RemoteCalls(transport, self._owned)
        self._members = members

    def use_keys(self, index: keys.KeyIndex) -> None:
        """Lets callers use idempotency keys of their own."""
        self._keys = index

    def refuse_new(self) -> None:
        """Takes no call that other nodes hand over for the first time."""
        self._owned.refusing = True

    async def settle(self) -> None:
        """Waits until the calls that repeats may ask for have ended."""
        await self.held.settle()

    def mint_ids(
        self, caller: ids.CallerName, count: int
    ) -> list[ids.RequestId]:
        """Returns new request ids that this process owns."""
        now = asyncio.get_running_loop().time()
        return self.mint.make(caller, count, now)

    async def call(self, request: ServiceWork) -> ledger.Outcome:
        """Returns the service's answer, or what is known of the call."""
        if not request.call.idempotent and request.key is not None:
            return await self._call_keyed(request, request.key)
        if not request.call.idempotent and request.minted_id is not None:
            return await self._call_minted(request, request.minted_id)
        return await self._execution.run(request.work, request.call)

    async def _call_minted(
        self, request: ServiceWork, request_id: str
    ) -> ledger.Outcome:
        match minted.parse(request_id):
            case Result(tag='ok', ok=parsed):
                pass
            case Result(error=detail):
                return Error(
                    outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail)
                )
        return await self._pass_to(
            parsed.node, parsed.incarnation, _hand_over(request, request_id)
        )

    async def _call_keyed(
        self, request: ServiceWork, key: str
    ) -> ledger.Outcome:
        if self._keys is None:
            return Error(_refuse_keys())
        fingerprint = _compute_fingerprint(request)
        request_id = self._name_keyed(request.caller, key, fingerprint)
        fresh = self.held.find(request_id) is None
        refusal = self._reserve(request, request_id, fingerprint)
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
                return await self._follow(request, request_id, claim, fresh)
            case Result(error=refusal):
                # The intent may be in the log all the same; the entry stays,
                # so that a repeat can still start the call here.
                return Error(refusal)

    async def _follow(
        self,
        request: ServiceWork,
        request_id: ids.RequestId,
        claim: keys.Claim,
        fresh: bool,
    ) -> ledger.Outcome:
        """Runs, passes on or refuses the call as the claim says.

        Only ``OURS`` starts a call that is ``fresh`` here: this process may
        have run it before and forgotten.
        """
        if claim.state is keys.ClaimState.MISMATCH:
            self.held.drop(request_id)
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.CONFLICT,
                    'this key was used before with a different request',
                )
            )
        if claim.state is keys.ClaimState.OURS:
            owned_call = _hand_over(request, request_id, keyed=True)
            return await self._owned.answer(owned_call)
        if fresh or claim.request_id != request_id:
            self.held.drop(request_id)
        return await self._pass_to(
            claim.owner,
            claim.incarnation,
            _hand_over(request, claim.request_id, keyed=True),
        )

    def _reserve(
        self,
        request: ServiceWork,
        request_id: ids.RequestId,
        fingerprint: str,
    ) -> outcomes.Refusal | None:
        """Takes the room for the answer before the key is claimed."""
        if self.held.find(request_id) is not None:
            return None
        now = asyncio.get_running_loop().time()
        admitted = self.held.admit(
            request_id,
            request.caller,
            fingerprint,
            now + _WINDOWS_KEPT * request.key_window,
        )
        return admitted.swap().default_value(None)

    def _name_keyed(
        self, caller: ids.CallerName, key: str, fingerprint: str
    ) -> ids.RequestId:
        """Returns one id for every use of a key in this process.

        Repeats so meet in the ledger, also while the log is down.
        """
        parts = (
            self.mint.node,
            f'{self.mint.incarnation:x}',
            caller,
            key,
            fingerprint,
        )
        found = hashlib.blake2b(
            '\0'.join(parts).encode(), digest_size=_KEYED_ID_BYTES
        )
        return ids.RequestId(f'k1.{found.hexdigest()}')

    async def _pass_to(
        self,
        node: ids.NodeName,
        incarnation: ids.Incarnation,
        request: owned.OwnedCall,
    ) -> ledger.Outcome:
        if (node, incarnation) == (self.mint.node, self.mint.incarnation):
            return await self._owned.answer(request)
        member = self._members.find(node) if self._members else None
        if node == self.mint.node or member is None or self._remote is None:
            return Error(
                refusals.refuse_unknown(
                    f'the process at {node} that owns this request is gone'
                )
            )
        peer = peers.Peer(node, member.peer_address, incarnation)
        return await self._remote.ask(peer, request)


def _hand_over(
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


def _refuse_keys() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE,
        'this node has no index of idempotency keys yet',
        retry_after=_RETRY_AFTER,
    )
