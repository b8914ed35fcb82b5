"""Limits how many generations a trainer has in progress."""

from collections.abc import Callable

__all__ = ['ConcurrencyWindow']

_MIN_SIZE = 2.0
_INITIAL_SIZE = 16.0
"""Also the limit while the trainer's share is unknown."""
_DECREASE_FACTOR = 0.7
_HEADROOM = 1.1
"""How many times the trainer's share the window may grow to."""


class ConcurrencyWindow:
    """Grows with finished attempts and shrinks when the pool refuses one.

    ``find_share`` returns the trainer's share of the pool's slots, ``None``
    while no engine has reported.
    """

    def __init__(self, find_share: Callable[[], float | None]) -> None:
        self._find_share = find_share
        self._size = _INITIAL_SIZE

    @property
    def size(self) -> int:
        """How many attempts may run at the same time."""
        return int(max(_MIN_SIZE, min(self._size, self._limit())))

    def record_finished(self) -> None:
        """Grows the window by one after an attempt that succeeded."""
        self._size = min(self._size + 1.0, self._limit())

    def record_refused(self) -> None:
        """Shrinks the window after a refusal for lack of capacity."""
        self._size = max(
            _MIN_SIZE, min(self._size, self._limit()) * _DECREASE_FACTOR
        )

    def open_to_share(self) -> None:
        """Grows the window to the trainer's whole share at once."""
        share = self._find_share()
        if share is not None:
            self._size = max(self._size, share)

    def _limit(self) -> float:
        share = self._find_share()
        return (
            _INITIAL_SIZE
            if share is None
            else max(_MIN_SIZE, share * _HEADROOM)
        )
