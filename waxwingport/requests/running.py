"""One attempt of a completion on one engine."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import logging

from expression import Ok
from expression import Result
import msgspec

from waxwingport.limits import admission
from waxwingport import outcomes
from waxwingport.requests import assembly
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['Attempt', 'compute_engine_priority']

_LIVE_PRIORITY_OFFSET = 1_000
"""Ranks live calls above rollouts of any priority on the engines."""
_CONNECTION_FAULTS = (
    base.TargetFaultKind.BROKEN,
    base.TargetFaultKind.SILENT,
)
_LOG = logging.getLogger(__name__)


def compute_engine_priority(work: model.Work) -> int:
    """Returns the priority that an engine gets for ``work``."""
    if work.work_class is model.WorkClass.LIVE:
        return work.priority + _LIVE_PRIORITY_OFFSET
    return work.priority


class Attempt:
    """Generates on a grant's engine and ends the grant exactly once.

    After ``run``, ``fault`` says why the answer is incomplete, ``progressed``
    whether this attempt returned a part of it, and ``preempted`` whether a
    live call preempted it.
    """

    def __init__(
        self,
        grant: admission.Grant,
        probe_timeout: float,
        try_spend_retry: Callable[[], bool],
    ) -> None:
        self.target = grant.target
        self.fault = _make_early_end_fault()
        self.progressed = False
        self.preempted = False
        self._grant = grant
        self._owns_grant = True
        self._probe_timeout = probe_timeout
        self._try_spend_retry = try_spend_retry
        self._reconnected_without_progress = False
        self._sent = False

    async def run(
        self,
        generation: base.Generation,
        deadline: float,
        answer: assembly.AnswerAssembly,
    ) -> AsyncIterator[Result[base.Chunk, outcomes.Refusal]]:
        """Yields the new chunks; may reconnect to the engine."""
        watcher = self._start_preemption_watch(generation)
        try:
            while True:
                chunks = self._read(generation, deadline, answer)
                async with contextlib.aclosing(chunks):
                    async for chunk in chunks:
                        yield chunk
                self.preempted = self._grant.preempted.is_set()
                if answer.finished or self.preempted:
                    break
                if not await self._may_reconnect(generation, answer):
                    break
                generation = msgspec.structs.replace(
                    generation, text=answer.text, position=answer.position
                )
            self._finish(None if answer.finished else self.fault)
        finally:
            if watcher is not None:
                watcher.cancel()
            self._release()

    async def _read(
        self,
        generation: base.Generation,
        deadline: float,
        answer: assembly.AnswerAssembly,
    ) -> AsyncIterator[Result[base.Chunk, outcomes.Refusal]]:
        timeout = deadline - asyncio.get_running_loop().time()
        stream = self.target.engine.stream(generation, timeout)
        async with contextlib.aclosing(stream):
            async for outcome in stream:
                match outcome:
                    case Result(tag='ok', ok=chunk):
                        new_chunk = answer.add_chunk(chunk)
                    case Result(error=fault):
                        self._record_fault(fault)
                        return
                if isinstance(new_chunk, base.TargetFault):
                    self._record_fault(new_chunk)
                    return
                if new_chunk is not None:
                    self.progressed = True
                    # Reuses the result object, since most chunks are
                    # unchanged and a new object is slow to create.
                    yield outcome if new_chunk is chunk else Ok(new_chunk)
                if answer.finished:
                    return
                if self._grant.preempted.is_set():
                    break
        self._record_fault(_make_early_end_fault())

    def _record_fault(self, fault: base.TargetFault) -> None:
        """Stores the fault; once a request was sent, ``sent`` stays true."""
        sent = fault.sent or self.progressed or self._sent
        self._sent = sent
        self.fault = msgspec.structs.replace(fault, sent=sent)

    async def _may_reconnect(
        self, generation: base.Generation, answer: assembly.AnswerAssembly
    ) -> bool:
        """Returns whether the connection broke, but the engine answers.

        The cancel request uses a separate connection.  It also ends what the
        engine may still generate for the broken connection.
        """
        broken = self.fault.kind in _CONNECTION_FAULTS
        if not broken or self.fault.status is not None:
            return False
        if not await self._cancel(generation):
            return False
        if answer.position > generation.position:
            return True
        if self._reconnected_without_progress or not self._try_spend_retry():
            return False
        self._reconnected_without_progress = True
        return True

    async def _cancel(self, generation: base.Generation) -> bool:
        try:
            async with asyncio.timeout(self._probe_timeout):
                outcome = await self.target.engine.cancel(
                    generation.request_id
                )
        except TimeoutError:
            return False
        _LOG.info(
            'cancel request=%s target=%s reached=%s',
            generation.request_id,
            self.target.name,
            outcome.is_ok(),
        )
        return outcome.is_ok()

    def _start_preemption_watch(
        self, generation: base.Generation
    ) -> 'asyncio.Task[None] | None':
        if self._grant.work.work_class is model.WorkClass.LIVE:
            return None
        return asyncio.get_running_loop().create_task(
            self._cancel_on_preemption(generation)
        )

    async def _cancel_on_preemption(self, generation: base.Generation) -> None:
        """Waits for the preemption, then cancels the generation.

        The cancel ends the stream.  The grant is released even if the engine
        does not answer.
        """
        await self._grant.preempted.wait()
        await self._cancel(generation)
        self._release()

    def _finish(self, fault: base.TargetFault | None) -> None:
        if self._owns_grant:
            self._owns_grant = False
            self._grant.finish(fault)

    def _release(self) -> None:
        if self._owns_grant:
            self._owns_grant = False
            self._grant.release()


def _make_early_end_fault() -> base.TargetFault:
    return base.TargetFault(
        base.TargetFaultKind.BROKEN, 'stream ended early', sent=True
    )
