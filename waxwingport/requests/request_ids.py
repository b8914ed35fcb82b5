"""Request ids that name the one process that may run their request.

An id is ``w1.NODE.INCARNATION.MINTED_AT.SERIAL.TAG``.  The tag is a keyed hash
over the rest and the caller's name, under a secret of the incarnation.  So the
minting process keeps nothing for an id that is not used, and an id that was
altered, made up, or given to another caller does not pass.  It protects one
caller's ids from another caller; it is no proof of who the caller is.
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
_FIELDS = 4
_TAG_BYTES = 16
_SECRET_BYTES = 32
_LONGEST = 256
_MILLISECONDS = 1000


class IssuedId(msgspec.Struct, frozen=True):
    """A parsed id; ``issued_at_ms`` is in milliseconds of its node's clock."""

    node: ids.NodeName
    incarnation: ids.Incarnation
    issued_at_ms: int
    serial: int
    tag: str

    @property
    def signed(self) -> str:
        """What the tag covers besides the caller."""
        return (
            f'{_PREFIX}{self.node}.{self.incarnation:x}.'
            f'{self.issued_at_ms:x}.{self.serial:x}'
        )

    def format(self) -> ids.RequestId:
        """Returns the id as callers see it."""
        return ids.RequestId(f'{self.signed}.{self.tag}')


def is_issued(text: str) -> bool:
    """Returns whether ``text`` claims to be a minted id."""
    return text.startswith(_PREFIX)


def parse(text: str) -> Result[IssuedId, str]:
    """Returns the parts of an id, or what is wrong with it."""
    fields = text[len(_PREFIX) :].rsplit('.', _FIELDS)
    if not is_issued(text) or len(text) > _LONGEST:
        return Error('not a minted request id')
    if len(fields) != _FIELDS + 1 or not fields[0]:
        return Error('a minted request id has five parts')
    node, incarnation, issued_at_ms, serial, tag = fields
    try:
        found = IssuedId(
            ids.NodeName(node),
            ids.Incarnation(int(incarnation, 16)),
            int(issued_at_ms, 16),
            int(serial, 16),
            tag,
        )
    except ValueError:
        return Error('a part of the minted request id is no number')
    if found.format() != text:
        return Error('the minted request id is not in its usual form')
    return Ok(found)


class RequestIdGenerator:
    """Makes the ids of one process and knows them again."""

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
        """Returns ``count`` new ids for ``caller``; ``now`` in seconds."""
        return [self._generate_one(caller, now) for _ in range(count)]

    def owns(self, issued: IssuedId) -> bool:
        """Returns whether the id names this process."""
        return (issued.node, issued.incarnation) == (
            self.node,
            self.incarnation,
        )

    def verify(self, issued: IssuedId, caller: ids.CallerName) -> bool:
        """Returns whether this process made the id for ``caller``."""
        return self.owns(issued) and hmac.compare_digest(
            self._tag(issued, caller).encode(), issued.tag.encode()
        )

    def _generate_one(
        self, caller: ids.CallerName, now: float
    ) -> ids.RequestId:
        self._serial += 1
        bare = IssuedId(
            self.node,
            self.incarnation,
            int(now * _MILLISECONDS),
            self._serial,
            '',
        )
        tag = self._tag(bare, caller)
        return msgspec.structs.replace(bare, tag=tag).format()

    def _tag(self, issued: IssuedId, caller: ids.CallerName) -> str:
        return hashlib.blake2b(
            f'{issued.signed}\0{caller}'.encode(),
            key=self._secret,
            digest_size=_TAG_BYTES,
        ).hexdigest()
