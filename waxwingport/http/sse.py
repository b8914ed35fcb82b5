"""The parts of server-sent events that are used here."""

from waxwingport.http import messages

__all__ = [
    'CUT_OFF',
    'DONE',
    'EventSplitter',
    'format_event',
    'has_fields',
]

CUT_OFF = messages.TransportFault(
    messages.TransportFaultKind.BROKEN,
    'the stream ended inside an event',
    sent=True,
)
"""The fault of a stream that ended inside an event."""
DONE = b'data: [DONE]\n\n'

_PREFIX = b'data:'


def format_event(data: bytes) -> bytes:
    """Returns one event with ``data``, which must not contain a newline."""
    return b'data: ' + data + b'\n\n'


def has_fields(block: bytes) -> bool:
    """Returns whether a block has more than comments and empty lines.

    A stream that ends with such a block and no blank line after it was cut
    off.  A body without a length shows it in no other way: the kernel closes
    the connections of a killed sender in order.
    """
    return any(
        line.strip() and not line.startswith(b':')
        for line in block.split(b'\n')
    )


class EventSplitter:
    """Splits a byte stream into the data of its events."""

    def __init__(self) -> None:
        self._incomplete = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the data of the events that ``data`` completes.

        Events without data are left out.
        """
        buffered = self._incomplete + data if self._incomplete else data
        if b'\r' in buffered:
            buffered = buffered.replace(b'\r\n', b'\n')
        *blocks, self._incomplete = buffered.split(b'\n\n')
        return [event for event in map(_read_block, blocks) if event]


def _read_block(block: bytes) -> bytes:
    if block.startswith(_PREFIX) and b'\n' not in block:
        return block[len(_PREFIX) :].strip()
    lines = [
        line[len(_PREFIX) :].strip()
        for line in block.split(b'\n')
        if line.startswith(_PREFIX)
    ]
    return b'\n'.join(lines)
