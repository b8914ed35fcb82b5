"""Collects the samples of one trainer's steps."""

import asyncio
import contextlib
import logging
import uuid

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.requests import completions
from waxwingport.routing import candidates
from waxwingport.samples import bitmap
from waxwingport.samples import steps

__all__ = ['Collector']

_CONCURRENCY = 64
_SAMPLE_TIMEOUT = 600.0
_MAX_TOKENS = 4096
_RETRY_DELAY = 0.2
_LOG = logging.getLogger(__name__)


class Collector:
    """Generates a step's samples and hands them to pulls."""

    def __init__(
        self,
        trainer: declarations.Trainer,
        runner: completions.CompletionRunner,
    ) -> None:
        self.trainer = trainer
        self.version = ids.WeightVersion(1)
        self._runner = runner
        self._step: steps.Step | None = None
        self._ready: dict[ids.SampleNumber, steps.Sample] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._room = asyncio.Semaphore(_CONCURRENCY)
        self._grown = asyncio.Event()

    def put_step(self, number: ids.StepNumber, body: steps.StepBody) -> None:
        """Starts a step; the same one again changes nothing."""
        if self._step is not None and (
            self._step.number == number and self._step.body == body
        ):
            return
        self.close()
        self._step = steps.Step(number, body)
        self._ready = {}
        for slot in self._step.slots:
            self._start(slot)

    async def pull(
        self, request: steps.PullRequest
    ) -> Result[list[steps.Sample], outcomes.Refusal]:
        """Returns samples that the trainer has not received yet."""
        if self._step is None or self._step.number != request.step:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.UNKNOWN_STEP,
                    f'step {request.step} is not known; put it again',
                )
            )
        match bitmap.Bitmap.decode(len(self._step), request.received):
            case Result(tag='ok', ok=received):
                pass
            case Result(error=reason):
                return Error(
                    outcomes.Refusal(outcomes.Reason.BAD_REQUEST, reason)
                )
        self.version = max(self.version, request.version)
        if not self._select(request, received):
            with contextlib.suppress(TimeoutError):
                wait = request.wait_ms / 1000
                await asyncio.wait_for(self._grown.wait(), wait)
        return Ok(self._select(request, received))

    def close(self) -> None:
        """Cancels what is being generated."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    def _select(
        self, request: steps.PullRequest, received: bitmap.Bitmap
    ) -> list[steps.Sample]:
        oldest = request.version - self.trainer.staleness_bound
        self._grown.clear()
        fresh = [
            sample
            for number, sample in sorted(self._ready.items())
            if number not in received and min(sample.weight_versions) >= oldest
        ]
        return fresh[: request.max]

    def _start(self, slot: steps.SampleSlot) -> None:
        task = asyncio.get_running_loop().create_task(self._make(slot))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _make(self, slot: steps.SampleSlot) -> None:
        async with self._room:
            while slot.number not in self._ready:
                sample = await self._generate(slot)
                if sample is None:
                    await asyncio.sleep(_RETRY_DELAY)
                    continue
                self._ready[slot.number] = sample
                self._grown.set()

    async def _generate(self, slot: steps.SampleSlot) -> steps.Sample | None:
        request = self._plan(slot)
        chunks = []
        stream = self._runner.stream(request)
        async with contextlib.aclosing(stream):
            async for outcome in stream:
                match outcome:
                    case Result(tag='ok', ok=chunk):
                        chunks.append(chunk)
                    case Result(error=refusal):
                        _LOG.warning(
                            'sample %d: %s', slot.number, refusal.detail
                        )
                        return None
        versions = completions.list_versions(chunks)
        if versions is None:
            _LOG.warning('sample %d: a chunk names no version', slot.number)
            return None
        return steps.Sample(
            number=slot.number,
            group=slot.group.group,
            index=slot.index,
            weight_versions=versions,
            text=''.join(chunk.text for chunk in chunks),
        )

    def _plan(self, slot: steps.SampleSlot) -> completions.CompletionWork:
        now = asyncio.get_running_loop().time()
        parameters = self._step.body.parameters
        max_tokens = parameters.get('max_tokens')
        return completions.CompletionWork(
            work=candidates.Work(
                request_id=ids.RequestId(uuid.uuid4().hex),
                group=self.trainer.pool,
                owner=self.trainer.name,
                work_class=candidates.WorkClass.ROLLOUT,
                deadline=now + _SAMPLE_TIMEOUT,
                weight=self.trainer.weight,
            ),
            prompt=slot.group.prompt,
            max_tokens=(
                msgspec.json.decode(max_tokens, type=int)
                if max_tokens
                else _MAX_TOKENS
            ),
            parameters=parameters,
        )
