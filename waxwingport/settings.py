"""Settings of one entry node, read from a TOML file.

They hold what a process must know alone.  Everything that operators change
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
from waxwingport.configuration import distribution as spreading
from waxwingport.configuration import faults
from waxwingport.configuration import files
from waxwingport.configuration import snapshots as snapshot_writer
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

_SECRET_LENGTH = 16


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate of the port for callers and operators."""

    certificate: str
    key: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this node is and listens; addresses are ``ip:port``."""

    name: ids.NodeName
    data_centre: ids.DataCentre
    listen: str
    peer_listen: str
    max_body_size: int = 8 * 1024 * 1024
    """Bytes of one request's body."""
    max_connections: int = 4096
    shutdown_timeout: float = 60.0
    """Seconds that requests in progress get when the node stops."""
    distances: dict[ids.DataCentre, float] = {}
    """Seconds one way to other data centres."""
    default_distance: float = 0.001
    """Seconds one way to a data centre that ``distances`` does not name."""


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Addresses of the platform's services, ``ip:port``."""

    log: str
    vm_list: str
    weight_store: str
    token: str | None = None


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How this process logs."""

    level: str = 'INFO'
    lines_per_second: int = 2000
    buffer_size: int = 1024 * 1024
    """Bytes of lines that wait for a reader of standard output."""


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
    distribution: spreading.DistributionSettings = (
        spreading.DistributionSettings()
    )
    snapshots: snapshot_writer.SnapshotSettings = (
        snapshot_writer.SnapshotSettings()
    )
    peers: peer_base.PeerSettings = peer_base.PeerSettings()

    def __post_init__(self) -> None:
        host = self.node.peer_listen.rpartition(':')[0].strip('[]')
        address = ipaddress.ip_address(host)
        if address.is_unspecified:
            raise ValueError('peer_listen has to name the address itself')
        short = len(self.peers.secret) < _SECRET_LENGTH
        if short and not address.is_loopback:
            raise ValueError(
                f'peers.secret needs {_SECRET_LENGTH} characters or more'
            )


_ADDRESSES = {
    'node': ('listen', 'peer_listen'),
    'platform': ('log', 'vm_list', 'weight_store'),
}
_MAX_PORT = 65535


def check_settings(
    path: pathlib.Path,
) -> Result[Settings, list[faults.Fault]]:
    """Returns the settings, or every fault of the file."""
    match files.read_toml(path):
        case Result(tag='ok', ok=data):
            pass
        case Result(error=fault):
            return Error([fault])
    found = checking.check(data, Settings, str(path))
    found += _check_addresses(data, str(path))
    if found:
        return Error(sorted(found))
    try:
        return Ok(msgspec.convert(data, Settings))
    except msgspec.ValidationError as error:
        return Error([faults.Fault(str(path), '', str(error))])


def read_settings(path: pathlib.Path) -> Result[Settings, str]:
    """Returns the settings, or a line ``file: key: what is wrong`` each."""
    return check_settings(path).map_error(
        lambda found: '\n'.join(str(fault) for fault in found)
    )


def _check_addresses(data: dict[str, object], file: str) -> list[faults.Fault]:
    found = []
    for table, keys in _ADDRESSES.items():
        values = data.get(table)
        for key in keys if isinstance(values, dict) else ():
            value = values.get(key)
            if isinstance(value, str) and not _is_address(value):
                what = f'{value!r} is no ip:port'
                found.append(faults.Fault(file, f'{table}.{key}', what))
    return found


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT
