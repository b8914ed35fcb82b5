"""The weight versions that trainers have published.

A node learns of a version from its trainer, from its peers and from the log,
in any order and more than once.  Versions of a trainer only move forward.
"""

import asyncio
import collections
from collections.abc import Iterable
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport import outcomes
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['STREAM', 'Publication', 'VersionRegistry', 'VersionExchange']

STREAM = ids.StreamName('versions')

_VERSIONS_HELD = 64
_READ_WAIT = 1.0
_RETRY_DELAY = 1.0
_GOSSIP_INTERVAL = 2.0
_GOSSIP_PEERS = 2
_LOG = logging.getLogger(__name__)


class Publication(msgspec.Struct, frozen=True):
    """A weight version as its trainer published it."""

    trainer: ids.TrainerName
    version: ids.WeightVersion
    reference: str


class VersionRegistry:
    """The latest publications of each trainer."""

    def __init__(self) -> None:
        self._books: dict[
            ids.TrainerName, dict[ids.WeightVersion, Publication]
        ] = collections.defaultdict(dict)
        self._unlogged: dict[
            tuple[ids.TrainerName, ids.WeightVersion], Publication
        ] = {}

    def add(self, publication: Publication) -> bool:
        """Takes a publication; returns whether it was new.

        A second reference under a known version changes nothing.
        """
        book = self._books[publication.trainer]
        if publication.version in book:
            return False
        if len(book) >= _VERSIONS_HELD:
            oldest = min(book)
            if publication.version < oldest:
                return False
            del book[oldest]
        book[publication.version] = publication
        return True

    def publish(
        self, publication: Publication
    ) -> Result[bool, outcomes.Refusal]:
        """Takes a trainer's own publication; returns whether it was new.

        Fails when the version is known under another reference.
        """
        known = self.find(publication.trainer, publication.version)
        if known is not None and known != publication:
            detail = (
                f'version {publication.version} of {publication.trainer} is '
                f'already {known.reference!r}'
            )
            return Error(outcomes.Refusal(outcomes.Reason.CONFLICT, detail))
        added = self.add(publication)
        if added:
            key = (publication.trainer, publication.version)
            self._unlogged[key] = publication
        return Ok(added)

    def find(
        self, trainer: ids.TrainerName, version: ids.WeightVersion
    ) -> Publication | None:
        """Returns a version's publication, or ``None``."""
        return self._books[trainer].get(version)

    def find_latest(self, trainer: ids.TrainerName) -> Publication | None:
        """Returns the trainer's highest version, or ``None``."""
        book = self._books[trainer]
        return book[max(book)] if book else None

    def list_latest(self) -> list[Publication]:
        """Returns the latest publication of each trainer."""
        return [book[max(book)] for book in self._books.values() if book]

    def list_unlogged(self) -> list[Publication]:
        """Returns own publications that the log has not shown yet."""
        return list(self._unlogged.values())

    def mark_logged(self, publication: Publication) -> None:
        """Takes a publication that the log holds."""
        self._unlogged.pop((publication.trainer, publication.version), None)
        self.add(publication)


class VersionExchange:
    """Keeps a book in step with the log and with the other nodes."""

    def __init__(
        self,
        book: VersionRegistry,
        log: platform.Log,
        members: membership.Membership,
        transport: peers.PeerTransport,
        rng: random.Random,
    ) -> None:
        self._book = book
        self._log = log
        self._members = members
        self._peers = transport
        self._rng = rng
        self._next = ids.Offset(0)
        self._log_down = False
        transport.set_receiver(peers.MessageKind.VERSION, self._take)

    async def publish(
        self, publication: Publication
    ) -> Result[bool, outcomes.Refusal]:
        """Takes a publication and tells every member; needs no log."""
        outcome = self._book.publish(publication)
        if outcome.is_ok():
            self._send([publication], self._list_others())
        return outcome

    @property
    def log_down(self) -> bool:
        """Whether the last read of the log failed."""
        return self._log_down

    async def run(self) -> None:
        """Follows log and peers until cancelled."""
        await asyncio.gather(
            self._follow_log(), self._append_unlogged(), self._gossip()
        )

    async def _follow_log(self) -> None:
        while True:
            outcome = await self._log.read(STREAM, self._next, wait=_READ_WAIT)
            match outcome:
                case Result(tag='ok', ok=page):
                    self._log_down = False
                    self._fold(page)
                case Result(error=fault):
                    self._skip_expired(fault)
                    await asyncio.sleep(_RETRY_DELAY)

    def _fold(self, page: platform.LogPage) -> None:
        for record in page.records:
            try:
                publication = msgspec.msgpack.decode(
                    record.body, type=Publication
                )
            except msgspec.DecodeError as error:
                _LOG.warning('versions record=%d: %s', record.offset, error)
                continue
            self._book.mark_logged(publication)
        self._next = page.next

    def _skip_expired(self, fault: platform.LogFault) -> None:
        if fault.kind is platform.LogFaultKind.EXPIRED:
            self._next = fault.oldest
        else:
            self._log_down = True
            _LOG.info('versions log: %s', fault.detail)

    async def _append_unlogged(self) -> None:
        while True:
            for publication in self._book.list_unlogged():
                body = msgspec.msgpack.encode(publication)
                await self._log.append(STREAM, body)
            await asyncio.sleep(_RETRY_DELAY)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL)
            others = self._list_others()
            drawn = self._rng.sample(others, min(_GOSSIP_PEERS, len(others)))
            self._send(self._book.list_latest(), drawn)

    def _list_others(self) -> list[membership.Member]:
        own = self._members.local_member.name
        return [row for row in self._members.list_members() if row.name != own]

    def _send(
        self,
        publications: list[Publication],
        members: Iterable[membership.Member],
    ) -> None:
        if not publications:
            return
        body = msgspec.msgpack.encode(publications)
        for member in members:
            self._peers.send(member.peer, peers.MessageKind.VERSION, body)

    def _take(self, sender: ids.NodeName, body: bytes) -> None:
        try:
            rows = msgspec.msgpack.decode(body, type=list[Publication])
        except msgspec.DecodeError as error:
            _LOG.warning('versions from=%s: %s', sender, error)
            return
        for publication in rows:
            self._book.add(publication)
