"""``serve``: runs an entry node until it is told to stop."""

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

_RELOAD_INTERVAL = 10.0
_LOG = logging.getLogger(__name__)


async def serve(configured: settings.Settings) -> Result[None, str]:
    """Runs a node until SIGTERM, then shuts it down gracefully.

    Fails when the certificate cannot be read, the address cannot be bound, or
    a broken invariant stopped the node.
    """
    certificate = None
    if configured.tls is not None:
        match tls.load_certificate(configured.tls):
            case Result(tag='ok', ok=certificate):
                pass
            case Result(error=reason):
                return Error(reason)
    http = client.HttpClient(configured.client)
    served = node.Node(
        configured, assembly.connect_external_systems(configured, http)
    )
    context = certificate.context if certificate else None
    try:
        listener = server.NodeServer(served, context)
    except OSError as error:
        return Error(f'node.listen: {configured.node.listen}: {error}')
    await served.start()
    reloading = asyncio.create_task(_reload(certificate))
    _LOG.info(
        'serve node=%s address=%s', configured.node.name, listener.address
    )
    cause = await shutdown.wait_for_stop(served.background.failed)
    _LOG.info('stop node=%s cause=%s', configured.node.name, cause.value)
    reloading.cancel()
    await listener.stop()
    await served.stop()
    http.close()
    if cause is shutdown.StopCause.FAILURE:
        return Error('stopped because of a broken invariant; see the log')
    return Ok(None)


async def _reload(certificate: tls.Certificate | None) -> None:
    while certificate is not None:
        await asyncio.sleep(_RELOAD_INTERVAL)
        certificate.reload()
