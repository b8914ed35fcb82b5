"""Brings steps and pulls to the node that collects for their trainer.

Rendezvous hashing over the live nodes picks it.  Nothing depends on all nodes
picking the same one: if it does not answer, the node at hand collects itself.
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
from waxwingport.routing import candidates
from waxwingport.samples import collector
from waxwingport.samples import generator
from waxwingport.samples import placements
from waxwingport.samples import settings
from waxwingport.samples import slots
from waxwingport.samples import steps
from waxwingport.targets import base as targets
from waxwingport.targets import table

__all__ = ['Collectors', 'PeerNodes', 'Dependencies']

_CHECK_INTERVAL = 0.25
_LOG = logging.getLogger(__name__)

PullResult = Result[steps.PullAnswer, outcomes.Refusal]
PutResult = Result[None, outcomes.Refusal]


class PeerNodes(msgspec.Struct, frozen=True):
    """The other nodes and the transport towards them."""

    membership: membership.Membership
    peers: peers.PeerTransport


class Dependencies(msgspec.Struct, frozen=True):
    """The parts of a node that its collectors use."""

    configuration: state.ConfigurationState
    targets: table.TargetTable
    admission: admission.Admission
    metrics: metrics.Metrics
    find_version: Callable[[ids.TrainerName], ids.WeightVersion | None] = (
        lambda trainer: None
    )
    """Returns the latest version that a trainer published."""
    limits: settings.SampleSettings = settings.SampleSettings()
    make_runner: Callable[
        [placements.Placements], completions.CompletionRunner
    ] = completions.CompletionRunner
    generate_request_id: Callable[[], ids.RequestId] = ids.mint_request_id


class StepMessage(msgspec.Struct, frozen=True):
    """Body of ``MessageKind.STEP``; no body gives the step up."""

    trainer: ids.TrainerName
    step: ids.StepNumber
    body: bytes | None = None
    """JSON, as its parameters are kept as the trainer wrote them."""


class PullMessage(msgspec.Struct, frozen=True):
    """Body of ``MessageKind.PULL``."""

    trainer: ids.TrainerName
    request: steps.PullRequest


class Answer(msgspec.Struct, frozen=True):
    """Answer to both kinds of message."""

    answer: steps.PullAnswer | None = None
    refusal: outcomes.Refusal | None = None


class Collectors:
    """The collectors of this node, and the way to those of others."""

    def __init__(
        self, parts: Dependencies, neighbours: PeerNodes | None = None
    ) -> None:
        self._parts = parts
        self._limits = parts.limits
        self._neighbours = neighbours
        self._places = placements.Placements(parts.admission)
        self._runner = parts.make_runner(self._places)
        self._own: dict[ids.TrainerName, collector.Collector] = {}
        self._published: dict[ids.TrainerName, ids.WeightVersion] = {}
        self._avoided: dict[ids.NodeName, float] = {}
        self._closing: set[asyncio.Task[None]] = set()
        parts.configuration.listen(self._follow_declarations)
        if neighbours is not None:
            links = neighbours.peers
            links.set_handler(peers.MessageKind.STEP, self._answer_step)
            links.set_handler(peers.MessageKind.PULL, self._answer_pull)

    def get_or_create(
        self, name: ids.TrainerName
    ) -> collector.Collector | None:
        """Returns this node's collector, made if need be.

        ``None`` if no such trainer is declared.
        """
        declared = self._parts.configuration.declarations.find_trainer(name)
        if declared is None:
            return None
        if name not in self._own:
            _LOG.info('collect trainer=%s', name)
            self._own[name] = collector.Collector(
                declared, self._find_resources(declared)
            )
        return self._own[name]

    def find_existing(
        self, name: ids.TrainerName
    ) -> collector.Collector | None:
        """Returns this node's collector if there is one."""
        return self._own.get(name)

    async def put_step(
        self,
        trainer: ids.TrainerName,
        step: ids.StepNumber,
        body: steps.StepBody | None,
    ) -> PutResult:
        """Starts a step where its trainer is collected for.

        Without a body the step is given up.
        """
        home = self._find_home(trainer)
        if home is not None:
            encoded = None if body is None else msgspec.json.encode(body)
            message = msgspec.msgpack.encode(
                StepMessage(trainer, step, encoded)
            )
            timeout = self._limits.peer_wait + self._limits.peer_timeout
            passed = await self._ask(
                home, peers.MessageKind.STEP, message, timeout
            )
            if passed is not None:
                return Error(passed.refusal) if passed.refusal else Ok(None)
        return self._put_own(trainer, step, body)

    async def pull(
        self, trainer: ids.TrainerName, request: steps.PullRequest
    ) -> PullResult:
        """Pulls from where the trainer is collected for."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.wait_ms / 1000
        while (home := self._find_home(trainer)) is not None:
            left = max(0.0, deadline - loop.time())
            passed = await self._pass_pull(home, trainer, request, left)
            if passed is None:
                break
            if passed.refusal is not None:
                return Error(passed.refusal)
            answer = passed.answer
            waited = loop.time() >= deadline
            if answer.samples or answer.final or waited:
                return Ok(answer)
        left = max(0.0, deadline - loop.time())
        return await self._pull_own(trainer, _shorten(request, left))

    async def run(self) -> None:
        """Follows published versions and lost roles until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            for name, found in list(self._own.items()):
                self._note_published(name, found)
                unused = asyncio.get_running_loop().time() - found.last_used
                if (
                    unused > self._limits.release_after
                    and self._find_home(name) is not None
                ):
                    _LOG.info('release trainer=%s', name)
                    del self._own[name]
                    await found.close()

    def _note_published(
        self, name: ids.TrainerName, found: collector.Collector
    ) -> None:
        version = self._parts.find_version(name)
        if version is not None and version != self._published.get(name):
            self._published[name] = version
            found.note_version(version)

    async def close(self) -> None:
        """Cancels all work."""
        found = list(self._own.values())
        self._own.clear()
        await asyncio.gather(*(row.close() for row in found))

    def _find_home(self, trainer: ids.TrainerName) -> membership.Member | None:
        """Returns the node to pass to, ``None`` for this one."""
        if self._neighbours is None:
            return None
        found = self._neighbours.membership
        now = asyncio.get_running_loop().time()
        live = {
            row.name: row
            for row in found.list_live()
            if self._avoided.get(row.name, 0.0) <= now
        }
        name = rendezvous.pick(trainer, live)
        if name is None or name == found.local_member.name:
            return None
        return live[name]

    async def _pass_pull(
        self,
        home: membership.Member,
        trainer: ids.TrainerName,
        request: steps.PullRequest,
        left: float,
    ) -> Answer | None:
        wait = min(left, self._limits.peer_wait)
        message = PullMessage(trainer, _shorten(request, wait))
        return await self._ask(
            home,
            peers.MessageKind.PULL,
            msgspec.msgpack.encode(message),
            wait + self._limits.peer_timeout,
        )

    async def _ask(
        self,
        home: membership.Member,
        kind: peers.MessageKind,
        body: bytes,
        timeout: float,
    ) -> Answer | None:
        """Returns the peer's answer; avoids it for a while if none came."""
        outcome = await self._neighbours.peers.request(
            home.peer, kind, body, timeout
        )
        match outcome:
            case Result(tag='ok', ok=found):
                return msgspec.msgpack.decode(found, type=Answer)
            case Result(error=fault):
                _LOG.warning(
                    'pass kind=%s node=%s failed: %s, collecting here',
                    kind.value,
                    home.name,
                    fault.kind.value,
                )
        until = asyncio.get_running_loop().time() + self._limits.peer_avoid
        self._avoided[home.name] = until
        return None

    async def _answer_step(self, sender: ids.NodeName, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=StepMessage)
        body = None
        if message.body is not None:
            body = msgspec.json.decode(message.body, type=steps.StepBody)
        outcome = self._put_own(message.trainer, message.step, body)
        return _encode(outcome.map(lambda _: None))

    async def _answer_pull(self, sender: ids.NodeName, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=PullMessage)
        return _encode(await self._pull_own(message.trainer, message.request))

    def _put_own(
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

    async def _pull_own(
        self, trainer: ids.TrainerName, request: steps.PullRequest
    ) -> PullResult:
        found = self.get_or_create(trainer)
        if found is None:
            return Error(_refuse_unknown(trainer))
        return await found.pull(request)

    def _follow_declarations(
        self, declared: declarations.Declarations
    ) -> None:
        for name, found in list(self._own.items()):
            trainer = declared.find_trainer(name)
            if trainer is not None:
                found.update(trainer)
                continue
            del self._own[name]
            task = asyncio.get_running_loop().create_task(found.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def _find_resources(
        self, trainer: declarations.Trainer
    ) -> generator.Resources:
        counted = slots.PoolSlots(lambda: self._list_engines(trainer.pool))
        return generator.Resources(
            runner=self._runner,
            places=self._places,
            metrics=self._parts.metrics,
            find_slots=lambda minimum=None: self._find_slots(
                trainer, counted, minimum
            ),
            list_scoring=lambda: self._list_scoring(trainer.name),
            limits=self._limits,
            generate_request_id=self._parts.generate_request_id,
        )

    def _find_slots(
        self,
        trainer: declarations.Trainer,
        counted: slots.PoolSlots,
        minimum: ids.WeightVersion | None,
    ) -> float | None:
        """Returns a trainer's weighted share of its pool's slots."""
        total = counted.count(minimum)
        if total is None:
            return None
        weight = self._own[trainer.name].trainer.weight
        rivals = sum(
            found.trainer.weight
            for found in self._own.values()
            if found.trainer.pool == trainer.pool
            and (found.is_busy or found.trainer.name == trainer.name)
        )
        return total * weight / max(rivals, weight)

    def _list_engines(self, pool: ids.PoolName) -> list[table.Target]:
        view = self._parts.admission.router.find_view(pool)
        return [] if view is None else list(view)

    def _list_scoring(
        self, name: ids.TrainerName
    ) -> list[targets.ScoringService]:
        declared = self._parts.configuration.declarations.find_trainer(name)
        if declared is None or declared.scoring is None:
            return []
        view = self._parts.admission.router.find_view(declared.scoring)
        return [
            row.scoring
            for row in view or ()
            if row.scoring is not None
            and row.state is candidates.TargetState.LIVE
        ]


def _shorten(request: steps.PullRequest, seconds: float) -> steps.PullRequest:
    wait = min(request.wait_ms, round(seconds * 1000))
    return msgspec.structs.replace(request, wait_ms=wait)


def _refuse_unknown(trainer: ids.TrainerName) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.NOT_FOUND, f'no trainer is called {trainer!r}'
    )


def _encode(outcome: Result) -> bytes:
    match outcome:
        case Result(tag='ok', ok=answer):
            return msgspec.msgpack.encode(Answer(answer=answer))
        case Result(error=refusal):
            return msgspec.msgpack.encode(Answer(refusal=refusal))
