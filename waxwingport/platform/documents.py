"""Reader of an operator's configuration with the places of its entries.

What nodes reject and leave out is decided by ``operators``; this module finds
the places.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sized
import itertools
import json
import re

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.checks import document as documents
from waxwingport.checks import findings
from waxwingport.configuration import checking
from waxwingport import decoding
from waxwingport.gateway import routes
from waxwingport.platform import operators
from waxwingport.platform import places

__all__ = ['MAX_BYTES', 'read_document']

MAX_BYTES = 32 * 1024 * 1024
"""Largest document that is checked: over five times the 5.7 MB of 10,000
routes and 100,000 keys of 32 characters."""

_MAX_MISMATCHES = 100_000
"""Wrong and unknown fields that are listed; each takes about 500 bytes."""
_BYTE = re.compile(r' ?\(byte (\d+)\)')
_PLACEHOLDERS: Mapping[str, object] = {
    'version': 0,
    'routes': [],
    'services': [],
}
"""Replace fields that can't be read, so that the others can be."""
_PLATFORM_FIELD = re.compile(r'\$\.services\[\d+\]\.scaling')
"""Places of fields that the platform reads and nodes don't."""
_NOTHING = routes.Configuration(0, (), routes.Limits(), {})
_EXPECTED = {
    routes.OmissionKind.MALFORMED_KEY: 'a key of visible ASCII',
    routes.OmissionKind.MALFORMED_TENANT: (
        f'a name of at most {decoding.MAX_NAME_CHARACTERS:,} visible ASCII'
        ' characters'
    ),
    routes.OmissionKind.SHARED_KEY: 'a key that one tenant holds',
    routes.OmissionKind.UNKNOWN_ROUTE_KIND: (
        f'one of {", ".join(operators.ROUTE_KINDS)}'
    ),
}


def read_document(value: bytes) -> documents.Document:
    """Returns what nodes read in a document, and what they reject in it.

    A document that cannot be decoded has no entries and one error.
    """
    if len(value) > MAX_BYTES:
        return _make_unreadable(
            f'the document is too large; expected at most {MAX_BYTES:,} bytes'
        )
    outcome = operators.parse_configuration(value)
    match _decode(value, lenient=outcome.is_ok()):
        case Result(tag='ok', ok=data):
            pass
        case Result(error=reason):
            return _make_unreadable(reason)
    # One more than is listed tells that there are more.
    mismatches = list(
        itertools.islice(
            checking.find_mismatches(
                data,
                operators.CONFIGURATION_FORMAT,
                checking.JSON,
                places.ROOT,
            ),
            _MAX_MISMATCHES + 1,
        )
    )
    found = [
        finding
        for mismatch in mismatches[:_MAX_MISMATCHES]
        for finding in _make_findings(mismatch, outcome.is_ok())
    ]
    if len(mismatches) > _MAX_MISMATCHES:
        found.append(
            _make_unlisted(
                f'{_MAX_MISMATCHES:,} wrong and unknown fields', places.ROOT
            )
        )
        return documents.Document(
            outcome.default_value(_NOTHING),
            (),
            (),
            tuple(found),
            places.FIELDS,
        )
    readable = places.Readable(value)
    if outcome.is_error():
        if all(mismatch.unknown is not None for mismatch in mismatches):
            found.append(_make_malformed(places.ROOT, outcome.error))
        readable = _prune(data, mismatches)
        outcome = operators.parse_configuration(readable.value)
    return _make_document(
        data, readable, outcome.default_value(_NOTHING), found
    )


def _make_document(
    data: object,
    readable: places.Readable,
    configuration: routes.Configuration,
    found: list[findings.Finding],
) -> documents.Document:
    omitted = {
        f'{places.ROOT}.{omission.place}': omission
        for omission in configuration.omissions
    }
    found += [
        _make_left_out(readable.restore(place), omission)
        for place, omission in omitted.items()
    ]
    entries = None
    if configuration.unlisted_omissions:
        # Which of the other entries are in force is not known.
        found.append(
            _make_unlisted(
                f'{len(omitted):,} parts that are left out',
                f'{places.ROOT}.{places.FIELDS["Configuration.tenants"]}',
            )
        )
    else:
        entries = decoding.read_json(
            readable.value, operators.CONFIGURATION_FORMAT
        ).default_value(None)
    if entries is None:
        return documents.Document(
            configuration, (), (), tuple(found), places.FIELDS
        )
    placed_routes = tuple(
        places.place_routes(entries, readable, configuration, omitted)
    )
    services = tuple(places.place_services(data, entries, readable))
    return documents.Document(
        configuration,
        placed_routes,
        services,
        tuple(found),
        places.FIELDS,
        _is_complete(data, 'routes', placed_routes),
        _is_complete(data, 'services', services),
        places.place_tenants(entries, readable, configuration, omitted),
    )


