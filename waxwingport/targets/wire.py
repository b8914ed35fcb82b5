"""Bodies of HTTP requests to engines and scoring services."""

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = [
    'CompletionBody',
    'CompletionEvent',
    'EventChoice',
    'KvBody',
    'ScoreAnswer',
    'ScoreBody',
    'StreamFault',
]


class CompletionBody(msgspec.Struct):
    """Request of ``POST /v1/completions`` at an engine."""

    request_id: ids.RequestId
    prompt: str
    max_tokens: int
    priority: int = 0
    stream: bool = True
    parameters: dict[str, msgspec.Raw] = {}
    resume_text: str = ''
    resume_position: int = 0
    adapter: str | None = None


class EventChoice(msgspec.Struct):
    """The only choice of a completion event."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class StreamFault(msgspec.Struct):
    """Why a stream ended without a finish reason."""

    kind: base.TargetFaultKind
    detail: str
    sent: bool = True


class CompletionEvent(msgspec.Struct, omit_defaults=True):
    """One server-sent event of a completion stream."""

    choices: tuple[EventChoice, ...] = ()
    position: int = 0
    tokens: int = 0
    weight_version: ids.WeightVersion | None = None
    error: StreamFault | None = None
    software: ids.SoftwareVersion = ids.SoftwareVersion('')


class KvBody(msgspec.Struct):
    """Exported KV cache; ``state`` is base64 on the wire."""

    request_id: ids.RequestId
    state: bytes = b''


class ScoreBody(msgspec.Struct):
    """Request of ``POST /v1/scores``, with pairs of prompt and text."""

    samples: tuple[tuple[str, str], ...]


class ScoreAnswer(msgspec.Struct):
    """Response of ``POST /v1/scores``, with one score for each sample."""

    scores: tuple[float, ...]
