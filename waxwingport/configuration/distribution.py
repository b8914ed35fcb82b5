"""Spreads the configuration from the log to every node.

A few readers per data centre, chosen by rendezvous hashing over the live
members, follow the log and pass each record on to the others there.  A node
that hears from no reader whose reads succeed reads for itself.  While nobody
reaches the log, nodes ask each other and take the highest revision.
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
    """How the configuration spreads; times in seconds."""

    readers: int = 2
    """Nodes per data centre that follow the log for the others."""
    read_wait: float = 1.0
    """How long one read of the log waits for a record."""
    read_timeout: float = 1.6
    """A read is given up after this time; doubled while the log is slow."""
    beat_interval: float = 0.5
    """How often a reader tells the others its revision."""
    silence: float = 1.2
    """Without a reader's word for this time a node reads for itself."""
    retry_interval: float = 0.3
    """Between a reader's reads while the log fails."""
    fallback_interval: float = 1.0
    """Between another node's reads while the log fails."""
    ask_interval: float = 1.0
    """Between two rounds of asking peers while nobody reads the log."""
    ask_timeout: float = 1.0
    ask_delay: float = 0.1
    """Grace for records on their way before a peer is asked for them."""
    max_message_size: int = 65536
    """Bytes of records in one message."""


class Distribution:
    """Keeps one node's configuration up with the log and its peers.

    ``diverged`` names the peers that hold other records at this revision.
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
        self._heard: dict[ids.NodeName, float] = {}
        self._read_at = float('-inf')
        self._read_timeout = self._settings.read_timeout
        self._hints: dict[ids.NodeName, ids.Revision] = {}
        self._hinted = asyncio.Event()
        self._highest = ids.Revision(-1)
        self._packed: tuple[ids.Revision, messages.State] | None = None
        transport.set_receiver(_KIND, self._take)
        transport.set_handler(_KIND, self._answer)

    async def run(self) -> None:
        """Follows log and peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self._beat())
            tasks.create_task(self._repair())
            tasks.create_task(self._fetch_hinted())

    def is_reader(self) -> bool:
        """Returns whether this node follows the log for others."""
        own = self._members.local_member
        live = {
            row.name for row in self._members.list_live(own.data_centre)
        } | {own.name}
        ranked = rendezvous.rank('configuration', live)
        return own.name in ranked[: self._settings.readers]

    def is_followed(self) -> bool:
        """Returns whether this node's view of the log is fresh."""
        return self._is_reading() or self._is_hearing()

    def record_revision(
        self, member: membership.Member, revision: ids.Revision
    ) -> None:
        """Takes a revision that ``member`` told in a heartbeat or digest."""
        if revision > self._configuration.revision:
            self._hints[member.name] = revision
            self._hinted.set()

    def record_highest(self, revision: ids.Revision) -> None:
        """Takes the highest revision that any node told, whoever it was."""
        self._highest = max(self._highest, revision)

    def describe(self) -> dict[str, object]:
        """Returns how the configuration reaches this node, for status."""
        folded = self._configuration.folded
        return {
            'revision': folded.revision,
            'highest_heard': self._highest,
            'reads_log': self._is_reading(),
            'hears_reader': self._is_hearing(),
            'log_behind': self.reader.behind,
            'skipped_since': folded.skipped,
            'diverged': sorted(self.diverged),
        }

    # Reading the log.

    async def _follow(self) -> None:
        while True:
            if self.is_reader() or not self._is_hearing():
                if not await self._read():
                    await asyncio.sleep(self._pick_pause())
            else:
                await asyncio.sleep(max(self._hearing_until() - _now(), 0.001))

    async def _read(self) -> bool:
        before = self._configuration.revision
        try:
            async with asyncio.timeout(self._read_timeout):
                outcome = await self.reader.step(self._pick_wait())
        except TimeoutError:
            self._read_timeout *= 2
            _LOG.warning('configuration log: no answer in time')
            return False
        match outcome:
            case Result(tag='error', error=fault):
                _LOG.warning('configuration log: %s', fault.detail)
                return False
        self._read_timeout = self._settings.read_timeout
        self._read_at = _now()
        if self._configuration.revision > before and self.is_reader():
            self._pass_on(before)
        return True

    def _pick_wait(self) -> float:
        """Returns how long a read may wait for a record.

        The first one after a failure does not, so that its success is known
        at once.
        """
        return self._settings.read_wait if self._is_reading() else 0.0

    def _pick_pause(self) -> float:
        settings = self._settings
        pause = (
            settings.retry_interval
            if self.is_reader()
            else settings.fallback_interval
        )
        return pause * self._rng.uniform(0.5, 1.0)

    def _is_reading(self) -> bool:
        return _now() - self._read_at < self._settings.read_timeout

    def _is_hearing(self) -> bool:
        return _now() < self._hearing_until()

    def _hearing_until(self) -> float:
        latest = max(self._heard.values(), default=float('-inf'))
        return latest + self._settings.silence

    # Passing on.

    async def _beat(self) -> None:
        while True:
            if self.is_reader():
                self._send_to_neighbours(())
            await asyncio.sleep(self._settings.beat_interval)

    def _pass_on(self, since: ids.Revision) -> None:
        recent = self._configuration.list_recent(since) or ()
        rows = messages.limit(recent, self._settings.max_message_size)
        self._send_to_neighbours(rows)

    def _send_to_neighbours(
        self, rows: tuple[platform.LogRecord, ...]
    ) -> None:
        folded = self._configuration.folded
        body = messages.encode(
            messages.Passed(
                folded.revision, folded.chain, self._is_reading(), rows
            )
        )
        for member in self._list_others(
            self._members.local_member.data_centre
        ):
            self._transport.send(member.peer, _KIND, body)

    def _take(self, sender: ids.NodeName, body: bytes) -> None:
        match messages.decode(body, messages.Passed):
            case Result(tag='ok', ok=passed):
                pass
            case Result(error=reason):
                _LOG.warning('configuration from %s: %s', sender, reason)
                return
        if passed.followed:
            self._heard[sender] = _now()
        else:
            self._heard.pop(sender, None)
        self._configuration.advance(passed.records)
        folded = self._configuration.folded
        if passed.revision > folded.revision:
            self._hints[sender] = passed.revision
            self._hinted.set()
        elif passed.revision == folded.revision:
            self._compare(sender, passed.chain)

    def _compare(self, sender: ids.NodeName, chain: str) -> None:
        """Notes a peer that folded other records up to this revision."""
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

    # Asking peers.

    async def _repair(self) -> None:
        """Asks peers at the start, and whenever others may know more."""
        if self._configuration.revision < 0:
            await self._ask_all(self._pick_first())
        while True:
            pause = self._settings.ask_interval
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            if self._may_lack():
                await self._ask_all(self._pick_few())

    def _may_lack(self) -> bool:
        """Returns whether peers may hold a higher revision."""
        revision = self._configuration.revision
        return not self.is_followed() or revision < max(0, self._highest)

    async def _fetch_hinted(self) -> None:
        """Asks members that told a higher revision, the highest first."""
        while True:
            await self._hinted.wait()
            self._hinted.clear()
            await asyncio.sleep(self._settings.ask_delay)
            while self._hints:
                name = max(self._hints, key=self._hints.__getitem__)
                revision = self._hints.pop(name)
                member = self._members.find(name)
                if member and revision > self._configuration.revision:
                    await self._ask(member)

    async def _ask_all(self, chosen: Sequence[membership.Member]) -> None:
        await asyncio.gather(*(self._ask(member) for member in chosen))

    async def _ask(self, member: membership.Member) -> None:
        """Takes what ``member`` holds beyond this node's revision."""
        while True:
            before = self._configuration.revision
            outcome = await self._transport.request(
                member.peer,
                _KIND,
                messages.encode(messages.Ask(before)),
                self._settings.ask_timeout,
            )
            match outcome:
                case Result(tag='error', error=fault):
                    _LOG.info('configuration ask: %s', fault.detail)
                    return
                case Result(ok=body):
                    told = self._take_answer(member, body)
            reached = self._configuration.revision
            if not before < reached < told:
                return

    def _take_answer(
        self, member: membership.Member, body: bytes
    ) -> ids.Revision:
        """Folds an answer; returns the revision that the peer told."""
        match messages.decode(body, messages.Answer):
            case Result(tag='ok', ok=answer):
                pass
            case Result(error=reason):
                _LOG.warning('configuration from %s: %s', member.name, reason)
                return ids.Revision(-1)
        self._configuration.advance(answer.records)
        if answer.state is not None:
            match messages.unpack_state(answer.state):
                case Result(tag='ok', ok=folded):
                    self._configuration.replace(folded)
                case Result(error=reason):
                    _LOG.warning('state from %s: %s', member.name, reason)
        return answer.revision

    async def _answer(self, sender: ids.NodeName, body: bytes) -> bytes:
        revision = self._configuration.revision
        match messages.decode(body, messages.Ask):
            case Result(tag='ok', ok=ask) if ask.revision < revision:
                return messages.encode(self._make_answer(ask.revision))
            case Result(tag='error', error=reason):
                _LOG.warning('configuration ask of %s: %s', sender, reason)
        return messages.encode(messages.Answer(revision))

    def _make_answer(self, since: ids.Revision) -> messages.Answer:
        folded = self._configuration.folded
        recent = self._configuration.list_recent(since)
        if recent is not None:
            rows = messages.limit(recent, self._settings.max_message_size)
            return messages.Answer(folded.revision, rows)
        if self._packed is None or self._packed[0] != folded.revision:
            self._packed = folded.revision, messages.pack_state(folded)
        return messages.Answer(folded.revision, state=self._packed[1])

    # Choosing peers.

    def _pick_first(self) -> list[membership.Member]:
        """Returns whom to ask with empty memory: some from everywhere."""
        own = self._members.local_member.data_centre
        chosen = self._pick(self._list_others(own), 3)
        for centre in self._list_centres() - {own}:
            chosen += self._pick(self._list_others(centre), 1)
        return chosen

    def _pick_few(self) -> list[membership.Member]:
        """Returns one member from here and two from anywhere."""
        own = self._members.local_member.data_centre
        chosen = self._pick(self._list_others(own), 1)
        return chosen + self._pick(self._list_others(None), 2)

    def _pick(
        self, rows: list[membership.Member], count: int
    ) -> list[membership.Member]:
        return self._rng.sample(rows, min(count, len(rows)))

    def _list_others(
        self, centre: ids.DataCentre | None
    ) -> list[membership.Member]:
        own = self._members.local_member.name
        rows = self._members.list_members(centre)
        return [row for row in rows if row.name != own]

    def _list_centres(self) -> set[ids.DataCentre]:
        return {row.data_centre for row in self._members.list_members()}


def _now() -> float:
    return asyncio.get_running_loop().time()
