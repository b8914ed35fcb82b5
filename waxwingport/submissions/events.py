"""Parser of the server-sent events of a generation's stream."""

from collections.abc import Callable

import msgspec

from waxwingport.http import sse
from waxwingport import ids
from waxwingport import numerals

__all__ = ['Event', 'EventReader', 'VersionReader']

VersionReader = Callable[[bytes], ids.WeightVersion | None]
"""Returns the weight version that an event's bytes state, if any."""


class Event(msgspec.Struct, frozen=True):
    """A server-sent event."""

    number: int | None
    """Event id, ``None`` if the event has no numeric one."""
    data: str
    """The event's data lines, joined by newlines."""
    version: ids.WeightVersion | None
    """Weight version from this event on, if the event states one."""


class EventReader:
    """Splits a byte stream into events.

    ``read_version`` returns the weight version that an event's bytes state,
    ``None`` if they state none.
    """

    def __init__(self, read_version: VersionReader) -> None:
        self._read_version = read_version
        self._incomplete = b''

    @property
    def pending_bytes(self) -> int:
        """Size of the event that is not complete yet."""
        return len(self._incomplete)

    def is_inside_event(self) -> bool:
        """Returns whether an event has begun that is not complete yet."""
        return sse.has_fields(self._incomplete)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that ``data`` completes, comments left out.

        An incomplete event at the end is completed by the next call.
        """
        whole = (self._incomplete + data).replace(b'\r\n', b'\n')
        *blocks, self._incomplete = whole.split(b'\n\n')
        return [
            self._parse(block) for block in blocks if sse.has_fields(block)
        ]

    def _parse(self, block: bytes) -> Event:
        number = None
        data: list[str] = []
        for line in block.split(b'\n'):
            name, _, value = line.partition(b':')
            value = value.removeprefix(b' ')
            if name == b'data':
                data.append(value.decode(errors='replace'))
            elif name == b'id':
                number = numerals.read_whole_number(value)
        return Event(number, '\n'.join(data), self._read_version(block))
