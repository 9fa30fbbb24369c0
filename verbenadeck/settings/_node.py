"""Typed settings of a node."""

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
# Two clocks that each run within 1% of true time drift apart by twice that.
_LEAST_DRIFT_SHARE = 0.02


class LogSettings(msgspec.Struct, frozen=True):
    """How the node reaches the platform's log.

    Parameters
    ----------
    url : str
        Base URL of the log service.
    adapter : str
        Name of the adapter module that speaks to it.
    stream : str
        Stream of the fleet; all nodes and operators name the same one.
    """

    url: str
    adapter: str = 'standin'
    stream: str = 'verbenadeck'


class UpstreamSettings(msgspec.Struct, frozen=True):
    """How the node meets the upstream beside it.

    Parameters
    ----------
    adapter : str
        Name of the adapter module that speaks to it.
    announce_path : str
        Path on the admin address to which the upstream announces itself.
    """

    adapter: str = 'standin'
    announce_path: str = '/announce'


class CallerSettings(msgspec.Struct, frozen=True):
    """What the entry expects of callers.

    Parameters
    ----------
    adapter : str
        Name of the adapter module with the callers' header names.
    body_limit_bytes : int
        Largest body of a request; a larger one is refused.
    idle_timeout_s : float
        Time after which an idle connection of a caller is closed.
    """

    adapter: str = 'standin'
    body_limit_bytes: int = _MEBIBYTE
    idle_timeout_s: float = 75


class LeaseSettings(msgspec.Struct, frozen=True):
    """Timings of the lease; the same on all nodes of a fleet.

    Parameters
    ----------
    lease_s : float
        Length of the lease that a witness grants with one heartbeat.
    drift_margin_s : float
        Time by which the holder ends its lease before the witness does; it
        covers the drift between two clocks over one lease.
    heartbeat_interval_s : float
        Time between two heartbeats to each witness.
    """

    lease_s: float = 1
    drift_margin_s: float = 0.05
    heartbeat_interval_s: float = 0.25


class LoggingSettings(msgspec.Struct, frozen=True):
    """Log lines of the node, on standard error.

    Parameters
    ----------
    level : {'DEBUG', 'INFO', 'WARNING', 'ERROR'}
        Lowest level that is written. Routing and placement decisions are
        at `INFO`.
    format : {'plain', 'json'}
        Text for people or one JSON object per line.
    """

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['plain', 'json'] = 'plain'


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one node.

    Parameters
    ----------
    node_id : NodeId
        Name of the node; stable over restarts and unique in the fleet.
    zone : Zone
        Availability zone of the VM.
    region : Region
        Region of the zone.
    service : ServiceName
        Service of the upstream beside the node.
    log : LogSettings
        Platform's log.
    host : str
        IP address that the node listens on; peers and callers get it.
    peer_port : int
        TCP and UDP port for other nodes; 0 takes a free one.
    entry_port : int
        TCP port for callers; 0 takes a free one.
    admin_port : int
        TCP port for operators, metrics and the upstream's announcement; 0
        takes a free one.
    upstream : UpstreamSettings
        Upstream beside the node.
    callers : CallerSettings
        Callers' requests.
    lease : LeaseSettings
        Timings of the lease.
    logging : LoggingSettings
        Log lines.
    stop_timeout_s : float
        Longest time in which a planned stop hands its shards over; running
        requests are finished in any case.
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
    """Yield problems between fields that are each allowed on their own."""
    lease = settings.lease
    usable_s = lease.lease_s - lease.drift_margin_s
    if lease.drift_margin_s < lease.lease_s * _LEAST_DRIFT_SHARE:
        yield SettingsProblem(
            ('lease', 'drift_margin_s'),
            f'must be at least {_LEAST_DRIFT_SHARE:.0%} of lease_s',
        )
    if lease.heartbeat_interval_s * 2 > usable_s:
        yield SettingsProblem(
            ('lease', 'heartbeat_interval_s'),
            'must fit twice into lease_s less drift_margin_s',
        )
    ports = ('peer_port', 'entry_port', 'admin_port')
    used = [getattr(settings, name) for name in ports]
    for index, name in enumerate(ports):
        if used[index] and used[index] in used[:index]:
            yield SettingsProblem(
                (name,), 'is the port of another purpose already'
            )
