"""How many generations a trainer may have in progress."""

from collections.abc import Callable

__all__ = ['Window']

_LEAST = 2.0
_FIRST = 16.0
_DECREASE = 0.7
_HEADROOM = 1.1


class Window:
    """Grows with finished work and shrinks when the pool refuses.

    ``find_share`` gives the trainer's share of the pool's slots, ``None``
    while the engines have reported none.
    """

    def __init__(self, find_share: Callable[[], float | None]) -> None:
        self._find_share = find_share
        self._size = _FIRST

    @property
    def size(self) -> int:
        """Attempts that may run at the same time."""
        return int(max(_LEAST, min(self._size, self._limit())))

    def note_finished(self) -> None:
        """Takes an attempt that ended well."""
        self._size = min(self._size + 1.0, self._limit())

    def note_refused(self) -> None:
        """Takes a refusal for want of room."""
        self._size = max(_LEAST, min(self._size, self._limit()) * _DECREASE)

    def open_fully(self) -> None:
        """Starts from the whole share, as at the start of a step."""
        share = self._find_share()
        if share is not None:
            self._size = max(self._size, share)

    def _limit(self) -> float:
        share = self._find_share()
        return _FIRST if share is None else max(_LEAST, share * _HEADROOM)
