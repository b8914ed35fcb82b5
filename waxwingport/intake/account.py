"""One account of the memory that a process holds for callers."""

import enum

from waxwingport import metrics

__all__ = [
    'SMALL_BODY_BYTES',
    'Kind',
    'MemoryAccount',
    'Share',
    'divide_memory',
]

_MIB = 1 << 20
_OWN_BYTES = 96 * _MIB
"""What a process needs for itself: 38 MB when idle, one copy of the largest
legal body (32 MiB), which exists while a body is put together, and a quarter
for fragmentation."""
_MAX_ANSWER_BYTES = 64 * _MIB
"""Most memory for answers that are being read from targets."""
_RESERVED_SHARE = 0.25
"""Part of the budget that only small bodies may take."""
SMALL_BODY_BYTES = 65_536
"""Largest body that may use the reserve: the reserve of the smallest machine
(12 MiB) has room for some hundred of them."""


class Kind(enum.IntEnum):
    """What memory is held for.

    Integers, since the hash of other members is computed in Python.
    """

    CONNECTIONS = 0
    """Objects and read buffers of connections, heads, and bodies that arrived
    with their heads."""
    BODIES = 1
    """Bodies that are being read or kept until they are answered."""
    COPIES = 2
    """Decoded copies of submissions."""
    ANSWERS = 3
    """Answers that readers have not taken yet."""


class Share:
    """Bytes held for one connection, by kind."""

    __slots__ = ('_account', '_held', '_is_closed', 'total')

    def __init__(self, account: 'MemoryAccount') -> None:
        self._account = account
        self._held = [0] * len(Kind)
        self._is_closed = False
        self.total = 0

    def set(self, kind: Kind, size: int) -> None:
        """Makes ``size`` the number of bytes that are held for ``kind``.

        Does nothing once the share is closed.
        """
        if self._is_closed:
            return
        change = size - self._held[kind]
        if change:
            self._held[kind] = size
            self.total += change
            account = self._account
            account.held[kind] += change
            account.total += change

    def keep(self, kind: Kind, size: int) -> None:
        """Returns all bytes but ``size`` bytes for ``kind``.

        Does nothing once the share is closed.
        """
        if self._is_closed:
            return
        self.set(kind, size)
        if self.total != size:
            self.clear()
            self.set(kind, size)

    def get(self, kind: Kind) -> int:
        """Returns the bytes that are held for ``kind``."""
        return self._held[kind]

    def clear(self) -> None:
        """Returns all bytes."""
        for kind, size in enumerate(self._held):
            if size:
                self.set(kind, 0)

    def close(self) -> None:
        """Returns all bytes for good: its connection is closed."""
        self.clear()
        self._is_closed = True


class MemoryAccount:
    """Counts the bytes held for callers against a budget in bytes."""

    def __init__(self, budget: int, bounds_copies: bool = False) -> None:
        self.budget = budget
        self.bounds_copies = bounds_copies
        """Whether a submission whose copies exceed the budget is refused even
        when nothing else is held."""
        self.held = [0] * len(Kind)
        """Bytes held by kind; changed only by shares, as ``total`` is."""
        self.total = 0
        """Bytes held of all kinds."""

    @property
    def excess(self) -> int:
        """Bytes held beyond the budget, negative if there is room."""
        return self.total - self.budget

    def get_held(self, kind: Kind) -> int:
        """Returns the bytes held for ``kind``."""
        return self.held[kind]

    def has_room(self, size: int, large: bool) -> bool:
        """Returns whether ``size`` bytes more fit into the budget.

        Large bodies leave the reserve to small ones.
        """
        budget = self.budget
        if large:
            budget -= int(_RESERVED_SHARE * budget)
        return self.total + size <= budget

    def has_room_for_copies(self, size: int) -> bool:
        """Returns whether a submission's copies of ``size`` bytes fit."""
        if self.has_room(size, size > SMALL_BODY_BYTES):
            return True
        return not (self.bounds_copies or self.held[Kind.COPIES])

    def export(self, counters: metrics.Metrics) -> None:
        """Sets the gauges of the bytes held."""
        for kind in Kind:
            counters.set(
                'waxwingport_intake_held_bytes',
                'Bytes held for callers, by kind.',
                self.held[kind],
                kind=kind.name.lower(),
            )


def divide_memory(machine_mb: int) -> tuple[int, int]:
    """Divides a machine's memory of ``machine_mb`` MB (of 1,048,576 bytes).

    Returns the budget for callers and the memory for answers that are being
    read from targets, both in bytes.
    """
    available = max(machine_mb * _MIB - _OWN_BYTES, 4 * _MIB)
    answers = min(_MAX_ANSWER_BYTES, available // 4)
    return available - answers, answers
