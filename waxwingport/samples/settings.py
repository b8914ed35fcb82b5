"""Settings of the collectors of one node."""

from typing import Annotated

import msgspec

__all__ = ['SampleSettings']

_MIB = 1024 * 1024
_AtLeastOne = Annotated[int, msgspec.Meta(ge=1)]
_Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class SampleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits for each trainer; times in seconds, sizes in characters."""

    steps_held: Annotated[int, msgspec.Meta(ge=2)] = 4
    """Most steps in memory."""
    step_groups: _AtLeastOne = 16_384
    """Most groups of one step."""
    step_samples: _AtLeastOne = 65_536
    """Most samples of one step."""
    prompt_size: _AtLeastOne = 1 * _MIB
    """Characters of one prompt."""
    held_size: _AtLeastOne = 64 * _MIB
    """Characters of the finished samples kept in memory."""
    pull_wait: _Positive = 60.0
    """Longest wait of one pull."""
    unscored_samples: _AtLeastOne = 1024
    """Finished samples that may await their scores."""
    score_batch: _AtLeastOne = 32
    """Most samples of one scoring call."""
    score_delay: _Positive = 0.02
    """How long a batch that is not full waits for more samples."""
    score_timeout: _Positive = 10.0
    score_attempts: _AtLeastOne = 3
    """Failures after which a sample goes without a score, if not required."""
    sample_timeout: _Positive = 600.0
    """Deadline of one attempt, queueing included."""
    peer_wait: _Positive = 1.0
    """Longest wait of one pull forwarded to the collecting node."""
    peer_timeout: _Positive = 0.5
    """How much longer than its wait a forwarded request may take."""
    peer_avoid: _Positive = 5.0
    """How long requests are not forwarded to a node that did not answer."""
    release_after: _Positive = 10.0
    """How long a collector is kept unused once another node collects."""
