"""Membership by heartbeats within and digests between data centres."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import random

from expression import Result
import msgspec

from waxwingport import decoding
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
"""Nodes that exchange digests with each other data centre."""
_HEARTBEATS_PER_HINTS = 10
"""Every n-th heartbeat carries the hints even if they did not change."""
_FULL_RATE_MEMBERS = 32
"""Members of a data centre above which the heartbeat interval grows."""
_CHECKS_PER_INTERVAL = 4
"""Checks for silent members per heartbeat interval."""
_FETCH_TIMEOUT_S = 2.0
_LEAVE_REPEATS = 2
"""Further heartbeats that announce a leave, as messages may be lost."""
_LOG = logging.getLogger(__name__)


class MembershipSettings(msgspec.Struct, frozen=True):
    """Settings of membership; ``digest_interval`` is in seconds."""

    members: roster.RosterSettings = roster.RosterSettings()
    digest_interval: float = 2.0


class LiveMembership(base.Membership):
    """The nodes that this node hears of, and their states.

    Within a data centre every node sends heartbeats to every other one.  For
    each other data centre two gateways, chosen by rendezvous hashing, exchange
    digests with the gateways there and relay the result in their heartbeats.
    """

    def __init__(
        self,
        local_member: base.Member,
        transport: peers.PeerTransport,
        rng: random.Random,
        settings: MembershipSettings | None = None,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._local_member = msgspec.structs.replace(
            local_member, state=base.MemberState.JOINING
        )
        self._transport = transport
        self._rng = rng
        self._is_ready = is_ready
        self._loop = asyncio.get_running_loop()
        self._cache: dict[ids.DataCentre | None, list[base.Member]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._roster = roster.Roster(self._settings.members)
        self._remotes = remote.RemoteDataCentres(
            self._settings.members.detection,
            self._settings.digest_interval,
            self._handle_change,
        )
        self.hints = hints.Hints()
        self._counter = 0
        self._checked_at = self._loop.time()
        self._fetching: set[ids.DataCentre] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        transport.set_receiver(
            peers.MessageKind.HEARTBEAT, self._handle_heartbeat
        )
        transport.set_receiver(peers.MessageKind.DIGEST, self._handle_digest)
        transport.set_handler(
            peers.MessageKind.DIGEST, self._handle_table_request
        )

    @property
    def local_member(self) -> base.Member:
        """This node as a member, with its current state."""
        return self._local_member

    @property
    def interval(self) -> float:
        """Seconds between two heartbeats.

        Grows with the size of a large data centre, so that the messages per
        second of a node do not.
        """
        size = len(self.list_members(self._local_member.data_centre))
        factor = max(1.0, size / _FULL_RATE_MEMBERS)
        return self._settings.members.interval * factor

    def list_members(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[base.Member]:
        """Returns the members that are not gone, ordered by name."""
        if data_centre not in self._cache:
            self._cache[data_centre] = self._list_known(data_centre)
        return self._cache[data_centre]

    def find_hint(self, name: ids.NodeName, key: str) -> int | None:
        """Returns a hint of a node of the local data centre, or ``None``."""
        if name == self._local_member.name:
            return self.hints.own.get(key)
        return self._roster.read_hints(name).get(key)

    def publish_hint(self, key: str, value: int) -> None:
        """Sends every node a value that only increases, such as a revision."""
        self.hints.publish(key, value)

    def listen_for_hints(self, listener: hints.Listener) -> None:
        """Calls ``listener(key, value)`` when a hint has a new maximum."""
        self.hints.listen(listener)

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each change of members or states."""
        self._listeners.append(listener)

    def update(self, vms: Iterable[platform.Vm]) -> None:
        """Applies the platform's list of VMs.

        It lags behind the heartbeats and never overrides them.
        """
        now = self._loop.time()
        listed = [_make_member(vm) for vm in vms if _is_node(vm)]
        others = [
            member
            for member in listed
            if member.name != self._local_member.name
        ]
        local_data_centre = self._local_member.data_centre
        local = [
            member
            for member in others
            if member.data_centre == local_data_centre
        ]
        if self._roster.update(local, now):
            self._handle_change()
        self._remotes.update(
            [
                member
                for member in others
                if member.data_centre != local_data_centre
            ],
            now,
        )
        self._allow_hosts(listed)

    async def run(self) -> None:
        """Sends heartbeats and digests and checks silence, until cancelled."""
        try:
            await asyncio.gather(
                self._send_periodically(), self._send_digests(), self._check()
            )
        finally:
            for task in self._tasks:
                task.cancel()

    def leave(self) -> None:
        """Marks this node as leaving and sends a heartbeat at once."""
        if self._local_member.state is not base.MemberState.LEAVING:
            self._set_own_state(base.MemberState.LEAVING)
            self._send_heartbeats()

    async def announce_leave(self) -> None:
        """Announces the leave several times, as messages may be lost."""
        self.leave()
        for _ in range(_LEAVE_REPEATS):
            await asyncio.sleep(self._settings.members.interval / 10)
            self._send_heartbeats()

    def _list_known(
        self, data_centre: ids.DataCentre | None
    ) -> list[base.Member]:
        local_data_centre = self._local_member.data_centre
        found: list[base.Member] = []
        if data_centre in (None, local_data_centre):
            found += [self._local_member, *self._roster.list_members()]
        for other in self._remotes.data_centres:
            if data_centre in (None, other):
                found += self._remotes.list_members(other)
        found = [
            member
            for member in found
            if member.state is not base.MemberState.GONE
        ]
        return sorted(found, key=lambda member: member.name)

    def _handle_change(self) -> None:
        self._cache.clear()
        for listener in self._listeners:
            listener()

    def _set_own_state(self, state: base.MemberState) -> None:
        self._local_member = msgspec.structs.replace(
            self._local_member, state=state
        )
        self._handle_change()

    def _update_own(self) -> None:
        joining = self._local_member.state is base.MemberState.JOINING
        if joining and self._is_ready():
            self._set_own_state(base.MemberState.LIVE)

    def _allow_hosts(self, listed: list[base.Member]) -> None:
        known = [*listed, *self.list_members()]
        if listed:
            self._transport.allow_hosts(
                frozenset(_get_host(member.peer_address) for member in known)
            )

    async def _send_periodically(self) -> None:
        while True:
            self._update_own()
            self._send_heartbeats()
            jitter = self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(self.interval * jitter)

    def _send_heartbeats(self) -> None:
        self._counter += 1
        body = msgspec.msgpack.encode(self._make_heartbeat())
        for member in self._roster.list_members():
            self._transport.send(
                _address_any_incarnation(member),
                peers.MessageKind.HEARTBEAT,
                body,
            )

    def _make_heartbeat(self) -> messages.Heartbeat:
        due = self.hints.is_due() or self._counter % _HEARTBEATS_PER_HINTS == 1
        return messages.Heartbeat(
            data_centre=self._local_member.data_centre,
            address=self._local_member.peer_address,
            incarnation=self._local_member.incarnation,
            counter=self._counter,
            state=self._local_member.state,
            hints=self.hints.own if due else None,
            suspects=self._roster.list_suspects(),
            relays=self._make_relays(),
            remote_hints=(self.hints.remote or None) if due else None,
        )

    def _make_relays(self) -> tuple[messages.Relay, ...]:
        now = self._loop.time()
        found = (
            self._remotes.make_relay(data_centre, now)
            for data_centre in self._remotes.data_centres
            if self._find_own_rank(data_centre) is not None
        )
        return tuple(relay for relay in found if relay is not None)

    def _find_own_rank(self, data_centre: ids.DataCentre) -> int | None:
        """Returns this node's rank among the gateways to a data centre.

        Returns ``None`` if it is not a gateway to it.
        """
        local_data_centre = self._local_member.data_centre
        names = [member.name for member in self.list_live(local_data_centre)]
        gateways = rendezvous.rank(
            f'{local_data_centre}>{data_centre}', names
        )[:_GATEWAYS]
        name = self._local_member.name
        return gateways.index(name) if name in gateways else None

    def _find_counterparts(
        self, data_centre: ids.DataCentre
    ) -> list[base.Member]:
        """Returns the gateways of another data centre towards this one.

        While it is unreachable, returns random members, as any of them may be
        the one that answers.
        """
        members = {
            member.name: member for member in self.list_members(data_centre)
        }
        local_data_centre = self._local_member.data_centre
        if self._remotes.is_reachable(data_centre):
            live = [member.name for member in self.list_live(data_centre)]
            names = rendezvous.rank(f'{data_centre}>{local_data_centre}', live)
        else:
            names = self._rng.sample(sorted(members), len(members))
        return [members[name] for name in names[:_GATEWAYS]]

    async def _send_digests(self) -> None:
        while True:
            for data_centre in self._remotes.data_centres:
                rank = self._find_own_rank(data_centre)
                if rank is not None:
                    self._send_digest(data_centre, rank)
            jitter = self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(self._settings.digest_interval * jitter)

    def _send_digest(self, data_centre: ids.DataCentre, rank: int) -> None:
        digest = messages.Digest(
            self._local_member.data_centre,
            self._local_member.peer_address,
            self._make_local_table().checksum,
            rank,
            self.hints.highest,
        )
        body = msgspec.msgpack.encode(digest)
        for member in self._find_counterparts(data_centre):
            self._transport.send(
                _address_any_incarnation(member),
                peers.MessageKind.DIGEST,
                body,
            )

    def _make_local_table(self) -> messages.Table:
        local_data_centre = self._local_member.data_centre
        return messages.make_table(
            local_data_centre, self.list_members(local_data_centre)
        )

    async def _check(self) -> None:
        period = self._settings.members.interval / _CHECKS_PER_INTERVAL
        while True:
            await asyncio.sleep(period)
            self._discount_own_pause(period)
            now = self._loop.time()
            if self._roster.check(now):
                self._handle_change()
            self._remotes.check(now)

    def _discount_own_pause(self, period: float) -> None:
        """Excludes time in which this process did not run from silences."""
        now = self._loop.time()
        pause = now - self._checked_at - period
        self._checked_at = now
        if pause > period:
            self._roster.discount_pause(pause)
            self._remotes.discount_pause(pause)

    def _handle_heartbeat(self, sender: ids.NodeName, body: bytes) -> None:
        heartbeat = _decode(sender, body, messages.Heartbeat)
        if heartbeat is None or sender == self._local_member.name:
            return
        if heartbeat.data_centre != self._local_member.data_centre:
            return
        now = self._loop.time()
        if self._roster.record_heartbeat(sender, heartbeat, now):
            _LOG.info(
                'member=%s incarnation=%d state=%s',
                sender,
                heartbeat.incarnation,
                heartbeat.state.value,
            )
            self._handle_change()
        if heartbeat.hints is not None:
            self.hints.merge(heartbeat.hints)
        if heartbeat.remote_hints is not None:
            self.hints.merge(heartbeat.remote_hints)
        if self._local_member.name in heartbeat.suspects:
            self._transport.reconnect(peers.Peer(sender, heartbeat.address))
        for relay in heartbeat.relays:
            if self._remotes.record_relay(relay, now):
                self._fetch(
                    peers.Peer(sender, heartbeat.address), relay.data_centre
                )

    def _handle_digest(self, sender: ids.NodeName, body: bytes) -> None:
        digest = _decode(sender, body, messages.Digest)
        if (
            digest is None
            or digest.data_centre == self._local_member.data_centre
        ):
            return
        self.hints.merge_remote(digest.hints)
        if self._remotes.record_digest(digest, self._loop.time()):
            self._fetch(peers.Peer(sender, digest.address), digest.data_centre)

    def _fetch(self, peer: peers.Peer, data_centre: ids.DataCentre) -> None:
        if data_centre in self._fetching:
            return
        self._fetching.add(data_centre)
        task = self._loop.create_task(self._fetch_table(peer, data_centre))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_table(
        self, peer: peers.Peer, data_centre: ids.DataCentre
    ) -> None:
        body = msgspec.msgpack.encode(messages.TableRequest(data_centre))
        outcome = await self._transport.request(
            peer, peers.MessageKind.DIGEST, body, _FETCH_TIMEOUT_S
        )
        self._fetching.discard(data_centre)
        match outcome:
            case Result(tag='ok', ok=answer):
                table = _decode(peer.name, answer, messages.Table | None)
                if table is not None:
                    self._remotes.store_table(table, self._loop.time())
            case Result(error=fault):
                _LOG.info('table of=%s fault=%s', data_centre, fault.detail)

    async def _handle_table_request(
        self, sender: ids.NodeName, body: bytes
    ) -> bytes:
        request = _decode(sender, body, messages.TableRequest)
        if request is None:
            return msgspec.msgpack.encode(None)
        if request.data_centre == self._local_member.data_centre:
            return msgspec.msgpack.encode(self._make_local_table())
        table = self._remotes.find_table(request.data_centre)
        return msgspec.msgpack.encode(table)


def _is_node(vm: platform.Vm) -> bool:
    return vm.kind is platform.VmKind.NODE and vm.peer_address is not None


def _make_member(vm: platform.Vm) -> base.Member:
    leaving = vm.state is platform.VmState.LEAVING
    state = base.MemberState.LEAVING if leaving else base.MemberState.JOINING
    return base.Member(
        ids.NodeName(vm.name), vm.data_centre, vm.peer_address, None, state
    )


def _get_host(address: str) -> str:
    return address.rpartition(':')[0]


def _address_any_incarnation(member: base.Member) -> peers.Peer:
    """Returns a member as an addressee of any incarnation.

    Heartbeats and digests go to whichever process is there now; a restarted
    one would never learn of this node otherwise.
    """
    return peers.Peer(member.name, member.peer_address)


def _decode(sender: ids.NodeName, body: bytes, kind):
    match decoding.read_msgpack(body, kind):
        case Result(tag='ok', ok=message):
            return message
        case Result(error=reason):
            _LOG.warning(
                'membership from=%s: unreadable message: %s', sender, reason
            )
            return None
