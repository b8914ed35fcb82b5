"""TLS certificate of the port for callers and operators."""

import logging
import pathlib
import ssl

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import settings

__all__ = ['Certificate', 'load_certificate']

_LOG = logging.getLogger(__name__)


class Certificate:
    """A server certificate that ``reload`` reads again after a change.

    New connections use the new certificate; open ones keep the old one.
    """

    def __init__(
        self, configured: settings.TlsSettings, context: ssl.SSLContext
    ) -> None:
        self.context = context
        self._settings = configured
        self._change_times = _find_change_times(configured)

    def reload(self) -> bool:
        """Reads the files again if they changed; returns whether it did.

        If the pair cannot be loaded, the certificate in use stays and the
        next call tries again.
        """
        change_times = _find_change_times(self._settings)
        if change_times == self._change_times:
            return False
        loaded = _load(self.context, self._settings)
        if loaded.is_error():
            _LOG.error('certificate not reloaded: %s', loaded.error)
            return False
        self._change_times = change_times
        _LOG.info('certificate reloaded from=%s', self._settings.certificate)
        return True


def load_certificate(
    configured: settings.TlsSettings,
) -> Result[Certificate, str]:
    """Returns the certificate, or why the two files cannot be loaded."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    loaded = _load(context, configured)
    return loaded.map(lambda _: Certificate(configured, context))


def _load(
    context: ssl.SSLContext, configured: settings.TlsSettings
) -> Result[None, str]:
    # Loading a certificate with the wrong key would break the context in use,
    # so the pair is loaded into a separate context first.
    try:
        test_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        test_context.load_cert_chain(configured.certificate, configured.key)
        context.load_cert_chain(configured.certificate, configured.key)
    except (OSError, ssl.SSLError) as error:
        return Error(
            f'tls: {configured.certificate}, {configured.key}: {error}'
        )
    return Ok(None)


def _find_change_times(
    configured: settings.TlsSettings,
) -> tuple[int | None, int | None]:
    return (
        _find_change_time(configured.certificate),
        _find_change_time(configured.key),
    )


def _find_change_time(name: str) -> int | None:
    try:
        return pathlib.Path(name).stat().st_mtime_ns
    except OSError:
        return None
