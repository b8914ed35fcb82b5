"""Validates parsed data against a struct and reports every fault at once.

``msgspec`` stops at the first fault, so each field is converted on its own
according to the struct's type information.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import re

import msgspec

from waxwingport.configuration import faults

__all__ = ['check']

_ERROR_PATH = re.compile(r' - at `\$(.*)`$')


def check(
    data: object, expected: type, file: str = '', key: str = ''
) -> list[faults.Fault]:
    """Returns every fault of ``data``, which should match struct ``expected``.

    Each fault carries ``file`` and a key path that begins with ``key``.
    """
    return [
        faults.Fault(file, path, message)
        for path, message in _check_struct(data, expected, key)
    ]


def _check_struct(
    data: object, expected: type, path: str
) -> Iterator[tuple[str, str]]:
    if not isinstance(data, Mapping):
        yield path, f'expected a table, got {type(data).__name__}'
        return
    fields = {
        known.encode_name: known for known in msgspec.structs.fields(expected)
    }
    for name in data:
        if name not in fields:
            yield _join(path, name), _describe_unknown(name, fields)
    for name, field in fields.items():
        if name in data:
            yield from _check_value(data[name], field.type, _join(path, name))
        elif field.required:
            yield _join(path, name), 'is missing'


def _check_value(
    value: object, expected: type, path: str
) -> Iterator[tuple[str, str]]:
    info = msgspec.inspect.type_info(expected)
    options = getattr(info, 'types', (info,))
    for option in options:
        if isinstance(option, msgspec.inspect.StructType):
            yield from _check_struct(value, option.cls, path)
            return
        if _is_list_of_structs(option) and isinstance(value, list):
            for index, item in enumerate(value):
                item_path = _make_item_path(path, index, item)
                yield from _check_struct(item, option.item_type.cls, item_path)
            return
    yield from _convert(value, expected, path)


def _is_list_of_structs(info: msgspec.inspect.Type) -> bool:
    item = getattr(info, 'item_type', None)
    return isinstance(item, msgspec.inspect.StructType)


def _convert(
    value: object, expected: type, path: str
) -> Iterator[tuple[str, str]]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        text = str(error)
        location = _ERROR_PATH.search(text)
        inner_path = location[1] if location else ''
        message = _ERROR_PATH.sub('', text)
        yield f'{path}{inner_path}', message[0].lower() + message[1:]


def _make_item_path(path: str, index: int, item: object) -> str:
    name = item.get('name') if isinstance(item, Mapping) else None
    if isinstance(name, str) and name:
        return _join(path, name)
    return f'{path}[{index}]'


def _describe_unknown(name: str, known: Mapping[str, object]) -> str:
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f'unknown key; did you mean {matches[0]!r}?'
    return f'unknown key; expected one of {", ".join(known)}'


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
