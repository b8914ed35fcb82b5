"""Scoring of finished texts by the reward calls of their items."""

import asyncio
from collections.abc import Callable
import logging

from expression import Result

from waxwingport.gateway import calls
from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport.submissions import model

__all__ = ['FindRoute', 'RewardScorer']

_RETRY_DELAY_S = 0.15
"""Delay before a reward call without a score is repeated."""
_FAILED_STATUS = 500
"""Status with which a target reports that a run failed."""

FindRoute = Callable[[str, str], routes.Route | None]
"""Returns the route for a host and a path, ``None`` if there is none."""

_LOG = logging.getLogger(__name__)


class RewardScorer:
    """Forwards reward calls by the routes of the current configuration."""

    def __init__(
        self,
        dialect_: dialect.Dialect,
        forwarder: calls.CallForwarder,
        find_route: FindRoute,
    ) -> None:
        self._dialect = dialect_
        self._forwarder = forwarder
        self._find_route = find_route

    async def fetch(self, reward: model.RewardCall) -> str | None:
        """Returns the score, or ``None`` after too many failures.

        Repeats the call until a target returns a score or as many runs have
        failed as the route's ``max_attempts`` allows.  Calls that are refused,
        find no route or are answered with another status are repeated without
        limit.
        """
        call = self._dialect.make_reward_call(reward)
        failures = 0
        while True:
            path = call.path.partition('?')[0]
            route = self._find_route(call.host, path)
            if route is not None:
                score, failed = await self._call(call, route)
                failures += failed
                if score is not None:
                    return score
                if failures >= route.max_attempts:
                    return None
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _call(
        self, call: dialect.Call, route: routes.Route
    ) -> tuple[str | None, int]:
        """Returns the score, if any, and the number of failed runs."""
        match await self._forwarder.run(call, route):
            case Result(tag='ok', ok=answer):
                pass
            case Result(error=refusal):
                _LOG.info(
                    'reward-call-failed',
                    extra={
                        'request': call.request_id,
                        'reason': refusal.detail,
                    },
                )
                return None, 0
        if 200 <= answer.status < 300:
            # A scoring service returns the score in place of a signature.
            return answer.head.signature, 0
        return None, answer.failures if answer.status == _FAILED_STATUS else 0
