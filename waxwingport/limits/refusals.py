"""Refusals of requests that did not run."""

import logging
import random

from waxwingport import outcomes
from waxwingport.routing import candidates

__all__ = ['RefusalFactory']

_DEFAULT_WAIT = 1.0
"""Seconds after which to ask again when nothing better is known."""
_LEAST_WAIT = 0.1
"""Seconds."""
_JITTER = 0.25
"""Share by which Retry-After is spread, so that callers don't come back all
at the same time."""
_LOG = logging.getLogger(__name__)


class RefusalFactory:
    """Makes refusals and logs them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def make_refusal(
        self,
        work: candidates.Work,
        reason: outcomes.Reason,
        detail: str,
        wait: float,
    ) -> outcomes.Refusal:
        """Returns the refusal; ``wait`` is in seconds until a better time."""
        spread = 1.0 + _JITTER * self._rng.random()
        retry_after = max(_LEAST_WAIT, wait) * spread
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
        self, work: candidates.Work, cool_down: float | None
    ) -> outcomes.Refusal:
        """Returns the refusal for a pool without a target for ``work``."""
        detail = f'no target of {work.group!r} can take the request'
        wait = _DEFAULT_WAIT if cool_down is None else cool_down
        return self.make_refusal(work, outcomes.Reason.NO_TARGET, detail, wait)
