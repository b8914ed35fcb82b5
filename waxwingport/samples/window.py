"""Limits how many attempts a trainer has in progress."""

from collections.abc import Callable

__all__ = ['ConcurrencyWindow']

_MIN_SIZE = 2.0
_INITIAL_SIZE = 16.0
"""Also the limit while the trainer's share is unknown."""
_DECREASE_FACTOR = 0.7
"""Factor of the window after a refusal."""
_MAX_SHARE_RATIO = 1.1
"""Largest ratio of the window to the trainer's share of the slots."""


class ConcurrencyWindow:
    """Limit on the attempts that a trainer has in progress.

    It grows with each finished attempt and shrinks when the pool refuses one.
    ``compute_slot_share`` returns the trainer's share of the pool's slots,
    ``None`` while no engine has reported.
    """

    def __init__(self, compute_slot_share: Callable[[], float | None]) -> None:
        self._compute_slot_share = compute_slot_share
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

    def grow_to_share(self) -> None:
        """Grows the window to the trainer's whole share at once."""
        share = self._compute_slot_share()
        if share is not None:
            self._size = max(self._size, share)

    def _limit(self) -> float:
        share = self._compute_slot_share()
        return (
            _INITIAL_SIZE
            if share is None
            else max(_MIN_SIZE, share * _MAX_SHARE_RATIO)
        )
