"""Rendezvous hashing: which names are responsible for a key."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ['pick', 'rank']

Name = TypeVar('Name', bound=str)


def rank(key: str, names: Iterable[Name]) -> list[Name]:
    """Returns ``names``, the most responsible for ``key`` first.

    A name that joins or leaves moves only the keys that it wins or held.
    """
    return sorted(names, key=lambda name: _weigh(key, name), reverse=True)


def pick(key: str, names: Iterable[Name]) -> Name | None:
    """Returns the name responsible for ``key``, ``None`` without names."""
    return max(names, key=lambda name: _weigh(key, name), default=None)


def _weigh(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()), name
