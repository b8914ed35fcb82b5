"""``explain``: the log lines of one id from several nodes, by time."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib

import msgspec

__all__ = ['LogLine', 'explain', 'read_lines']

_FIELDS_NOT_IN_DETAILS = (
    'timestamp',
    'level',
    'logger',
    'message',
    'request_id',
)


class LogLine(msgspec.Struct, frozen=True, order=True):
    """One line of a node's log; lines sort by timestamp, then by source."""

    timestamp: str
    source: str
    event: str
    details: str


def read_lines(
    paths: Iterable[pathlib.Path], searched_id: str
) -> Iterator[LogLine]:
    """Yields the lines in which a field's value is ``searched_id``.

    The source of a line is the last word of a prefix that a log collector put
    before the JSON object, or else the file's name.  Lines without a JSON
    object are skipped.
    """
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            for text in file:
                line = _parse(text, path.name, searched_id)
                if line is not None:
                    yield line


def explain(paths: Iterable[pathlib.Path], searched_id: str) -> list[str]:
    """Returns the log lines of an id as text, in order of time."""
    return [
        f'{line.timestamp} {line.source} {line.event} {line.details}'
        for line in sorted(read_lines(paths, searched_id))
    ]


def _parse(text: str, name: str, searched_id: str) -> LogLine | None:
    if searched_id not in text or '{' not in text:
        return None
    prefix, _, rest = text.partition('{')
    try:
        fields = json.loads('{' + rest)
    except json.JSONDecodeError:
        return None
    if searched_id not in fields.values():
        return None
    details = ' '.join(
        f'{key}={value}'
        for key, value in fields.items()
        if key not in _FIELDS_NOT_IN_DETAILS
    )
    source = prefix.split()[-1] if prefix.strip() else name
    return LogLine(
        str(fields.get('timestamp', '')),
        source,
        str(fields.get('message', '')),
        details,
    )
