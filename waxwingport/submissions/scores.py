"""Scores of finished texts, by the reward calls of their items."""

import asyncio
from collections.abc import Callable
import logging

from expression import Result

from waxwingport.gateway import calls
from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport.submissions import model

__all__ = ['FindRoute', 'Scorer']

_PAUSE = 0.15
"""Seconds before a reward call that got no answer is made again."""
_FAILED = 500
"""Status with which a target says that a run failed."""

FindRoute = Callable[[str, str], routes.Route | None]

_LOG = logging.getLogger(__name__)


class Scorer:
    """Makes reward calls through the routes in force."""

    def __init__(
        self,
        spelling: dialect.Dialect,
        caller: calls.CallForwarder,
        find_route: FindRoute,
    ) -> None:
        self._dialect = spelling
        self._caller = caller
        self._find_route = find_route

    async def fetch(self, reward: model.RewardCall) -> str | None:
        """Returns the score, or ``None`` after too many failures.

        Repeats the call until it is answered; its route's ``max_attempts``
        failures of targets end it.
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
            await asyncio.sleep(_PAUSE)

    async def _call(
        self, call: dialect.Call, route: routes.Route
    ) -> tuple[str | None, int]:
        """Returns the score if there is one, and the failures counted."""
        match await self._caller.run(call, route):
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
            return answer.head.signature, 0
        return None, answer.failures if answer.status == _FAILED else 0
