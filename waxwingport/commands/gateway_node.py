"""``gateway``: runs a gateway node until it is told to stop."""

import asyncio
import logging
import os
import pathlib
import signal
import sys
from typing import NoReturn

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.commands import shutdown
from waxwingport.gateway import node
from waxwingport.gateway import settings as gateway_settings
from waxwingport import logs

__all__ = ['run_command', 'run_gateway']

_SETTINGS_VARIABLE = 'WAXWINGPORT_NODE_FILE'
_EXIT_REFUSED = 1
_EXIT_USAGE = 2

_LOG = logging.getLogger(__name__)


def run_command(settings: str | None = None) -> None:
    """Runs a gateway node until SIGTERM, then shuts it down gracefully.

    Args:
        settings: The node's settings, a TOML file; the file that the
            variable WAXWINGPORT_NODE_FILE names, without it.
    """
    path = settings or os.environ.get(_SETTINGS_VARIABLE)
    if path is None:
        _fail(f'give --settings or {_SETTINGS_VARIABLE}', _EXIT_USAGE)
    match gateway_settings.read_settings(pathlib.Path(path)):
        case Result(tag='ok', ok=configured):
            pass
        case Result(error=reason):
            _fail(reason, _EXIT_REFUSED)
    logs.configure_non_blocking(configured.logging)
    match asyncio.run(run_gateway(configured)):
        case Result(tag='error', error=reason):
            _fail(reason, _EXIT_REFUSED)


def _fail(reason: str, code: int) -> NoReturn:
    print(reason, file=sys.stderr)
    sys.exit(code)


async def run_gateway(
    configured: gateway_settings.GatewaySettings,
) -> Result[None, str]:
    """Runs a gateway node until SIGTERM, then shuts it down gracefully.

    Fails when an address cannot be bound, or a broken invariant stopped the
    node.
    """
    try:
        served = node.GatewayNode(configured)
    except OSError as error:
        return Error(f'node.listen: {error}')
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _note_reload)
    served.start()
    _LOG.info(
        'gateway-started',
        extra={
            'node': configured.node.name,
            'data_centre': configured.node.data_centre,
            'listen': configured.node.listen,
            'partitions': configured.submissions.partitions,
            'retention_s': configured.store.retention,
        },
    )
    _check_retention(configured)
    cause = await shutdown.wait_for_stop(served.background.failed)
    _LOG.info(
        'gateway-stopping',
        extra={'node': configured.node.name, 'cause': cause.value},
    )
    if cause is shutdown.StopCause.FAILURE:
        return Error('stopped because of a broken invariant; see the log')
    await served.stop()
    _LOG.info('gateway-stopped', extra={'node': configured.node.name})
    return Ok(None)


def _check_retention(configured: gateway_settings.GatewaySettings) -> None:
    """Says if the store forgets submissions that callers may still read."""
    retention = configured.store.retention
    status_time = configured.submissions.status_time
    if retention < status_time:
        _LOG.warning(
            'retention-short',
            extra={'retention_s': retention, 'status_time_s': status_time},
        )


def _note_reload() -> None:
    """Keeps running: nothing that changes while a node runs is in the file."""
    _LOG.info('reload', extra={'outcome': 'settings take effect at a start'})
