"""Deterministic fold of the intents for idempotency keys.

The window is the time for which a key has to be known.  The fold reads no
clock, so every node computes the same result.  A batch names an offset
``window_start``; its writer knows by its own clock that every record before
it is older than the window.  An intent wins if the log has no intent for the
same key between ``window_start`` and its own offset.  Two winners for one key
are therefore always at least a window apart, even if the nodes' clocks
differ.
"""

import hashlib

import msgspec

from waxwingport import ids

__all__ = [
    'Batch',
    'Intent',
    'KeyEntry',
    'KeyFold',
    'hash_fingerprint',
    'hash_key',
]

_KEY_HASH_BYTES = 16
_FINGERPRINT_HASH_BYTES = 8


class Intent(msgspec.Struct, frozen=True, array_like=True):
    """A request's claim to be the one that runs for a key.

    ``key`` and ``fingerprint`` are hashes.  ``owner`` and ``incarnation``
    identify the process that would send the request; ``attempt`` tells its
    claims under one request id apart.
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
    """Returns the hash that stands for a caller's key in the log.

    Equal keys of two callers have different hashes.
    """
    length = len(caller.encode())
    data = f'{length}:{caller}{key}'.encode()
    return hashlib.blake2b(data, digest_size=_KEY_HASH_BYTES).digest()


def hash_fingerprint(text: str) -> bytes:
    """Returns the hash that stands for a request's fingerprint in the log."""
    return hashlib.blake2b(
        text.encode(), digest_size=_FINGERPRINT_HASH_BYTES
    ).digest()


class KeyFold:
    """State of each key after the records of one stream.

    ``first_offset`` is the offset before which records were not read or have
    been forgotten; ``next`` is the offset of the record to apply next.  The
    entries are stored encoded to save memory, ordered by ``KeyEntry.last``.
    """

    def __init__(self, start: ids.Offset) -> None:
        self.first_offset = start
        self.next = start
        self._entries: dict[bytes, bytes] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(KeyEntry)

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, offset: ids.Offset, batch: Batch) -> None:
        """Folds the record at ``offset``.

        Raises ``ValueError`` if ``offset`` is below ``next``.
        """
        if offset < self.next:
            raise ValueError(f'offset {offset} has already been folded')
        self.next = ids.Offset(offset + 1)
        for intent in batch.intents:
            self._add(offset, batch.window_start, intent)

    def skip(self, offset: ids.Offset) -> None:
        """Ignores the record at ``offset``, which can't be decoded."""
        self.next = ids.Offset(offset + 1)

    def find(self, key: bytes) -> KeyEntry | None:
        """Returns the entry of a key, ``None`` if no intent is known."""
        encoded = self._entries.get(key)
        return self._decoder.decode(encoded) if encoded is not None else None

    def forget(self, before: ids.Offset) -> None:
        """Drops the keys whose latest intent is before the given offset."""
        self.first_offset = max(self.first_offset, before)
        while self._entries:
            key = next(iter(self._entries))
            if (
                self._decoder.decode(self._entries[key]).last
                >= self.first_offset
            ):
                return
            del self._entries[key]

    def _add(
        self, offset: ids.Offset, window_start: ids.Offset, intent: Intent
    ) -> None:
        entry = self.find(intent.key)
        if entry is not None and entry.last >= window_start:
            entry = KeyEntry(offset, entry.conclusive, entry.winner)
        else:
            entry = KeyEntry(offset, window_start >= self.first_offset, intent)
        self._entries.pop(intent.key, None)  # Keeps the order by ``last``.
        self._entries[intent.key] = self._encoder.encode(entry)
