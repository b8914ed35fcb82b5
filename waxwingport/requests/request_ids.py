"""Request ids that name the only process that may run their request.

An id is ``w1.NODE.INCARNATION.ISSUED_AT.SERIAL.TAG``; numbers are hexadecimal.
The tag is a keyed hash of the other parts and the caller's name; its key is a
random secret of the process.  So the issuing process stores nothing for an id
that is not used, and rejects an id that was altered, invented or issued to
another caller.  The tag protects a caller's ids from other callers; it does
not authenticate the caller.
"""

import hashlib
import hmac
import os

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids

__all__ = ['IssuedId', 'RequestIdGenerator', 'is_issued', 'parse']

_PREFIX = 'w1.'
_PARTS_AFTER_NODE = 4
_TAG_BYTES = 16
_SECRET_BYTES = 32
_MAX_LENGTH = 256
_MS_PER_SECOND = 1000


class IssuedId(msgspec.Struct, frozen=True):
    """The parts of an id.

    ``issued_at_ms`` is the loop time of the issuing process in milliseconds.
    """

    node: ids.NodeName
    incarnation: ids.Incarnation
    issued_at_ms: int
    serial: int
    tag: str

    @property
    def tagged_text(self) -> str:
        """The text that the tag covers together with the caller's name."""
        return (
            f'{_PREFIX}{self.node}.{self.incarnation:x}.'
            f'{self.issued_at_ms:x}.{self.serial:x}'
        )

    def format(self) -> ids.RequestId:
        """Returns the id in the form that callers use."""
        return ids.RequestId(f'{self.tagged_text}.{self.tag}')


def is_issued(text: str) -> bool:
    """Returns whether ``text`` has the prefix of an issued id."""
    return text.startswith(_PREFIX)


def parse(text: str) -> Result[IssuedId, str]:
    """Returns the parts of an id, or an error text if it is malformed.

    Does not check the tag.
    """
    fields = text[len(_PREFIX) :].rsplit('.', _PARTS_AFTER_NODE)
    if not is_issued(text) or len(text) > _MAX_LENGTH:
        return Error('not a request id issued by a node')
    if len(fields) != _PARTS_AFTER_NODE + 1 or not fields[0]:
        return Error('an issued request id has five parts after its prefix')
    node, incarnation, issued_at_ms, serial, tag = fields
    try:
        parsed = IssuedId(
            ids.NodeName(node),
            ids.Incarnation(int(incarnation, 16)),
            int(issued_at_ms, 16),
            int(serial, 16),
            tag,
        )
    except ValueError:
        return Error(
            'a numeric part of the issued request id is not hexadecimal'
        )
    if parsed.format() != text:
        return Error('the issued request id is not in its canonical form')
    return Ok(parsed)


class RequestIdGenerator:
    """Issues the ids of one process and verifies them."""

    def __init__(
        self, node: ids.NodeName, incarnation: ids.Incarnation
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self._secret = os.urandom(_SECRET_BYTES)
        self._serial = 0

    def generate(
        self, caller: ids.CallerName, count: int, now: float
    ) -> list[ids.RequestId]:
        """Returns ``count`` new ids for ``caller``; ``now`` is loop time."""
        return [self._generate_one(caller, now) for _ in range(count)]

    def owns(self, issued: IssuedId) -> bool:
        """Returns whether the id names this process."""
        return (issued.node, issued.incarnation) == (
            self.node,
            self.incarnation,
        )

    def verify(self, issued: IssuedId, caller: ids.CallerName) -> bool:
        """Returns whether this process issued the id to ``caller``."""
        return self.owns(issued) and hmac.compare_digest(
            self._compute_tag(issued, caller).encode(), issued.tag.encode()
        )

    def _generate_one(
        self, caller: ids.CallerName, now: float
    ) -> ids.RequestId:
        self._serial += 1
        untagged = IssuedId(
            self.node,
            self.incarnation,
            int(now * _MS_PER_SECOND),
            self._serial,
            '',
        )
        tag = self._compute_tag(untagged, caller)
        return msgspec.structs.replace(untagged, tag=tag).format()

    def _compute_tag(self, issued: IssuedId, caller: ids.CallerName) -> str:
        return hashlib.blake2b(
            f'{issued.tagged_text}\0{caller}'.encode(),
            key=self._secret,
            digest_size=_TAG_BYTES,
        ).hexdigest()
