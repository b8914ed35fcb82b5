"""Forwards steps and pulls to the node that collects for their trainer.

Rendezvous hashing over the live nodes picks that node.  Correctness does not
depend on all nodes picking the same one: if the picked node does not answer,
the node that got the request collects itself.
"""

import asyncio
from collections.abc import Callable
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.limits import admission
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.peers import base as peers
from waxwingport.requests import completions
from waxwingport.routing import model
from waxwingport.samples import collector
from waxwingport.samples import placements
from waxwingport.samples import scheduler
from waxwingport.samples import settings
from waxwingport.samples import slots
from waxwingport.samples import steps
from waxwingport.targets import base as targets
from waxwingport.targets import table

__all__ = ['Collectors', 'NodeDependencies', 'PeerNodes']

_CHECK_INTERVAL_S = 0.25
"""Time between checks for published versions and unused collectors."""
_LOG = logging.getLogger(__name__)

PullResult = Result[steps.PullAnswer, outcomes.Refusal]
PutResult = Result[None, outcomes.Refusal]


class PeerNodes(msgspec.Struct, frozen=True):
    """The other nodes and the transport towards them."""

    membership: membership.Membership
    peers: peers.PeerTransport


class NodeDependencies(msgspec.Struct, frozen=True):
    """What a node's collectors need from the node."""

    configuration: state.ConfigurationState
    targets: table.TargetTable
    admission: admission.Admission
    metrics: metrics.Metrics
    find_version: Callable[[ids.TrainerName], ids.WeightVersion | None] = (
        lambda trainer: None
    )
    """Returns the latest version that a trainer published."""
    sample_settings: settings.SampleSettings = settings.SampleSettings()
    make_runner: Callable[
        [placements.PlacementTracker], completions.CompletionRunner
    ] = completions.CompletionRunner
    generate_request_id: Callable[[], ids.RequestId] = ids.generate_request_id


class StepMessage(msgspec.Struct, frozen=True):
    """Body of ``MessageKind.STEP``; without ``body`` removes the step."""

    trainer: ids.TrainerName
    step: ids.StepNumber
    body: bytes | None = None
    """A ``StepBody`` in JSON, since parameters are kept as raw JSON."""


class PullMessage(msgspec.Struct, frozen=True):
    """Body of ``MessageKind.PULL``; the receiver collects the samples."""

    trainer: ids.TrainerName
    request: steps.PullRequest


class CollectorAnswer(msgspec.Struct, frozen=True):
    """Answer to both kinds of message.

    No field is set for an accepted step.
    """

    answer: steps.PullAnswer | None = None
    refusal: outcomes.Refusal | None = None


