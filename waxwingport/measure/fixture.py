"""An admission over in-memory stand-ins, for measurements."""

import random

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.limits import admission
from waxwingport.platform import base as platform
from waxwingport import settings
from waxwingport.standins import factory
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
