"""Distributes the configuration from the log to every node.

A few readers per data centre, chosen by rendezvous hashing over the live
members, follow the log and forward each record to the other members there.
A node that hears from no reader whose reads succeed reads the log itself.
While no node can reach the log, nodes ask each other for the highest
revision.
"""

import asyncio
from collections.abc import Sequence
import logging
import random

from expression import Result
import msgspec

from waxwingport.configuration import messages
from waxwingport.configuration import reader
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['Distribution', 'DistributionSettings']

_LOG = logging.getLogger(__name__)
_KIND = peers.MessageKind.CONFIGURATION


class DistributionSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """How the configuration is distributed; times in seconds."""

    readers: int = 2
    """Nodes per data centre that follow the log for the others."""
    read_wait: float = 1.0
    """How long one read of the log waits for a new record."""
    read_timeout: float = 1.6
    """Timeout of a read; doubled after each read that times out."""
    beat_interval: float = 0.5
    """Interval at which a reader sends its revision to the others."""
    silence: float = 1.2
    """A node that hears no reader for this time reads the log itself."""
    retry_interval: float = 0.3
    """Pause between a reader's reads while the log fails."""
    fallback_interval: float = 1.0
    """Pause between the reads of any other node while the log fails."""
    ask_interval: float = 1.0
    """Pause between rounds of requests to peers while the log fails."""
    ask_timeout: float = 1.0
    """Timeout of a request to a peer."""
    ask_delay: float = 0.1
    """Wait for records in transit before a peer is asked for them."""
    max_message_size: int = 65536
    """Maximum bytes of records in one message."""


