"""The authenticated envelope of every message between nodes."""

import enum
import hashlib
import hmac

import msgspec

from waxwingport import decoding
from waxwingport import ids

__all__ = ['PROTOCOL_VERSION', 'Envelope', 'ReplayWindow', 'Role', 'Sealer']

PROTOCOL_VERSION = 1
"""Increased when fields are appended, which older nodes ignore."""

_MAC_BYTES = 16
_WINDOW_NUMBERS = 1024
"""Latest sequence numbers of a sender that are accepted, each once."""


class Role(enum.Enum):
    """Role of a message in an exchange."""

    ANSWER = 'answer'
    FAULT = 'fault'
    """The request failed; the body is the kind of fault."""
    HELLO = 'hello'
    """Asks the node at an address to identify itself."""
    MESSAGE = 'message'
    REQUEST = 'request'
    WELCOME = 'welcome'
    """Identifies the node at an address; answers a hello."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the fields by which its receiver checks it.

    ``address`` is where the sender listens; answers are sent only there.
    ``recipient`` is the incarnation that the message is for, 0 in a hello.
    ``sequence`` increases with each envelope of an incarnation.  ``number``
    matches an answer to its request.  ``reset`` in a hello says that the
    sender missed an answer and asks the receiver to reconnect to it.
    """

    version: int
    role: Role
    sender: ids.NodeName
    address: str
    incarnation: ids.Incarnation
    recipient: ids.Incarnation
    sequence: int
    number: int
    kind: str
    reset: bool
    body: bytes


class Sealer:
    """Encodes and decodes envelopes, authenticated by a shared secret."""

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(secret.encode()).digest()
        self._encoder = msgspec.msgpack.Encoder()

    def seal(self, envelope: Envelope) -> bytes:
        """Returns the encoded envelope after its authentication code."""
        data = self._encoder.encode(envelope)
        return self._compute_mac(data) + data

    def open(self, message: bytes) -> Envelope | None:
        """Returns the envelope, ``None`` if it is forged or malformed."""
        mac = message[:_MAC_BYTES]
        data = message[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(data)):
            return None
        return decoding.read_msgpack(data, Envelope).default_value(None)

    def _compute_mac(self, data: bytes) -> bytes:
        return hmac.digest(self._key, data, 'sha256')[:_MAC_BYTES]


class ReplayWindow:
    """The recent sequence numbers of a sender, to reject replayed messages.

    A number below the window counts as seen.
    """

    def __init__(self) -> None:
        self._highest = -1
        self._seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Records ``sequence``; returns false if it was seen before."""
        ahead = sequence - self._highest
        if ahead > 0:
            shifted = (
                self._seen_bits << ahead if ahead < _WINDOW_NUMBERS else 0
            )
            self._seen_bits = (shifted | 1) & ((1 << _WINDOW_NUMBERS) - 1)
            self._highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _WINDOW_NUMBERS or self._seen_bits & bit:
            return False
        self._seen_bits |= bit
        return True
