"""Refusals of requests that were not sent to a target."""

import logging
import random

from waxwingport import outcomes
from waxwingport.routing import model

__all__ = ['RefusalFactory']

_DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After of a pool without targets and without a known cool-down."""
_MIN_RETRY_AFTER_S = 0.1
_MAX_JITTER_SHARE = 0.25
"""Largest share added to Retry-After at random, so that refused callers do
not all retry at the same time."""
_LOG = logging.getLogger(__name__)


class RefusalFactory:
    """Creates and logs refusals, each with a randomised Retry-After."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def make_refusal(
        self,
        work: model.Work,
        reason: outcomes.Reason,
        detail: str,
        wait: float,
    ) -> outcomes.Refusal:
        """Returns a refusal with a Retry-After of about ``wait`` seconds."""
        spread = 1.0 + _MAX_JITTER_SHARE * self._rng.random()
        retry_after = max(_MIN_RETRY_AFTER_S, wait) * spread
        _LOG.info(
            'refuse request=%s group=%s class=%s reason=%s retry_after=%.2f',
            work.request_id,
            work.group,
            work.work_class.value,
            reason.value,
            retry_after,
        )
        return outcomes.Refusal(reason, detail, retry_after=retry_after)

    def make_no_target_refusal(
        self, work: model.Work, cool_down: float | None
    ) -> outcomes.Refusal:
        """Returns a refusal for a pool without a target for ``work``.

        ``cool_down`` is the time in seconds until the first suspect target
        is tried again, or ``None`` if no target is suspect.
        """
        detail = f'no target of {work.group!r} can take the request'
        wait = _DEFAULT_RETRY_AFTER_S if cool_down is None else cool_down
        return self.make_refusal(work, outcomes.Reason.NO_TARGET, detail, wait)
