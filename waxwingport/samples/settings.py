"""Limits of the collectors of one node."""

from typing import Annotated

import msgspec

__all__ = ['SampleSettings']

_MIB = 1024 * 1024
_AtLeastOne = Annotated[int, msgspec.Meta(ge=1)]
_Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class SampleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits for each trainer; times in seconds."""

    steps_held: Annotated[int, msgspec.Meta(ge=2)] = 4
    step_groups: _AtLeastOne = 16_384
    step_samples: _AtLeastOne = 65_536
    prompt_size: _AtLeastOne = 1 * _MIB
    """Characters of one prompt."""
    held_size: _AtLeastOne = 64 * _MIB
    """Characters of the finished samples kept in memory."""
    pull_wait: _Positive = 60.0
    """Longest wait of one pull."""
    unscored_samples: _AtLeastOne = 1024
    """Finished samples that may await their scores."""
    score_batch: _AtLeastOne = 32
    score_delay: _Positive = 0.02
    """How long a batch waits for more samples."""
    score_timeout: _Positive = 10.0
    score_attempts: _AtLeastOne = 3
    """Failures after which a score that is not required is given up."""
    sample_timeout: _Positive = 600.0
    peer_wait: _Positive = 1.0
    """Longest wait of a pull passed to the collector's node."""
    peer_timeout: _Positive = 0.5
    """How much later than asked that node may answer."""
    peer_avoid: _Positive = 5.0
    """How long a node that did not answer is not asked again."""
    release_after: _Positive = 10.0
    """When a collector that lost its role drops its work."""
