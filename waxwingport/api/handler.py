"""Base of the request handlers."""

import asyncio
from typing import TypeVar
import uuid

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import web

from waxwingport.api import problems
from waxwingport import ids
from waxwingport import node
from waxwingport import outcomes

__all__ = ['Handler', 'read_json']

T = TypeVar('T')


def read_json(body: bytes, kind: type[T]) -> Result[T, outcomes.Refusal]:
    """Returns the body as ``kind``, or a refusal that names the fault."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return Error(
            outcomes.Refusal(outcomes.Reason.BAD_REQUEST, f'body: {error}')
        )


class Handler(web.RequestHandler):
    """Answers with JSON or problem details."""

    def initialize(self, node: node.Node) -> None:
        """Takes the node that this handler serves."""
        self.node = node

    @property
    def caller(self) -> str:
        """Name of the caller."""
        return self.request.headers.get('Waxwingport-Caller', 'anonymous')

    def read_request_id(self) -> ids.RequestId:
        """Returns the caller's request id, or a new one."""
        given = self.request.headers.get('Waxwingport-Request-Id')
        return ids.RequestId(given or uuid.uuid4().hex)

    def read_deadline(self, default: float) -> float:
        """Returns the request's deadline on the loop's clock."""
        text = self.request.headers.get('Waxwingport-Timeout-Ms', '')
        seconds = int(text) / 1000 if text.isdigit() else default
        return asyncio.get_running_loop().time() + seconds

    def read_priority(self) -> int:
        """Returns the request's priority; 0 by default."""
        text = self.request.headers.get('Waxwingport-Priority', '0')
        try:
            return int(text)
        except ValueError:
            return 0

    def send_json(self, value: object, status: int = 200) -> None:
        """Answers with ``value`` as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))

    def send_refusal(self, refusal: outcomes.Refusal) -> None:
        """Answers with problem details."""
        problems.send(self, refusal)
