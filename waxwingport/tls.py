"""TLS of the port for callers and operators."""

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
    """A server certificate that is read again when its files change.

    New connections get the new certificate; open ones keep theirs.
    """

    def __init__(
        self, configured: settings.TlsSettings, context: ssl.SSLContext
    ) -> None:
        self.context = context
        self._settings = configured
        self._seen = _find_change_times(configured)

    def reload(self) -> bool:
        """Reads the files again if they changed; returns whether it did.

        A pair that cannot be read leaves the certificate in use as it is, and
        is tried again at the next call.
        """
        found = _find_change_times(self._settings)
        if found == self._seen:
            return False
        loaded = _load(self.context, self._settings)
        if loaded.is_error():
            _LOG.error('certificate not reloaded: %s', loaded.error)
            return False
        self._seen = found
        _LOG.info('certificate reloaded from=%s', self._settings.certificate)
        return True


def load_certificate(
    configured: settings.TlsSettings,
) -> Result[Certificate, str]:
    """Returns the certificate, or which file is wrong and why."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    loaded = _load(context, configured)
    return loaded.map(lambda _: Certificate(configured, context))


def _load(
    context: ssl.SSLContext, configured: settings.TlsSettings
) -> Result[None, str]:
    # A mismatched pair would spoil the context in use, so it is tried on a
    # context of its own first.
    try:
        trial = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        trial.load_cert_chain(configured.certificate, configured.key)
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
