"""State of a caller's stream in progress, and its events."""

import asyncio
from collections.abc import Iterator
import re

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport.http import sse
from waxwingport import ids
from waxwingport import numerals

__all__ = ['CompleteEvents', 'StreamState']

_MAX_EVENT_BYTES = 1024 * 1024
"""Size from which on an event that has not ended counts as broken; complete
ones have some hundred bytes."""
_EVENT_ENDS = re.compile(rb'(?:\r?\n){2}')
"""The blank line after an event, for either kind of line ends."""


class StreamState(msgspec.Struct, eq=False, weakref=True):
    """State of a stream in progress."""

    call: dialect.Call
    route: routes.Route
    service: ids.ServiceName
    started_at: float
    """Loop time at which the call arrived."""
    deadline: float
    """In seconds of the event loop's clock."""
    tried_instances: set[fleet.InstanceId]
    software: ids.SoftwareVersion | None = None
    """Version of the target that made the first event that the caller has;
    the stream must not go on at another one."""
    assigned: ids.SoftwareVersion | None = None
    """Version at which the stream should begin."""
    unsettled: bool = False
    """Whether its version could not be settled, so that it must not go on."""
    head_sent: bool = False
    last_event: int = 0
    """Id of the last event sent to the caller."""
    event_at: float = 0.0
    """Loop time of the last new event, or of the start of the answer."""
    runs: int = 0
    """Attempts that ran or may have run."""
    sends: int = 0
    """Attempts, also those that the target rejected without a run."""
    crashes: int = 0
    """Targets that crashed when they had begun to run the stream."""
    silent_runs: int = 0
    """Attempts that were ended because no event came in time."""
    began_at: float | None = None
    """Loop time at which the target of the last attempt began to answer."""

    def record_chunk(self, chunk: bytes | None) -> None:
        """Records that the target of the current attempt has answered."""
        if chunk and self.began_at is None:
            self.began_at = asyncio.get_running_loop().time()

    def is_continued_by(self, data: bytes) -> bool:
        """Returns whether the ids of events increase from the last one on."""
        previous = self.last_event
        for number in _list_numbers(data):
            if previous and number <= previous:
                return False
            previous = number
        return True

    def record_events(self, data: bytes) -> None:
        """Records the events that are about to be written to the caller."""
        for number in _list_numbers(data):
            self.last_event = number
            self.event_at = asyncio.get_running_loop().time()


class CompleteEvents:
    """Holds back the event at the end of a stream until it is complete.

    Another engine may send it anew.
    """

    def __init__(self) -> None:
        self._incomplete = b''

    def feed(self, data: bytes) -> bytes:
        """Returns the events that ``data`` completes."""
        whole = self._incomplete + data
        end = 0
        for found in _EVENT_ENDS.finditer(whole):
            end = found.end()
        self._incomplete = whole[end:]
        return whole[:end]

    def is_inside_event(self) -> bool:
        """Returns whether an event has begun that is not complete yet."""
        return sse.has_fields(self._incomplete)

    def is_overlong(self) -> bool:
        """Returns whether an event is longer than any sound one."""
        return len(self._incomplete) > _MAX_EVENT_BYTES


def _list_numbers(data: bytes) -> Iterator[int]:
    """Yields the numeric ids of events."""
    for line in data.split(b'\n'):
        if line.startswith(b'id:'):
            number = numerals.read_whole_number(line[3:])
            if number is not None:
                yield number
