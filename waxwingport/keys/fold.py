"""Pure fold of the intents for idempotency keys.

No clock enters: a batch names the offset before which, as its writer knows
from its own clock, every record is older than the window.  An intent wins if
no intent for its key stands between that offset and its own.  So two winners
for one key are always a window apart, whatever the nodes' clocks show.
"""

import hashlib

import msgspec

from waxwingport import ids

__all__ = [
    'Batch',
    'KeyEntry',
    'Intent',
    'KeyFold',
    'hash_key',
    'hash_fingerprint',
]

_KEY_SIZE = 16
_FINGERPRINT_SIZE = 8


class Intent(msgspec.Struct, frozen=True, array_like=True):
    """A request's wish to be the one that runs for a key.

    ``owner`` and ``incarnation`` name the process that would send it;
    ``attempt`` tells its claims under one request id apart.
    """

    key: bytes
    fingerprint: bytes
    owner: ids.NodeName
    incarnation: ids.Incarnation
    request_id: ids.RequestId
    attempt: int = 0


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record of a stream.

    Every record before offset ``window_start`` is older than the window.
    """

    window_start: ids.Offset
    intents: tuple[Intent, ...]


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """State of one key.

    ``last`` is the offset of the latest intent for the key.  ``conclusive``
    is false when records before the start of this fold decide whether
    ``winner`` won.
    """

    last: ids.Offset
    conclusive: bool
    winner: Intent


def hash_key(caller: ids.CallerName, key: str) -> bytes:
    """Returns what the log holds in place of a caller's key."""
    length = len(caller.encode())
    data = f'{length}:{caller}{key}'.encode()
    return hashlib.blake2b(data, digest_size=_KEY_SIZE).digest()


def hash_fingerprint(text: str) -> bytes:
    """Returns what the log holds in place of a request's fingerprint."""
    return hashlib.blake2b(
        text.encode(), digest_size=_FINGERPRINT_SIZE
    ).digest()


class KeyFold:
    """What the records of one stream from ``floor`` on say.

    ``next`` is the offset of the record to apply next.
    """

    def __init__(self, start: ids.Offset) -> None:
        self.floor = start
        self.next = start
        self._rows: dict[bytes, bytes] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(KeyEntry)

    def __len__(self) -> int:
        return len(self._rows)

    def apply(self, offset: ids.Offset, batch: Batch) -> None:
        """Folds the record at ``offset``, which is not below ``next``."""
        if offset < self.next:
            raise ValueError(f'offset {offset} was folded before')
        self.next = ids.Offset(offset + 1)
        for intent in batch.intents:
            self._add(offset, batch.window_start, intent)

    def skip(self, offset: ids.Offset) -> None:
        """Passes over a record that makes no sense."""
        self.next = ids.Offset(offset + 1)

    def find(self, key: bytes) -> KeyEntry | None:
        """Returns what stands for a key, ``None`` if nothing does."""
        row = self._rows.get(key)
        return self._decoder.decode(row) if row is not None else None

    def forget(self, before: ids.Offset) -> None:
        """Drops the keys that were last named before an offset."""
        self.floor = max(self.floor, before)
        while self._rows:
            key = next(iter(self._rows))
            if self._decoder.decode(self._rows[key]).last >= self.floor:
                return
            del self._rows[key]

    def _add(
        self, offset: ids.Offset, window_start: ids.Offset, intent: Intent
    ) -> None:
        found = self.find(intent.key)
        if found is not None and found.last >= window_start:
            found = KeyEntry(offset, found.conclusive, found.winner)
        else:
            found = KeyEntry(offset, window_start >= self.floor, intent)
        self._rows.pop(intent.key, None)  # The order is that of ``last``.
        self._rows[intent.key] = self._encoder.encode(found)
