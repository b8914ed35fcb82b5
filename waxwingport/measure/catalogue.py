"""All measurements by name."""

from waxwingport.measure import base
from waxwingport.measure import dissemination
from waxwingport.measure import overload
from waxwingport.measure import routing
from waxwingport.measure import weights

__all__ = ['MEASUREMENTS']

_ALL: tuple[base.Measurement, ...] = (
    routing.RoutingRate(),
    weights.WeightPlan(),
    dissemination.Dissemination(),
    overload.Overload(),
)

MEASUREMENTS = {row.name: row for row in _ALL}
