"""One node's admission over in-memory engines, for measurements."""

import asyncio
import random

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.limits import admission
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform
from waxwingport.peers import memory
from waxwingport import settings
from waxwingport.standins import factory
from waxwingport.targets import poller
from waxwingport.targets import table

__all__ = ['Fixture']

_NODE = settings.NodeSettings(
    name=ids.NodeName('node'),
    data_centre=ids.DataCentre('muenchen'),
    listen='127.0.0.1:0',
    peer_listen='127.0.0.1:0',
)


class Fixture:
    """One node's admission, target table and engines in one pool.

    Needs a running event loop.
    """

    def __init__(
        self,
        vms: list[platform.Vm],
        target_factory: factory.StandInTargetFactory,
        seed: int,
    ) -> None:
        self.factory = target_factory
        self.rng = random.Random(seed)
        self.configuration = state.ConfigurationState()
        self.targets = table.TargetTable(target_factory, _NODE)
        self.gate = admission.Admission(
            self.configuration, self.targets, self.rng
        )
        pool = declarations.Pool(ids.PoolName('pool'), 'kind = engine')
        self.configuration.apply(
            ids.Revision(0), declarations.Declarations(pools=(pool,))
        )
        self.targets.update(vms)

    def start_polling(
        self,
        network: memory.MemoryNetwork | None = None,
        node_index: int = 0,
        nodes: int = 1,
    ) -> asyncio.Task[None]:
        """Starts the engine poller of node ``node_index`` of ``nodes`` nodes.

        Nodes that share the engines have to share ``network`` as well.
        Returns the running task, which the caller cancels.
        """
        members = [_make_member(index) for index in range(nodes)]
        local_member = members.pop(node_index)
        peer_network = network or memory.MemoryNetwork()
        transport = peer_network.join(
            local_member.name, local_member.peer_address, ids.Incarnation(1)
        )
        engine_poller = poller.EnginePoller(
            self.targets,
            self.gate.router.index,
            membership.StaticMembership(local_member, members),
            transport,
        )
        return asyncio.get_running_loop().create_task(engine_poller.run())


def _make_member(index: int) -> membership.Member:
    return membership.Member(
        ids.NodeName(f'node-{index}'),
        _NODE.data_centre,
        f'node-{index}',
        ids.Incarnation(1),
    )