class Collectors:
    """Manages this node's collectors and forwards to those of other nodes."""

    def __init__(
        self, dependencies: NodeDependencies, nodes: PeerNodes | None = None
    ) -> None:
        self._dependencies = dependencies
        self._settings = dependencies.sample_settings
        self._nodes = nodes
        self._placements = placements.PlacementTracker(dependencies.admission)
        self._runner = dependencies.make_runner(self._placements)
        self._collectors: dict[ids.TrainerName, collector.Collector] = {}
        self._published: dict[ids.TrainerName, ids.WeightVersion] = {}
        self._avoided: dict[ids.NodeName, float] = {}
        self._closing: set[asyncio.Task[None]] = set()
        dependencies.configuration.listen(self._apply_declarations)
        if nodes is not None:
            transport = nodes.peers
            transport.set_handler(peers.MessageKind.STEP, self._handle_step)
            transport.set_handler(peers.MessageKind.PULL, self._handle_pull)

    def get_or_create(
        self, name: ids.TrainerName
    ) -> collector.Collector | None:
        """Returns this node's collector for a trainer, creating it if needed.

        ``None`` if no such trainer is declared.
        """
        declared = self._dependencies.configuration.declarations.find_trainer(
            name
        )
        if declared is None:
            return None
        if name not in self._collectors:
            _LOG.info('collect trainer=%s', name)
            self._collectors[name] = collector.Collector(
                declared, self._make_dependencies(declared)
            )
        return self._collectors[name]

    def find_existing(
        self, name: ids.TrainerName
    ) -> collector.Collector | None:
        """Returns this node's collector, ``None`` if it has none."""
        return self._collectors.get(name)

    async def put_step(
        self,
        trainer: ids.TrainerName,
        step: ids.StepNumber,
        body: steps.StepBody | None,
    ) -> PutResult:
        """Starts a step on the node that collects for its trainer.

        Without a body the step is removed.  Collects on this node if the
        other one does not answer.  Fails with ``NOT_FOUND`` for an unknown
        trainer, and as ``Collector.put_step`` does.
        """
        node = self._find_collecting_node(trainer)
        if node is not None:
            encoded = None if body is None else msgspec.json.encode(body)
            message = msgspec.msgpack.encode(
                StepMessage(trainer, step, encoded)
            )
            timeout = self._settings.peer_wait + self._settings.peer_timeout
            forwarded = await self._request(
                node, peers.MessageKind.STEP, message, timeout
            )
            if forwarded is not None:
                return (
                    Error(forwarded.refusal) if forwarded.refusal else Ok(None)
                )
        return self._put_local(trainer, step, body)

    async def pull(
        self, trainer: ids.TrainerName, request: steps.PullRequest
    ) -> PullResult:
        """Pulls from the node that collects for the trainer.

        Fails with ``NOT_FOUND`` for an unknown trainer, and as
        ``Collector.pull`` does.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.wait_ms / 1000
        while (node := self._find_collecting_node(trainer)) is not None:
            remaining = max(0.0, deadline - loop.time())
            forwarded = await self._forward_pull(
                node, trainer, request, remaining
            )
            if forwarded is None:
                break
            if forwarded.refusal is not None:
                return Error(forwarded.refusal)
            answer = forwarded.answer
            is_due = loop.time() >= deadline
            if answer.samples or answer.final or is_due:
                return Ok(answer)
        remaining = max(0.0, deadline - loop.time())
        return await self._pull_local(trainer, _limit_wait(request, remaining))

    async def run(self) -> None:
        """Applies published versions and closes collectors, until cancelled.

        A collector closes once another node is picked for its trainer and no
        request has come for ``release_after``.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for name, found in list(self._collectors.items()):
                self._apply_published(name, found)
                unused = asyncio.get_running_loop().time() - found.last_used
                if (
                    unused > self._settings.release_after
                    and self._find_collecting_node(name) is not None
                ):
                    _LOG.info('release trainer=%s', name)
                    del self._collectors[name]
                    await found.close()

    def _apply_published(
        self, name: ids.TrainerName, found: collector.Collector
    ) -> None:
        version = self._dependencies.find_version(name)
        if version is not None and version != self._published.get(name):
            self._published[name] = version
            found.record_version(version)

    async def close(self) -> None:
        """Cancels all attempts and ends the pulls that wait."""
        found = list(self._collectors.values())
        self._collectors.clear()
        await asyncio.gather(*(known.close() for known in found))

    def _find_collecting_node(
        self, trainer: ids.TrainerName
    ) -> membership.Member | None:
        """Returns the node to forward to, ``None`` for this one."""
        if self._nodes is None:
            return None
        found = self._nodes.membership
        now = asyncio.get_running_loop().time()
        live = {
            member.name: member
            for member in found.list_live()
            if self._avoided.get(member.name, 0.0) <= now
        }
        name = rendezvous.pick(trainer, live)
        if name is None or name == found.local_member.name:
            return None
        return live[name]

    async def _forward_pull(
        self,
        node: membership.Member,
        trainer: ids.TrainerName,
        request: steps.PullRequest,
        remaining: float,
    ) -> CollectorAnswer | None:
        wait = min(remaining, self._settings.peer_wait)
        message = PullMessage(trainer, _limit_wait(request, wait))
        return await self._request(
            node,
            peers.MessageKind.PULL,
            msgspec.msgpack.encode(message),
            wait + self._settings.peer_timeout,
        )

    async def _request(
        self,
        node: membership.Member,
        kind: peers.MessageKind,
        body: bytes,
        timeout: float,
    ) -> CollectorAnswer | None:
        """Returns a peer's answer, ``None`` if none came.

        A peer that did not answer is not asked again for ``peer_avoid``.
        """
        outcome = await self._nodes.peers.request(
            node.peer, kind, body, timeout
        )
        match outcome:
            case Result(tag='ok', ok=found):
                return msgspec.msgpack.decode(found, type=CollectorAnswer)
            case Result(error=fault):
                _LOG.warning(
                    'pass kind=%s node=%s failed: %s; collecting on this node',
                    kind.value,
                    node.name,
                    fault.kind.value,
                )
        until = asyncio.get_running_loop().time() + self._settings.peer_avoid
        self._avoided[node.name] = until
        return None

    async def _handle_step(self, sender: ids.NodeName, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=StepMessage)
        body = None
        if message.body is not None:
            body = msgspec.json.decode(message.body, type=steps.StepBody)
        outcome = self._put_local(message.trainer, message.step, body)
        return _encode(outcome.map(lambda _: None))

    async def _handle_pull(self, sender: ids.NodeName, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=PullMessage)
        return _encode(
            await self._pull_local(message.trainer, message.request)
        )

    def _put_local(
        self,
        trainer: ids.TrainerName,
        step: ids.StepNumber,
        body: steps.StepBody | None,
    ) -> PutResult:
        found = self.get_or_create(trainer)
        if found is None:
            return Error(_refuse_unknown(trainer))
        if body is None:
            found.remove_step(step)
            return Ok(None)
        return found.put_step(step, body)

    async def _pull_local(
        self, trainer: ids.TrainerName, request: steps.PullRequest
    ) -> PullResult:
        found = self.get_or_create(trainer)
        if found is None:
            return Error(_refuse_unknown(trainer))
        return await found.pull(request)

    def _apply_declarations(self, declared: declarations.Declarations) -> None:
        for name, found in list(self._collectors.items()):
            trainer = declared.find_trainer(name)
            if trainer is not None:
                found.update(trainer)
                continue
            del self._collectors[name]
            task = asyncio.get_running_loop().create_task(found.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def _make_dependencies(
        self, trainer: declarations.Trainer
    ) -> scheduler.CollectorDependencies:
        counter = slots.SlotCounter(lambda: self._list_engines(trainer.pool))
        return scheduler.CollectorDependencies(
            runner=self._runner,
            placements=self._placements,
            metrics=self._dependencies.metrics,
            compute_slot_share=lambda minimum_version=None: (
                self._compute_slot_share(trainer, counter, minimum_version)
            ),
            list_scoring=lambda: self._list_scoring(trainer.name),
            sample_settings=self._settings,
            generate_request_id=self._dependencies.generate_request_id,
        )

    def _compute_slot_share(
        self,
        trainer: declarations.Trainer,
        counter: slots.SlotCounter,
        minimum_version: ids.WeightVersion | None,
    ) -> float | None:
        """Returns a trainer's share of its pool's slots.

        The slots are divided by weight among this trainer and the other ones
        of the pool whose attempts are running on this node.  ``None`` while no
        engine has reported.
        """
        total = counter.count(minimum_version)
        if total is None:
            return None
        weight = self._collectors[trainer.name].trainer.weight
        total_weight = sum(
            found.trainer.weight
            for found in self._collectors.values()
            if found.trainer.pool == trainer.pool
            and (found.is_busy or found.trainer.name == trainer.name)
        )
        return total * weight / max(total_weight, weight)

    def _list_engines(self, pool: ids.PoolName) -> list[table.Target]:
        view = self._dependencies.admission.router.find_view(pool)
        return [] if view is None else list(view)

    def _list_scoring(
        self, name: ids.TrainerName
    ) -> list[targets.ScoringService]:
        declared = self._dependencies.configuration.declarations.find_trainer(
            name
        )
        if declared is None or declared.scoring is None:
            return []
        view = self._dependencies.admission.router.find_view(declared.scoring)
        return [
            target.scoring
            for target in view or ()
            if target.scoring is not None
            and target.state is model.TargetState.LIVE
        ]


def _limit_wait(
    request: steps.PullRequest, seconds: float
) -> steps.PullRequest:
    wait = min(request.wait_ms, round(seconds * 1000))
    return msgspec.structs.replace(request, wait_ms=wait)


def _refuse_unknown(trainer: ids.TrainerName) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.NOT_FOUND, f'no trainer {trainer!r} is declared'
    )


def _encode(outcome: Result) -> bytes:
    match outcome:
        case Result(tag='ok', ok=answer):
            return msgspec.msgpack.encode(CollectorAnswer(answer=answer))
        case Result(error=refusal):
            return msgspec.msgpack.encode(CollectorAnswer(refusal=refusal))
