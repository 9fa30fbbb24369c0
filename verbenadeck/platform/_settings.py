"""Settings file that the platform writes for a process."""

from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.model import NodeId, Region, ServiceName, Zone
from verbenadeck.platform._fields import read_int, read_name, read_number
from verbenadeck.platform._units import (
    DECODE_ERRORS,
    MAX_PORT,
    Address,
    read_address,
    read_time_s,
)

CONFIG_PATH_VARIABLE = 'VERBENADECK_CONFIG'
"""Environment variable with the path of the settings file."""

_MAX_NODE_NAME_BYTES = 200
_BYTES_PER_S_PER_MBPS = 125_000
_MAX_LINK_MBPS = 1e9
"""Rate above that of any link, so that calculations with it stay finite."""


class PlatformSettings(msgspec.Struct, frozen=True):
    """Identity, addresses and time limits of a node.

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
        Address on which the node listens for requests of callers and of
        the upstream beside it.
    ready : Address
        Address on which it listens for readiness checks of the platform.
    heartbeats : Address
        Address on which it listens for heartbeats of the upstream.
    peer : Address
        Address on which it listens for other nodes, over TCP and UDP.
    upstream : Address
        Address of the upstream beside the node.
    store : Address
        Address of the platform's store.
    heartbeat_interval_s : float
        Interval of the upstream's heartbeats, in seconds.
    max_hold_s : float
        Longest time for which an upstream may hold keys, in seconds.
    drain_timeout_s : float
        Time in seconds after which a leaving upstream must receive no more
        new requests.
    stop_timeout_s : float
        Time in seconds from SIGTERM to SIGKILL.
    link_bytes_per_s : float or None
        Rate of the link of the VM, in bytes per second; None for no bound.
    retry_budget_ratio, retry_budget_slack : float or None
        Retries that the platform allows all nodes: per request of a service,
        and in addition; None when the file states no limit.
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
    heartbeat_interval_s: float
    max_hold_s: float
    drain_timeout_s: float
    stop_timeout_s: float
    link_bytes_per_s: float | None = None
    retry_budget_ratio: float | None = None
    retry_budget_slack: float | None = None


class SettingsError(msgspec.Struct, frozen=True):
    """Settings that can't be used, with the cause."""

    detail: str


def load_settings(path: Path) -> Result[PlatformSettings, SettingsError]:
    """Return the settings in a file, or why they can't be used.

    Parameters
    ----------
    path : Path
        Path of the settings file, in JSON.
    """
    try:
        return Success(_make_settings(msgspec.json.decode(path.read_bytes())))
    except (OSError, msgspec.MsgspecError) as error:
        return Failure(SettingsError(f'{path}: {error}'))
    except DECODE_ERRORS as error:
        return Failure(
            SettingsError(f'{path}: missing or invalid field: {error!r}')
        )


def _make_settings(fields: dict[str, Any]) -> PlatformSettings:
    listen = fields['listen']
    bounds = fields['bounds']
    return PlatformSettings(
        node_id=NodeId(_read_node_name(fields['node'])),
        zone=Zone(read_name(fields['zone'])),
        region=Region(read_name(fields['region'])),
        service=ServiceName(read_name(fields['service'])),
        entry=read_address(listen['outbound']),
        ready=read_address(listen['ready']),
        heartbeats=read_address(listen['control']),
        peer=Address(
            read_name(fields['ip']),
            read_int(fields['internalPorts'][0], least=1, most=MAX_PORT),
        ),
        upstream=read_address(fields['appAddr']),
        store=read_address(fields['platform']['address']),
        heartbeat_interval_s=_read_positive_s(fields['heartbeat']),
        max_hold_s=_read_positive_s(bounds['holdMax']),
        drain_timeout_s=_read_positive_s(bounds['drain']),
        stop_timeout_s=_read_positive_s(bounds['grace']),
        link_bytes_per_s=_read_link_bytes_per_s(fields.get('limits')),
        retry_budget_ratio=_read_bound(bounds, 'retryBudgetRatio'),
        retry_budget_slack=_read_bound(bounds, 'retryBudgetSlack'),
    )


def _read_node_name(text: object) -> str:
    """Return the name of the node, which is part of keys in the store."""
    name = read_name(text)
    if len(name.encode()) > _MAX_NODE_NAME_BYTES:
        raise ValueError('the name of the node is too long')
    return name


def _read_bound(bounds: dict[str, object], name: str) -> float | None:
    """Return a bound that is a number, or None if it is missing."""
    if name not in bounds:
        return None
    try:
        return read_number(bounds[name])
    except (ArithmeticError, TypeError, ValueError) as error:
        raise ValueError(f'bounds.{name}: {error}') from error


def _read_positive_s(text: object) -> float:
    time_s = read_time_s(text)
    if time_s <= 0:
        raise ValueError('expected a positive time')
    return time_s


def _read_link_bytes_per_s(limits: dict[str, Any] | None) -> float | None:
    """Return the rate of the link, or None if the limits don't bound it."""
    if limits is None or limits.get('linkMbps') is None:
        return None
    mbps = limits['linkMbps']
    is_number = isinstance(mbps, (int, float)) and not isinstance(mbps, bool)
    if not is_number or not 0 < mbps <= _MAX_LINK_MBPS:
        raise ValueError('limits.linkMbps: expected a positive finite number')
    return float(mbps) * _BYTES_PER_S_PER_MBPS
