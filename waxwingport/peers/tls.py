"""TLS between nodes, by the messaging library's own transport."""

import pynng

from waxwingport.peers import base

__all__ = ['configure_client', 'configure_server']


def configure_client(
    settings: base.PeerTlsSettings | None,
) -> pynng.TLSConfig | None:
    """Returns what dialling needs, ``None`` without TLS."""
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
    """Returns what listening needs, ``None`` without TLS."""
    if settings is None:
        return None
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_SERVER,
        ca_files=[settings.authority],
        cert_key_file=settings.certificate,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
