"""One attempt of a completion at one engine."""

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
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['Attempt', 'compute_engine_priority']

_LIVE_PRIORITY_OFFSET = 1_000
"""Lifts live calls above rollouts of any priority at the engines."""
_CONNECTION_FAULTS = (
    base.TargetFaultKind.BROKEN,
    base.TargetFaultKind.SILENT,
)
_LOG = logging.getLogger(__name__)


def compute_engine_priority(work: candidates.Work) -> int:
    """Returns the priority of ``work`` at an engine."""
    if work.work_class is candidates.WorkClass.LIVE:
        return work.priority + _LIVE_PRIORITY_OFFSET
    return work.priority


class Attempt:
    """Generates on a grant's engine and releases the grant exactly once.

    When ``run`` has ended, ``fault`` says why the answer is not whole,
    ``progressed`` whether this attempt brought a part of it, and
    ``preempted`` that it gave way to a live call.
    """

    def __init__(
        self,
        grant: admission.Grant,
        probe_timeout: float,
        use_retry: Callable[[], bool],
    ) -> None:
        self.target = grant.target
        self.fault = _ended_early()
        self.progressed = False
        self.preempted = False
        self._grant = grant
        self._held = True
        self._probe_timeout = probe_timeout
        self._use_retry = use_retry
        self._reconnected_idle = False
        self._sent = False

    async def run(
        self,
        generation: base.Generation,
        deadline: float,
        answer: assembly.AnswerAssembly,
    ) -> AsyncIterator[Result[base.Chunk, outcomes.Refusal]]:
        """Yields the new chunks, also those from a second connection."""
        watcher = self._watch(generation)
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
                        taken = answer.add_chunk(chunk)
                    case Result(error=fault):
                        self._note_fault(fault)
                        return
                if isinstance(taken, base.TargetFault):
                    self._note_fault(taken)
                    return
                if taken is not None:
                    self.progressed = True
                    # A result is costly to make; most pass on unchanged.
                    yield outcome if taken is chunk else Ok(taken)
                if answer.finished:
                    return
                if self._grant.preempted.is_set():
                    break
        self._note_fault(_ended_early())

    def _note_fault(self, fault: base.TargetFault) -> None:
        """Takes the fault; one that came after a sent one stays sent."""
        sent = fault.sent or self.progressed or self._sent
        self._sent = sent
        self.fault = msgspec.structs.replace(fault, sent=sent)

    async def _may_reconnect(
        self, generation: base.Generation, answer: assembly.AnswerAssembly
    ) -> bool:
        """Returns whether only the connection is gone, not the engine.

        The order to cancel goes over a connection of its own, which also
        ends what the engine may still generate for the dead one.
        """
        broken = self.fault.kind in _CONNECTION_FAULTS
        if not broken or self.fault.status is not None:
            return False
        if not await self._cancel(generation):
            return False
        if answer.position > generation.position:
            return True
        if self._reconnected_idle or not self._use_retry():
            return False
        self._reconnected_idle = True
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

    def _watch(
        self, generation: base.Generation
    ) -> 'asyncio.Task[None] | None':
        if self._grant.work.work_class is candidates.WorkClass.LIVE:
            return None
        return asyncio.get_running_loop().create_task(
            self._give_way(generation)
        )

    async def _give_way(self, generation: base.Generation) -> None:
        """Cancels at the engine, which ends the stream, and frees the slot.

        The slot is freed even when the engine does not answer.
        """
        await self._grant.preempted.wait()
        await self._cancel(generation)
        self._release()

    def _finish(self, fault: base.TargetFault | None) -> None:
        if self._held:
            self._held = False
            self._grant.finish(fault)

    def _release(self) -> None:
        if self._held:
            self._held = False
            self._grant.release()


def _ended_early() -> base.TargetFault:
    return base.TargetFault(
        base.TargetFaultKind.BROKEN, 'stream ended early', sent=True
    )
