"""Completions: a stream of chunks that survives the loss of an engine."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.limits import admission
from waxwingport import outcomes
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['CompletionRunner', 'CompletionWork', 'list_versions']

_MAX_ATTEMPTS = 4
_LOG = logging.getLogger(__name__)


class CompletionWork(msgspec.Struct, frozen=True):
    """A completion to run."""

    work: candidates.Work
    prompt: str
    max_tokens: int
    parameters: dict[str, msgspec.Raw] = {}


def list_versions(
    chunks: list[base.Chunk],
) -> tuple[ids.WeightVersion, ...] | None:
    """Returns the distinct versions in order, ``None`` if one is missing."""
    versions: list[ids.WeightVersion] = []
    for chunk in chunks:
        if chunk.weight_version is None:
            return None
        if not versions or versions[-1] != chunk.weight_version:
            versions.append(chunk.weight_version)
    return tuple(dict.fromkeys(versions))


class CompletionRunner:
    """Runs completions on engines."""

    def __init__(self, gate: admission.Admission) -> None:
        self._admission = gate

    async def stream(
        self, request: CompletionWork
    ) -> AsyncIterator[Result[base.Chunk, outcomes.Refusal]]:
        """Yields the chunks of the answer, each position once and in order.

        Ends after the chunk with a finish reason, or after one ``Error``.
        """
        work = request.work
        text = ''
        position = 0
        for attempt in range(_MAX_ATTEMPTS):
            match await self._admission.acquire(work):
                case Result(tag='ok', ok=grant):
                    pass
                case Result(error=refusal):
                    yield Error(refusal)
                    return
            fault: base.TargetFault | None = None
            chunks = self._run(grant, request, text, position)
            async with contextlib.aclosing(chunks):
                async for outcome in chunks:
                    match outcome:
                        case Result(tag='ok', ok=chunk):
                            text += chunk.text
                            position += chunk.tokens
                            yield Ok(chunk)
                            if chunk.finish_reason is not None:
                                return
                        case Result(error=fault):
                            pass
            _LOG.warning(
                'attempt %d of %s at %s: %s',
                attempt,
                work.request_id,
                grant.target.name,
                fault.detail,
            )
            if fault.kind is base.TargetFaultKind.REJECTED:
                yield Error(
                    outcomes.Refusal(outcomes.Reason.BAD_REQUEST, fault.detail)
                )
                return
            work = msgspec.structs.replace(
                work, excluded=work.excluded | {grant.target.name}
            )
        yield Error(
            outcomes.Refusal(
                outcomes.Reason.TARGET_FAILED,
                fault.detail,
                outcomes.Ran.UNKNOWN,
            )
        )

    async def _run(
        self,
        grant: admission.Grant,
        request: CompletionWork,
        text: str,
        position: int,
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        generation = base.Generation(
            request_id=request.work.request_id,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.work.priority,
            parameters=request.parameters,
            text=text,
            position=position,
        )
        timeout = request.work.deadline - asyncio.get_running_loop().time()
        stream = grant.target.engine.stream(generation, timeout)
        try:
            async with contextlib.aclosing(stream):
                async for outcome in stream:
                    yield outcome
        finally:
            grant.release()
