"""Entries of a configuration that can never match a request."""

from collections.abc import Iterator

from waxwingport.checks import document as documents
from waxwingport.checks import findings
from waxwingport.tenancy import keys

__all__ = ['find_unmatched']


def find_unmatched(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    """Yields a warning for each entry that no request can reach."""
    yield from _find_hidden_routes(document)
    for placed in document.routes:
        yield from _check_prefix(document, placed)
        yield from _check_host(document, placed)
        yield from _check_weights(placed)
    yield from _check_services(document)
    for tenant in document.tenants or ():
        yield from _check_tenant(tenant)


def _check_tenant(
    tenant: documents.PlacedTenant,
) -> Iterator[findings.Finding]:
    if not tenant.written_keys:
        yield findings.warn(
            findings.Kind.NO_KEYS,
            tenant.place,
            f'tenant {tenant.tenant.name!r} has no keys, so that no request'
            ' can belong to it; expected at least one key',
        )
    for place in tenant.ignored_priorities:
        yield findings.warn(
            findings.Kind.IGNORED_PRIORITY,
            place,
            f'nodes use the priority {tenant.tenant.priority} for tenant'
            f' {tenant.tenant.name!r}; expected one priority, at least 0',
        )
    for repeated in tenant.repeated_keys:
        yield findings.warn(
            findings.Kind.REPEATED_KEY,
            repeated.place,
            f'tenant {tenant.tenant.name!r} lists the key of digest'
            f' {keys.shorten(repeated.digest)} already at'
            f' {repeated.first_place}; expected each key once',
        )


def _find_hidden_routes(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    first_places: dict[tuple[str, str], str] = {}
    for placed in document.routes:
        route = placed.route
        first_place = first_places.setdefault(
            (route.host, route.prefix), placed.place
        )
        if first_place != placed.place:
            yield findings.warn(
                findings.Kind.HIDDEN_ROUTE,
                placed.place,
                f'route {route.name!r} never matches, since {first_place} has'
                f' the same host {route.host!r} and prefix {route.prefix!r};'
                ' expected one route for both',
            )


def _check_prefix(
    document: documents.Document, placed: documents.PlacedRoute
) -> Iterator[findings.Finding]:
    prefix = placed.route.prefix
    place = document.locate(placed.place, 'Route.prefix')
    if not prefix:
        yield findings.warn(
            findings.Kind.PREFIX,
            place,
            "an empty prefix matches every path; expected '/'",
        )
    elif not prefix.startswith('/'):
        yield findings.warn(
            findings.Kind.PREFIX,
            place,
            f'prefix {prefix!r} never matches, since paths begin with a'
            ' slash; expected a slash at its beginning',
        )
    elif '?' in prefix:
        yield findings.warn(
            findings.Kind.PREFIX,
            place,
            f'prefix {prefix!r} never matches, since the query is no part of'
            ' the path; expected a prefix without a question mark',
        )
    elif not prefix.endswith('/'):
        yield findings.warn(
            findings.Kind.PREFIX,
            place,
            f'prefix {prefix!r} also matches longer names, such as'
            f' {prefix + "x"!r}; expected a slash at its end',
        )


def _check_host(
    document: documents.Document, placed: documents.PlacedRoute
) -> Iterator[findings.Finding]:
    host = placed.route.host
    if ':' in host:
        yield findings.warn(
            findings.Kind.HOST,
            document.locate(placed.place, 'Route.host'),
            f'host {host!r} never matches, since the port of a request is'
            ' not compared; expected a host without a port',
        )


def _check_weights(
    placed: documents.PlacedRoute,
) -> Iterator[findings.Finding]:
    shares = placed.route.shares
    for share, place in zip(shares, placed.share_places, strict=True):
        if share.weight < 0:
            yield findings.warn(
                findings.Kind.NEGATIVE_WEIGHT,
                place,
                f'weight {share.weight:g} of service {share.service!r} counts'
                ' as 0; expected at least 0',
            )
    if all(share.weight <= 0 for share in shares):
        yield findings.warn(
            findings.Kind.ZERO_WEIGHT,
            placed.shares_place,
            'no weight is above 0, so that all requests go to the first'
            f' service {shares[0].service!r}; expected one weight above 0',
        )


def _check_services(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    """Yields services that are unused, repeated or unknown.

    What an entry that can't be read would name is not known, so that nothing
    is reported as unused or unknown next to one.
    """
    last_places = {
        service.name: service.place for service in document.services
    }
    named = {
        share.service
        for placed in document.routes
        for share in placed.route.shares
    }
    for service in document.services:
        if document.has_all_routes and service.name not in named:
            yield findings.warn(
                findings.Kind.UNUSED_SERVICE,
                service.place,
                f'service {service.name!r} gets no requests; expected a route'
                ' that names it',
            )
        if last_places[service.name] != service.place:
            yield findings.warn(
                findings.Kind.REPEATED_SERVICE,
                service.place,
                f'service {service.name!r} is declared again at'
                f' {last_places[service.name]}; expected one declaration',
            )
    for placed in document.routes:
        for share, place in zip(
            placed.route.shares, placed.share_places, strict=True
        ):
            if not share.service:
                message = 'names no service'
            elif document.has_all_services and (
                share.service not in last_places
            ):
                message = (
                    f'names the service {share.service!r}, which is not'
                    ' declared'
                )
            else:
                continue
            yield findings.warn(
                findings.Kind.UNKNOWN_SERVICE,
                place,
                f'route {placed.route.name!r} {message}; expected a name in'
                ' the list of services',
            )
