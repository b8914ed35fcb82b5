"""Records of operators and targets in the platform's format."""

import msgspec
import pytest

from waxwingport.fleet import model as fleet
from waxwingport.gateway import routes
from waxwingport.platform import operators

ROUTE = {
    'name': 'r',
    'host': 'Shop.Example',
    'path-prefix': '/a/',
    'kind': 'idempotent',
    'timeout-ms': 1500,
    'latency-target-ms': 177,
    'priority': 2,
    'max-attempts': 2,
    'traffic-split': [
        {'service': 'x', 'weight': 90},
        {'service': 'y', 'weight': 10},
    ],
    'field-of-a-later-version': {'a': 1},
}
ENTRY = {
    'service': 'x',
    'address': '10.0.0.1:8080',
    'zone': 'muenchen',
    'version': 'v1.1',
    'slots': 8,
    'state': 'ready',
    'models': [{'name': 'm', 'version': 3, 'adapters': []}],
    'seq': 4,
    'born': 1700000000000,
}


def read_configuration(*route_entries):
    found = {
        'version': 7,
        'routes': list(route_entries),
        'services': [{'name': 'x', 'engine': {'models': [{'name': 'm'}]}}],
        'limits': {'max-body-bytes': 99, 'idle-timeout-ms': 15000},
    }
    return operators.read_configuration(msgspec.json.encode(found))


def read_target(**changes):
    value = msgspec.json.encode(ENTRY | changes)
    return operators.read_target('i1', value)


def test_a_configuration_is_converted_to_routes_and_seconds():
    found = read_configuration(ROUTE).ok
    (route,) = found.routes
    assert found.version == 7
    assert (route.host, route.prefix) == ('shop.example', '/a/')
    assert (route.timeout, route.target_time) == (1.5, 0.177)
    assert route.shares == (routes.Share('x', 90), routes.Share('y', 10))
    assert found.limits.body_size == 99
    assert found.models == {'x': ('m',)}


@pytest.mark.parametrize(
    ('fields', 'limits'),
    [
        ({'traffic-split': [{'service': 'x', 'weight': 0.5}]}, {}),
        ({'priority': 2.0, 'max-attempts': 2.0}, {}),
        ({}, {'max-body-bytes': 1e7, 'max-header-bytes': 16384.0}),
    ],
)
def test_a_configuration_with_fractional_numbers_is_not_dropped(
    fields, limits
):
    # Guards against a version that is acknowledged and never in force.
    value = msgspec.json.encode(
        {
            'version': 7,
            'routes': [ROUTE | fields],
            'services': [],
            'limits': limits,
        }
    )
    (route,) = operators.read_configuration(value).ok.routes
    assert (route.priority, route.max_attempts) == (2, 2)


@pytest.mark.parametrize(
    ('fields', 'kind'),
    [
        ({'kind': 'non_idempotent'}, routes.RouteKind.NON_IDEMPOTENT),
        ({'kind': 'rollout'}, routes.RouteKind.BATCH),
        ({'kind': 'streaming'}, routes.RouteKind.STREAMING),
        (
            {'kind': 'idempotent', 'streaming': True},
            routes.RouteKind.STREAMING,
        ),
    ],
)
def test_kinds_of_routes(fields, kind):
    (route,) = read_configuration(ROUTE | fields).ok.routes
    assert route.kind is kind


def test_a_route_of_an_unknown_kind_is_skipped():
    unknown = ROUTE | {'name': 's', 'kind': 'telepathic'}
    found = read_configuration(unknown, ROUTE).ok
    assert [route.name for route in found.routes] == ['r']


@pytest.mark.parametrize('value', [b'', b'\xff', b'[]', b'{"version": "x"}'])
def test_an_unreadable_configuration_is_a_fault(value):
    assert operators.read_configuration(value).is_error()


def test_the_longest_prefix_of_a_host_wins():
    longer = ROUTE | {'name': 'longer', 'path-prefix': '/a/b/'}
    other = ROUTE | {'name': 'other', 'host': 'other', 'path-prefix': '/a/b/'}
    found = read_configuration(ROUTE, longer, other).ok
    assert routes.find_route(found, 'shop.example', '/a/b/c').name == 'longer'
    assert routes.find_route(found, 'shop.example', '/a/c').name == 'r'
    assert routes.find_route(found, 'shop.example', '/b/') is None


def test_a_target_entry_is_read():
    found = read_target().ok
    assert found.instance == 'i1'
    assert found.stage is fleet.Stage.READY
    assert found.versions == {'m': 3}
    assert found.software == 'v1.1'
    assert found.started_at_ms == 1700000000000


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'asleep'},
        {'service': 3},
        {'address': 'nowhere'},
        {'address': ':80'},
        {'slots': 'many'},
        {'version': 2},
        {'models': [{'name': 'm'}]},
        {'born': 'today'},
    ],
)
def test_a_malformed_target_entry_is_a_fault(changes):
    assert read_target(**changes).is_error()


@pytest.mark.parametrize(
    'missing', ['service', 'address', 'state', 'version', 'zone']
)
def test_a_target_entry_with_a_missing_field_is_a_fault(missing):
    fields = {name: ENTRY[name] for name in ENTRY if name != missing}
    value = msgspec.json.encode(fields)
    assert operators.read_target('i1', value).is_error()


def test_a_published_version_is_recognized_by_its_key():
    value = b'{"model": "m", "version": 4}'
    found = operators.read_published_version('version/m', value).ok
    assert (found.model, found.version) == ('m', 4)
    assert operators.read_published_version('other', value).ok is None
    assert operators.read_published_version('version/m', b'{}').is_error()
