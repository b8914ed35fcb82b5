"""``explain``: the log lines of one id, from several nodes, in order."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib

import msgspec

__all__ = ['LogLine', 'explain', 'read_lines']

_OWN_FIELDS = ('timestamp', 'level', 'logger', 'message', 'request_id')


class LogLine(msgspec.Struct, frozen=True, order=True):
    """One line of a node's log."""

    timestamp: str
    source: str
    event: str
    details: str


def read_lines(
    paths: Iterable[pathlib.Path], wanted: str
) -> Iterator[LogLine]:
    """Yields the lines that hold ``wanted`` as a field's value.

    Text before the object, as log collectors put there, goes to ``source``.
    Lines that are no JSON object are left out.
    """
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            for text in file:
                line = _parse(text, path.name, wanted)
                if line is not None:
                    yield line


def explain(paths: Iterable[pathlib.Path], wanted: str) -> list[str]:
    """Returns the lines of an id in the order of their time."""
    return [
        f'{line.timestamp} {line.source} {line.event} {line.details}'
        for line in sorted(read_lines(paths, wanted))
    ]


def _parse(text: str, name: str, wanted: str) -> LogLine | None:
    if wanted not in text or '{' not in text:
        return None
    prefix, _, rest = text.partition('{')
    try:
        fields = json.loads('{' + rest)
    except json.JSONDecodeError:
        return None
    if wanted not in fields.values():
        return None
    details = ' '.join(
        f'{key}={value}'
        for key, value in fields.items()
        if key not in _OWN_FIELDS
    )
    source = prefix.split()[-1] if prefix.strip() else name
    return LogLine(
        str(fields.get('timestamp', '')),
        source,
        str(fields.get('message', '')),
        details,
    )
