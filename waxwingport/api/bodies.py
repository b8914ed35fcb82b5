"""Checks completion bodies and extracts the parameters for the engine."""

from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.api import handler
from waxwingport.api import protocol
from waxwingport import outcomes

__all__ = ['CompletionRequest', 'read_chat', 'read_completion']

DEFAULT_MAX_TOKENS = 256
"""Tokens of a completion whose body sets no maximum."""

_NEUTRAL_VALUES = (b'null', b'false', b'0', b'[]', b'{}', b'""')
"""JSON values with which a body does not use an unsupported feature."""
_NEUTRAL_VALUES_BY_NAME = {
    'n': (b'null', b'1'),
    'best_of': (b'null', b'1'),
    'modalities': (b'null', b'["text"]'),
}

Body = TypeVar('Body', protocol.CompletionBody, protocol.ChatBody)


class CompletionRequest(msgspec.Struct, frozen=True):
    """A checked completion request.

    ``parameters`` are the fields of the body that go to the engine as JSON.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    parameters: dict[str, msgspec.Raw]


def read_completion(
    data: bytes, limit: int
) -> Result[CompletionRequest, outcomes.Refusal]:
    """Returns the request in a body of ``POST /v1/completions``.

    ``limit`` is the largest number of tokens that a body may request.  Fails
    when the body is malformed or uses a feature that is not supported.
    """
    match handler.read_json(data, protocol.CompletionBody):
        case Result(tag='ok', ok=body):
            prompt = body.prompt
            text = prompt if isinstance(prompt, str) else prompt[0]
            return _check(data, body, text, body.max_tokens, limit)
        case Result(error=refusal):
            return Error(refusal)


def read_chat(
    data: bytes, limit: int
) -> Result[CompletionRequest, outcomes.Refusal]:
    """Returns the request in a body of ``POST /v1/chat/completions``.

    ``limit`` and the refusals are those of ``read_completion``.
    """
    match handler.read_json(data, protocol.ChatBody):
        case Result(tag='ok', ok=body):
            pass
        case Result(error=refusal):
            return Error(refusal)
    lines: list[str] = []
    for index, message in enumerate(body.messages):
        match _read_content(message):
            case Result(tag='ok', ok=text):
                lines.append(f'{message.role}: {text}')
            case Result(error=detail):
                return _refuse(f'messages[{index}]: {detail}')
    requested = body.max_completion_tokens or body.max_tokens
    return _check(data, body, '\n'.join(lines), requested, limit)


def _read_content(message: protocol.ChatMessage) -> Result[str, str]:
    if message.content is None or isinstance(message.content, str):
        return Ok(message.content or '')
    texts: list[str] = []
    for part in message.content:
        if part.type != 'text' or part.text is None:
            return Error(f'content of type {part.type!r} is not supported')
        texts.append(part.text)
    return Ok(''.join(texts))


def _check(
    data: bytes, body: Body, prompt: str, max_tokens: int | None, limit: int
) -> Result[CompletionRequest, outcomes.Refusal]:
    unsupported = _find_unsupported(body)
    if unsupported is not None:
        return _refuse(f'{unsupported} is not supported')
    requested = max_tokens or DEFAULT_MAX_TOKENS
    if requested > limit:
        return _refuse(
            f'max_tokens: {requested} is above the limit of {limit}'
        )
    if not _is_unicode(prompt):
        return _refuse('the prompt contains an unpaired surrogate')
    options = body.stream_options
    return Ok(
        CompletionRequest(
            model=body.model,
            prompt=prompt,
            max_tokens=requested,
            stream=bool(body.stream),
            include_usage=bool(options and options.include_usage),
            parameters=_read_parameters(data, type(body)),
        )
    )


def _find_unsupported(body: Body) -> str | None:
    for name in type(body).__struct_fields__:
        value = getattr(body, name)
        if not isinstance(value, msgspec.Raw):
            continue
        allowed = _NEUTRAL_VALUES_BY_NAME.get(name, _NEUTRAL_VALUES)
        if bytes(value).strip() not in allowed:
            return name
    return None


def _read_parameters(data: bytes, kind: type[Body]) -> dict[str, msgspec.Raw]:
    fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    known = set(kind.__struct_fields__)
    return {name: value for name, value in fields.items() if name not in known}


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refuse(detail: str) -> Result[CompletionRequest, outcomes.Refusal]:
    return Error(outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail))
