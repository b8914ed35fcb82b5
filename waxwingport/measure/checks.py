"""Measurement of the check of a large configuration."""

from collections.abc import Iterator
import random
import time
import tracemalloc

import msgspec

from waxwingport.checks import report
from waxwingport.measure import base
from waxwingport.platform import documents

__all__ = ['ConfigurationCheck']

_ROUTES = 10_000
_TENANTS = 1_000
_KEYS_PER_TENANT = 100
_SERVICES = 500
_ROUTES_PER_HOST = 100
_KEY_CHARACTERS = 32
_TIME_TARGET_S = 2.0
_MEMORY_TARGET_MB = 200.0
_MIB = 1024 * 1024


class ConfigurationCheck(base.Measurement):
    """Time and memory of the check of 10,000 routes and 100,000 keys."""

    name = 'configuration-check'
    summary = 'time and memory of a check of 10,000 routes and 100,000 keys'

    async def run(self, options: base.Options) -> base.Report:
        """Checks a valid document, one with faults, and two versions."""
        rng = random.Random(options.seed)
        valid = _make_document(rng, 1, faulty=False)
        later = _make_document(rng, 2, faulty=False)
        faulty = _make_document(rng, 3, faulty=True)
        figures = [
            base.Figure('size of the document', len(valid) / _MIB, 'MB'),
            _time('valid document', [valid]),
            _time('a fault in each route', [faulty]),
            _time('two versions with other keys', [later, valid]),
            base.Figure(
                'memory of the check of two versions',
                _measure_memory([later, valid]),
                'MB',
                _MEMORY_TARGET_MB,
            ),
        ]
        return base.Report(self.name, options, tuple(figures))


def _make_document(rng: random.Random, version: int, faulty: bool) -> bytes:
    return msgspec.json.encode(
        {
            'version': version,
            'routes': list(_make_routes(rng, faulty)),
            'services': [
                {
                    'name': f'service-{index}',
                    'scaling': {'min': 1, 'max': 4},
                    'engine': {'models': [{'name': f'model-{index}'}]},
                }
                for index in range(_SERVICES)
            ],
            'tenants': [
                {
                    'name': f'tenant-{index}',
                    'api-keys': [
                        f'{rng.getrandbits(4 * _KEY_CHARACTERS):032x}'
                        for _ in range(_KEYS_PER_TENANT)
                    ],
                }
                for index in range(_TENANTS)
            ],
            'limits': {},
        }
    )


def _make_routes(
    rng: random.Random, faulty: bool
) -> Iterator[dict[str, object]]:
    for index in range(_ROUTES):
        route: dict[str, object] = {
            'name': f'route-{index}',
            'host': f'host-{index // _ROUTES_PER_HOST}.example',
            'path-prefix': f'/path-{index % _ROUTES_PER_HOST}/',
            'kind': rng.choice(['idempotent', 'rollout', 'streaming']),
            'timeout-ms': rng.randrange(2000, 9000),
            'latency-target-ms': rng.randrange(1000, 2000),
            'max-attempts': rng.randrange(1, 4),
            'traffic-split': [
                {'service': f'service-{index % _SERVICES}', 'weight': 90},
                {'service': f'service-{index % 7}', 'weight': 10},
            ],
        }
        if faulty:
            route |= rng.choice(
                [
                    {'timeout-ms': 'soon'},
                    {'kind': 'unknown'},
                    {'path-prefix': 'path'},
                    {'latency-target-ms': 10_000},
                    {f'field-{index}': index},
                ]
            )
        yield route


def _check(values: list[bytes]) -> report.Report:
    """Checks the first document and compares it with the second, if any."""
    found = [documents.read_document(value) for value in values]
    if len(found) == 1:
        return report.make_report(found[0])
    return report.compare(*found)


def _time(what: str, values: list[bytes]) -> base.Figure:
    start = time.process_time()
    _check(values)
    elapsed = time.process_time() - start
    return base.Figure(what, elapsed, 's', _TIME_TARGET_S)


def _measure_memory(values: list[bytes]) -> float:
    """Returns the most memory that a check uses besides the input, in MB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    _check(values)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return (peak - before) / _MIB
