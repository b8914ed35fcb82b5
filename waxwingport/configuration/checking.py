"""Validates parsed data against a struct and reports every fault at once.

``msgspec`` stops at the first fault, so each field is converted on its own
according to the struct's type information.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import functools
import re

import msgspec

from waxwingport.configuration import faults

__all__ = [
    'JSON',
    'TOML',
    'Mismatch',
    'Notation',
    'check',
    'find_mismatches',
    'quote_name',
]

_ERROR_PATH = re.compile(r' - at `\$(.*)`$')
_NO_VALUE = object()
"""Matches no type."""
_PLAIN_NAME = re.compile(r'[\w-]+')
_MAX_NAME_CHARACTERS = 60
"""Longest unknown name in a message; a name may be of any length."""


class Notation(msgspec.Struct, frozen=True):
    """How places and values are called in messages about one format."""

    table: str
    key: str
    names_items: bool
    """Whether a path has the name of a list's item instead of its index."""


TOML = Notation('table', 'key', names_items=True)
JSON = Notation('JSON object', 'field', names_items=False)


class Mismatch(msgspec.Struct, frozen=True):
    """A place in the data that does not match the struct."""

    path: str
    message: str
    unknown: str | None = None
    """Name of the key, if it is one that the struct lacks; ``msgspec``
    ignores it."""


class _Field(msgspec.Struct, frozen=True):
    required: bool
    type: object
    is_optional: bool
    struct: type | None
    """The struct that the field may hold."""
    item_struct: type | None
    """The struct that is the type of the items of a list in the field."""


def check(
    data: object, expected: type, file: str = '', key: str = ''
) -> list[faults.Fault]:
    """Returns every fault of ``data``, which should match struct ``expected``.

    Each fault carries ``file`` and a key path that begins with ``key``.
    """
    return [
        faults.Fault(file, mismatch.path, mismatch.message)
        for mismatch in find_mismatches(data, expected, TOML, key)
    ]


def find_mismatches(
    data: object, expected: type, notation: Notation, path: str = ''
) -> Iterator[Mismatch]:
    """Yields where ``data`` does not match struct ``expected``.

    Paths begin with ``path``.
    """
    yield from _check_struct(data, expected, notation, path, False)


def _check_struct(
    data: object, struct: type, notation: Notation, path: str, is_valid: bool
) -> Iterator[Mismatch]:
    """Yields the mismatches of ``data`` and a struct.

    ``is_valid`` tells that ``data`` can be converted to the struct, so that
    only names can be unknown.
    """
    if not isinstance(data, Mapping):
        kind = 'null' if data is None else type(data).__name__
        yield Mismatch(path, f'expected a {notation.table}, got {kind}')
        return
    is_valid = is_valid or _find_error(data, struct) is None
    fields = _get_fields(struct)
    for name in data:
        if name not in fields:
            message = _describe_unknown(name, tuple(fields), notation)
            shown = quote_name(name) if notation is JSON else name
            yield Mismatch(_join(path, shown), message, name)
    for name, field in fields.items():
        if is_valid and field.struct is None and field.item_struct is None:
            continue
        if name in data:
            yield from _check_value(
                data[name], field, notation, _join(path, name), is_valid
            )
        elif field.required:
            message = 'is missing'
            if notation is JSON:
                message += f'; {_describe_type(field)}'
            yield Mismatch(_join(path, name), message)


@functools.cache
def _get_fields(struct: type) -> Mapping[str, _Field]:
    fields = {}
    for field in msgspec.structs.fields(struct):
        info = msgspec.inspect.type_info(field.type)
        options = getattr(info, 'types', (info,))
        items = [getattr(option, 'item_type', None) for option in options]
        fields[field.encode_name] = _Field(
            field.required,
            field.type,
            any(
                isinstance(found, msgspec.inspect.NoneType)
                for found in options
            ),
            _find_struct(options),
            _find_struct(items),
        )
    return fields


def _find_struct(options: Iterable[object]) -> type | None:
    for option in options:
        if isinstance(option, msgspec.inspect.StructType):
            return option.cls
    return None


def _check_value(
    value: object, field: _Field, notation: Notation, path: str, is_valid: bool
) -> Iterator[Mismatch]:
    if value is None and field.is_optional:
        return
    if field.struct is not None:
        yield from _check_struct(value, field.struct, notation, path, is_valid)
        return
    if field.item_struct is not None and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _check_struct(
                item,
                field.item_struct,
                notation,
                _make_item_path(path, index, item, notation),
                is_valid,
            )
        return
    error = _find_error(value, field.type)
    if error is None:
        return
    if isinstance(value, list):
        found = list(_check_items(value, field.type, path))
        if found:
            yield from found
            return
    yield _make_mismatch(path, error)


def _describe_type(field: _Field) -> str:
    """Returns which type a required field has, as ``msgspec`` calls it."""
    error = _find_error(_NO_VALUE, field.type)
    return _make_mismatch('', error).message.partition(', got ')[0]


def _check_items(
    values: Iterable[object], expected: object, path: str
) -> Iterator[Mismatch]:
    """Yields each item that can't be an item of the list ``expected``."""
    for index, value in enumerate(values):
        error = _find_error([value], expected)
        if error is not None:
            mismatch = _make_mismatch('', error)
            inner_path = mismatch.path.removeprefix('[0]')
            yield Mismatch(f'{path}[{index}]{inner_path}', mismatch.message)


def _find_error(
    value: object, expected: object
) -> msgspec.ValidationError | None:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        return error
    return None


def _make_mismatch(path: str, error: msgspec.ValidationError) -> Mismatch:
    """Returns the mismatch that an error about the value at ``path`` names."""
    text = str(error)
    location = _ERROR_PATH.search(text)
    message = _ERROR_PATH.sub('', text)
    inner_path = location[1] if location else ''
    return Mismatch(f'{path}{inner_path}', message[0].lower() + message[1:])


def _make_item_path(
    path: str, index: int, item: object, notation: Notation
) -> str:
    if notation.names_items and isinstance(item, Mapping):
        name = item.get('name')
        if isinstance(name, str) and name:
            return _join(path, name)
    return f'{path}[{index}]'


@functools.lru_cache
def _describe_unknown(
    name: str, known: tuple[str, ...], notation: Notation
) -> str:
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f'unknown {notation.key}; did you mean {matches[0]!r}?'
    return f'unknown {notation.key}; expected one of {", ".join(known)}'


def quote_name(name: str) -> str:
    """Returns a name that is no plain word in quotes, on one line."""
    if _PLAIN_NAME.fullmatch(name):
        return name
    return repr(name[:_MAX_NAME_CHARACTERS])


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
