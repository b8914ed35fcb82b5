"""Monotonic values that nodes exchange in membership messages."""

from collections.abc import Callable
from collections.abc import Mapping

__all__ = ['Hints', 'Listener']

Listener = Callable[[str, int], None]

_MAX_KEYS = 64
_HEARTBEATS_PER_CHANGE = 2
"""Heartbeats that carry the hints after each change."""


class Hints:
    """Integers by key that only increase and are merged by maximum.

    ``own`` holds the values that this node published, ``highest`` the maximum
    heard from any node.  ``remote`` holds the values heard from other data
    centres, which this node forwards within its own.
    """

    def __init__(self) -> None:
        self.own: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.remote: dict[str, int] = {}
        self._heartbeats_due = 0
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Calls ``listener(key, value)`` when a higher value is heard."""
        self._listeners.append(listener)

    def publish(self, key: str, value: int) -> None:
        """Sets a value of this node; heartbeats carry it from then on."""
        if self.own.get(key) != value:
            self.own[key] = value
            self._heartbeats_due = _HEARTBEATS_PER_CHANGE
            self.merge({key: value})

    def merge(self, heard: Mapping[str, int]) -> None:
        """Merges the values of another node; calls listeners on increases.

        New keys are ignored once the number of keys is at its maximum.
        """
        for key, value in heard.items():
            known = self.highest.get(key)
            if known is None and len(self.highest) >= _MAX_KEYS:
                continue
            if known is None or value > known:
                self.highest[key] = value
                for listener in self._listeners:
                    listener(key, value)

    def merge_remote(self, heard: Mapping[str, int]) -> None:
        """Merges the values from another data centre, to be forwarded here."""
        increased = {
            key: value
            for key, value in heard.items()
            if value > self.highest.get(key, value - 1)
        }
        if increased:
            self.merge(increased)
            self.remote |= increased
            self._heartbeats_due = _HEARTBEATS_PER_CHANGE

    def is_due(self) -> bool:
        """Returns whether the next heartbeat must carry the hints.

        Call it once per heartbeat, as it counts them.
        """
        if self._heartbeats_due:
            self._heartbeats_due -= 1
            return True
        return False
