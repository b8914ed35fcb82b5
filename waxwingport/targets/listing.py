"""Follows the platform's list of VMs, read by a few nodes for all.

Two nodes of each data centre read the list and pass its changes on.  A node
that hears nothing, or missed a change, reads the list itself.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging

from expression import Error
from expression import Result
import msgspec
import xxhash

from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['VmChanges', 'VmFollower']

_INTERVAL = 0.5
"""Seconds between two reads of the list."""
_READ_TIMEOUT = 2.0
"""Seconds."""
_READERS = 2
"""Nodes of a data centre that read the list for the others."""
_SILENCE = 2.0
"""Seconds without news until a node reads the list itself."""
_KEY = 'vm-list'
_LOG = logging.getLogger(__name__)

Taker = Callable[[Sequence[platform.Vm]], None]


class VmChanges(msgspec.Struct, frozen=True, array_like=True):
    """What changed from one list to the next, named by their checksums."""

    before: int
    after: int
    changed: tuple[platform.Vm, ...] = ()
    removed: tuple[str, ...] = ()


class VmFollower:
    """Keeps the list of VMs and hands it on.

    The takers get the whole list after each change, ``take_nodes`` the nodes
    each time that the list is known to stand.
    """

    def __init__(
        self,
        source: platform.VmList,
        takers: Sequence[Taker],
        members: membership.Membership,
        transport: peers.PeerTransport,
        take_nodes: Taker = lambda nodes: None,
    ) -> None:
        self._source = source
        self._takers = takers
        self._take_nodes = take_nodes
        self._nodes: list[platform.Vm] = []
        self._members = members
        self._peers = transport
        self._vms: dict[str, platform.Vm] = {}
        self._checksum = 0
        self._heard_at = float('-inf')
        transport.set_receiver(peers.MessageKind.VMS, self._take)

    async def run(self) -> None:
        """Follows the list until it is cancelled."""
        while True:
            reads = self._is_reader()
            if reads or _now() - self._heard_at > _SILENCE:
                await self._read(reads)
            await asyncio.sleep(_INTERVAL)

    def _is_reader(self) -> bool:
        names = [row.name for row in self._list_live()]
        chosen = rendezvous.rank(_KEY, names)[:_READERS]
        return not chosen or self._members.local_member.name in chosen

    def _list_live(self) -> Sequence[membership.Member]:
        return self._members.list_live(self._members.local_member.data_centre)

    async def _read(self, tell: bool) -> None:
        match await _limit(self._source.read()):
            case Result(tag='ok', ok=vms):
                known_before = bool(self._vms)
                changes = self._compare({row.name: row for row in vms})
                self._follow(changes)
                if tell:
                    # A first list is no change: the others have it already.
                    same = VmChanges(changes.after, changes.after)
                    self._tell(changes if known_before else same)
            case Result(error=fault):
                _LOG.warning('VM list: %s', fault.detail)

    def _compare(self, listed: dict[str, platform.Vm]) -> VmChanges:
        changed = [
            row for name, row in listed.items() if self._vms.get(name) != row
        ]
        removed = [name for name in self._vms if name not in listed]
        before = self._checksum
        after = before
        if changed or removed:
            after = _sum_up(listed)
        return VmChanges(before, after, tuple(changed), tuple(removed))

    def _follow(self, changes: VmChanges) -> None:
        if changes.before != changes.after or not self._vms:
            for name in changes.removed:
                del self._vms[name]
            self._vms.update({row.name: row for row in changes.changed})
            self._checksum = changes.after
            rows = list(self._vms.values())
            self._nodes = [
                row for row in rows if row.kind is platform.VmKind.NODE
            ]
            for taker in self._takers:
                taker(rows)
        self._take_nodes(self._nodes)

    def _tell(self, changes: VmChanges) -> None:
        body = msgspec.msgpack.encode(changes)
        for member in self._list_live():
            if member.name != self._members.local_member.name:
                self._peers.send(member.peer, peers.MessageKind.VMS, body)

    def _take(self, sender: ids.NodeName, body: bytes) -> None:
        try:
            changes = msgspec.msgpack.decode(body, type=VmChanges)
        except msgspec.DecodeError as error:
            _LOG.warning('VM list of %s: %s', sender, error)
            return
        if changes.after == self._checksum:
            self._heard_at = _now()
        elif changes.before == self._checksum:
            self._heard_at = _now()
            self._follow(changes)
        else:
            # A change was missed: the next turn reads the whole list.
            self._heard_at = float('-inf')


def _sum_up(listed: dict[str, platform.Vm]) -> int:
    rows = [listed[name] for name in sorted(listed)]
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(rows))


async def _limit(outcome) -> Result:
    try:
        async with asyncio.timeout(_READ_TIMEOUT):
            return await outcome
    except TimeoutError:
        return Error(platform.PlatformFault('no answer in time'))


def _now() -> float:
    return asyncio.get_running_loop().time()
