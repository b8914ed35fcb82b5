"""An admission over in-memory stand-ins, for measurements."""

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
    """One node's admission, table and stand-ins; needs a running loop."""

    def __init__(
        self,
        vms: list[platform.Vm],
        made: factory.StandInTargetFactory,
        seed: int,
    ) -> None:
        self.factory = made
        self.rng = random.Random(seed)
        self.configuration = state.ConfigurationState()
        self.targets = table.TargetTable(made, _NODE)
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
        number: int = 0,
        nodes: int = 1,
    ) -> asyncio.Task[None]:
        """Polls the engines as node ``number`` of some nodes does."""
        members = [_make_member(index) for index in range(nodes)]
        own = members.pop(number)
        joined = network or memory.MemoryNetwork()
        transport = joined.join(own.name, own.peer_address, ids.Incarnation(1))
        found = poller.EnginePoller(
            self.targets,
            self.gate.router.index,
            membership.StaticMembership(own, members),
            transport,
        )
        return asyncio.get_running_loop().create_task(found.run())


def _make_member(number: int) -> membership.Member:
    return membership.Member(
        ids.NodeName(f'node-{number}'),
        _NODE.data_centre,
        f'node-{number}',
        ids.Incarnation(1),
    )
