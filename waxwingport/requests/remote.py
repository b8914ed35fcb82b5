"""Hands calls to the node that owns them, over the peers' transport."""

import asyncio
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.peers import base as peers
from waxwingport.requests import ledger
from waxwingport.requests import owned
from waxwingport.requests import refusals
from waxwingport.targets import base

__all__ = ['RemoteCalls']

_ANSWER_MARGIN = 0.25
"""Seconds that the owner's answer may take beyond the call's deadline."""
_LOG = logging.getLogger(__name__)


class _Answer(msgspec.Struct, omit_defaults=True):
    answer: base.ServiceAnswer | None = None
    refusal: outcomes.Refusal | None = None


class RemoteCalls:
    """Both ends of ``MessageKind.SERVICE_CALL``."""

    def __init__(
        self, transport: peers.PeerTransport, own: owned.OwnedCalls
    ) -> None:
        self._transport = transport
        self._own = own
        transport.set_handler(peers.MessageKind.SERVICE_CALL, self._answer)

    async def ask(
        self, peer: peers.Peer, request: owned.OwnedCall
    ) -> ledger.Outcome:
        """Returns the owner's outcome; ``unknown`` if it gives none.

        Even a message that was never sent leaves the outcome open: an
        earlier one with the same id may have arrived.
        """
        now = asyncio.get_running_loop().time()
        timeout = max(request.work.deadline - now, 0.0)
        body = msgspec.msgpack.encode(
            msgspec.structs.replace(request, timeout=timeout)
        )
        answered = await self._transport.request(
            peer,
            peers.MessageKind.SERVICE_CALL,
            body,
            timeout + _ANSWER_MARGIN,
        )
        _LOG.info(
            'pass request=%s owner=%s answered=%s',
            request.request_id,
            peer.name,
            answered.is_ok(),
        )
        match answered:
            case Result(tag='ok', ok=data):
                return _read_answer(data)
            case Result(error=fault):
                detail = f'the owner does not answer: {fault.kind.value}'
                return Error(refusals.refuse_unknown(detail))

    async def _answer(self, sender: ids.NodeName, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=owned.OwnedCall)
        deadline = asyncio.get_running_loop().time() + request.timeout
        work = msgspec.structs.replace(request.work, deadline=deadline)
        request = msgspec.structs.replace(request, work=work)
        match await self._own.answer(request):
            case Result(tag='ok', ok=answer):
                return msgspec.msgpack.encode(_Answer(answer=answer))
            case Result(error=refusal):
                return msgspec.msgpack.encode(_Answer(refusal=refusal))


def _read_answer(data: bytes) -> ledger.Outcome:
    try:
        found = msgspec.msgpack.decode(data, type=_Answer)
    except msgspec.DecodeError as error:
        return Error(refusals.refuse_unknown(f'unreadable answer: {error}'))
    if found.answer is not None:
        return Ok(found.answer)
    if found.refusal is not None:
        return Error(found.refusal)
    return Error(refusals.refuse_unknown('the owner gave an empty answer'))
