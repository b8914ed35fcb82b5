"""Numbers in messages of other processes."""

import math

__all__ = ['read_decimal', 'read_whole_number']

_MAX_DIGITS = 18
"""Digits of the longest number that is read: all of them fit into 64 bits.
Python refuses to convert several thousand digits."""
_DIGITS = frozenset('0123456789')


def read_whole_number(text: str | bytes) -> int | None:
    """Returns a number of ASCII digits, ``None`` if it is none or too long.

    White space around it is ignored.
    """
    if isinstance(text, bytes):
        text = text.decode('ascii', errors='replace')
    text = text.strip()
    if not 0 < len(text) <= _MAX_DIGITS or not _DIGITS.issuperset(text):
        return None
    return int(text)


def read_decimal(text: str | None) -> float | None:
    """Returns a finite decimal number, ``None`` if it is none."""
    try:
        number = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) else None
