"""Settings of a gateway node, read from a TOML file."""

import pathlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import checking
from waxwingport.configuration import files
from waxwingport.duties import settings as duty_settings
from waxwingport.gateway import stream_records
from waxwingport.http import client as http_client
from waxwingport import ids
from waxwingport.platform import store as platform_store
from waxwingport.rollout import lease
from waxwingport import settings as node_settings
from waxwingport.submissions import view

__all__ = ['GatewayNodeSettings', 'GatewaySettings', 'read_settings']


class GatewayNodeSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Name, data centre, addresses and limits of this node.

    Each address is ``ip:port``.
    """

    name: ids.NodeName
    data_centre: ids.DataCentre
    listen: str
    """Address for callers."""
    status_listen: str
    """Address for the load balancer's readiness checks and for metrics."""
    metrics_listen: str = ''
    """Additional address for metrics, at a port that collectors know in
    advance; none if empty.  A node serves without it while it is in use."""
    shutdown_timeout: float = 8.0
    """Seconds from SIGTERM after which the platform kills the process."""
    drain_delay: float = 2.5
    """Seconds for which a stopping node still accepts requests: the load
    balancer checks once a second and removes a node after two failures."""
    cpu_share: float = 1.0
    """Share of a core that the node has."""
    cpu_speed: float = 1.0
    """Speed of that core; 1 is the speed of the smallest VMs.  Nodes with
    less than one core by share times speed run steps only if no other does."""
    body_memory: int = 64 * 1024 * 1024
    """Bytes held for callers (heads, bodies, copies of submissions, answers
    that are not taken yet) if ``memory_mb`` is 0; answers that are being read
    from targets take as much again, at most ``client.whole_memory``."""
    memory_mb: int = 0
    """Memory of the machine in MB (1,048,576 bytes); 0 if not known.  Callers
    and answers share what 96 MB leave, at least 4 MB."""
    max_fds: int = 0
    """Maximum number of descriptors; 0 for the system's limit.  Callers get
    three quarters of them."""


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one gateway node."""

    node: GatewayNodeSettings
    store: platform_store.StoreSettings
    submissions: view.SubmissionSettings = view.SubmissionSettings()
    rollout: lease.LeaseSettings = lease.LeaseSettings()
    usage: duty_settings.UsageSettings = duty_settings.UsageSettings()
    streams: stream_records.StreamSettings = stream_records.StreamSettings()
    client: http_client.ClientSettings = http_client.ClientSettings(
        connect_timeout=0.3, progress_timeout=30.0, buffer_size=131_072
    )
    logging: node_settings.LogSettings = node_settings.LogSettings()


def read_settings(path: pathlib.Path) -> Result[GatewaySettings, str]:
    """Returns the settings.

    Fails with one line ``file: key: what is wrong`` for each fault.
    """
    match files.read_toml(path):
        case Result(tag='ok', ok=data):
            pass
        case Result(error=fault):
            return Error(str(fault))
    faults = checking.check(data, GatewaySettings, str(path))
    if faults:
        return Error('\n'.join(str(fault) for fault in sorted(faults)))
    try:
        return Ok(msgspec.convert(data, GatewaySettings))
    except msgspec.ValidationError as error:
        return Error(f'{path}: {error}')
