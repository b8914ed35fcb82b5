"""Keeps the platform's list of VMs up to date at every node.

Two nodes of each data centre read the list and send its changes to the others.
A node that receives nothing, or missed a change, reads the list itself.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging

from expression import Error
from expression import Result
import msgspec
import xxhash

from waxwingport import decoding
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers

__all__ = ['VmChanges', 'VmFollower']

_READ_INTERVAL_S = 0.5
"""Time between two reads of the list."""
_READ_TIMEOUT_S = 2.0
_READER_COUNT = 2
"""Nodes of a data centre that read the list for the others."""
_MAX_SILENCE_S = 2.0
"""Time without a message after which a node reads the list itself."""
_READER_KEY = 'vm-list'
"""Key by which rendezvous hashing picks the readers."""
_LOG = logging.getLogger(__name__)

VmListener = Callable[[Sequence[platform.Vm]], None]


class VmChanges(msgspec.Struct, frozen=True, array_like=True):
    """Changes from one list to another; both are named by checksums."""

    before: int
    after: int
    changed: tuple[platform.Vm, ...] = ()
    removed: tuple[str, ...] = ()


class VmFollower:
    """Keeps the list of VMs and passes it to listeners.

    ``listeners`` get the whole list after each change.  ``handle_nodes`` gets
    the nodes each time the list is read or a change is received.
    """

    def __init__(
        self,
        source: platform.VmList,
        listeners: Sequence[VmListener],
        members: membership.Membership,
        transport: peers.PeerTransport,
        handle_nodes: VmListener = lambda nodes: None,
    ) -> None:
        self._source = source
        self._listeners = listeners
        self._handle_nodes = handle_nodes
        self._nodes: list[platform.Vm] = []
        self._members = members
        self._peers = transport
        self._vms: dict[str, platform.Vm] = {}
        self._checksum = 0
        self._updated_at = float('-inf')
        transport.set_receiver(peers.MessageKind.VMS, self._handle_message)

    async def run(self) -> None:
        """Keeps the list up to date until it is cancelled."""
        while True:
            is_reader = self._is_reader()
            if is_reader or _now() - self._updated_at > _MAX_SILENCE_S:
                await self._read(is_reader)
            await asyncio.sleep(_READ_INTERVAL_S)

    def _is_reader(self) -> bool:
        names = [member.name for member in self._list_live()]
        chosen = rendezvous.rank(_READER_KEY, names)[:_READER_COUNT]
        return not chosen or self._members.local_member.name in chosen

    def _list_live(self) -> Sequence[membership.Member]:
        return self._members.list_live(self._members.local_member.data_centre)

    async def _read(self, broadcast: bool) -> None:
        match await _with_timeout(self._source.read()):
            case Result(tag='ok', ok=vms):
                had_list = bool(self._vms)
                changes = self._compare({vm.name: vm for vm in vms})
                self._apply(changes)
                if broadcast:
                    # The first list of a node is no change: the other nodes
                    # have it already.
                    same = VmChanges(changes.after, changes.after)
                    self._broadcast(changes if had_list else same)
            case Result(error=fault):
                _LOG.warning('VM list not read: %s', fault.detail)

    def _compare(self, listed: dict[str, platform.Vm]) -> VmChanges:
        changed = [
            vm for name, vm in listed.items() if self._vms.get(name) != vm
        ]
        removed = [name for name in self._vms if name not in listed]
        before = self._checksum
        after = before
        if changed or removed:
            after = _compute_checksum(listed)
        return VmChanges(before, after, tuple(changed), tuple(removed))

    def _apply(self, changes: VmChanges) -> None:
        if changes.before != changes.after or not self._vms:
            for name in changes.removed:
                del self._vms[name]
            self._vms.update({vm.name: vm for vm in changes.changed})
            self._checksum = changes.after
            vms = list(self._vms.values())
            self._nodes = [vm for vm in vms if vm.kind is platform.VmKind.NODE]
            for listener in self._listeners:
                listener(vms)
        self._handle_nodes(self._nodes)

    def _broadcast(self, changes: VmChanges) -> None:
        body = msgspec.msgpack.encode(changes)
        for member in self._list_live():
            if member.name != self._members.local_member.name:
                self._peers.send(member.peer, peers.MessageKind.VMS, body)

    def _handle_message(self, sender: ids.NodeName, body: bytes) -> None:
        match decoding.read_msgpack(body, VmChanges):
            case Result(tag='ok', ok=changes):
                pass
            case Result(error=reason):
                _LOG.warning('VM list from %s is invalid: %s', sender, reason)
                return
        if changes.after == self._checksum:
            self._updated_at = _now()
        elif changes.before == self._checksum:
            self._updated_at = _now()
            self._apply(changes)
        else:
            # A change was missed: the next iteration reads the whole list.
            self._updated_at = float('-inf')


def _compute_checksum(listed: dict[str, platform.Vm]) -> int:
    vms = [listed[name] for name in sorted(listed)]
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(vms))


async def _with_timeout(request) -> Result:
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return await request
    except TimeoutError:
        return Error(platform.PlatformFault('VM list not returned in time'))


def _now() -> float:
    return asyncio.get_running_loop().time()
