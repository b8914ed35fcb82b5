"""Checks that a target is still the start that its entry tells of.

A target may start anew under its name with another version of its software
while this node still has the entry of the start before.
"""

import asyncio
import logging
import weakref

from expression import Result

from waxwingport import coalescing
from waxwingport.fleet import model as fleet
from waxwingport.gateway import conditions
from waxwingport.gateway import dialect
from waxwingport.http import client

__all__ = ['StartCheck']

_TIMEOUT_S = 0.5
"""Bounds the question: a target that generates answers it in milliseconds."""
_MISSING_STATUSES = frozenset({404, 405, 501})
"""Statuses of a target that does not know the question."""

_LOG = logging.getLogger(__name__)


class StartCheck:
    """Asks targets when they started, once for each of their connections.

    All that arrives over a connection comes from one start of a target.
    """

    def __init__(
        self,
        http: client.HttpClient,
        dialect_: dialect.Dialect,
        conditions_: conditions.TargetConditions,
    ) -> None:
        self._http = http
        self._dialect = dialect_
        self._conditions = conditions_
        self._questions: weakref.WeakKeyDictionary[
            fleet.Target, coalescing.Coalescing[bool]
        ] = weakref.WeakKeyDictionary()

    async def confirm(
        self, target: fleet.Target, response: client.Response
    ) -> bool:
        """Returns whether a response comes from the start of the entry.

        Part of its body must have arrived.  Returns ``False`` also if the
        target does not tell in time.
        """
        if target.entry.started_at_ms is None:
            return True
        if response.connected_at <= target.confirmed_at:
            return True
        question = self._questions.get(target)
        if question is None:
            question = coalescing.Coalescing(lambda: self._ask(target))
            self._questions[target] = question
        return await question.run()

    async def _ask(self, target: fleet.Target) -> bool:
        asked_at = asyncio.get_running_loop().time()
        entry = target.entry
        fetched = await self._http.fetch(
            entry.address,
            self._dialect.make_start_request(
                entry.instance, self._conditions.make_question_peer(target)
            ),
            _TIMEOUT_S,
        )
        match fetched:
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                self._log_unconfirmed(target, fault.detail)
                return False
        if response.status in _MISSING_STATUSES:
            target.confirmed_at = float('inf')
            return True
        if response.status != 200:
            self._log_unconfirmed(target, f'status {response.status}')
            return False
        match self._dialect.read_start(response.body):
            case Result(tag='ok', ok=None):
                target.confirmed_at = float('inf')
                return True
            case Result(tag='ok', ok=started_at_ms):
                pass
            case Result(error=reason):
                self._log_unconfirmed(target, reason)
                return False
        if started_at_ms != entry.started_at_ms:
            target.outdated = True
            self._log_unconfirmed(target, f'it started at {started_at_ms}')
            return False
        target.confirmed_at = asked_at
        return True

    def _log_unconfirmed(self, target: fleet.Target, reason: str) -> None:
        _LOG.info(
            'target-unconfirmed',
            extra={
                'instance': target.entry.instance,
                'born': target.entry.started_at_ms,
                'outdated': target.outdated,
                'reason': reason,
            },
        )
