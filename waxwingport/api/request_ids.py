"""Resource ``/v1/request-ids``: ids for calls that run at most once."""

from typing import Annotated

from expression import Result
import msgspec

from waxwingport.api import handler
from waxwingport import ids

__all__ = ['RequestIds']


class _Body(msgspec.Struct, frozen=True):
    count: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1


class _Answer(msgspec.Struct, frozen=True):
    request_ids: list[ids.RequestId]


class RequestIds(handler.Handler):
    """Issues request ids that belong to this node."""

    async def post(self) -> None:
        """Answers with ``count`` new ids for the caller."""
        match handler.read_json(self.request.body or b'{}', _Body):
            case Result(tag='ok', ok=body):
                issued = self.node.services.generate_ids(
                    self.caller, body.count
                )
                self.send_json(_Answer(issued))
            case Result(error=refusal):
                self.send_refusal(refusal)
