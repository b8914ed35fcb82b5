"""Consistency rules between declarations, such as references by name."""

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

_SHARED_NAMESPACE = {'pools': 'services', 'services': 'pools'}
"""The other kind among whose names a name must not appear."""
_NAME_PATTERN = re.compile(r'[^\s/]+(/[^\s/]+)*')
_URL_SEGMENT_PATTERN = re.compile(r'[^\s/]+')
_KINDS_IN_URLS = ('services', 'trainers')
"""Kinds whose names appear as one segment of a URL path."""


def find_faults(
    declared: Mapping[keys.Key, keys.Declared],
    changed: Iterable[keys.Key] | None = None,
    broken: Collection[keys.Key] = (),
) -> list[tuple[str, str]]:
    """Returns each violated rule as a key path and a message.

    ``changed`` holds the keys that differ from an earlier, consistent set;
    only rules that those keys can violate are checked.  Without it, all are.
    ``broken`` holds keys that exist but can't be parsed; references to them
    are no fault.
    """
    checker = _Checker(declared, broken)
    checked = declared if changed is None else changed
    found: dict[tuple[str, str], None] = {}
    for key in checked:
        found.update(dict.fromkeys(checker.check(key)))
    return list(found)


class _Checker:
    def __init__(
        self,
        declared: Mapping[keys.Key, keys.Declared],
        broken: Collection[keys.Key],
    ) -> None:
        self._declared = declared
        self._broken = broken

    def check(self, key: keys.Key) -> Iterator[tuple[str, str]]:
        value = self._declared.get(key)
        kind, _, name = key.partition('/')
        if value is not None:
            yield from _check_name_format(key, kind, name)
        match value:
            case None:
                yield from self._check_references_to_removed(kind, name)
            case declarations.LabelRule():
                yield from _check_selector(key, 'match', value.match)
            case declarations.Pool() | declarations.Service():
                yield from _check_selector(key, 'selector', value.selector)
                yield from self._check_group_name(key, kind, name)
            case declarations.Trainer():
                yield from self._check_trainer(key, value)
            case declarations.Caller():
                yield from self._check_caller(key, value)
            case declarations.Limits():
                yield from self._check_limits(key)

    def _check_group_name(
        self, key: keys.Key, kind: str, name: str
    ) -> Iterator[tuple[str, str]]:
        other = _SHARED_NAMESPACE[kind]
        if keys.make_key(other, name) in self._declared:
            yield (
                _make_path(key, 'name'),
                f'{name!r} is also the name of one of the {other}',
            )

    def _check_trainer(
        self, key: keys.Key, value: declarations.Trainer
    ) -> Iterator[tuple[str, str]]:
        yield from self._check_reference(
            _make_path(key, 'pool'), 'pools', value.pool
        )
        if value.scoring is not None:
            path = _make_path(key, 'scoring')
            yield from self._check_reference(path, 'services', value.scoring)

    def _check_caller(
        self, key: keys.Key, value: declarations.Caller
    ) -> Iterator[tuple[str, str]]:
        for name in value.allow:
            if not self._can_be_allowed(name):
                yield (
                    _make_path(key, 'allow'),
                    f'no pool, service or trainer is named {name!r}',
                )
        others = set(self._names_by_token[value.token_sha256]) - {value.name}
        if others:
            yield (
                _make_path(key, 'token_sha256'),
                f'caller {min(others)!r} uses the same token',
            )

    def _check_limits(self, key: keys.Key) -> Iterator[tuple[str, str]]:
        others = [other for other in self._list('limits') if other != key]
        if others:
            yield _make_path(key, 'name'), 'only one limits table is allowed'

    def _check_references_to_removed(
        self, kind: str, name: str
    ) -> Iterator[tuple[str, str]]:
        if kind in ('pools', 'services'):
            for key in self._list('trainers'):
                yield from self._check_trainer(key, self._declared[key])
        if kind in ('pools', 'services', 'trainers'):
            for key in self._list('callers'):
                if name in self._declared[key].allow:
                    yield from self._check_caller(key, self._declared[key])

    def _check_reference(
        self, path: str, kind: str, name: str
    ) -> Iterator[tuple[str, str]]:
        if self._exists(kind, name):
            return
        known = [keys.split_key(key)[1] for key in self._list(kind)]
        matches = difflib.get_close_matches(name, known, n=1)
        hint = f'; did you mean {matches[0]!r}?' if matches else ''
        yield path, f'none of the {kind} is named {name!r}{hint}'

    def _can_be_allowed(self, name: str) -> bool:
        kinds = ('pools', 'services', 'trainers')
        return any(self._exists(kind, name) for kind in kinds)

    def _exists(self, kind: str, name: str) -> bool:
        key = keys.make_key(kind, name)
        return key in self._declared or key in self._broken

    def _list(self, kind: str) -> list[keys.Key]:
        prefix = f'{kind}/'
        return [key for key in self._declared if key.startswith(prefix)]

    @functools.cached_property
    def _names_by_token(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for key in self._list('callers'):
            caller = self._declared[key]
            found.setdefault(caller.token_sha256, []).append(caller.name)
        return found


def _check_name_format(
    key: keys.Key, kind: str, name: str
) -> Iterator[tuple[str, str]]:
    pattern = _URL_SEGMENT_PATTERN if kind in _KINDS_IN_URLS else _NAME_PATTERN
    if pattern.fullmatch(name) is None:
        forbidden = (
            'a space' if kind not in _KINDS_IN_URLS else 'a space or slash'
        )
        yield (
            _make_path(key, 'name'),
            f'{name!r} is empty or contains {forbidden}',
        )


def _check_selector(
    key: keys.Key, field: str, text: str
) -> Iterator[tuple[str, str]]:
    match selectors.parse(text):
        case Result(tag='error', error=reason):
            yield _make_path(key, field), reason


def _make_path(key: keys.Key, field: str) -> str:
    return f'{key.replace("/", ".", 1)}.{field}'
