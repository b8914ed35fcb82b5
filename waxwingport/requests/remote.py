"""Forwards calls to the node that owns them, over the peers' transport."""

import asyncio
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.peers import base as peers
from waxwingport.requests import call_registry
from waxwingport.requests import owned
from waxwingport.requests import refusals
from waxwingport.targets import base

__all__ = ['RemoteCalls']

_ANSWER_MARGIN_S = 0.25
"""Time to wait for the owner's answer beyond the call's deadline."""
_LOG = logging.getLogger(__name__)


class _Answer(msgspec.Struct, omit_defaults=True):
    answer: base.ServiceAnswer | None = None
    refusal: outcomes.Refusal | None = None


class RemoteCalls:
    """Sends and answers messages of the kind ``SERVICE_CALL``."""

    def __init__(
        self, transport: peers.PeerTransport, owned_calls: owned.OwnedCalls
    ) -> None:
        self._transport = transport
        self._owned_calls = owned_calls
        transport.set_handler(peers.MessageKind.SERVICE_CALL, self._answer)

    async def forward(
        self, peer: peers.Peer, request: owned.OwnedCall
    ) -> call_registry.Outcome:
        """Returns the owner's outcome, or a refusal with ``Ran.UNKNOWN``.

        The outcome is unknown even if the message was never sent, because
        an earlier one with the same id may have arrived.
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
            timeout + _ANSWER_MARGIN_S,
        )
        _LOG.info(
            'pass request=%s owner=%s answered=%s',
            request.request_id,
            peer.name,
            answered.is_ok(),
        )
        match answered:
            case Result(tag='ok', ok=data):
                return _decode_answer(data)
            case Result(error=fault):
                detail = f'the owning node does not answer: {fault.kind.value}'
                return Error(refusals.refuse_unknown(detail))

    async def _answer(self, sender: ids.NodeName, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=owned.OwnedCall)
        deadline = asyncio.get_running_loop().time() + request.timeout
        work = msgspec.structs.replace(request.work, deadline=deadline)
        request = msgspec.structs.replace(request, work=work)
        match await self._owned_calls.answer(request):
            case Result(tag='ok', ok=answer):
                return msgspec.msgpack.encode(_Answer(answer=answer))
            case Result(error=refusal):
                return msgspec.msgpack.encode(_Answer(refusal=refusal))


def _decode_answer(data: bytes) -> call_registry.Outcome:
    match decoding.read_msgpack(data, _Answer):
        case Result(tag='ok', ok=message):
            pass
        case Result(error=reason):
            return Error(
                refusals.refuse_unknown(f'undecodable answer: {reason}')
            )
    if message.answer is not None:
        return Ok(message.answer)
    if message.refusal is not None:
        return Error(message.refusal)
    return Error(
        refusals.refuse_unknown('the owning node sent an empty answer')
    )