class Distribution:
    """Keeps one node's configuration up to date from the log and its peers.

    ``diverged`` names the peers that folded other records up to the same
    revision as this node.
    """

    def __init__(
        self,
        log: platform.Log,
        configuration: state.ConfigurationState,
        members: membership.Membership,
        transport: peers.PeerTransport,
        settings: DistributionSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.reader = reader.ConfigurationReader(log, configuration)
        self.diverged: set[ids.NodeName] = set()
        self._configuration = configuration
        self._members = members
        self._transport = transport
        self._settings = settings or DistributionSettings()
        self._rng = rng or random.Random()
        self._reader_heard_at: dict[ids.NodeName, float] = {}
        self._read_at = float('-inf')
        self._read_timeout = self._settings.read_timeout
        self._announced_revisions: dict[ids.NodeName, ids.Revision] = {}
        self._announcement_added = asyncio.Event()
        self._highest_heard = ids.Revision(-1)
        self._packed_state: (
            tuple[ids.Revision, messages.PackedState] | None
        ) = None
        transport.set_receiver(_KIND, self._handle_update)
        transport.set_handler(_KIND, self._handle_request)

    async def run(self) -> None:
        """Follows the log and the peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_log())
            tasks.create_task(self._announce())
            tasks.create_task(self._request_periodically())
            tasks.create_task(self._request_announced())

    def is_reader(self) -> bool:
        """Returns whether this node reads the log on behalf of others."""
        own = self._members.local_member
        live = {
            member.name for member in self._members.list_live(own.data_centre)
        } | {own.name}
        ranked = rendezvous.rank('configuration', live)
        return own.name in ranked[: self._settings.readers]

    def is_current(self) -> bool:
        """Returns whether this node or a reader it hears can read the log."""
        return self._is_reading() or self._hears_reader()

    def record_revision(
        self, member: membership.Member, revision: ids.Revision
    ) -> None:
        """Schedules a request to ``member`` if its ``revision`` is higher."""
        if revision > self._configuration.revision:
            self._announced_revisions[member.name] = revision
            self._announcement_added.set()

    def record_highest(self, revision: ids.Revision) -> None:
        """Records a revision announced by any node, if it is the highest."""
        self._highest_heard = max(self._highest_heard, revision)

    def describe(self) -> dict[str, object]:
        """Returns the fields of the status report on distribution."""
        folded = self._configuration.folded
        return {
            'revision': folded.revision,
            'highest_heard': self._highest_heard,
            'reads_log': self._is_reading(),
            'hears_reader': self._hears_reader(),
            'log_behind': self.reader.log_behind,
            'skipped_since': folded.skipped,
            'diverged': sorted(self.diverged),
        }

    # Reading the log.

    async def _follow_log(self) -> None:
        while True:
            if self.is_reader() or not self._hears_reader():
                if not await self._read():
                    await asyncio.sleep(self._pick_retry_pause())
            else:
                await asyncio.sleep(
                    max(self._find_silence_end() - _now(), 0.001)
                )

    async def _read(self) -> bool:
        before = self._configuration.revision
        try:
            async with asyncio.timeout(self._read_timeout):
                outcome = await self.reader.read_once(self._pick_read_wait())
        except TimeoutError:
            self._read_timeout *= 2
            _LOG.warning('configuration log: read timed out')
            return False
        match outcome:
            case Result(tag='error', error=fault):
                _LOG.warning('configuration log: %s', fault.detail)
                return False
        self._read_timeout = self._settings.read_timeout
        self._read_at = _now()
        if self._configuration.revision > before and self.is_reader():
            self._forward(before)
        return True

    def _pick_read_wait(self) -> float:
        """Returns how long the next read may wait for a record, in seconds.

        The first read after a failure does not wait, so that its success is
        known at once.
        """
        return self._settings.read_wait if self._is_reading() else 0.0

    def _pick_retry_pause(self) -> float:
        settings = self._settings
        pause = (
            settings.retry_interval
            if self.is_reader()
            else settings.fallback_interval
        )
        return pause * self._rng.uniform(0.5, 1.0)

    def _is_reading(self) -> bool:
        return _now() - self._read_at < self._settings.read_timeout

    def _hears_reader(self) -> bool:
        return _now() < self._find_silence_end()

    def _find_silence_end(self) -> float:
        latest = max(self._reader_heard_at.values(), default=float('-inf'))
        return latest + self._settings.silence

    # Forwarding records.

    async def _announce(self) -> None:
        while True:
            if self.is_reader():
                self._send_to_data_centre(())
            await asyncio.sleep(self._settings.beat_interval)

    def _forward(self, since: ids.Revision) -> None:
        recent = self._configuration.list_recent(since) or ()
        chosen = messages.limit_size(recent, self._settings.max_message_size)
        self._send_to_data_centre(chosen)

    def _send_to_data_centre(
        self, forwarded: tuple[platform.LogRecord, ...]
    ) -> None:
        folded = self._configuration.folded
        body = messages.encode(
            messages.Update(
                folded.revision, folded.chain, self._is_reading(), forwarded
            )
        )
        for member in self._list_others(
            self._members.local_member.data_centre
        ):
            self._transport.send(member.peer, _KIND, body)

    def _handle_update(self, sender: ids.NodeName, body: bytes) -> None:
        match messages.decode(body, messages.Update):
            case Result(tag='ok', ok=update):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'configuration from %s is unreadable: %s', sender, reason
                )
                return
        if update.reads_log:
            self._reader_heard_at[sender] = _now()
        else:
            self._reader_heard_at.pop(sender, None)
        self._configuration.advance(update.records)
        folded = self._configuration.folded
        if update.revision > folded.revision:
            self._announced_revisions[sender] = update.revision
            self._announcement_added.set()
        elif update.revision == folded.revision:
            self._compare_chains(sender, update.chain)

    def _compare_chains(self, sender: ids.NodeName, chain: str) -> None:
        """Records whether a peer at this revision folded other records."""
        folded = self._configuration.folded
        if chain == folded.chain:
            self.diverged.discard(sender)
        elif sender not in self.diverged:
            self.diverged.add(sender)
            _LOG.error(
                'configuration diverged peer=%s revision=%d',
                sender,
                folded.revision,
            )

    # Requests to peers.

    async def _request_periodically(self) -> None:
        """Asks peers on start, and whenever others may have more records."""
        if self._configuration.revision < 0:
            await self._request_from_all(self._pick_for_start())
        while True:
            pause = self._settings.ask_interval
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            if self._may_be_behind():
                await self._request_from_all(self._pick_for_round())

    def _may_be_behind(self) -> bool:
        """Returns whether peers may have a higher revision."""
        revision = self._configuration.revision
        return not self.is_current() or revision < max(0, self._highest_heard)

    async def _request_announced(self) -> None:
        """Asks members that announced a higher revision, the highest first."""
        while True:
            await self._announcement_added.wait()
            self._announcement_added.clear()
            await asyncio.sleep(self._settings.ask_delay)
            while self._announced_revisions:
                name = max(
                    self._announced_revisions,
                    key=self._announced_revisions.__getitem__,
                )
                revision = self._announced_revisions.pop(name)
                member = self._members.find(name)
                if member and revision > self._configuration.revision:
                    await self._request_from(member)

    async def _request_from_all(
        self, chosen: Sequence[membership.Member]
    ) -> None:
        await asyncio.gather(
            *(self._request_from(member) for member in chosen)
        )

    async def _request_from(self, member: membership.Member) -> None:
        """Fetches the records after this node's revision from ``member``."""
        while True:
            before = self._configuration.revision
            outcome = await self._transport.request(
                member.peer,
                _KIND,
                messages.encode(messages.UpdateRequest(before)),
                self._settings.ask_timeout,
            )
            match outcome:
                case Result(tag='error', error=fault):
                    _LOG.info('configuration request failed: %s', fault.detail)
                    return
                case Result(ok=body):
                    announced = self._handle_response(member, body)
            reached = self._configuration.revision
            if not before < reached < announced:
                return

    def _handle_response(
        self, member: membership.Member, body: bytes
    ) -> ids.Revision:
        """Applies a peer's response; returns the peer's revision."""
        match messages.decode(body, messages.UpdateResponse):
            case Result(tag='ok', ok=response):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'configuration from %s is unreadable: %s',
                    member.name,
                    reason,
                )
                return ids.Revision(-1)
        self._configuration.advance(response.records)
        if response.state is not None:
            match messages.unpack_state(response.state):
                case Result(tag='ok', ok=folded):
                    self._configuration.replace(folded)
                case Result(error=reason):
                    _LOG.warning(
                        'state from %s is unusable: %s', member.name, reason
                    )
        return response.revision

    async def _handle_request(
        self, sender: ids.NodeName, body: bytes
    ) -> bytes:
        revision = self._configuration.revision
        match messages.decode(body, messages.UpdateRequest):
            case Result(tag='ok', ok=request) if request.revision < revision:
                return messages.encode(self._make_response(request.revision))
            case Result(tag='error', error=reason):
                _LOG.warning(
                    'configuration request from %s is unreadable: %s',
                    sender,
                    reason,
                )
        return messages.encode(messages.UpdateResponse(revision))

    def _make_response(self, since: ids.Revision) -> messages.UpdateResponse:
        folded = self._configuration.folded
        recent = self._configuration.list_recent(since)
        if recent is not None:
            chosen = messages.limit_size(
                recent, self._settings.max_message_size
            )
            return messages.UpdateResponse(folded.revision, chosen)
        if (
            self._packed_state is None
            or self._packed_state[0] != folded.revision
        ):
            self._packed_state = folded.revision, messages.pack_state(folded)
        return messages.UpdateResponse(
            folded.revision, state=self._packed_state[1]
        )

    # Choosing peers.

    def _pick_for_start(self) -> list[membership.Member]:
        """Returns the peers to ask while this node has no state yet.

        Three members of this data centre and one of each other one.
        """
        own = self._members.local_member.data_centre
        chosen = self._pick(self._list_others(own), 3)
        for data_centre in self._list_data_centres() - {own}:
            chosen += self._pick(self._list_others(data_centre), 1)
        return chosen

    def _pick_for_round(self) -> list[membership.Member]:
        """Returns the peers to ask in one round of requests.

        One member of this data centre and two of any.
        """
        own = self._members.local_member.data_centre
        chosen = self._pick(self._list_others(own), 1)
        return chosen + self._pick(self._list_others(None), 2)

    def _pick(
        self, members: list[membership.Member], count: int
    ) -> list[membership.Member]:
        return self._rng.sample(members, min(count, len(members)))

    def _list_others(
        self, data_centre: ids.DataCentre | None
    ) -> list[membership.Member]:
        own = self._members.local_member.name
        members = self._members.list_members(data_centre)
        return [member for member in members if member.name != own]

    def _list_data_centres(self) -> set[ids.DataCentre]:
        return {member.data_centre for member in self._members.list_members()}


def _now() -> float:
    return asyncio.get_running_loop().time()
