"""Events of a generation's stream."""

from collections.abc import Callable

import msgspec

from waxwingport import ids

__all__ = ['Event', 'EventReader', 'VersionReader']

VersionReader = Callable[[bytes], ids.WeightVersion | None]


class Event(msgspec.Struct, frozen=True):
    """One whole event."""

    number: int | None
    data: str
    version: ids.WeightVersion | None
    """Version from this event on, where the event names one."""


class EventReader:
    """Cuts a byte stream into events; the last may be incomplete.

    ``read_version`` returns the version that an event's first line names.
    """

    def __init__(self, read_version: VersionReader) -> None:
        self._read_version = read_version
        self._rest = b''

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that ``data`` completes."""
        whole = (self._rest + data).replace(b'\r\n', b'\n')
        *blocks, self._rest = whole.split(b'\n\n')
        return [self._parse(block) for block in blocks if block.strip()]

    def _parse(self, block: bytes) -> Event:
        number = None
        data: list[str] = []
        for line in block.split(b'\n'):
            name, _, value = line.partition(b':')
            value = value.removeprefix(b' ')
            if name == b'data':
                data.append(value.decode(errors='replace'))
            elif name == b'id' and value.strip().isdigit():
                number = int(value)
        return Event(number, '\n'.join(data), self._read_version(block))
