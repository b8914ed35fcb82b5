"""Runs the calls that only the process named by their request id may run."""

import asyncio
import hashlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.requests import call_registry
from waxwingport.requests import execution
from waxwingport.requests import refusals
from waxwingport.requests import request_ids
from waxwingport.requests import settings
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['OwnedCall', 'OwnedCalls', 'compute_fingerprint']

_FINGERPRINT_BYTES = 16
_MS_PER_SECOND = 1000


class OwnedCall(msgspec.Struct, frozen=True):
    """A call as a node sends it to the process that owns it.

    ``timeout`` in seconds replaces ``work.deadline``, since clocks differ
    between nodes.  A ``keyed`` call was claimed by its owner before; if the
    owner does not find it, the call was removed and may have run.
    """

    caller: ids.CallerName
    request_id: ids.RequestId
    fingerprint: str
    work: model.Work
    call: base.ServiceCall
    keyed: bool = False
    timeout: float = 0.0


def compute_fingerprint(group: str, call: base.ServiceCall) -> str:
    """Returns a hash of a call's group, method, path and body.

    It detects that one id is used for two different requests.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (group, call.method, call.path):
        data = part.encode('utf-8', 'surrogateescape')
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    digest.update(call.body)
    return digest.hexdigest()


class OwnedCalls:
    """Runs the calls that this process owns, each at most once.

    While ``refusing`` is set, calls that are not yet stored are refused.
    """

    def __init__(
        self,
        service_execution: execution.Execution,
        id_generator: request_ids.RequestIdGenerator,
        registry: call_registry.CallRegistry,
        request_settings: settings.RequestSettings,
    ) -> None:
        self.id_generator = id_generator
        self.registry = registry
        self.refusing = False
        self._execution = service_execution
        self._settings = request_settings

    async def answer(self, owned: OwnedCall) -> call_registry.Outcome:
        """Returns the outcome of the call, which runs unless it did before."""
        match self._find(owned):
            case Result(tag='ok', ok=call):
                pass
            case Result(error=refusal):
                return Error(refusal)
        outcome = await self.registry.run_once(
            call,
            lambda: self._execution.run(owned.work, owned.call),
            owned.work.deadline,
        )
        if not owned.keyed:
            # The tag proves an issued id, so a call that has not run needs
            # no entry.
            self.registry.drop(owned.request_id)
        return outcome

    def _find(
        self, owned: OwnedCall
    ) -> Result[call_registry.Call, outcomes.Refusal]:
        call = self.registry.find(owned.request_id)
        if not owned.keyed:
            refusal = self._check_tag(owned)
            if refusal is not None:
                return Error(refusal)
            if call is None:
                return self._admit(owned)
        if call is None:
            return Error(
                refusals.refuse_unknown(
                    'the owning process no longer has the call for this key'
                )
            )
        if call.caller != owned.caller:
            return Error(_make_forbidden_refusal())
        if call.fingerprint != owned.fingerprint:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.CONFLICT,
                    'this id was used before with a different request',
                )
            )
        return Ok(call)

    def _check_tag(self, owned: OwnedCall) -> outcomes.Refusal | None:
        match request_ids.parse(owned.request_id):
            case Result(tag='ok', ok=parsed) if self.id_generator.verify(
                parsed, owned.caller
            ):
                return None
        return _make_forbidden_refusal()

    def _admit(
        self, owned: OwnedCall
    ) -> Result[call_registry.Call, outcomes.Refusal]:
        if self.refusing:
            return Error(refusals.refuse_shutting_down())
        parsed = request_ids.parse(owned.request_id).ok
        expires_at = (
            parsed.issued_at_ms / _MS_PER_SECOND + self._settings.id_lifetime
        )
        if asyncio.get_running_loop().time() >= expires_at:
            return Error(
                refusals.refuse_unknown(
                    'the request id has expired; its call may have run'
                )
            )
        return self.registry.admit(
            owned.request_id, owned.caller, owned.fingerprint, expires_at
        )


def _make_forbidden_refusal() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.FORBIDDEN,
        'this request id was not issued to this caller',
    )
