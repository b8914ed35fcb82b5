"""``gateway``: runs a gateway node until it is told to stop."""

import asyncio
import logging
import signal

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.commands import serving
from waxwingport.gateway import node
from waxwingport.gateway import settings

__all__ = ['run_gateway']

_LOG = logging.getLogger(__name__)


async def run_gateway(
    configured: settings.GatewaySettings,
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
    cause = await serving.wait_for_stop(served.background.failed)
    _LOG.info(
        'gateway-stopping',
        extra={'node': configured.node.name, 'cause': cause.value},
    )
    if cause is serving.StopCause.FAILURE:
        return Error('stopped because of a broken invariant; see the log')
    await served.stop()
    _LOG.info('gateway-stopped', extra={'node': configured.node.name})
    return Ok(None)


def _note_reload() -> None:
    """Keeps running: nothing that changes while a node runs is in the file."""
    _LOG.info('reload', extra={'outcome': 'settings take effect at a start'})