def _is_complete(data: object, name: str, placed: Sized) -> bool:
    """Returns whether every entry of a list of the document was read."""
    entries = data.get(name) if isinstance(data, dict) else None
    return isinstance(entries, list) and len(entries) == len(placed)


def _make_unreadable(reason: str) -> documents.Document:
    finding = findings.fail(findings.Kind.UNREADABLE, places.ROOT, reason)
    return documents.Document(_NOTHING, (), (), (finding,), places.FIELDS)


def _make_unlisted(listed: str, place: str) -> findings.Finding:
    """Returns the finding that only the first of many faults are listed."""
    return findings.fail(
        findings.Kind.UNREADABLE,
        place,
        f'only the first {listed} are listed; expected fewer',
    )


def _make_malformed(place: str, reason: str) -> findings.Finding:
    return findings.fail(findings.Kind.MALFORMED, place, reason)


def _make_left_out(place: str, omission: routes.Omission) -> findings.Finding:
    kind, subject = findings.Kind.LEFT_OUT, repr(omission.name)
    match omission.kind:
        case routes.OmissionKind.UNKNOWN_ROUTE_KIND:
            place = f'{place}.{places.FIELDS["Route.kind"]}'
        case routes.OmissionKind.MALFORMED_TENANT:
            subject = 'the tenant'
        case routes.OmissionKind.MALFORMED_KEY:
            subject = f'a key of {subject}'
        case routes.OmissionKind.SHARED_KEY:
            kind, subject = findings.Kind.SHARED_KEY, f'a key of {subject}'
    return findings.fail(
        kind,
        place,
        f'{subject} is left out: {omission.reason}; expected'
        f' {_EXPECTED[omission.kind]}',
    )


def _make_findings(
    mismatch: checking.Mismatch, is_accepted: bool
) -> Iterator[findings.Finding]:
    """Yields the finding about a mismatch, if it is one.

    ``is_accepted`` tells that nodes read the document.
    """
    if mismatch.unknown is None:
        if not is_accepted:
            yield _make_malformed(mismatch.path, mismatch.message)
        return
    if not _PLATFORM_FIELD.fullmatch(mismatch.path):
        yield findings.warn(
            findings.Kind.UNKNOWN_FIELD,
            mismatch.path,
            f'nodes ignore this {mismatch.message}',
        )


def _decode(value: bytes, lenient: bool) -> Result[object, str]:
    """Returns the decoded JSON, or why it cannot be decoded.

    In fields that they ignore, nodes accept numbers that are out of range and
    strings that are no UTF-8; so does this function if it is ``lenient``.
    """
    try:
        return Ok(msgspec.json.decode(value))
    except RecursionError:
        return Error('the document is nested too deeply')
    except (msgspec.DecodeError, UnicodeError, ValueError) as error:
        reason = str(error)
    if not lenient:
        return Error(f'no JSON document: {_locate_byte(value, reason)}')
    try:
        return Ok(json.loads(value.decode('utf-8', 'replace')))
    except (RecursionError, ValueError) as error:
        return Error(f'the document cannot be checked: {error}')


def _locate_byte(value: bytes, reason: str) -> str:
    """Returns a decoder's reason with line and column for the byte's number.

    Columns are counted in bytes, from 1.
    """
    found = _BYTE.search(reason)
    if found is None:
        return reason
    before = value[: int(found[1])]
    line = before.count(b'\n') + 1
    column = len(before) - before.rfind(b'\n')
    return f'{_BYTE.sub("", reason)} at line {line}, column {column}'


def _prune(
    data: object, mismatches: Iterable[checking.Mismatch]
) -> places.Readable:
    """Returns a document without the entries that can't be read."""
    pruned = dict(data) if isinstance(data, dict) else {}
    dropped: dict[str, set[int]] = {}
    for mismatch in mismatches:
        entry = places.ENTRY.match(mismatch.path)
        if mismatch.unknown is not None or entry is None:
            continue
        if entry[2] is not None:
            dropped.setdefault(entry[1], set()).add(int(entry[2]))
        elif entry[1] in _PLACEHOLDERS:
            pruned[entry[1]] = _PLACEHOLDERS[entry[1]]
        else:
            pruned.pop(entry[1], None)
    kept = {
        name: [
            index for index in range(len(pruned[name])) if index not in indices
        ]
        for name, indices in dropped.items()
    }
    for name, indices in kept.items():
        pruned[name] = [pruned[name][index] for index in indices]
    return places.Readable(msgspec.json.encode(_PLACEHOLDERS | pruned), kept)
