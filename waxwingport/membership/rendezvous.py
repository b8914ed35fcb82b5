"""Rendezvous hashing: assigns keys to names without coordination."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ['pick', 'rank']

Name = TypeVar('Name', bound=str)


def rank(key: str, names: Iterable[Name]) -> list[Name]:
    """Returns ``names`` ordered by their weight for ``key``, highest first.

    When a name is added or removed, only keys that it ranks first for move.
    """
    return sorted(
        names, key=lambda name: _compute_weight(key, name), reverse=True
    )


def pick(key: str, names: Iterable[Name]) -> Name | None:
    """Returns the first name for ``key``, ``None`` without names."""
    return max(
        names, key=lambda name: _compute_weight(key, name), default=None
    )


def _compute_weight(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()), name
