"""``POST /v1/request-ids``: ids for calls that run at most once."""

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
    """Mints request ids that this node owns."""

    async def post(self) -> None:
        """Answers with ``count`` new ids of the caller's."""
        match handler.read_json(self.request.body or b'{}', _Body):
            case Result(tag='ok', ok=body):
                minted = self.node.services.generate_ids(
                    self.caller, body.count
                )
                self.send_json(_Answer(minted))
            case Result(error=refusal):
                self.send_refusal(refusal)
