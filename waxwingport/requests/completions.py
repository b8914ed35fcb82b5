"""Runs completions; a stream continues on another engine after a fault."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import functools
import logging
import random

from expression import Error
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.limits import admission
from waxwingport.limits import retries
from waxwingport import outcomes
from waxwingport.requests import assembly
from waxwingport.requests import attempts
from waxwingport.requests import refusals
from waxwingport.requests import retrying
from waxwingport.requests import running
from waxwingport.requests import settings
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['CompletionRunner', 'CompletionWork', 'list_versions']

_DEFAULT_RETRY_SHARE = 0.1
"""Retries per request that the budget allows if none is given."""
_LOG = logging.getLogger(__name__)


class CompletionWork(msgspec.Struct, frozen=True):
    """A completion to run; ``max_tokens`` bounds the answer."""

    work: model.Work
    prompt: str
    max_tokens: int
    parameters: dict[str, msgspec.Raw] = {}


def list_versions(
    chunks: Sequence[base.Chunk],
) -> tuple[ids.WeightVersion, ...] | None:
    """Returns the distinct weight versions in order of first use.

    Returns ``None`` if a chunk lacks its version.
    """
    versions = assembly.AnswerVersions()
    for chunk in chunks:
        versions.add(chunk.weight_version)
    return versions.list()


class CompletionRunner:
    """Runs completions on the engines that admission grants.

    Preempted and failed generations resume from the tokens received.
    """

    def __init__(
        self,
        gate: admission.Admission,
        budget: retries.RetryBudget | None = None,
        rng: random.Random | None = None,
        request_settings: settings.RequestSettings | None = None,
    ) -> None:
        self._retry_policy = retrying.RetryPolicy(
            gate,
            budget or retries.RetryBudget(_DEFAULT_RETRY_SHARE),
            rng or random.Random(),
        )
        self._settings = request_settings or settings.RequestSettings()

    async def stream(
        self, request: CompletionWork
    ) -> AsyncIterator[Result[base.Chunk, outcomes.Refusal]]:
        """Yields the chunks of the answer, each token position once, in order.

        The last item is a chunk with a finish reason or an ``Error``.
        """
        answer = assembly.AnswerAssembly()
        history = attempts.AttemptHistory()
        work = request.work
        self._retry_policy.record_request(work.group)
        while True:
            if answer.software is not None:
                work = msgspec.structs.replace(work, software=answer.software)
            match await self._retry_policy.acquire(work, history):
                case Result(tag='ok', ok=grant):
                    pass
                case refused:
                    yield refused
                    return
            attempt = self._make_attempt(grant)
            generation = _make_generation(request, answer)
            chunks = attempt.run(generation, work.deadline, answer)
            async with contextlib.aclosing(chunks):
                async for outcome in chunks:
                    yield outcome
            if answer.finished:
                return
            if attempt.preempted:
                history.record_preemption(attempt.fault)
                _log_preempted(grant, answer)
                continue
            refusal = await self._handle_fault(work, attempt, history)
            if refusal is not None:
                yield Error(refusal)
                return

    def _make_attempt(self, grant: admission.Grant) -> running.Attempt:
        return running.Attempt(
            grant,
            self._settings.probe_timeout,
            functools.partial(self._retry_policy.try_spend, grant.work.group),
        )

    async def _handle_fault(
        self,
        work: model.Work,
        attempt: running.Attempt,
        history: attempts.AttemptHistory,
    ) -> outcomes.Refusal | None:
        """Returns the final refusal, ``None`` if another attempt may start.

        Waits for the backoff before the next attempt.
        """
        fault = attempt.fault
        history.record_failure(attempt.target.name, fault, attempt.progressed)
        retry = await self._retry_policy.wait_to_retry(
            work, history, fault, idempotent=True
        )
        _LOG.warning(
            'attempt request=%s target=%s number=%d fault=%s again=%s '
            'detail=%r',
            work.request_id,
            attempt.target.name,
            history.total,
            fault.kind.value,
            retry,
            fault.detail,
        )
        if retry:
            return None
        return refusals.refuse_after(history, refusals.refuse_for_fault(fault))


def _log_preempted(
    grant: admission.Grant, answer: assembly.AnswerAssembly
) -> None:
    _LOG.info(
        'preempt request=%s target=%s position=%d',
        grant.work.request_id,
        grant.target.name,
        answer.position,
    )


def _make_generation(
    request: CompletionWork, answer: assembly.AnswerAssembly
) -> base.Generation:
    return base.Generation(
        request_id=request.work.request_id,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=running.compute_engine_priority(request.work),
        parameters=request.parameters,
        text=answer.text,
        position=answer.position,
    )
