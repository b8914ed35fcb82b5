"""Bodies of the completion protocol towards callers."""

import msgspec

from waxwingport import ids

__all__ = [
    'ChatBody',
    'ChatChoice',
    'ChatMessage',
    'Choice',
    'Completion',
    'CompletionBody',
    'Usage',
]


class CompletionBody(msgspec.Struct):
    """Request of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


class ChatMessage(msgspec.Struct, omit_defaults=True):
    """One message of a chat."""

    role: str | None = None
    content: str | None = None


class ChatBody(msgspec.Struct):
    """Request of ``POST /v1/chat/completions``."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


class Choice(msgspec.Struct):
    """The one choice of a text completion."""

    text: str
    index: int = 0
    finish_reason: str | None = None
    logprobs: None = None


class ChatChoice(msgspec.Struct, omit_defaults=True):
    """The one choice of a chat completion: ``message``, or ``delta``."""

    index: int
    message: ChatMessage | None = None
    delta: ChatMessage | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts as far as the engine reports them."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct, omit_defaults=True):
    """A whole answer, or one event of a streamed one."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice | ChatChoice, ...] | tuple
    weight_versions: tuple[ids.WeightVersion, ...] = ()
    usage: Usage | None = None
