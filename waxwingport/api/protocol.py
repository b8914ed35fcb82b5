"""Bodies of the completion protocol for callers."""

from typing import Annotated

import msgspec

from waxwingport import ids

__all__ = [
    'ChatBody',
    'ChatChoice',
    'ChatMessage',
    'ChatPart',
    'Choice',
    'Completion',
    'CompletionBody',
    'ErrorEvent',
    'StreamError',
    'StreamOptions',
    'Usage',
]

_Count = Annotated[int, msgspec.Meta(ge=1)]


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool | None = None


class _Body(msgspec.Struct, kw_only=True):
    """Fields that both kinds of completions share.

    Fields that are not named here go to the engine as parameters.  ``Raw``
    fields are features that are not supported; only values that leave them
    unused are accepted.
    """

    model: str
    max_tokens: _Count | None = None
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    n: msgspec.Raw = msgspec.Raw(b'1')
    logprobs: msgspec.Raw = msgspec.Raw(b'null')


class CompletionBody(_Body, kw_only=True):
    """Request of ``POST /v1/completions``."""

    prompt: str | tuple[str]
    best_of: msgspec.Raw = msgspec.Raw(b'1')
    echo: msgspec.Raw = msgspec.Raw(b'false')
    suffix: msgspec.Raw = msgspec.Raw(b'null')


class ChatPart(msgspec.Struct, frozen=True):
    """A part of a message's content; only text is supported."""

    type: str
    text: str | None = None


class ChatMessage(msgspec.Struct, omit_defaults=True):
    """One message of a chat."""

    role: str | None = None
    content: str | tuple[ChatPart, ...] | None = None


class ChatBody(_Body, kw_only=True):
    """Request of ``POST /v1/chat/completions``."""

    messages: Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_completion_tokens: _Count | None = None
    top_logprobs: msgspec.Raw = msgspec.Raw(b'null')
    tools: msgspec.Raw = msgspec.Raw(b'[]')
    functions: msgspec.Raw = msgspec.Raw(b'[]')
    audio: msgspec.Raw = msgspec.Raw(b'null')
    modalities: msgspec.Raw = msgspec.Raw(b'["text"]')


class Choice(msgspec.Struct):
    """The only choice of a text completion."""

    text: str
    index: int = 0
    finish_reason: str | None = None
    logprobs: None = None


class ChatChoice(msgspec.Struct, omit_defaults=True):
    """The only choice of a chat completion.

    A whole answer sets ``message``, an event of a stream ``delta``.
    """

    index: int
    message: ChatMessage | None = None
    delta: ChatMessage | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts as far as engines report them.

    ``prompt_tokens`` is always 0.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct, omit_defaults=True):
    """A whole answer, or one event of a streamed answer."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...] | tuple[ChatChoice, ...]
    weight_versions: tuple[ids.WeightVersion, ...] = ()
    usage: Usage | None = None


class StreamError(msgspec.Struct):
    """Why a stream ended before its answer was complete."""

    message: str
    type: str
    code: int
    ran: str


class ErrorEvent(msgspec.Struct):
    """Last event of a stream that ended early."""

    error: StreamError
