"""Checks plain data against a struct and reports every fault at once.

``msgspec`` stops at the first fault; here each field is converted on its own,
as the struct's type information says.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import re

import msgspec

from waxwingport.configuration import faults

__all__ = ['check']

_LOCATION = re.compile(r' - at `\$(.*)`$')


def check(
    data: object, expected: type, file: str = '', key: str = ''
) -> list[faults.Fault]:
    """Returns every fault of ``data`` as a value of a struct type.

    Faults are named by ``file`` and by key paths that begin with ``key``.
    """
    return [
        faults.Fault(file, path, what)
        for path, what in _check_struct(data, expected, key)
    ]


def _check_struct(
    data: object, expected: type, path: str
) -> Iterator[tuple[str, str]]:
    if not isinstance(data, Mapping):
        yield path, f'expected a table, got {type(data).__name__}'
        return
    fields = {row.encode_name: row for row in msgspec.structs.fields(expected)}
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
        if _holds_structs(option) and isinstance(value, list):
            for index, row in enumerate(value):
                place = _name_row(path, index, row)
                yield from _check_struct(row, option.item_type.cls, place)
            return
    yield from _convert(value, expected, path)


def _holds_structs(info: msgspec.inspect.Type) -> bool:
    item = getattr(info, 'item_type', None)
    return isinstance(item, msgspec.inspect.StructType)


def _convert(
    value: object, expected: type, path: str
) -> Iterator[tuple[str, str]]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        text = str(error)
        place = _LOCATION.search(text)
        inner = place[1] if place else ''
        what = _LOCATION.sub('', text)
        yield f'{path}{inner}', what[0].lower() + what[1:]


def _name_row(path: str, index: int, row: object) -> str:
    name = row.get('name') if isinstance(row, Mapping) else None
    if isinstance(name, str) and name:
        return _join(path, name)
    return f'{path}[{index}]'


def _describe_unknown(name: str, known: Mapping[str, object]) -> str:
    near = difflib.get_close_matches(name, known, n=1)
    if near:
        return f'unknown key; did you mean {near[0]!r}?'
    return f'unknown key; known are {", ".join(known)}'


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
