"""Settings of the reports of usage."""

import msgspec

__all__ = ['UsageSettings']


class UsageSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reports of the number of requests by tenant.

    None are made unless ``address``, ``duties``, ``window`` and
    ``report_time`` are given.
    """

    address: str = ''
    """``ip:port`` of the API that takes the reports."""
    duties: tuple[str, ...] = ()
    """Calls that the API expects; usage is reported if its name is there."""
    window: float = 0.0
    """Seconds that a report covers; the first window began with 1970."""
    report_time: float = 0.0
    """Seconds after the end of a window within which its report is due."""
    calls_per_second: float = 50.0
    """Calls a second that the API takes from all nodes together."""
    turn_time: float = 3.0
    """Turn time: least number of seconds between the calls of two nodes."""
    partitions: int = 4
    """Number of partitions that nodes append their counts to."""

    def __post_init__(self) -> None:
        if min(self.window, self.report_time, self.turn_time) < 0:
            raise ValueError('usage: times have to be positive')
        if self.calls_per_second <= 0 or self.partitions < 1:
            raise ValueError(
                'usage.calls_per_second and usage.partitions have to be '
                'above zero'
            )

    @property
    def complete(self) -> bool:
        """Whether all is given that reports need."""
        return bool(
            self.address and self.duties and self.window and self.report_time
        )
