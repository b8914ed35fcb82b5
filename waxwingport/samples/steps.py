"""A trainer's step: prompt groups, and the numbering of their samples."""

import msgspec

from waxwingport import ids

__all__ = ['Group', 'PullRequest', 'Sample', 'SampleSlot', 'Step', 'StepBody']


class Group(msgspec.Struct, frozen=True):
    """A prompt and how many samples of it the trainer wants."""

    group: ids.GroupId
    prompt: str
    samples: int


class StepBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/trainers/{trainer}/steps/{step}``."""

    groups: tuple[Group, ...]
    parameters: dict[str, msgspec.Raw] = {}


class PullRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/trainers/{trainer}/pull``."""

    step: ids.StepNumber
    version: ids.WeightVersion
    received: str
    max: int = 64
    wait_ms: int = 1000


class Sample(msgspec.Struct, frozen=True):
    """One finished sample."""

    number: ids.SampleNumber
    group: ids.GroupId
    index: int
    weight_versions: tuple[ids.WeightVersion, ...]
    text: str
    score: float | None = None


class SampleSlot(msgspec.Struct, frozen=True):
    """Where a sample number stands in its step."""

    number: ids.SampleNumber
    group: Group
    index: int


class Step:
    """A step and the slots of its samples."""

    def __init__(self, number: ids.StepNumber, body: StepBody) -> None:
        self.number = number
        self.body = body
        self.slots = tuple(_number_samples(body.groups))

    def __len__(self) -> int:
        return len(self.slots)


def _number_samples(groups: tuple[Group, ...]):
    number = 0
    for group in groups:
        for index in range(group.samples):
            yield SampleSlot(ids.SampleNumber(number), group, index)
            number += 1
