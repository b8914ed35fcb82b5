"""What a check finds in a configuration."""

from collections.abc import Iterable
import enum
import re

import msgspec

__all__ = ['Finding', 'Kind', 'Severity', 'fail', 'sort', 'warn']

_NUMBER = re.compile(r'(\d+)')


class Severity(enum.Enum):
    """Whether nodes apply an entry as it is written."""

    ERROR = 'error'
    """Nodes reject the configuration or leave the entry out."""
    WARNING = 'warning'
    """Nodes apply it, but it can hardly be meant."""


class Kind(enum.Enum):
    """Classes of findings; the values are part of the JSON output."""

    UNREADABLE = 'unreadable'
    """The input is no JSON document that can be checked."""
    MALFORMED = 'malformed'
    LEFT_OUT = 'left-out'
    SHARED_KEY = 'shared-key'
    UNKNOWN_FIELD = 'unknown-field'
    HIDDEN_ROUTE = 'hidden-route'
    PREFIX = 'prefix'
    HOST = 'host'
    UNUSED_SERVICE = 'unused-service'
    UNKNOWN_SERVICE = 'unknown-service'
    REPEATED_SERVICE = 'repeated-service'
    REPEATED_KEY = 'repeated-key'
    ZERO_WEIGHT = 'zero-weight'
    NEGATIVE_WEIGHT = 'negative-weight'
    IGNORED_PRIORITY = 'ignored-priority'
    NO_KEYS = 'no-keys'
    LATENCY_TARGET = 'latency-target'
    RANGE = 'range'
    RETENTION = 'retention'
    BODY_LIMIT = 'body-limit'
    ATTEMPTS = 'attempts'
    NOT_POSITIVE = 'not-positive'
    OLD_VERSION = 'old-version'


class Finding(msgspec.Struct, frozen=True):
    """One finding; converts to the text ``severity: place: message``.

    ``place`` is a path into the document such as ``$.routes[2].host``; ``$``
    is the whole document.
    """

    severity: Severity
    kind: Kind
    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.severity.value}: {self.place}: {self.message}'


def fail(kind: Kind, place: str, message: str) -> Finding:
    """Returns a finding of the severity ``ERROR``."""
    return Finding(Severity.ERROR, kind, place, message)


def warn(kind: Kind, place: str, message: str) -> Finding:
    """Returns a finding of the severity ``WARNING``."""
    return Finding(Severity.WARNING, kind, place, message)


def sort(found: Iterable[Finding]) -> list[Finding]:
    """Returns errors before warnings, each in the order of their places.

    Numbers in places are compared by value.
    """
    return sorted(
        found,
        key=lambda finding: (
            finding.severity is not Severity.ERROR,
            _split_numbers(finding.place),
            finding.kind.value,
            finding.message,
        ),
    )


def _split_numbers(place: str) -> list[tuple[int, str]]:
    """Returns the parts of a place, so that ``[10]`` sorts after ``[9]``."""
    return [
        (int(part), '') if index % 2 else (0, part)
        for index, part in enumerate(_NUMBER.split(place))
    ]
