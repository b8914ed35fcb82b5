"""``serve``: runs an entry node until it is told to stop."""

import asyncio
import enum
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

__all__ = ['StopCause', 'serve', 'wait_for_stop']

_RELOAD_INTERVAL = 10.0
_LOG = logging.getLogger(__name__)


class StopCause(enum.Enum):
    """Why a process stops."""

    FAILURE = 'failure'
    SIGNAL = 'signal'
    TIME = 'time'


async def wait_for_stop(
    failed: asyncio.Future[None], seconds: float | None = None
) -> StopCause:
    """Waits for SIGINT, SIGTERM, a failure or the end of ``seconds``."""
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, signalled.set)
    waiting = asyncio.ensure_future(signalled.wait())
    await asyncio.wait(
        {waiting, failed},
        timeout=seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    waiting.cancel()
    if failed.done():
        return StopCause.FAILURE
    return StopCause.SIGNAL if signalled.is_set() else StopCause.TIME


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
    cause = await wait_for_stop(served.background.failed)
    _LOG.info('stop node=%s cause=%s', configured.node.name, cause.value)
    reloading.cancel()
    await listener.stop()
    await served.stop()
    http.close()
    if cause is StopCause.FAILURE:
        return Error('stopped because of a broken invariant; see the log')
    return Ok(None)


async def _reload(certificate: tls.Certificate | None) -> None:
    while certificate is not None:
        await asyncio.sleep(_RELOAD_INTERVAL)
        certificate.reload()
