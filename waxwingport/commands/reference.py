"""Reference pages of declarations and settings, made from the structs."""

import ast
from collections.abc import Iterator
import inspect
import textwrap

import msgspec

from waxwingport.configuration import keys
from waxwingport.gateway import settings as gateway_settings
from waxwingport import settings

__all__ = [
    'write_declarations_page',
    'write_gateway_page',
    'write_settings_page',
]

_BOUNDS = {'gt': '>', 'ge': '>=', 'lt': '<', 'le': '<='}
_NAMES = {
    msgspec.inspect.BoolType: 'boolean',
    msgspec.inspect.DictType: 'table of strings',
    msgspec.inspect.FloatType: 'number',
    msgspec.inspect.IntType: 'integer',
    msgspec.inspect.StrType: 'string',
    msgspec.inspect.VarTupleType: 'list of strings',
}
_DECLARATIONS_HEAD = """\
# Declarations

Made from the program's own definitions by `tools/write_reference.py`; a test
compares. Declarations stand in one or more `*.toml` files of a directory.
Each is a table in a list, such as `[[pools]]`, and is known by its kind and
name. `waxwingport check --declarations DIR` names every fault.
"""
_SETTINGS_HEAD = """\
# Settings

Made from the program's own definitions by `tools/write_reference.py`; a test
compares. A node's settings stand in one TOML file. `waxwingport check
--settings FILE` names every fault; unknown keys are faults.
"""
_GATEWAY_HEAD = """\
# Settings of a gateway

Made from the program's own definitions by `tools/write_reference.py`; a test
compares. On the users' platform `deploy/gateway.toml` is the template that
the platform fills in. A start names every fault and ends; unknown keys are
faults.
"""


def write_declarations_page() -> str:
    """Returns the page on declarations."""
    parts = [_DECLARATIONS_HEAD]
    for kind, struct in keys.KINDS.items():
        parts += _write_table(f'`[[{kind}]]`', struct)
    return '\n'.join(parts).rstrip() + '\n'


def write_settings_page() -> str:
    """Returns the page on the settings of an entry node."""
    return _write_settings(_SETTINGS_HEAD, settings.Settings)


def write_gateway_page() -> str:
    """Returns the page on the settings of a gateway node."""
    return _write_settings(_GATEWAY_HEAD, gateway_settings.GatewaySettings)


def _write_settings(head: str, struct_: type) -> str:
    parts = [head]
    for name, struct in _list_tables(struct_, ''):
        parts += _write_table(f'`[{name}]`', struct)
    return '\n'.join(parts).rstrip() + '\n'


def _list_tables(struct: type, prefix: str) -> Iterator[tuple[str, type]]:
    for field in msgspec.structs.fields(struct):
        inner = _find_struct(field.type)
        if inner is not None:
            name = f'{prefix}{field.encode_name}'
            yield name, inner
            yield from _list_tables(inner, f'{name}.')


def _find_struct(expected: type) -> type | None:
    info = msgspec.inspect.type_info(expected)
    for option in getattr(info, 'types', (info,)):
        if isinstance(option, msgspec.inspect.StructType):
            return option.cls
    return None


def _write_table(title: str, struct: type) -> list[str]:
    notes = _read_notes(struct)
    lines = [
        f'## {title}\n',
        _format(inspect.getdoc(struct)) + '\n',
        '| key | type | default | |',
        '| --- | --- | --- | --- |',
    ]
    for field in msgspec.structs.fields(struct):
        if _find_struct(field.type) is not None:
            continue
        cells = (
            f'`{field.encode_name}`',
            _describe_type(field.type),
            _describe_default(field),
            notes.get(field.name, ''),
        )
        lines.append(f'| {" | ".join(cells)} |')
    return [*lines, '']


def _format(text: str) -> str:
    return text.replace('``', '`').replace('.  ', '. ')


def _describe_type(expected: type) -> str:
    info = msgspec.inspect.type_info(expected)
    options = getattr(info, 'types', (info,))
    return ' or '.join(
        _describe_option(option)
        for option in options
        if not isinstance(option, msgspec.inspect.NoneType)
    )


def _describe_option(info: msgspec.inspect.Type) -> str:
    text = _NAMES.get(type(info), type(info).__name__)
    if isinstance(info, msgspec.inspect.DictType):
        text = f'table of {_describe_option(info.value_type)}s'
    bounds = [
        f'{sign} {getattr(info, name):g}'
        for name, sign in _BOUNDS.items()
        if getattr(info, name, None) is not None
    ]
    pattern = getattr(info, 'pattern', None)
    if pattern:
        bounds.append(f'matching `{pattern}`')
    return ', '.join([text, *bounds])


def _describe_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    if default is None:
        return 'none'
    return f'`{msgspec.json.encode(default).decode()}`'


def _read_notes(struct: type) -> dict[str, str]:
    """Returns the docstrings that follow the fields of a struct."""
    source = textwrap.dedent(inspect.getsource(struct))
    body = ast.parse(source).body[0].body
    notes = {}
    for field, note in zip(body, body[1:], strict=False):
        if isinstance(field, ast.AnnAssign) and isinstance(note, ast.Expr):
            text = ast.literal_eval(note.value)
            notes[field.target.id] = _format(' '.join(text.split()))
    return notes
