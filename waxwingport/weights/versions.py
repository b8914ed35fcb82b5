"""The weight versions that trainers have published.

A node learns of a version from its trainer, from its peers and from the log,
in any order and more than once.  A trainer's versions only increase.
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

from waxwingport import decoding
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport import outcomes
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['STREAM', 'Publication', 'VersionExchange', 'VersionRegistry']

STREAM = ids.StreamName('versions')

_MAX_VERSIONS = 64
"""Number of each trainer's latest versions that are stored."""
_READ_WAIT_S = 1.0
"""Longest wait of one read of the log for new records."""
_RETRY_DELAY_S = 1.0
"""Pause after a failed read, and between rounds of appends."""
_GOSSIP_INTERVAL_S = 2.0
_GOSSIP_PEERS = 2
"""Random members that get the latest versions each time."""
_LOG = logging.getLogger(__name__)


class Publication(msgspec.Struct, frozen=True):
    """A weight version and where the weight store keeps it."""

    trainer: ids.TrainerName
    version: ids.WeightVersion
    reference: str


class VersionRegistry:
    """Stores the latest publications of each trainer."""

    def __init__(self) -> None:
        self._publications: dict[
            ids.TrainerName, dict[ids.WeightVersion, Publication]
        ] = collections.defaultdict(dict)
        self._unlogged: dict[
            tuple[ids.TrainerName, ids.WeightVersion], Publication
        ] = {}

    def add(self, publication: Publication) -> bool:
        """Adds a publication; returns whether it was new.

        A second reference under a known version changes nothing, nor does a
        version older than all that are stored once the limit is reached.
        """
        known = self._publications[publication.trainer]
        if publication.version in known:
            return False
        if len(known) >= _MAX_VERSIONS:
            oldest = min(known)
            if publication.version < oldest:
                return False
            del known[oldest]
        known[publication.version] = publication
        return True

    def publish(
        self, publication: Publication
    ) -> Result[bool, outcomes.Refusal]:
        """Adds a trainer's own publication; returns whether it was new.

        Fails with ``CONFLICT`` when the version has another reference.
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
        """Returns a version's publication, ``None`` if it is unknown."""
        return self._publications[trainer].get(version)

    def find_latest(self, trainer: ids.TrainerName) -> Publication | None:
        """Returns the publication of the highest version, or ``None``."""
        known = self._publications[trainer]
        return known[max(known)] if known else None

    def list_latest(self) -> list[Publication]:
        """Returns the latest publication of each trainer."""
        return [
            known[max(known)] for known in self._publications.values() if known
        ]

    def list_unlogged(self) -> list[Publication]:
        """Returns own publications that were not read from the log yet."""
        return list(self._unlogged.values())

    def mark_logged(self, publication: Publication) -> None:
        """Records that a publication was read from the log."""
        self._unlogged.pop((publication.trainer, publication.version), None)
        self.add(publication)


class VersionExchange:
    """Exchanges publications with the log and with the other nodes."""

    def __init__(
        self,
        registry: VersionRegistry,
        log: platform.Log,
        members: membership.Membership,
        transport: peers.PeerTransport,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._log = log
        self._members = members
        self._peers = transport
        self._rng = rng
        self._next_offset = ids.Offset(0)
        self._log_down = False
        transport.set_receiver(peers.MessageKind.VERSION, self._receive)

    async def publish(
        self, publication: Publication
    ) -> Result[bool, outcomes.Refusal]:
        """Adds a publication and sends it to every member.

        Does not wait for the log, to which the publication is appended later.

        Returns and fails as ``VersionRegistry.publish`` does.
        """
        outcome = self._registry.publish(publication)
        if outcome.is_ok():
            self._send([publication], self._list_others())
        return outcome

    @property
    def log_down(self) -> bool:
        """Whether the last read of the log failed."""
        return self._log_down

    async def run(self) -> None:
        """Reads and appends to the log and gossips, until cancelled."""
        await asyncio.gather(
            self._follow_log(), self._append_unlogged(), self._gossip()
        )

    async def _follow_log(self) -> None:
        while True:
            outcome = await self._log.read(
                STREAM, self._next_offset, wait=_READ_WAIT_S
            )
            match outcome:
                case Result(tag='ok', ok=page):
                    self._log_down = False
                    self._apply_page(page)
                case Result(error=fault):
                    self._handle_read_fault(fault)
                    await asyncio.sleep(_RETRY_DELAY_S)

    def _apply_page(self, page: platform.LogPage) -> None:
        for record in page.records:
            match decoding.read_msgpack(record.body, Publication):
                case Result(tag='ok', ok=publication):
                    self._registry.mark_logged(publication)
                case Result(error=reason):
                    _LOG.warning(
                        'versions record=%d: %s', record.offset, reason
                    )
        self._next_offset = page.next

    def _handle_read_fault(self, fault: platform.LogFault) -> None:
        if fault.kind is platform.LogFaultKind.EXPIRED:
            self._next_offset = fault.oldest
        else:
            self._log_down = True
            _LOG.info('versions log: %s', fault.detail)

    async def _append_unlogged(self) -> None:
        while True:
            for publication in self._registry.list_unlogged():
                body = msgspec.msgpack.encode(publication)
                await self._log.append(STREAM, body)
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_S)
            others = self._list_others()
            receivers = self._rng.sample(
                others, min(_GOSSIP_PEERS, len(others))
            )
            self._send(self._registry.list_latest(), receivers)

    def _list_others(self) -> list[membership.Member]:
        own = self._members.local_member.name
        return [
            member
            for member in self._members.list_members()
            if member.name != own
        ]

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

    def _receive(self, sender: ids.NodeName, body: bytes) -> None:
        match decoding.read_msgpack(body, list[Publication]):
            case Result(tag='ok', ok=publications):
                for publication in publications:
                    self._registry.add(publication)
            case Result(error=reason):
                _LOG.warning('versions from=%s: %s', sender, reason)
