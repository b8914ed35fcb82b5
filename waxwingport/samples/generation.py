"""Generates one sample and checks that its chunks are complete."""

import asyncio
import contextlib

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.requests import completions
from waxwingport.samples import progress
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.targets import base

__all__ = ['generate', 'join_chunks']

Failure = outcomes.Refusal | statistics.Discard


async def generate(
    runner: completions.CompletionRunner,
    request: completions.CompletionWork,
    attempt: progress.Attempt,
) -> Result[steps.Sample, Failure]:
    """Returns the attempt's sample, or why there is none.

    Updates the progress in ``attempt``.  Cancelling this also cancels the
    generation on the engine.
    """
    chunks: list[base.Chunk] = []
    stream = runner.stream(request)
    async with contextlib.aclosing(stream):
        async for outcome in stream:
            match outcome:
                case Result(tag='ok', ok=chunk):
                    chunks.append(chunk)
                    _record_chunk(attempt, chunk)
                case Result(error=refusal):
                    return Error(refusal)
    return join_chunks(attempt.spec, chunks)


def join_chunks(
    spec: steps.SampleSpec, chunks: list[base.Chunk]
) -> Result[steps.Sample, statistics.Discard]:
    """Joins the chunks of one generation into a sample.

    Each chunk has to start where the one before it ended, and the last one
    has to name a finish reason.  The weight versions have to be known.
    Returns why the sample is discarded otherwise.
    """
    if not chunks or chunks[-1].finish_reason is None:
        return Error(statistics.Discard.UNFINISHED)
    position = 0
    for chunk in chunks:
        if chunk.position != position:
            return Error(statistics.Discard.GAP)
        position += chunk.tokens
    versions = completions.list_versions(chunks)
    if not versions:
        return Error(statistics.Discard.NO_VERSION)
    return Ok(
        steps.Sample(
            number=spec.number,
            group=spec.group.group,
            index=spec.index,
            weight_versions=tuple(versions),
            text=''.join(chunk.text for chunk in chunks),
        )
    )


def _record_chunk(attempt: progress.Attempt, chunk: base.Chunk) -> None:
    attempt.tokens += chunk.tokens
    if attempt.first_chunk_at is None:
        attempt.first_chunk_at = asyncio.get_running_loop().time()
    version = chunk.weight_version
    if version is not None:
        attempt.oldest_version = ids.WeightVersion(
            min(version, attempt.oldest_version or version)
        )
