"""Rules that tie declarations to each other."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import functools
import re

from expression import Result

from waxwingport.configuration import declarations
from waxwingport.configuration import keys
from waxwingport.configuration import selectors

__all__ = ['find_faults']

_GROUPS = {'pools': 'services', 'services': 'pools'}
_NAME = re.compile(r'[^\s/]+(/[^\s/]+)*')
_SEGMENT = re.compile(r'[^\s/]+')
_IN_PATHS = ('services', 'trainers')
"""Kinds whose names are a segment of a URL's path."""


def find_faults(
    rows: Mapping[keys.Key, keys.Declared],
    changed: Iterable[keys.Key] | None = None,
    broken: Collection[keys.Key] = (),
) -> list[tuple[str, str]]:
    """Returns each broken rule as the key path and what is wrong.

    ``changed`` names the keys that differ from an earlier, consistent set:
    only rules that they can break are looked at.  All are without it.
    ``broken`` names keys that exist but are unreadable; others may name them.
    """
    checker = _Checker(rows, broken)
    names = rows if changed is None else changed
    found: dict[tuple[str, str], None] = {}
    for key in names:
        found.update(dict.fromkeys(checker.check(key)))
    return list(found)


class _Checker:
    def __init__(
        self,
        rows: Mapping[keys.Key, keys.Declared],
        broken: Collection[keys.Key],
    ) -> None:
        self._rows = rows
        self._broken = broken

    def check(self, key: keys.Key) -> Iterator[tuple[str, str]]:
        value = self._rows.get(key)
        kind, _, name = key.partition('/')
        if value is not None:
            yield from _check_spelling(key, kind, name)
        match value:
            case None:
                yield from self._check_removed(kind, name)
            case declarations.LabelRule():
                yield from _check_selector(key, 'match', value.match)
            case declarations.Pool() | declarations.Service():
                yield from _check_selector(key, 'selector', value.selector)
                yield from self._check_group(key, kind, name)
            case declarations.Trainer():
                yield from self._check_trainer(key, value)
            case declarations.Caller():
                yield from self._check_caller(key, value)
            case declarations.Limits():
                yield from self._check_limits(key)

    def _check_group(
        self, key: keys.Key, kind: str, name: str
    ) -> Iterator[tuple[str, str]]:
        other = _GROUPS[kind]
        if keys.make_key(other, name) in self._rows:
            yield (
                _path(key, 'name'),
                f'{name!r} is also the name of one of the {other}',
            )

    def _check_trainer(
        self, key: keys.Key, value: declarations.Trainer
    ) -> Iterator[tuple[str, str]]:
        yield from self._check_name(_path(key, 'pool'), 'pools', value.pool)
        if value.scoring is not None:
            path = _path(key, 'scoring')
            yield from self._check_name(path, 'services', value.scoring)

    def _check_caller(
        self, key: keys.Key, value: declarations.Caller
    ) -> Iterator[tuple[str, str]]:
        for name in value.allow:
            if not self._is_allowable(name):
                yield (
                    _path(key, 'allow'),
                    f'no pool, service or trainer is called {name!r}',
                )
        others = set(self._tokens[value.token_sha256]) - {value.name}
        if others:
            yield (
                _path(key, 'token_sha256'),
                f'caller {min(others)!r} has the same token',
            )

    def _check_limits(self, key: keys.Key) -> Iterator[tuple[str, str]]:
        others = [row for row in self._list('limits') if row != key]
        if others:
            yield _path(key, 'name'), 'only one table of limits may stand'

    def _check_removed(
        self, kind: str, name: str
    ) -> Iterator[tuple[str, str]]:
        if kind in ('pools', 'services'):
            for key in self._list('trainers'):
                yield from self._check_trainer(key, self._rows[key])
        if kind in ('pools', 'services', 'trainers'):
            for key in self._list('callers'):
                if name in self._rows[key].allow:
                    yield from self._check_caller(key, self._rows[key])

    def _check_name(
        self, path: str, kind: str, name: str
    ) -> Iterator[tuple[str, str]]:
        if self._exists(kind, name):
            return
        known = [keys.split_key(key)[1] for key in self._list(kind)]
        near = difflib.get_close_matches(name, known, n=1)
        hint = f'; did you mean {near[0]!r}?' if near else ''
        yield path, f'none of the {kind} is called {name!r}{hint}'

    def _is_allowable(self, name: str) -> bool:
        kinds = ('pools', 'services', 'trainers')
        return any(self._exists(kind, name) for kind in kinds)

    def _exists(self, kind: str, name: str) -> bool:
        key = keys.make_key(kind, name)
        return key in self._rows or key in self._broken

    def _list(self, kind: str) -> list[keys.Key]:
        prefix = f'{kind}/'
        return [key for key in self._rows if key.startswith(prefix)]

    @functools.cached_property
    def _tokens(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for key in self._list('callers'):
            row = self._rows[key]
            found.setdefault(row.token_sha256, []).append(row.name)
        return found


def _check_spelling(
    key: keys.Key, kind: str, name: str
) -> Iterator[tuple[str, str]]:
    pattern = _SEGMENT if kind in _IN_PATHS else _NAME
    if pattern.fullmatch(name) is None:
        what = 'a space' if kind not in _IN_PATHS else 'a space or slash'
        yield _path(key, 'name'), f'{name!r} is empty or holds {what}'


def _check_selector(
    key: keys.Key, field: str, text: str
) -> Iterator[tuple[str, str]]:
    match selectors.parse(text):
        case Result(tag='error', error=reason):
            yield _path(key, field), reason


def _path(key: keys.Key, field: str) -> str:
    return f'{key.replace("/", ".", 1)}.{field}'
