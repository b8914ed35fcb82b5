"""One record of each node on a keyed topic, which all nodes read.

What a node has learnt of something that all use, such as a target, is in force
everywhere once its record has been appended and read.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging
from typing import Generic
from typing import TypeVar

from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import followers

__all__ = ['NodeRecord', 'NodeRecords']

_APPEND_TIMEOUT_S = 1.0
"""Time in which an append is answered by a log 60 times slower than usual."""

Content = TypeVar('Content')

_LOG = logging.getLogger(__name__)


class NodeRecord(msgspec.Struct, Generic[Content], eq=False):
    """What one node wrote last."""

    content: Content
    read_at: float
    """Loop time at which this node read the record."""


class NodeRecords(followers.KeyedListener, Generic[Content]):
    """Writes this node's record of a topic and keeps those of all nodes.

    A record's value is JSON of the type ``content_type``.  ``on_change`` is
    called after each change.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        topic: base.Topic,
        content_type: type[Content],
        on_change: Callable[[], None],
    ) -> None:
        self._log = log
        self._partition = base.Partition(topic, 0)
        self._content_type = content_type
        self._on_change = on_change
        self._follower = self._make_follower()
        self._followed = False
        """Whether the records are or were followed."""
        self.by_node: dict[ids.NodeName, NodeRecord[Content]] = {}

    async def follow(self, started: asyncio.Event | None = None) -> None:
        """Reads the records of all nodes until cancelled.

        Sets ``started`` once the whole topic has been read.
        """
        if self._followed:
            # The next one reads the whole topic again.
            self._follower = self._make_follower()
        self._followed = True
        follower = self._follower
        async with asyncio.TaskGroup() as group:
            group.create_task(follower.run())
            if started is not None:
                await follower.started.wait()
                started.set()

    @property
    def available(self) -> bool:
        """Whether the last read succeeded."""
        return self._followed and self.dependency.available

    @property
    def recovered_at(self) -> float | None:
        """Loop time at which reads succeeded again after a failure, if so."""
        return self.dependency.recovered_at

    @property
    def dependency(self) -> dependency.Dependency:
        """Availability of the log, judged by the reads of the records."""
        return self._follower.dependency

    async def catch_up(self) -> bool:
        """Reads the records that exist now; returns whether that is certain.

        May take as long as the log is unavailable.
        """
        return await self._follower.catch_up()

    def _make_follower(self) -> followers.KeyedFollower:
        return followers.KeyedFollower(self._log, self._partition.topic, self)

    async def write(self, node: ids.NodeName, value: bytes | None) -> bool:
        """Writes or removes the record of a node; returns whether it did.

        After ``False`` the outcome is unknown.
        """
        record = self._log.make_keyed(base.KeyedRecord(node, value))
        try:
            async with asyncio.timeout(_APPEND_TIMEOUT_S):
                found = await self._log.append(self._partition, (record,))
        except TimeoutError:
            self._log_failure(f'no answer within {_APPEND_TIMEOUT_S:g} s')
            return False
        match found:
            case Result(tag='ok'):
                return True
            case Result(error=fault):
                self._log_failure(fault.detail)
                return False

    def _log_failure(self, reason: str) -> None:
        _LOG.debug(
            'node-record-not-written',
            extra={'partition': str(self._partition), 'reason': reason},
        )

    def replace(self, records: Sequence[base.KeyedRecord]) -> None:
        """Replaces the records of all nodes."""
        self.by_node.clear()
        for record in records:
            self._apply(record)
        self._on_change()

    def update(self, record: base.KeyedRecord) -> None:
        """Applies the record of a node, removed if its value is ``None``."""
        self._apply(record)
        self._on_change()

    def _apply(self, record: base.KeyedRecord) -> None:
        node = ids.NodeName(record.key)
        self.by_node.pop(node, None)
        if record.value is None:
            return
        match decoding.read_json(record.value, self._content_type):
            case Result(tag='ok', ok=content):
                now = asyncio.get_running_loop().time()
                self.by_node[node] = NodeRecord(content, now)
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={
                        'partition': str(self._partition),
                        'key': record.key,
                        'reason': reason,
                    },
                )
