"""Generates the reference pages of declarations and settings.

The tables come from the structs that define them, and the descriptions of
keys from the docstrings that follow the structs' fields.
"""

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

_BOUND_OPERATORS = {'gt': '>', 'ge': '>=', 'lt': '<', 'le': '<='}
_TYPE_NAMES = {
    msgspec.inspect.BoolType: 'boolean',
    msgspec.inspect.DictType: 'table of strings',
    msgspec.inspect.FloatType: 'number',
    msgspec.inspect.IntType: 'integer',
    msgspec.inspect.StrType: 'string',
    msgspec.inspect.VarTupleType: 'list of strings',
}
_DECLARATIONS_HEAD = """\
# Declarations

Generated from the source by `tools/write_reference.py`; a test checks that
the page is current. Declarations are written in one or more `*.toml` files
of a directory. Each is a table in a list, such as `[[pools]]`, and is
identified by its kind and name. `waxwingport check --declarations DIR` lists
every fault.
"""
_SETTINGS_HEAD = """\
# Settings

Generated from the source by `tools/write_reference.py`; a test checks that
the page is current. The settings of an entry node are written in one TOML
file. `waxwingport check --settings FILE` lists every fault; unknown keys are
faults.
"""
_GATEWAY_HEAD = """\
# Settings of a gateway

Generated from the source by `tools/write_reference.py`; a test checks that
the page is current. On the users' platform `deploy/gateway.toml` is the
template that the platform fills in. A node with invalid settings lists every
fault and exits; unknown keys are faults.
"""


def write_declarations_page() -> str:
    """Returns the Markdown page on declarations."""
    parts = [_DECLARATIONS_HEAD]
    for kind, struct in keys.KINDS.items():
        parts += _format_table(f'`[[{kind}]]`', struct)
    return '\n'.join(parts).rstrip() + '\n'


def write_settings_page() -> str:
    """Returns the Markdown page on the settings of an entry node."""
    return _format_settings(_SETTINGS_HEAD, settings.Settings)


def write_gateway_page() -> str:
    """Returns the Markdown page on the settings of a gateway node."""
    return _format_settings(_GATEWAY_HEAD, gateway_settings.GatewaySettings)


def _format_settings(head: str, settings_struct: type) -> str:
    parts = [head]
    for name, struct in _list_tables(settings_struct, ''):
        parts += _format_table(f'`[{name}]`', struct)
    return '\n'.join(parts).rstrip() + '\n'


def _list_tables(struct: type, prefix: str) -> Iterator[tuple[str, type]]:
    for field in msgspec.structs.fields(struct):
        inner = _find_struct(field.type)
        if inner is not None:
            name = f'{prefix}{field.encode_name}'
            yield name, inner
            yield from _list_tables(inner, f'{name}.')


def _find_struct(field_type: type) -> type | None:
    info = msgspec.inspect.type_info(field_type)
    for option in getattr(info, 'types', (info,)):
        if isinstance(option, msgspec.inspect.StructType):
            return option.cls
    return None


def _format_table(title: str, struct: type) -> list[str]:
    field_docs = _read_field_docs(struct)
    lines = [
        f'## {title}\n',
        _convert_markup(inspect.getdoc(struct)) + '\n',
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
            field_docs.get(field.name, ''),
        )
        lines.append(f'| {" | ".join(cells)} |')
    return [*lines, '']


def _convert_markup(text: str) -> str:
    return text.replace('``', '`').replace('.  ', '. ')


def _describe_type(field_type: type) -> str:
    info = msgspec.inspect.type_info(field_type)
    options = getattr(info, 'types', (info,))
    return ' or '.join(
        _describe_option(option)
        for option in options
        if not isinstance(option, msgspec.inspect.NoneType)
    )


def _describe_option(info: msgspec.inspect.Type) -> str:
    text = _TYPE_NAMES.get(type(info), type(info).__name__)
    if isinstance(info, msgspec.inspect.DictType):
        text = f'table of {_describe_option(info.value_type)}s'
    bounds = [
        f'{operator} {getattr(info, name):g}'
        for name, operator in _BOUND_OPERATORS.items()
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


def _read_field_docs(struct: type) -> dict[str, str]:
    """Returns the docstrings that follow a struct's fields, by field."""
    source = textwrap.dedent(inspect.getsource(struct))
    body = ast.parse(source).body[0].body
    field_docs = {}
    for field, docstring in zip(body, body[1:], strict=False):
        if isinstance(field, ast.AnnAssign) and isinstance(
            docstring, ast.Expr
        ):
            text = ast.literal_eval(docstring.value)
            field_docs[field.target.id] = _convert_markup(
                ' '.join(text.split())
            )
    return field_docs
