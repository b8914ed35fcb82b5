"""Small numbers that spread with membership's own messages."""

from collections.abc import Callable
from collections.abc import Mapping

__all__ = ['Hints', 'Listener']

Listener = Callable[[str, int], None]

_KEYS = 64
_BEATS_PER_CHANGE = 2


class Hints:
    """Values that only grow, merged by maximum.

    ``own`` is what this node published, ``highest`` the maximum of what any
    node did, as far as it was heard; ``distant`` are the values heard from
    other data centres, which this node passes on in its own.
    """

    def __init__(self) -> None:
        self.own: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.distant: dict[str, int] = {}
        self._news = 0
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Calls ``listener(key, value)`` when a higher value is heard."""
        self._listeners.append(listener)

    def publish(self, key: str, value: int) -> None:
        """Sets a value of this node."""
        if self.own.get(key) != value:
            self.own[key] = value
            self._news = _BEATS_PER_CHANGE
            self.take({key: value})

    def take(self, heard: Mapping[str, int]) -> None:
        """Merges what another node told."""
        for key, value in heard.items():
            known = self.highest.get(key)
            if known is None and len(self.highest) >= _KEYS:
                continue
            if known is None or value > known:
                self.highest[key] = value
                for listener in self._listeners:
                    listener(key, value)

    def take_distant(self, heard: Mapping[str, int]) -> None:
        """Merges what another data centre told."""
        news = {
            key: value
            for key, value in heard.items()
            if value > self.highest.get(key, value - 1)
        }
        if news:
            self.take(news)
            self.distant |= news
            self._news = _BEATS_PER_CHANGE

    def is_due(self) -> bool:
        """Returns whether the next heartbeat has to carry the hints.

        A change rides on the first few heartbeats after it.
        """
        if self._news:
            self._news -= 1
            return True
        return False
