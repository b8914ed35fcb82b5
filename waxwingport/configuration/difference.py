"""Compares two sets of declarations."""

from collections.abc import Iterator

import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import keys

__all__ = ['compare', 'describe']


def compare(
    before: declarations.Declarations, after: declarations.Declarations
) -> dict[keys.Key, keys.Declared | None]:
    """Returns the new value of each key that differs.

    ``None`` stands for a key that ``after`` no longer has.
    """
    old = keys.split(before)
    new = keys.split(after)
    values: dict[keys.Key, keys.Declared | None] = {
        key: value for key, value in new.items() if old.get(key) != value
    }
    values |= {key: None for key in old if key not in new}
    return dict(sorted(values.items()))


def describe(
    before: declarations.Declarations,
    values: dict[keys.Key, keys.Declared | None],
) -> list[str]:
    """Returns a line for each changed key and for each changed field.

    ``values`` are the changes against ``before``, as from ``compare``.
    """
    old = keys.split(before)
    lines: list[str] = []
    for key, value in values.items():
        lines += _describe_key(key, old.get(key), value)
    return lines


def _describe_key(
    key: keys.Key,
    before: keys.Declared | None,
    after: keys.Declared | None,
) -> Iterator[str]:
    if after is None:
        yield f'- {key}'
        return
    yield f'+ {key}' if before is None else f'~ {key}'
    old = {} if before is None else msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) == new.get(field) or field == 'name':
            continue
        if before is None:
            yield f'    {field} = {new[field]!r}'
        else:
            past = old.get(field, 'default')
            yield f'    {field}: {past!r} -> {new.get(field, "default")!r}'
