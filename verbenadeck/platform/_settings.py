"""Settings file of a process as the platform writes it."""

from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.model import NodeId, Region, ServiceName, Zone
from verbenadeck.platform._units import Address, read_address, read_time_s

PATH_VARIABLE = 'VERBENADECK_CONFIG'
"""Environment variable with the path of the settings file."""


class PlatformSettings(msgspec.Struct, frozen=True):
    """Where a node runs and whom it talks to.

    Parameters
    ----------
    node_id : NodeId
        Name of the node.
    zone : Zone
        Availability zone.
    region : Region
        Region of the zone.
    service : ServiceName
        Service of the upstream beside the node.
    entry : Address
        Where callers and the upstream beside the node send requests.
    ready : Address
        Where the platform asks whether the node is ready.
    heartbeats : Address
        Where the upstream sends its heartbeats.
    peer : Address
        For other nodes, by TCP and UDP.
    upstream : Address
        The upstream beside the node.
    store : Address
        The platform's store.
    heartbeat_s : float
        Interval of the upstream's heartbeats, in seconds.
    max_hold_s : float
        Longest time for which an upstream may be granted keys, in seconds.
    drain_s : float
        Time in seconds after which a leaving upstream must get no new
        requests.
    stop_s : float
        Time in seconds from SIGTERM to SIGKILL.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName
    entry: Address
    ready: Address
    heartbeats: Address
    peer: Address
    upstream: Address
    store: Address
    heartbeat_s: float
    max_hold_s: float
    drain_s: float
    stop_s: float


class SettingsError(msgspec.Struct, frozen=True):
    """The settings file can't be used."""

    detail: str


def load_settings(path: Path) -> Result[PlatformSettings, SettingsError]:
    """Read the settings file."""
    try:
        return Success(_convert(msgspec.json.decode(path.read_bytes())))
    except (OSError, msgspec.MsgspecError) as error:
        return Failure(SettingsError(f'{path}: {error}'))
    except (KeyError, TypeError, ValueError) as error:
        return Failure(SettingsError(f'{path}: bad field {error!r}'))


def _convert(raw: dict[str, Any]) -> PlatformSettings:
    listen = raw['listen']
    bounds = raw['bounds']
    return PlatformSettings(
        node_id=NodeId(raw['node']),
        zone=Zone(raw['zone']),
        region=Region(raw['region']),
        service=ServiceName(raw['service']),
        entry=read_address(listen['outbound']),
        ready=read_address(listen['ready']),
        heartbeats=read_address(listen['control']),
        peer=Address(raw['ip'], int(raw['internalPorts'][0])),
        upstream=read_address(raw['appAddr']),
        store=read_address(raw['platform']['address']),
        heartbeat_s=read_time_s(raw['heartbeat']),
        max_hold_s=read_time_s(bounds['holdMax']),
        drain_s=read_time_s(bounds['drain']),
        stop_s=read_time_s(bounds['grace']),
    )
