"""Checks completion bodies and picks out what goes to the engine."""

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

_NEUTRAL = (b'null', b'false', b'0', b'[]', b'{}', b'""')
_NEUTRAL_BY_NAME = {
    'n': (b'null', b'1'),
    'best_of': (b'null', b'1'),
    'modalities': (b'null', b'["text"]'),
}

Body = TypeVar('Body', protocol.CompletionBody, protocol.ChatBody)


class CompletionRequest(msgspec.Struct, frozen=True):
    """A completion as it is to run."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    parameters: dict[str, msgspec.Raw]


def read_completion(
    data: bytes, limit: int
) -> Result[CompletionRequest, outcomes.Refusal]:
    """Returns the plan of ``POST /v1/completions``.

    ``limit`` bounds the tokens that may be asked for.
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
    """Returns the plan of ``POST /v1/chat/completions``."""
    match handler.read_json(data, protocol.ChatBody):
        case Result(tag='ok', ok=body):
            pass
        case Result(error=refusal):
            return Error(refusal)
    lines: list[str] = []
    for index, row in enumerate(body.messages):
        match _read_content(row):
            case Result(tag='ok', ok=text):
                lines.append(f'{row.role}: {text}')
            case Result(error=detail):
                return _refuse(f'messages[{index}]: {detail}')
    wanted = body.max_completion_tokens or body.max_tokens
    return _check(data, body, '\n'.join(lines), wanted, limit)


def _read_content(row: protocol.ChatMessage) -> Result[str, str]:
    if row.content is None or isinstance(row.content, str):
        return Ok(row.content or '')
    texts: list[str] = []
    for part in row.content:
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
    wanted = max_tokens or DEFAULT_MAX_TOKENS
    if wanted > limit:
        return _refuse(f'max_tokens: {wanted} is above {limit}')
    if not _is_unicode(prompt):
        return _refuse('the prompt holds half of a surrogate pair')
    options = body.stream_options
    return Ok(
        CompletionRequest(
            model=body.model,
            prompt=prompt,
            max_tokens=wanted,
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
        neutral = _NEUTRAL_BY_NAME.get(name, _NEUTRAL)
        if bytes(value).strip() not in neutral:
            return name
    return None


def _read_parameters(data: bytes, kind: type[Body]) -> dict[str, msgspec.Raw]:
    every = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    known = set(kind.__struct_fields__)
    return {name: value for name, value in every.items() if name not in known}


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refuse(detail: str) -> Result[CompletionRequest, outcomes.Refusal]:
    return Error(outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail))
