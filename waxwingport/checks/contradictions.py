"""Limits of a configuration that contradict each other."""

from collections.abc import Iterator

from waxwingport.checks import document as documents
from waxwingport.checks import findings
from waxwingport.gateway import routes

__all__ = ['find_contradictions']


def find_contradictions(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    """Yields a warning for each limit that contradicts another one."""
    for placed in document.routes:
        yield from _check_route(document, placed)
    for service in document.services:
        for limits in service.ranges:
            if limits.minimum > limits.maximum:
                yield findings.warn(
                    findings.Kind.RANGE,
                    limits.place,
                    f'the minimum {limits.minimum:g} is above the maximum'
                    f' {limits.maximum:g}; expected at most the maximum',
                )
    yield from _check_limits(document)


def _check_route(
    document: documents.Document, placed: documents.PlacedRoute
) -> Iterator[findings.Finding]:
    route = placed.route
    if route.timeout <= 0:
        yield findings.warn(
            findings.Kind.NOT_POSITIVE,
            document.locate(placed.place, 'Route.timeout'),
            f'a timeout of {route.timeout:g} s refuses every request;'
            ' expected a time above 0',
        )
    elif route.target_time > route.timeout:
        yield findings.warn(
            findings.Kind.LATENCY_TARGET,
            document.locate(placed.place, 'Route.target_time'),
            f'the latency target of {route.target_time:g} s is above the'
            f' timeout of {route.timeout:g} s; expected at most the timeout',
        )
    if placed.declared_attempts < 1:
        yield findings.warn(
            findings.Kind.ATTEMPTS,
            document.locate(placed.place, 'Route.max_attempts'),
            f'{placed.declared_attempts:g} attempts count as'
            f' {route.max_attempts}; expected at least 1',
        )
    is_batch = route.kind is routes.RouteKind.BATCH
    if is_batch and route.retention < route.run_target:
        yield findings.warn(
            findings.Kind.RETENTION,
            document.locate(placed.place, 'Route.retention'),
            f'items are given up after {route.retention:g} s, before the run'
            f' target of {route.run_target:g} s; expected at least the run'
            ' target',
        )


def _check_limits(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    limits = document.configuration.limits
    values = {
        'Limits.header_size': limits.header_size,
        'Limits.header_timeout': limits.header_timeout,
        'Limits.idle_timeout': limits.idle_timeout,
    }
    place = document.locate('$', 'Configuration.limits')
    for attribute, value in values.items():
        if value <= 0:
            yield findings.warn(
                findings.Kind.NOT_POSITIVE,
                document.locate(place, attribute),
                f'no request can be read within a limit of {value:g}; expected'
                ' a value above 0',
            )
    if limits.body_size < limits.header_size:
        yield findings.warn(
            findings.Kind.BODY_LIMIT,
            document.locate(place, 'Limits.body_size'),
            f'the limit of {limits.body_size} bytes for bodies is below that'
            f' of {limits.header_size} bytes for headers; expected at least'
            ' the limit for headers',
        )
