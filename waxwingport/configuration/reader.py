"""Follows the configuration stream of the log."""

import asyncio
import logging

from expression import Result
import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.platform import base

__all__ = ['STREAM', 'ConfigurationReader']

STREAM = ids.StreamName('configuration')

_WAIT = 1.0
_RETRY_DELAY = 0.2
_LOG = logging.getLogger(__name__)


class ConfigurationReader:
    """Applies each record of the stream in offset order."""

    def __init__(
        self, log: base.Log, configuration: state.ConfigurationState
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._next = ids.Offset(0)

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            match await self._log.read(STREAM, self._next, wait=_WAIT):
                case Result(tag='ok', ok=page):
                    self._fold(page)
                case Result(error=fault):
                    _LOG.warning('configuration log: %s', fault.detail)
                    await asyncio.sleep(_RETRY_DELAY)

    def _fold(self, page: base.LogPage) -> None:
        for record in page.records:
            declared = msgspec.json.decode(
                record.body, type=declarations.Declarations
            )
            self._configuration.apply(ids.Revision(record.offset), declared)
        self._next = page.next
