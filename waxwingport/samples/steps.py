"""Messages of trainers, and the numbering of a step's samples."""

from collections.abc import Iterator
import enum
from typing import Annotated

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import xxhash

from waxwingport import decoding
from waxwingport import ids
from waxwingport.samples import settings

__all__ = [
    'Delivery',
    'Group',
    'PullAnswer',
    'PullRequest',
    'Sample',
    'SampleSpec',
    'Step',
    'StepBody',
    'find_error',
    'make_step',
]

_Count = Annotated[int, msgspec.Meta(ge=1, le=65_536)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
_DEFAULT_MAX_TOKENS = 4096


class Delivery(enum.Enum):
    """How a step's samples are delivered to the trainer."""

    GROUP = 'group'
    """All samples of a group in one answer."""
    SAMPLE = 'sample'
    """Each sample as soon as it is finished."""


class Group(msgspec.Struct, frozen=True):
    """A prompt and how many samples of it the trainer wants."""

    group: ids.GroupId
    prompt: str
    samples: _Count


class StepBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/trainers/{trainer}/steps/{step}``.

    ``received`` is the bitmap of the samples that the trainer has already, as
    in a pull; two bodies that differ in it alone are equal.
    """

    groups: tuple[Group, ...]
    parameters: dict[str, msgspec.Raw] = {}
    delivery: Delivery = Delivery.SAMPLE
    received: str = ''


class PullRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/trainers/{trainer}/pull``.

    ``version`` is the trainer's weight version, ``received`` the bitmap in
    base64 of the samples that it has, ``max`` the most samples to return.
    """

    step: ids.StepNumber
    version: Annotated[ids.WeightVersion, msgspec.Meta(ge=1)]
    received: str
    max: _Count = 64
    wait_ms: _Milliseconds = 1000


class Sample(msgspec.Struct, frozen=True):
    """One finished sample.

    ``number`` counts through the step, ``index`` within the group.
    """

    number: ids.SampleNumber
    group: ids.GroupId
    index: int
    weight_versions: tuple[ids.WeightVersion, ...]
    text: str
    score: float | None = None

    @property
    def oldest_version(self) -> ids.WeightVersion:
        """The oldest weight version that generated a part of the sample."""
        return min(self.weight_versions)


class PullAnswer(msgspec.Struct, frozen=True):
    """Answer to a pull.

    ``superseded`` means that a newer pull ended this one.  ``final`` means
    that pulling again during the rest of the wait brings nothing: the pull is
    superseded, or the trainer has received the whole step.
    """

    samples: tuple[Sample, ...] = ()
    superseded: bool = False
    final: bool = False


class SampleSpec(msgspec.Struct, frozen=True):
    """A sample to generate: its numbers in step and group, and the group."""

    number: ids.SampleNumber
    group: Group
    index: int


class Step:
    """A step and the samples to generate for it.

    ``fingerprint`` is equal for equal bodies, whatever the order of their
    parameters.
    """

    def __init__(self, number: ids.StepNumber, body: StepBody) -> None:
        self.number = number
        self.body = body
        self.specs = tuple(_number_samples(body.groups))
        self.fingerprint = _hash_body(body)

    def __len__(self) -> int:
        return len(self.specs)

    @property
    def by_group(self) -> bool:
        """Whether groups are delivered whole."""
        return self.body.delivery is Delivery.GROUP

    @property
    def max_tokens(self) -> int:
        """Most tokens of one sample, from the parameters or the default."""
        return _read_max_tokens(self.body.parameters).default_value(
            _DEFAULT_MAX_TOKENS
        )


def make_step(
    number: int, body: StepBody, sample_settings: settings.SampleSettings
) -> Result[Step, str]:
    """Returns the step, or what is wrong with its body."""
    fault = find_error(body, sample_settings)
    if fault is not None:
        return Error(fault)
    return Ok(Step(ids.StepNumber(number), body))


def find_error(
    body: StepBody, sample_settings: settings.SampleSettings
) -> str | None:
    """Returns what is wrong with a step's body, ``None`` if nothing is."""
    groups = body.groups
    if not groups:
        return 'groups: a step has at least one group'
    if len(groups) > sample_settings.step_groups:
        return (
            f'groups: {len(groups)} groups, at most '
            f'{sample_settings.step_groups}'
        )
    total = sum(group.samples for group in groups)
    if total > sample_settings.step_samples:
        return (
            f'groups: {total} samples, at most {sample_settings.step_samples}'
        )
    seen: set[ids.GroupId] = set()
    for group in groups:
        if group.group in seen:
            return f'groups: {group.group!r} appears twice'
        seen.add(group.group)
        if len(group.prompt) > sample_settings.prompt_size:
            return (
                f'groups: the prompt of {group.group!r} is too long: '
                f'{len(group.prompt)} characters, at most '
                f'{sample_settings.prompt_size}'
            )
    match _read_max_tokens(body.parameters):
        case Result(tag='error', error=fault):
            return fault
    return None


def _read_max_tokens(
    parameters: dict[str, msgspec.Raw],
) -> Result[int, str]:
    given = parameters.get('max_tokens')
    if given is None:
        return Ok(_DEFAULT_MAX_TOKENS)
    return decoding.read_json(given, Annotated[int, _POSITIVE]).map_error(
        lambda reason: f'parameters: max_tokens: {reason}'
    )


_POSITIVE = msgspec.Meta(ge=1)


def _hash_body(body: StepBody) -> str:
    identity = (
        body.groups,
        {
            key: msgspec.json.decode(value)
            for key, value in body.parameters.items()
        },
        body.delivery,
    )
    encoded = msgspec.json.encode(identity, order='sorted')
    return xxhash.xxh3_128_hexdigest(encoded)


def _number_samples(groups: tuple[Group, ...]) -> Iterator[SampleSpec]:
    number = 0
    for group in groups:
        for index in range(group.samples):
            yield SampleSpec(ids.SampleNumber(number), group, index)
            number += 1
