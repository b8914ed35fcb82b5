"""Resources for trainers: steps, pulls and weight versions."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.api import handler
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.samples import steps

__all__ = ['Pull', 'StepResource', 'VersionResource']

_MAX_NUMBER = 2**53 - 1
"""Largest integer that every JSON parser represents exactly."""


class VersionBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/trainers/{trainer}/versions/{version}``."""

    weights: str


class _TrainerHandler(handler.Handler):
    """Base of the resources for trainers."""

    def send_outcome(self, outcome: Result) -> None:
        """Answers with the value of ``outcome`` as JSON, or its refusal."""
        match outcome:
            case Result(tag='ok', ok=value):
                self.send_json(value)
            case Result(error=refusal):
                self.send_refusal(refusal)

    def read_number(
        self, text: str, name: str, minimum: int = 0
    ) -> Result[int, outcomes.Refusal]:
        """Returns a number of the path, or a refusal if out of range.

        ``name`` is the parameter that the refusal names.
        """
        number = int(text[: len(str(_MAX_NUMBER)) + 1])
        if minimum <= number <= _MAX_NUMBER:
            return Ok(number)
        detail = f'{name}: expected a number from {minimum} to {_MAX_NUMBER}'
        return Error(outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail))


class StepResource(_TrainerHandler):
    """Resource ``/v1/trainers/{trainer}/steps/{step}``."""

    async def put(self, trainer: str, step: str) -> None:
        """Starts a step; a repeat has no further effect."""
        if not self.check_allowed(trainer):
            return
        match (
            self.read_number(step, 'step'),
            handler.read_json(self.request.body, steps.StepBody),
        ):
            case (Result(tag='ok', ok=number), Result(tag='ok', ok=body)):
                await self._put(trainer, number, body)
            case (Result(tag='error', error=refusal), _):
                self.send_refusal(refusal)
            case (_, Result(error=refusal)):
                self.send_refusal(refusal)

    async def delete(self, trainer: str, step: str) -> None:
        """Abandons a step; a repeat has no further effect."""
        if not self.check_allowed(trainer):
            return
        match self.read_number(step, 'step'):
            case Result(tag='ok', ok=number):
                await self._put(trainer, number, None)
            case Result(error=refusal):
                self.send_refusal(refusal)

    async def _put(
        self, trainer: str, step: int, body: steps.StepBody | None
    ) -> None:
        outcome = await self.node.collectors.put_step(
            ids.TrainerName(trainer), ids.StepNumber(step), body
        )
        self.send_outcome(outcome.map(lambda _: {'step': step}))


class Pull(_TrainerHandler):
    """Resource ``POST /v1/trainers/{trainer}/pull``."""

    async def post(self, trainer: str) -> None:
        """Answers with samples that the trainer has not received yet."""
        if not self.check_allowed(trainer):
            return
        match handler.read_json(self.request.body, steps.PullRequest):
            case Result(tag='ok', ok=request):
                pass
            case Result(error=refusal):
                self.send_refusal(refusal)
                return
        await self.run_cancellable(
            self._pull(ids.TrainerName(trainer), request)
        )

    async def _pull(
        self, trainer: ids.TrainerName, request: steps.PullRequest
    ) -> None:
        outcome = await self.node.collectors.pull(trainer, request)
        self.send_outcome(
            outcome.map(lambda answer: {'samples': answer.samples})
        )


class VersionResource(_TrainerHandler):
    """Resource ``PUT /v1/trainers/{trainer}/versions/{version}``."""

    async def put(self, trainer: str, version: str) -> None:
        """Publishes a weight version; a repeat has no further effect."""
        if not self.check_allowed(trainer):
            return
        name = ids.TrainerName(trainer)
        if self.node.configuration.declarations.find_trainer(name) is None:
            detail = f'no trainer is called {trainer!r}'
            self.send_refusal(
                outcomes.Refusal(outcomes.Reason.NOT_FOUND, detail)
            )
            return
        match (
            self.read_number(version, 'version', 1),
            handler.read_json(self.request.body, VersionBody),
        ):
            case (Result(tag='ok', ok=number), Result(tag='ok', ok=body)):
                outcome = await self.node.publish_version(
                    name, ids.WeightVersion(number), body.weights
                )
                self.send_outcome(outcome.map(lambda _: {'version': number}))
            case (Result(tag='error', error=refusal), _):
                self.send_refusal(refusal)
            case (_, Result(error=refusal)):
                self.send_refusal(refusal)
