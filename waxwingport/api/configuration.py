"""Resource ``/v1/configuration`` for operators.

A change is only appended to the platform's log.  It comes into force when the
node reads it from there.
"""

from expression import Result
import msgspec

from waxwingport.api import handler
from waxwingport.api import problems
from waxwingport.configuration import fold
from waxwingport.configuration import keys
from waxwingport.configuration import publisher
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport import outcomes

__all__ = [
    'Configuration',
    'ConfigurationAnswer',
    'ConflictProblem',
    'Proposal',
    'PublishAnswer',
]

_PUBLISH_TIMEOUT_S = 15.0
"""Time within which a change has to be in force at this node."""
_REASONS = {
    publisher.PublishFaultKind.CONFLICT: outcomes.Reason.CONFLICT,
    publisher.PublishFaultKind.INVALID: outcomes.Reason.BAD_REQUEST,
    publisher.PublishFaultKind.UNAVAILABLE: outcomes.Reason.LOG_UNAVAILABLE,
    publisher.PublishFaultKind.UNCOVERED: outcomes.Reason.BAD_REQUEST,
    publisher.PublishFaultKind.UNKNOWN: outcomes.Reason.UNKNOWN_OUTCOME,
}


class ConfigurationAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET``: the configuration in force at this node, by key."""

    revision: ids.Revision
    values: dict[keys.Key, msgspec.Raw]


class Proposal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST``: a change; JSON ``null`` as a value removes its key.

    A repeat with the same ``id`` returns the outcome of the first.  ``check``
    validates the change without publishing it.  ``force`` allows a change
    that leaves trainers or callers without a target.
    """

    based_on: ids.Revision
    values: dict[keys.Key, msgspec.Raw]
    id: ids.RecordId | None = None
    author: str = ''
    check: bool = False
    force: bool = False


class PublishAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST``: the revision that contains the change."""

    revision: ids.Revision


class ConflictProblem(problems.Problem):
    """Problem with the change that was published first."""

    conflict: fold.Conflict | None = None


class Configuration(handler.Handler):
    """Resource ``/v1/configuration``."""

    async def get(self) -> None:
        """Answers with the configuration in force at this node."""
        if not self.require_operator():
            return
        folded = self.node.configuration.folded
        values = {
            key: records.write_value(value)
            for key, value in sorted(folded.declared.items())
        }
        self.send_json(ConfigurationAnswer(folded.revision, values))

    async def post(self) -> None:
        """Publishes a change and answers once it is in force at this node."""
        if not self.require_operator():
            return
        match handler.read_json(self.request.body, Proposal):
            case Result(tag='ok', ok=proposal):
                await self.run_cancellable(self._publish(proposal))
            case Result(error=refusal):
                self.send_refusal(refusal)

    async def _publish(self, proposal: Proposal) -> None:
        authenticated = bool(self.node.configuration.declarations.callers)
        change = records.Change(
            proposal.id or ids.generate_record_id(),
            self.caller if authenticated else proposal.author or self.caller,
            proposal.based_on,
            proposal.values,
        )
        config_publisher = self.node.publisher
        if proposal.check:
            checked = await config_publisher.check(change, proposal.force)
            outcome = checked.map(lambda _: self.node.configuration.revision)
        else:
            outcome = await config_publisher.publish(
                change, _PUBLISH_TIMEOUT_S, proposal.force
            )
        match outcome:
            case Result(tag='ok', ok=revision):
                self.send_json(PublishAnswer(revision))
            case Result(error=fault):
                self._send_fault(fault)

    def _send_fault(self, fault: publisher.PublishFault) -> None:
        unknown = fault.kind is publisher.PublishFaultKind.UNKNOWN
        refusal = outcomes.Refusal(
            _REASONS[fault.kind],
            f'{fault.kind.value}: {fault.detail}',
            outcomes.Ran.UNKNOWN if unknown else outcomes.Ran.NO,
        )
        if fault.conflict is None:
            self.send_refusal(refusal)
            return
        problem = msgspec.structs.asdict(problems.describe(refusal))
        self.set_status(problem['status'])
        self.set_header('Content-Type', problems.CONTENT_TYPE)
        body = ConflictProblem(**problem, conflict=fault.conflict)
        self.finish(msgspec.json.encode(body))
