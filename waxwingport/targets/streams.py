"""Reading of a generation's chunks from an engine's event stream."""

from collections.abc import AsyncIterator
from collections.abc import Iterable

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.http import client
from waxwingport.http import sse
from waxwingport.targets import base
from waxwingport.targets import faults
from waxwingport.targets import wire

__all__ = ['is_last', 'merge', 'read_chunks']

Outcome = Result[base.Chunk, base.TargetFault]

_DONE = b'[DONE]'
_DECODER = msgspec.json.Decoder(wire.CompletionEvent)
_FINISH_REASONS = {reason.value: reason for reason in base.FinishReason}


async def read_chunks(response: client.Response) -> AsyncIterator[Outcome]:
    """Yields the chunks of a stream; those that arrive together are merged.

    Ends after a chunk with a finish reason or after one ``Error``.
    """
    splitter = sse.EventSplitter()
    while True:
        data = await response.read_chunk()
        if data is None:
            break
        if isinstance(data, client.TransportFault):
            yield Error(faults.from_transport(data))
            return
        events = splitter.feed(data)
        chunks, fault = _decode(events)
        for chunk in merge(chunks):
            yield Ok(chunk)
            if chunk.finish_reason is not None:
                return
        if fault is not None:
            yield Error(fault)
            return
    yield Error(_make_broken_fault('stream ended before its final event'))


def is_last(outcome: Outcome) -> bool:
    """Returns whether ``outcome`` is the last one of its stream."""
    match outcome:
        case Result(tag='ok', ok=chunk):
            return chunk.finish_reason is not None
        case _:
            return True


def merge(chunks: Iterable[base.Chunk]) -> list[base.Chunk]:
    """Joins consecutive chunks of the same weight version."""
    merged: list[base.Chunk] = []
    parts: list[str] = []
    for chunk in chunks:
        last = merged[-1] if merged else None
        if last is None or not _is_continued_by(last, chunk):
            _join_text(merged, parts)
            merged.append(chunk)
            parts = [chunk.text]
            continue
        parts.append(chunk.text)
        merged[-1] = base.Chunk(
            last.position,
            last.tokens + chunk.tokens,
            '',
            chunk.weight_version,
            chunk.finish_reason,
            chunk.software,
        )
    _join_text(merged, parts)
    return merged


def _join_text(merged: list[base.Chunk], parts: list[str]) -> None:
    if len(parts) > 1:
        merged[-1] = msgspec.structs.replace(merged[-1], text=''.join(parts))


def _is_continued_by(last: base.Chunk, chunk: base.Chunk) -> bool:
    return (
        chunk.position == last.position + last.tokens
        and chunk.weight_version == last.weight_version
        and chunk.software == last.software
        and last.finish_reason is None
        and last.tokens > 0
        and chunk.tokens > 0
    )


def _decode(
    events: Iterable[bytes],
) -> tuple[list[base.Chunk], base.TargetFault | None]:
    """Returns the chunks before a fault, and the fault or ``None``."""
    chunks: list[base.Chunk] = []
    for event in events:
        if event == _DONE:
            return chunks, _make_broken_fault(
                '[DONE] received without a finish reason'
            )
        try:
            body = _DECODER.decode(event)
            if body.error is not None:
                fault = body.error
                return chunks, base.TargetFault(
                    fault.kind, fault.detail, fault.sent
                )
            chunks.append(_read_event(body))
        except (IndexError, KeyError, RecursionError, ValueError) as error:
            return chunks, faults.from_decode_error(str(error))
        if chunks[-1].finish_reason is not None:
            break
    return chunks, None


def _read_event(body: wire.CompletionEvent) -> base.Chunk:
    choice = body.choices[0]
    finish = choice.finish_reason
    return base.Chunk(
        body.position,
        body.tokens,
        choice.text,
        body.weight_version,
        _FINISH_REASONS[finish] if finish else None,
        body.software,
    )


def _make_broken_fault(detail: str) -> base.TargetFault:
    return base.TargetFault(base.TargetFaultKind.BROKEN, detail, sent=True)
