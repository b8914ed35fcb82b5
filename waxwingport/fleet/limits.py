"""The limit that a target names for the requests of all nodes together."""

import msgspec

__all__ = ['RateLimit']


class RateLimit(msgspec.Struct, eq=False):
    """A target's limit and when its answers named it; loop times."""

    rate: float
    """Requests a second from all nodes together."""
    heard_at: float
    """Time of the last answer that named it."""
    began_at: float = 0.0
    """Time of the first answer that named it."""

    def __post_init__(self) -> None:
        self.began_at = self.heard_at

    def hear(self, rate: float, now: float) -> None:
        """Records a further answer that names the limit."""
        self.rate = rate
        self.heard_at = now
