"""Registry of all measurements by name."""

from waxwingport.measure import base
from waxwingport.measure import caching
from waxwingport.measure import checks
from waxwingport.measure import configuration
from waxwingport.measure import control
from waxwingport.measure import degraded
from waxwingport.measure import dissemination
from waxwingport.measure import gatewaylogs
from waxwingport.measure import keys
from waxwingport.measure import leases
from waxwingport.measure import membership
from waxwingport.measure import overload
from waxwingport.measure import requests
from waxwingport.measure import routing
from waxwingport.measure import samples
from waxwingport.measure import usage
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
    gatewaylogs.GatewayLogs(),
    dissemination.Dissemination(),
    overload.Overload(),
    membership.MembershipCost(),
    membership.Detection(),
    membership.PeerRequests(),
    leases.LeaseTakeover(),
    checks.ConfigurationCheck(),
    keys.KeyIndexCost(),
    caching.PrefixHits(),
    degraded.DegradedEngines(),
    samples.Samples(),
    samples.SampleFaults(),
    samples.SamplePlan(),
    usage.UsageCost(),
)

MEASUREMENTS = {measurement.name: measurement for measurement in _ALL}
