"""Membership by heartbeats and by digests between data centres."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import random

from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import hints
from waxwingport.membership import messages
from waxwingport.membership import remote
from waxwingport.membership import rendezvous
from waxwingport.membership import roster
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['LiveMembership', 'MembershipSettings']

_GATEWAYS = 2
_BEATS_PER_HINTS = 10
_FULL_RATE_MEMBERS = 32
_CHECKS_PER_INTERVAL = 4
_FETCH_TIMEOUT = 2.0
_GOODBYES = 2
_LOG = logging.getLogger(__name__)


class MembershipSettings(msgspec.Struct, frozen=True):
    """Rhythm of membership; times in seconds."""

    members: roster.RosterSettings = roster.RosterSettings()
    digest_interval: float = 2.0


class LiveMembership(base.Membership):
    """The nodes that this node hears of, and their states.

    Within the data centre every node sends every other one heartbeats.
    For each other data centre two nodes, chosen by rendezvous hashing,
    exchange digests with their counterparts there and tell the rest.
    """

    def __init__(
        self,
        own: base.Member,
        transport: peers.PeerTransport,
        rng: random.Random,
        settings: MembershipSettings | None = None,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._own = msgspec.structs.replace(
            own, state=base.MemberState.JOINING
        )
        self._peers = transport
        self._rng = rng
        self._is_ready = is_ready
        self._loop = asyncio.get_running_loop()
        self._cache: dict[ids.DataCentre | None, list[base.Member]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._roster = roster.Roster(self._settings.members)
        self._remotes = remote.Remotes(
            self._settings.members.detection,
            self._settings.digest_interval,
            self._note_change,
        )
        self.hints = hints.Hints()
        self._counter = 0
        self._checked_at = self._loop.time()
        self._fetching: set[ids.DataCentre] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        transport.set_receiver(
            peers.MessageKind.HEARTBEAT, self._take_heartbeat
        )
        transport.set_receiver(peers.MessageKind.DIGEST, self._take_digest)
        transport.set_handler(peers.MessageKind.DIGEST, self._answer_fetch)

    @property
    def local_member(self) -> base.Member:
        """This node."""
        return self._own

    @property
    def interval(self) -> float:
        """Seconds between two heartbeats.

        It grows with the data centre, so that the cost for a node does not.
        """
        size = len(self.list_members(self._own.data_centre))
        stretch = max(1.0, size / _FULL_RATE_MEMBERS)
        return self._settings.members.interval * stretch

    def list_members(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[base.Member]:
        """Returns the members that are not gone, ordered by name."""
        if data_centre not in self._cache:
            self._cache[data_centre] = self._collect(data_centre)
        return self._cache[data_centre]

    def find_hint(self, name: ids.NodeName, key: str) -> int | None:
        """Returns a hint of one node of the own data centre, or ``None``."""
        if name == self._own.name:
            return self.hints.own.get(key)
        return self._roster.read_hints(name).get(key)

    def publish_hint(self, key: str, value: int) -> None:
        """Tells every node a value that only grows, such as a revision."""
        self.hints.publish(key, value)

    def listen_for_hints(self, listener: hints.Listener) -> None:
        """Calls ``listener(key, value)`` when a higher value is heard."""
        self.hints.listen(listener)

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each change of members or states."""
        self._listeners.append(listener)

    def update(self, vms: Iterable[platform.Vm]) -> None:
        """Takes the platform's list; it lags and is never the last word."""
        now = self._loop.time()
        listed = [_read_vm(vm) for vm in vms if _is_node(vm)]
        others = [row for row in listed if row.name != self._own.name]
        home = self._own.data_centre
        near = [row for row in others if row.data_centre == home]
        if self._roster.update(near, now):
            self._note_change()
        self._remotes.update(
            [row for row in others if row.data_centre != home], now
        )
        self._allow_hosts(listed)

    async def run(self) -> None:
        """Sends heartbeats and digests and judges silence, until cancelled."""
        try:
            await asyncio.gather(
                self._beat(), self._send_digests(), self._check()
            )
        finally:
            for task in self._tasks:
                task.cancel()

    def leave(self) -> None:
        """Announces that this node is leaving."""
        if self._own.state is not base.MemberState.LEAVING:
            self._set_own_state(base.MemberState.LEAVING)
            self._send_heartbeats()

    async def announce_leave(self) -> None:
        """Announces a leave until it has most likely arrived."""
        self.leave()
        for _ in range(_GOODBYES):
            await asyncio.sleep(self._settings.members.interval / 10)
            self._send_heartbeats()

    def _collect(
        self, data_centre: ids.DataCentre | None
    ) -> list[base.Member]:
        home = self._own.data_centre
        rows: list[base.Member] = []
        if data_centre in (None, home):
            rows += [self._own, *self._roster.list_members()]
        for centre in self._remotes.data_centres:
            if data_centre in (None, centre):
                rows += self._remotes.list_members(centre)
        rows = [row for row in rows if row.state is not base.MemberState.GONE]
        return sorted(rows, key=lambda row: row.name)

    def _note_change(self) -> None:
        self._cache.clear()
        for listener in self._listeners:
            listener()

    def _set_own_state(self, state: base.MemberState) -> None:
        self._own = msgspec.structs.replace(self._own, state=state)
        self._note_change()

    def _update_own(self) -> None:
        joining = self._own.state is base.MemberState.JOINING
        if joining and self._is_ready():
            self._set_own_state(base.MemberState.LIVE)

    def _allow_hosts(self, listed: list[base.Member]) -> None:
        known = [*listed, *self.list_members()]
        if listed:
            self._peers.allow_hosts(
                frozenset(_read_host(row.peer_address) for row in known)
            )

    async def _beat(self) -> None:
        while True:
            self._update_own()
            self._send_heartbeats()
            spread = self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(self.interval * spread)

    def _send_heartbeats(self) -> None:
        self._counter += 1
        body = msgspec.msgpack.encode(self._make_heartbeat())
        for member in self._roster.list_members():
            self._peers.send(
                _address_any_life(member), peers.MessageKind.HEARTBEAT, body
            )

    def _make_heartbeat(self) -> messages.Heartbeat:
        due = self.hints.is_due() or self._counter % _BEATS_PER_HINTS == 1
        return messages.Heartbeat(
            data_centre=self._own.data_centre,
            address=self._own.peer_address,
            incarnation=self._own.incarnation,
            counter=self._counter,
            state=self._own.state,
            hints=self.hints.own if due else None,
            suspects=self._roster.list_suspects(),
            relays=self._make_relays(),
            distant=(self.hints.distant or None) if due else None,
        )

    def _make_relays(self) -> tuple[messages.Relay, ...]:
        now = self._loop.time()
        found = (
            self._remotes.make_relay(centre, now)
            for centre in self._remotes.data_centres
            if self._rank_own(centre) is not None
        )
        return tuple(row for row in found if row is not None)

    def _rank_own(self, centre: ids.DataCentre) -> int | None:
        """Returns this node's place among the gateways to ``centre``."""
        home = self._own.data_centre
        names = [row.name for row in self.list_live(home)]
        first = rendezvous.rank(f'{home}>{centre}', names)[:_GATEWAYS]
        name = self._own.name
        return first.index(name) if name in first else None

    def _find_counterparts(self, centre: ids.DataCentre) -> list[base.Member]:
        """Returns the gateways of ``centre`` towards this data centre.

        While it is not heard, any of its members may be the one that is
        there.
        """
        members = {row.name: row for row in self.list_members(centre)}
        home = self._own.data_centre
        if self._remotes.is_reachable(centre):
            live = [row.name for row in self.list_live(centre)]
            names = rendezvous.rank(f'{centre}>{home}', live)
        else:
            names = self._rng.sample(sorted(members), len(members))
        return [members[name] for name in names[:_GATEWAYS]]

    async def _send_digests(self) -> None:
        while True:
            for centre in self._remotes.data_centres:
                rank = self._rank_own(centre)
                if rank is not None:
                    self._send_digest(centre, rank)
            spread = self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(self._settings.digest_interval * spread)

    def _send_digest(self, centre: ids.DataCentre, rank: int) -> None:
        digest = messages.Digest(
            self._own.data_centre,
            self._own.peer_address,
            self._make_own_table().checksum,
            rank,
            self.hints.highest,
        )
        body = msgspec.msgpack.encode(digest)
        for member in self._find_counterparts(centre):
            self._peers.send(
                _address_any_life(member), peers.MessageKind.DIGEST, body
            )

    def _make_own_table(self) -> messages.Table:
        home = self._own.data_centre
        return messages.make_table(home, self.list_members(home))

    async def _check(self) -> None:
        period = self._settings.members.interval / _CHECKS_PER_INTERVAL
        while True:
            await asyncio.sleep(period)
            self._forgive_pause(period)
            now = self._loop.time()
            if self._roster.check(now):
                self._note_change()
            self._remotes.check(now)

    def _forgive_pause(self, period: float) -> None:
        """Blames no member for the time that this process stood still."""
        now = self._loop.time()
        pause = now - self._checked_at - period
        self._checked_at = now
        if pause > period:
            self._roster.discount_pause(pause)
            self._remotes.discount_pause(pause)

    def _take_heartbeat(self, sender: ids.NodeName, body: bytes) -> None:
        beat = _decode(sender, body, messages.Heartbeat)
        if beat is None or sender == self._own.name:
            return
        if beat.data_centre != self._own.data_centre:
            return
        now = self._loop.time()
        if self._roster.note(sender, beat, now):
            _LOG.info(
                'member=%s incarnation=%d state=%s',
                sender,
                beat.incarnation,
                beat.state.value,
            )
            self._note_change()
        if beat.hints is not None:
            self.hints.take(beat.hints)
        if beat.distant is not None:
            self.hints.take(beat.distant)
        if self._own.name in beat.suspects:
            self._peers.reconnect(peers.Peer(sender, beat.address))
        for relay in beat.relays:
            if self._remotes.note_relay(relay, now):
                self._fetch(
                    peers.Peer(sender, beat.address), relay.data_centre
                )

    def _take_digest(self, sender: ids.NodeName, body: bytes) -> None:
        digest = _decode(sender, body, messages.Digest)
        if digest is None or digest.data_centre == self._own.data_centre:
            return
        self.hints.take_distant(digest.hints)
        if self._remotes.note_digest(digest, self._loop.time()):
            self._fetch(peers.Peer(sender, digest.address), digest.data_centre)

    def _fetch(self, peer: peers.Peer, centre: ids.DataCentre) -> None:
        if centre in self._fetching:
            return
        self._fetching.add(centre)
        task = self._loop.create_task(self._fetch_table(peer, centre))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_table(
        self, peer: peers.Peer, centre: ids.DataCentre
    ) -> None:
        body = msgspec.msgpack.encode(messages.Fetch(centre))
        outcome = await self._peers.request(
            peer, peers.MessageKind.DIGEST, body, _FETCH_TIMEOUT
        )
        self._fetching.discard(centre)
        match outcome:
            case Result(tag='ok', ok=answer):
                table = _decode(peer.name, answer, messages.Table | None)
                if table is not None:
                    self._remotes.put_table(table, self._loop.time())
            case Result(error=fault):
                _LOG.info('table of=%s fault=%s', centre, fault.detail)

    async def _answer_fetch(self, sender: ids.NodeName, body: bytes) -> bytes:
        fetch = _decode(sender, body, messages.Fetch)
        if fetch is None:
            return msgspec.msgpack.encode(None)
        if fetch.data_centre == self._own.data_centre:
            return msgspec.msgpack.encode(self._make_own_table())
        table = self._remotes.find_table(fetch.data_centre)
        return msgspec.msgpack.encode(table)


def _is_node(vm: platform.Vm) -> bool:
    return vm.kind is platform.VmKind.NODE and vm.peer_address is not None


def _read_vm(vm: platform.Vm) -> base.Member:
    leaving = vm.state is platform.VmState.LEAVING
    state = base.MemberState.LEAVING if leaving else base.MemberState.JOINING
    return base.Member(
        ids.NodeName(vm.name), vm.data_centre, vm.peer_address, None, state
    )


def _read_host(address: str) -> str:
    return address.rpartition(':')[0]


def _address_any_life(member: base.Member) -> peers.Peer:
    """Returns a member as an addressee, whichever its incarnation.

    Signs of life go to whoever is there now; a replaced process would never
    learn of us otherwise.
    """
    return peers.Peer(member.name, member.peer_address)


def _decode(sender: ids.NodeName, body: bytes, kind):
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        _LOG.warning('membership from=%s: %s', sender, error)
        return None
