"""TLS configuration of the ``pynng`` sockets between nodes."""

import pynng

from waxwingport.peers import base

__all__ = ['configure_client', 'configure_server']


def configure_client(
    settings: base.PeerTlsSettings | None,
) -> pynng.TLSConfig | None:
    """Returns the configuration for dialling, ``None`` without TLS."""
    if settings is None:
        return None
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=settings.server_name,
        ca_files=[settings.authority],
        cert_key_file=settings.certificate,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def configure_server(
    settings: base.PeerTlsSettings | None,
) -> pynng.TLSConfig | None:
    """Returns the configuration for listening, ``None`` without TLS."""
    if settings is None:
        return None
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_SERVER,
        ca_files=[settings.authority],
        cert_key_file=settings.certificate,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
