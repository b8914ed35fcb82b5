"""Settings of one entry node, read from a TOML file.

They belong to one process and apply until it restarts.  What operators change
while the system runs is declared instead, see
``waxwingport.configuration.declarations``.
"""

import ipaddress
import pathlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import checking
from waxwingport.configuration import distribution as config_distribution
from waxwingport.configuration import faults
from waxwingport.configuration import files
from waxwingport.configuration import snapshots as config_snapshots
from waxwingport.http import client as http_client
from waxwingport import ids
from waxwingport.peers import base as peer_base
from waxwingport.requests import settings as request_settings
from waxwingport.samples import settings as sample_settings

__all__ = [
    'LogSettings',
    'NodeSettings',
    'PlatformSettings',
    'Settings',
    'TlsSettings',
    'check_settings',
    'read_settings',
]

_MIN_SECRET_LENGTH = 16


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Files of the certificate for the port of callers and operators."""

    certificate: str
    key: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Location and addresses of this node; addresses are ``ip:port``."""

    name: ids.NodeName
    data_centre: ids.DataCentre
    listen: str
    peer_listen: str
    max_body_size: int = 8 * 1024 * 1024
    """Largest body of a request, in bytes."""
    max_connections: int = 4096
    shutdown_timeout: float = 60.0
    """Seconds that requests in progress may take to finish in a shutdown."""
    distances: dict[ids.DataCentre, float] = {}
    """Network latency to other data centres, in seconds one way."""
    default_distance: float = 0.001
    """Seconds one way to a data centre that ``distances`` does not name."""


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Addresses of the platform's services as ``ip:port``, and its token."""

    log: str
    vm_list: str
    weight_store: str
    token: str | None = None


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging of this process."""

    level: str = 'INFO'
    lines_per_second: int = 2000
    buffer_size: int = 1024 * 1024
    """Bytes of log lines that are buffered for standard output."""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one node."""

    node: NodeSettings
    platform: PlatformSettings
    client: http_client.ClientSettings = http_client.ClientSettings()
    requests: request_settings.RequestSettings = (
        request_settings.RequestSettings()
    )
    tls: TlsSettings | None = None
    logging: LogSettings = LogSettings()
    samples: sample_settings.SampleSettings = sample_settings.SampleSettings()
    distribution: config_distribution.DistributionSettings = (
        config_distribution.DistributionSettings()
    )
    snapshots: config_snapshots.SnapshotSettings = (
        config_snapshots.SnapshotSettings()
    )
    peers: peer_base.PeerSettings = peer_base.PeerSettings()

    def __post_init__(self) -> None:
        host = self.node.peer_listen.rpartition(':')[0].strip('[]')
        address = ipaddress.ip_address(host)
        if address.is_unspecified:
            raise ValueError(
                'node.peer_listen has to be an address, not a wildcard'
            )
        too_short = len(self.peers.secret) < _MIN_SECRET_LENGTH
        if too_short and not address.is_loopback:
            raise ValueError(
                f'peers.secret needs {_MIN_SECRET_LENGTH} characters or more '
                'unless node.peer_listen is a loopback address'
            )


_ADDRESS_KEYS = {
    'node': ('listen', 'peer_listen'),
    'platform': ('log', 'vm_list', 'weight_store'),
}
_MAX_PORT = 65535


def check_settings(
    path: pathlib.Path,
) -> Result[Settings, list[faults.Fault]]:
    """Returns the settings in the TOML file ``path``, or all its faults."""
    match files.read_toml(path):
        case Result(tag='ok', ok=data):
            pass
        case Result(error=fault):
            return Error([fault])
    found_faults = checking.check(data, Settings, str(path))
    found_faults += _check_addresses(data, str(path))
    if found_faults:
        return Error(sorted(found_faults))
    try:
        return Ok(msgspec.convert(data, Settings))
    except msgspec.ValidationError as error:
        return Error([faults.Fault(str(path), '', str(error))])


def read_settings(path: pathlib.Path) -> Result[Settings, str]:
    """Returns the settings, or all faults of the file.

    Each fault is a line ``file: key: what is wrong``.
    """
    return check_settings(path).map_error(
        lambda found_faults: '\n'.join(str(fault) for fault in found_faults)
    )


def _check_addresses(data: dict[str, object], file: str) -> list[faults.Fault]:
    found_faults = []
    for table, keys in _ADDRESS_KEYS.items():
        values = data.get(table)
        for key in keys if isinstance(values, dict) else ():
            value = values.get(key)
            if isinstance(value, str) and not _is_address(value):
                detail = f'{value!r} is not an address of the form ip:port'
                found_faults.append(
                    faults.Fault(file, f'{table}.{key}', detail)
                )
    return found_faults


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT
