"""The authenticated envelope around every message between nodes."""

import enum
import hashlib
import hmac

import msgspec

from waxwingport import ids

__all__ = ['PROTOCOL_VERSION', 'Envelope', 'Role', 'Sealer', 'Window']

PROTOCOL_VERSION = 1
"""Raised when fields are appended; older nodes ignore what they lack."""

_MAC_SIZE = 16
_WINDOW_SIZE = 1024


class Role(enum.Enum):
    """What an envelope is in an exchange."""

    ANSWER = 'answer'
    FAULT = 'fault'
    """The request has no answer; the body is a fault."""
    HELLO = 'hello'
    """Asks who listens at an address."""
    MESSAGE = 'message'
    REQUEST = 'request'
    WELCOME = 'welcome'
    """Says who listens at an address; answers a hello."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with what its receiver needs to judge it.

    ``address`` is where the sender listens: answers go there and nowhere
    else.  ``wanted`` is the receiver's incarnation, 0 in a hello.
    ``sequence`` grows with each envelope of one incarnation.  ``number``
    joins an answer to its request.  In a hello, ``reset`` says that the
    sender has missed an answer and asks for a new connection back.
    """

    version: int
    role: Role
    sender: ids.NodeName
    address: str
    incarnation: ids.Incarnation
    wanted: ids.Incarnation
    sequence: int
    number: int
    kind: str
    reset: bool
    body: bytes


class Sealer:
    """Encodes envelopes under a shared secret and opens them."""

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(secret.encode()).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def seal(self, envelope: Envelope) -> bytes:
        """Returns the envelope with its authentication code in front."""
        data = self._encoder.encode(envelope)
        return self._sign(data) + data

    def open(self, message: bytes) -> Envelope | None:
        """Returns the envelope, ``None`` if it is forged or unreadable."""
        code = message[:_MAC_SIZE]
        data = message[_MAC_SIZE:]
        if not hmac.compare_digest(code, self._sign(data)):
            return None
        try:
            return self._decoder.decode(data)
        except msgspec.DecodeError:
            return None

    def _sign(self, data: bytes) -> bytes:
        return hmac.digest(self._key, data, 'sha256')[:_MAC_SIZE]


class Window:
    """Sequence numbers seen lately, so that none is taken twice.

    A number further back than the window counts as seen.
    """

    def __init__(self) -> None:
        self._highest = -1
        self._seen = 0

    def take(self, sequence: int) -> bool:
        """Returns whether ``sequence`` is new, and remembers it."""
        ahead = sequence - self._highest
        if ahead > 0:
            kept = self._seen << ahead if ahead < _WINDOW_SIZE else 0
            self._seen = (kept | 1) & ((1 << _WINDOW_SIZE) - 1)
            self._highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _WINDOW_SIZE or self._seen & bit:
            return False
        self._seen |= bit
        return True
