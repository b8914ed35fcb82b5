"""``serve``: runs an entry node until it is told to stop."""

import asyncio
import contextlib
import logging
import signal

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import assembly
from waxwingport.http import client
from waxwingport import node
from waxwingport import server
from waxwingport import settings
from waxwingport import tls

__all__ = ['serve', 'wait_for_signal']

_RELOAD_INTERVAL = 10.0
_LOG = logging.getLogger(__name__)


async def wait_for_signal(seconds: float | None = None) -> None:
    """Returns at SIGINT, at SIGTERM, or after ``seconds``."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stopped.wait(), seconds)


async def serve(configured: settings.Settings) -> Result[None, str]:
    """Runs a node until SIGTERM, then shuts it down gracefully.

    Fails at once when the certificate cannot be read or the address not be
    bound.
    """
    certificate = None
    if configured.tls is not None:
        match tls.load_certificate(configured.tls):
            case Result(tag='ok', ok=certificate):
                pass
            case Result(error=reason):
                return Error(reason)
    http = client.HttpClient(configured.client)
    served = node.Node(configured, assembly.connect_outside(configured, http))
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
    await wait_for_signal()
    _LOG.info('stopping node=%s', configured.node.name)
    reloading.cancel()
    await listener.stop()
    await served.stop()
    http.close()
    return Ok(None)


async def _reload(certificate: tls.Certificate | None) -> None:
    while certificate is not None:
        await asyncio.sleep(_RELOAD_INTERVAL)
        certificate.reload()
