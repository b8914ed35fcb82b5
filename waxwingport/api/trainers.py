"""Resources for trainers: steps, pulls and weight versions."""

from expression import Result
import msgspec

from waxwingport.api import handler
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.samples import steps

__all__ = ['Pull', 'StepResource', 'VersionResource']


class VersionBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/trainers/{trainer}/versions/{version}``."""

    weights: str


class _TrainerHandler(handler.Handler):
    def find_collector(self, trainer: str):
        """Returns the trainer's collector; refuses an unknown trainer."""
        collector = self.node.find_collector(ids.TrainerName(trainer))
        if collector is None:
            self.send_refusal(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'no trainer is called {trainer!r}',
                )
            )
        return collector


class StepResource(_TrainerHandler):
    """``PUT /v1/trainers/{trainer}/steps/{step}``."""

    async def put(self, trainer: str, step: str) -> None:
        """Starts a step; repeatable."""
        collector = self.find_collector(trainer)
        if collector is None:
            return
        match handler.read_json(self.request.body, steps.StepBody):
            case Result(tag='ok', ok=body):
                collector.put_step(ids.StepNumber(int(step)), body)
                self.send_json({'step': int(step)})
            case Result(error=refusal):
                self.send_refusal(refusal)


class Pull(_TrainerHandler):
    """``POST /v1/trainers/{trainer}/pull``."""

    async def post(self, trainer: str) -> None:
        """Answers with samples that the trainer has not received."""
        collector = self.find_collector(trainer)
        if collector is None:
            return
        match handler.read_json(self.request.body, steps.PullRequest):
            case Result(tag='ok', ok=request):
                pass
            case Result(error=refusal):
                self.send_refusal(refusal)
                return
        match await collector.pull(request):
            case Result(tag='ok', ok=samples):
                self.send_json({'samples': samples})
            case Result(error=refusal):
                self.send_refusal(refusal)


class VersionResource(_TrainerHandler):
    """``PUT /v1/trainers/{trainer}/versions/{version}``."""

    async def put(self, trainer: str, version: str) -> None:
        """Publishes new weights; repeatable."""
        collector = self.find_collector(trainer)
        if collector is None:
            return
        match handler.read_json(self.request.body, VersionBody):
            case Result(tag='ok', ok=body):
                outcome = await self.node.publish_version(
                    ids.TrainerName(trainer),
                    ids.WeightVersion(int(version)),
                    body.weights,
                )
                self._answer(int(version), outcome)
            case Result(error=refusal):
                self.send_refusal(refusal)

    def _answer(self, version: int, outcome: Result) -> None:
        match outcome:
            case Result(tag='ok'):
                self.send_json({'version': version})
            case Result(error=refusal):
                self.send_refusal(refusal)
