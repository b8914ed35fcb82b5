"""Calls that only the process named by their request id may run."""

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
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['OwnedCall', 'OwnedCalls', 'compute_fingerprint']

_FINGERPRINT_BYTES = 16
_MILLISECONDS = 1000


class OwnedCall(msgspec.Struct, frozen=True):
    """A call as one node hands it to its owner.

    ``work.deadline`` is replaced by ``timeout`` seconds on the way.
    ``keyed`` calls were claimed by the owner before; an unknown one was
    forgotten and may have run.
    """

    caller: ids.CallerName
    request_id: ids.RequestId
    fingerprint: str
    work: candidates.Work
    call: base.ServiceCall
    keyed: bool = False
    timeout: float = 0.0


def compute_fingerprint(group: str, call: base.ServiceCall) -> str:
    """Returns what tells two different requests under one id apart."""
    found = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (group, call.method, call.path):
        data = part.encode('utf-8', 'surrogateescape')
        found.update(len(data).to_bytes(8, 'big'))
        found.update(data)
    found.update(call.body)
    return found.hexdigest()


class OwnedCalls:
    """Runs the calls that this process owns, each at most once."""

    def __init__(
        self,
        runs: execution.Execution,
        id_generator: request_ids.RequestIdGenerator,
        registry: call_registry.CallRegistry,
        configured: settings.RequestSettings,
    ) -> None:
        self.id_generator = id_generator
        self.registry = registry
        self.refusing = False
        self._execution = runs
        self._settings = configured

    async def answer(self, owned: OwnedCall) -> call_registry.Outcome:
        """Runs the call, joins its run, or repeats its outcome."""
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
            # An id that has not run needs no entry to be known as such.
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
                refusals.refuse_unknown('the owner no longer knows this key')
            )
        if call.caller != owned.caller:
            return Error(_forbid())
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
        return _forbid()

    def _admit(
        self, owned: OwnedCall
    ) -> Result[call_registry.Call, outcomes.Refusal]:
        if self.refusing:
            return Error(refusals.refuse_shutting_down())
        parsed = request_ids.parse(owned.request_id).ok
        expires = (
            parsed.issued_at_ms / _MILLISECONDS + self._settings.id_lifetime
        )
        if asyncio.get_running_loop().time() >= expires:
            return Error(
                refusals.refuse_unknown(
                    'the request id has expired; it may have been used'
                )
            )
        return self.registry.admit(
            owned.request_id, owned.caller, owned.fingerprint, expires
        )


def _forbid() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.FORBIDDEN,
        'this request id was not given to this caller',
    )
