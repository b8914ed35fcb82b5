"""All measurements by name."""

from waxwingport.measure import base
from waxwingport.measure import routing

__all__ = ['MEASUREMENTS']

_ALL: tuple[base.Measurement, ...] = (routing.RoutingRate(),)

MEASUREMENTS = {row.name: row for row in _ALL}
