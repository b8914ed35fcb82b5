"""Keys of declarations: ``kind/name``."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import NewType
from typing import TypeVar

import msgspec

from waxwingport.configuration import declarations

__all__ = [
    'KINDS',
    'Declared',
    'Key',
    'assemble',
    'make_key',
    'split',
    'split_key',
]

Key = NewType('Key', str)
"""``kind/name``, such as ``pools/redactor``."""

Declared = (
    declarations.Caller
    | declarations.LabelRule
    | declarations.Limits
    | declarations.Pool
    | declarations.Service
    | declarations.Trainer
)

Row = TypeVar('Row')


def _find_kinds() -> dict[str, type]:
    fields = msgspec.structs.fields(declarations.Declarations)
    return {
        field.encode_name: msgspec.inspect.type_info(field.type).item_type.cls
        for field in fields
    }


KINDS: dict[str, type] = _find_kinds()
"""The struct class of each kind, by the name of its TOML table."""


def make_key(kind: str, name: str) -> Key:
    """Returns the key of a declaration."""
    return Key(f'{kind}/{name}')


def split_key(key: str) -> tuple[str, str]:
    """Returns kind and name; the kind is empty if the key is malformed."""
    kind, _, name = key.partition('/')
    return (kind, name) if kind in KINDS and name else ('', key)


def split(declared: declarations.Declarations) -> dict[Key, Declared]:
    """Returns the declarations by key."""
    return {
        make_key(kind, value.name): value
        for kind in KINDS
        for value in getattr(declared, kind)
    }


def assemble(
    declared: Mapping[Key, Declared],
) -> declarations.Declarations:
    """Returns a set of declarations from values by key, ordered by name."""
    grouped: dict[str, list[Declared]] = {kind: [] for kind in KINDS}
    for kind, value in _list_sorted(declared):
        grouped[kind].append(value)
    return declarations.Declarations(
        **{kind: tuple(found) for kind, found in grouped.items()}
    )


def _list_sorted(
    declared: Mapping[Key, Declared],
) -> Iterator[tuple[str, Declared]]:
    for key in sorted(declared):
        yield split_key(key)[0], declared[key]
