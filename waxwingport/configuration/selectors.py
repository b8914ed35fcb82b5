"""Label selectors: ``key = value``, ``key in (a, b)``, ``!key`` and so on.

Requirements are joined by commas, and all of them must be met.
"""

from collections.abc import Mapping
import enum
import functools
import re

from expression import Error
from expression import Ok
from expression import Result
import msgspec

__all__ = ['Operator', 'Requirement', 'Selector', 'parse']


class Operator(enum.Enum):
    """How a requirement tests a label."""

    ABSENT = '!'
    EQUAL = '='
    IN = 'in'
    NOT_EQUAL = '!='
    NOT_IN = 'notin'
    PRESENT = 'exists'


class Requirement(msgspec.Struct, frozen=True):
    """One requirement on one label, with the values to compare it to."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether ``labels`` meet this requirement."""
        value = labels.get(self.key)
        match self.operator:
            case Operator.ABSENT:
                return value is None
            case Operator.PRESENT:
                return value is not None
            case Operator.EQUAL | Operator.IN:
                return value in self.values
            case Operator.NOT_EQUAL | Operator.NOT_IN:
                return value not in self.values


class Selector(msgspec.Struct, frozen=True):
    """Requirements that must all be met; an empty selector matches all."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether ``labels`` meet every requirement."""
        return all(
            requirement.matches(labels) for requirement in self.requirements
        )


_WORD = r'[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?'
_SET_PATTERN = re.compile(rf'({_WORD})\s+(in|notin)\s+\(([^()]*)\)\s*')
_COMPARISON_PATTERN = re.compile(rf'({_WORD})\s*(==|!=|=)\s*({_WORD})\s*')
_EXISTENCE_PATTERN = re.compile(rf'(!?)\s*({_WORD})\s*')


@functools.lru_cache(maxsize=4096)
def parse(text: str) -> Result[Selector, str]:
    """Returns the selector, or a message that quotes the invalid part."""
    rest = text.strip()
    requirements: list[Requirement] = []
    while rest:
        match _read_requirement(rest):
            case Result(tag='ok', ok=(requirement, rest)):
                requirements.append(requirement)
            case Result(error=reason):
                return Error(f'selector {text!r}: {reason}')
        if rest and not rest.startswith(','):
            return Error(f'selector {text!r}: expected a comma at {rest!r}')
        if rest.strip() == ',':
            return Error(f'selector {text!r}: ends with a comma')
        rest = rest[1:].strip()
    return Ok(Selector(tuple(requirements)))


def _read_requirement(text: str) -> Result[tuple[Requirement, str], str]:
    if found := _SET_PATTERN.match(text):
        values = [value.strip() for value in found[3].split(',')]
        if not all(re.fullmatch(_WORD, value) for value in values):
            return Error(f'invalid values ({found[3]}) for {found[1]!r}')
        operator = Operator(found[2])
        requirement = Requirement(found[1], operator, frozenset(values))
    elif found := _COMPARISON_PATTERN.match(text):
        negated = found[2] == '!='
        operator = Operator.NOT_EQUAL if negated else Operator.EQUAL
        requirement = Requirement(found[1], operator, frozenset([found[3]]))
    elif found := _EXISTENCE_PATTERN.match(text):
        operator = Operator.ABSENT if found[1] else Operator.PRESENT
        requirement = Requirement(found[2], operator)
    else:
        return Error(f'expected a requirement at {text!r}')
    return Ok((requirement, text[found.end() :]))
