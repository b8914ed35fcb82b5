"""All measurements by name."""

from waxwingport.measure import base
from waxwingport.measure import caching
from waxwingport.measure import configuration
from waxwingport.measure import control
from waxwingport.measure import degraded
from waxwingport.measure import dissemination
from waxwingport.measure import overload
from waxwingport.measure import requests
from waxwingport.measure import routing
from waxwingport.measure import samples
from waxwingport.measure import weights

__all__ = ['MEASUREMENTS']

_ALL: tuple[base.Measurement, ...] = (
    configuration.ConfigurationFold(),
    configuration.ConfigurationSpread(),
    configuration.ConfigurationTraffic(),
    routing.RoutingRate(),
    requests.AddedTime(),
    requests.TokenRate(),
    requests.RequestCost(),
    weights.WeightPlan(),
    control.ControlCost(),
    dissemination.Dissemination(),
    overload.Overload(),
    caching.PrefixHits(),
    degraded.DegradedEngines(),
    samples.Samples(),
    samples.SampleFaults(),
    samples.SamplePlan(),
)

MEASUREMENTS = {row.name: row for row in _ALL}
