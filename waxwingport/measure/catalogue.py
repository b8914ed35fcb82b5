"""All measurements by name."""

from waxwingport.measure import base
from waxwingport.measure import dissemination
from waxwingport.measure import keys
from waxwingport.measure import leases
from waxwingport.measure import membership
from waxwingport.measure import overload
from waxwingport.measure import routing
from waxwingport.measure import weights

__all__ = ['MEASUREMENTS']

_ALL: tuple[base.Measurement, ...] = (
    routing.RoutingRate(),
    weights.WeightPlan(),
    dissemination.Dissemination(),
    overload.Overload(),
    membership.MembershipCost(),
    membership.Detection(),
    membership.PeerRequests(),
    leases.LeaseTakeover(),
    keys.KeyIndexCost(),
)

MEASUREMENTS = {row.name: row for row in _ALL}
