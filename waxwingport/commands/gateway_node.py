"""``gateway``: runs a gateway node until SIGTERM."""

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
_BIND_RETRY_S = 0.5
"""Time between attempts to listen at addresses that are in use."""

_LOG = logging.getLogger(__name__)


def run_command(settings: str | None = None) -> None:
    """Runs a gateway node until SIGTERM, then shuts it down gracefully.

    Args:
        settings: The node's settings, a TOML file; by default the file that
            the environment variable WAXWINGPORT_NODE_FILE names.
    """
    path = settings or os.environ.get(_SETTINGS_VARIABLE)
    if path is None:
        _fail(f'give --settings or set {_SETTINGS_VARIABLE}', _EXIT_USAGE)
    match gateway_settings.read_settings(pathlib.Path(path)):
        case Result(tag='ok', ok=node_settings):
            pass
        case Result(error=reason):
            _fail(reason, _EXIT_REFUSED)
    logs.configure_non_blocking(node_settings.logging)
    match asyncio.run(run_gateway(node_settings)):
        case Result(tag='error', error=reason):
            _fail(reason, _EXIT_REFUSED)


def _fail(reason: str, code: int) -> NoReturn:
    print(reason, file=sys.stderr)
    sys.exit(code)


async def run_gateway(
    node_settings: gateway_settings.GatewaySettings,
) -> Result[None, str]:
    """Runs a gateway node until SIGTERM, then shuts it down gracefully.

    Fails when an address cannot be bound or a background task failed.
    """
    match await _create_node(node_settings):
        case Result(tag='ok', ok=gateway):
            pass
        case Result(error=reason):
            return Error(reason)
    with logs.count_warnings(gateway.metrics):
        return await _run(gateway, node_settings)


async def _create_node(
    node_settings: gateway_settings.GatewaySettings,
) -> Result[node.GatewayNode, str]:
    """Creates a node; waits while an earlier process has its addresses."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + node_settings.node.shutdown_timeout
    while True:
        try:
            return Ok(node.GatewayNode(node_settings))
        except OSError as error:
            reason = f'cannot listen: {error}'
        if loop.time() >= give_up_at:
            return Error(reason)
        _LOG.warning('address-unavailable', extra={'reason': reason})
        await asyncio.sleep(_BIND_RETRY_S)


async def _run(
    gateway: node.GatewayNode,
    node_settings: gateway_settings.GatewaySettings,
) -> Result[None, str]:
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _log_reload)
    gateway.start()
    _LOG.info(
        'gateway-started',
        extra={
            'node': node_settings.node.name,
            'data_centre': node_settings.node.data_centre,
            'listen': node_settings.node.listen,
            'partitions': node_settings.submissions.partitions,
            'retention_s': node_settings.store.retention,
        },
    )
    _check_retention(node_settings)
    cause = await shutdown.wait_for_stop(gateway.background.failed)
    _LOG.info(
        'gateway-stopping',
        extra={'node': node_settings.node.name, 'cause': cause.value},
    )
    if cause is shutdown.StopCause.FAILURE:
        return Error('stopped because of a broken invariant; see the log')
    await gateway.stop()
    _LOG.info('gateway-stopped', extra={'node': node_settings.node.name})
    return Ok(None)


def _check_retention(node_settings: gateway_settings.GatewaySettings) -> None:
    """Warns if the store removes submissions that callers may still read."""
    retention = node_settings.store.retention
    status_time = node_settings.submissions.status_time
    if retention < status_time:
        _LOG.warning(
            'retention-short',
            extra={'retention_s': retention, 'status_time_s': status_time},
        )


def _log_reload() -> None:
    """Logs a SIGHUP; settings are read only when the node starts."""
    _LOG.info('reload', extra={'outcome': 'settings take effect at a start'})
