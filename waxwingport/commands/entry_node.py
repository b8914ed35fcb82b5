"""``serve``: runs an entry node until SIGTERM."""

import asyncio
import logging

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import assembly
from waxwingport.commands import shutdown
from waxwingport.http import client
from waxwingport import node
from waxwingport import server
from waxwingport import settings
from waxwingport import tls

__all__ = ['serve']

_CERTIFICATE_RELOAD_INTERVAL_S = 10.0
_LOG = logging.getLogger(__name__)


async def serve(node_settings: settings.Settings) -> Result[None, str]:
    """Runs a node until SIGTERM, then shuts it down gracefully.

    Fails when the certificate cannot be read, the address cannot be bound, or
    a background task failed.
    """
    certificate = None
    if node_settings.tls is not None:
        match tls.load_certificate(node_settings.tls):
            case Result(tag='ok', ok=certificate):
                pass
            case Result(error=reason):
                return Error(reason)
    http_client = client.HttpClient(node_settings.client)
    running_node = node.Node(
        node_settings,
        assembly.connect_external_systems(node_settings, http_client),
    )
    context = certificate.context if certificate else None
    try:
        listener = server.NodeServer(running_node, context)
    except OSError as error:
        return Error(f'node.listen: {node_settings.node.listen}: {error}')
    await running_node.start()
    reload_task = asyncio.create_task(_reload_certificate(certificate))
    _LOG.info(
        'serve node=%s address=%s', node_settings.node.name, listener.address
    )
    cause = await shutdown.wait_for_stop(running_node.background.failed)
    _LOG.info('stop node=%s cause=%s', node_settings.node.name, cause.value)
    reload_task.cancel()
    await listener.stop()
    await running_node.stop()
    http_client.close()
    if cause is shutdown.StopCause.FAILURE:
        return Error('stopped because of a broken invariant; see the log')
    return Ok(None)


async def _reload_certificate(certificate: tls.Certificate | None) -> None:
    while certificate is not None:
        await asyncio.sleep(_CERTIFICATE_RELOAD_INTERVAL_S)
        certificate.reload()
