"""Types and constraints of the settings of a node."""

import types
from collections.abc import Iterator
from typing import Literal

import msgspec

from verbenadeck.model import NodeId, Region, ServiceName, Zone
from verbenadeck.settings._checking import ConstraintTable
from verbenadeck.settings._constraints import (
    HTTP_PATH,
    HTTP_URL,
    NAME,
    PORT,
    Interval,
    IpAddress,
)
from verbenadeck.settings._errors import SettingsProblem

_MEBIBYTE = 1024 * 1024
_DAY_S = 86_400.0
# Two clocks whose rates are each within 1% of real time can drift apart by 2%
# of the elapsed time. The margin must cover that over one lease.
_MIN_DRIFT_MARGIN_SHARE = 0.02


class LogSettings(msgspec.Struct, frozen=True):
    """Connection to the log of the platform.

    Parameters
    ----------
    url : str
        Base URL of the log service.
    adapter : str
        Name of the adapter module that speaks to it.
    stream : str
        Name of the log stream; the same for all nodes and operators of a
        fleet.
    """

    url: str
    adapter: str = 'standin'
    stream: str = 'verbenadeck'


class UpstreamSettings(msgspec.Struct, frozen=True):
    """Connection to the upstream on the same VM.

    Parameters
    ----------
    adapter : str
        Name of the adapter module that speaks to it.
    announce_path : str
        HTTP path on the admin address to which the upstream announces itself.
    """

    adapter: str = 'standin'
    announce_path: str = '/announce'


class CallerSettings(msgspec.Struct, frozen=True):
    """Handling of requests from callers.

    Parameters
    ----------
    adapter : str
        Name of the adapter module that defines the callers' header names.
    body_limit_bytes : int
        Maximum size of a request body in bytes; a larger one is refused.
    idle_timeout_s : float
        Time in seconds after which an idle caller connection is closed.
    """

    adapter: str = 'standin'
    body_limit_bytes: int = _MEBIBYTE
    idle_timeout_s: float = 75


class LeaseSettings(msgspec.Struct, frozen=True):
    """Lease durations; they must be equal on all nodes of a fleet.

    Parameters
    ----------
    lease_s : float
        Duration in seconds of the lease that a witness grants per heartbeat.
    drift_margin_s : float
        Time in seconds by which the holder ends its lease before the witness
        does; covers the drift between two clocks over one lease.
    heartbeat_interval_s : float
        Time in seconds between two heartbeats to each witness.
    """

    lease_s: float = 1
    drift_margin_s: float = 0.05
    heartbeat_interval_s: float = 0.25


class LoggingSettings(msgspec.Struct, frozen=True):
    """Logging of the node to standard error.

    Parameters
    ----------
    level : {'DEBUG', 'INFO', 'WARNING', 'ERROR'}
        Minimum level of the lines that are written. Routing and placement
        decisions are logged at `INFO`.
    format : {'plain', 'json'}
        Plain text or one JSON object per line.
    """

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['plain', 'json'] = 'plain'


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one node.

    Parameters
    ----------
    node_id : NodeId
        Name of the node; unique in the fleet and unchanged by restarts.
    zone : Zone
        Availability zone of the VM.
    region : Region
        Region of the availability zone.
    service : ServiceName
        Service that the upstream on the same VM runs.
    log : LogSettings
        Connection to the log of the platform.
    host : str
        IP address that the node listens on and announces to peers and callers.
    peer_port : int
        TCP and UDP port for other nodes; 0 selects a free port.
    entry_port : int
        TCP port for callers; 0 selects a free port.
    admin_port : int
        TCP port for operators, metrics and announcements of the upstream;
        0 selects a free port.
    upstream : UpstreamSettings
        Connection to the upstream on the same VM.
    callers : CallerSettings
        Handling of requests from callers.
    lease : LeaseSettings
        Lease durations.
    logging : LoggingSettings
        Logging to standard error.
    stop_timeout_s : float
        Maximum time in seconds for handing over the shards during a planned
        stop; running requests are finished even after it.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName
    log: LogSettings
    host: str = '127.0.0.1'
    peer_port: int = 7400
    entry_port: int = 7480
    admin_port: int = 7490
    upstream: UpstreamSettings = UpstreamSettings()
    callers: CallerSettings = CallerSettings()
    lease: LeaseSettings = LeaseSettings()
    logging: LoggingSettings = LoggingSettings()
    stop_timeout_s: float = 30


SETTINGS_CONSTRAINTS: ConstraintTable = types.MappingProxyType(
    {
        LogSettings: {
            'url': HTTP_URL,
            'adapter': NAME,
            'stream': NAME,
        },
        UpstreamSettings: {
            'adapter': NAME,
            'announce_path': HTTP_PATH,
        },
        CallerSettings: {
            'adapter': NAME,
            'body_limit_bytes': Interval(0, 1024 * _MEBIBYTE),
            'idle_timeout_s': Interval(1, _DAY_S),
        },
        LeaseSettings: {
            'lease_s': Interval(0.5, 10),
            'drift_margin_s': Interval(0.01, 1),
            'heartbeat_interval_s': Interval(0.02, 0.3),
        },
        NodeSettings: {
            'node_id': NAME,
            'zone': NAME,
            'region': NAME,
            'service': NAME,
            'host': IpAddress(),
            'peer_port': PORT,
            'entry_port': PORT,
            'admin_port': PORT,
            'stop_timeout_s': Interval(0, _DAY_S),
        },
    }
)


def check_relations(settings: NodeSettings) -> Iterator[SettingsProblem]:
    """Yield the problems of field combinations.

    Parameters
    ----------
    settings : NodeSettings
        Settings in which each field is valid on its own.
    """
    lease = settings.lease
    holder_lease_s = lease.lease_s - lease.drift_margin_s
    if lease.drift_margin_s < lease.lease_s * _MIN_DRIFT_MARGIN_SHARE:
        yield SettingsProblem(
            ('lease', 'drift_margin_s'),
            f'must be at least {_MIN_DRIFT_MARGIN_SHARE:.0%} of lease_s',
        )
    if lease.heartbeat_interval_s * 2 > holder_lease_s:
        yield SettingsProblem(
            ('lease', 'heartbeat_interval_s'),
            'must be at most half of lease_s minus drift_margin_s',
        )
    port_fields = ('peer_port', 'entry_port', 'admin_port')
    port_numbers = [getattr(settings, name) for name in port_fields]
    for index, name in enumerate(port_fields):
        if port_numbers[index] and port_numbers[index] in port_numbers[:index]:
            yield SettingsProblem((name,), 'must differ from the other ports')
