"""What a node tells operators about itself and the fleet it sees."""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from verbenadeck.fleet import FleetView, Member
from verbenadeck.model import (
    ConfigVersion,
    Incarnation,
    NodeId,
    Offset,
    Region,
    ServiceName,
    Zone,
)
from verbenadeck.proxy import ProxyLoad
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock


class NodeIdentity(msgspec.Struct, frozen=True):
    """Who a node is, from its settings."""

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Upstream beside a node, as its door sees it.

    Parameters
    ----------
    instance : str
        Life of the upstream; empty before it announced itself.
    running, queued, limit : int
        Requests that run and wait, and the concurrency limit.
    service_time_s : float
        Smoothed time of a request.
    is_admitting : bool
        Whether new work is taken.
    """

    instance: str = ''
    running: int = 0
    queued: int = 0
    limit: int = 0
    service_time_s: float = 0
    is_admitting: bool = False


class MemberStatus(msgspec.Struct, frozen=True):
    """One member of the fleet as a node sees it."""

    node_id: NodeId
    incarnation: Incarnation
    zone: Zone
    region: Region
    service: ServiceName
    state: str
    host: str
    peer_port: int
    entry_port: int
    admin_port: int
    is_out: bool


class ZoneStatus(msgspec.Struct, frozen=True):
    """One availability zone as a node sees it."""

    zone: Zone
    members: int
    is_out: bool
    reason: str = ''


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of a node.

    Parameters
    ----------
    node : NodeIdentity
        Who it is.
    incarnation : int
        Its life in the log, -1 when it has not joined.
    state : str
        State of that life, `absent` when it has not joined.
    why_unready : str
        Why it is not ready, empty when it is.
    lease_remaining_s : float or None
        Seconds until the lease ends, None for a lease without an end.
    owned_shards : dict of ServiceName to int
        Shards whose named owner it is, by service.
    held_shards : dict of ServiceName to int
        Shards that it owned earlier and has not released.
    config_version : ConfigVersion
        Version in force on this node.
    config_author : str
        Author of that version.
    applied_offset : Offset
        Offset of the last applied record.
    upstream : UpstreamStatus
        Upstream beside it.
    zones : tuple of ZoneStatus
        Zones that it sees.
    members : tuple of MemberStatus
        Members that it sees; empty in the brief form.
    """

    node: NodeIdentity
    incarnation: int
    state: str
    why_unready: str
    lease_remaining_s: float | None
    owned_shards: dict[ServiceName, int]
    held_shards: dict[ServiceName, int]
    config_version: ConfigVersion
    config_author: str
    applied_offset: Offset
    upstream: UpstreamStatus
    zones: tuple[ZoneStatus, ...] = ()
    members: tuple[MemberStatus, ...] = ()


StatusReader = Callable[[bool], NodeStatus]
"""Returns the status; True asks for the brief form without members."""

_ABSENT = 'absent'
_NO_INCARNATION = Incarnation(-1)


def make_status_reader(
    *,
    identity: NodeIdentity,
    fleet: FleetView,
    clock: Clock,
    incarnation: Callable[[], Incarnation | None],
    lease_deadline_s: Callable[[], float],
    upstream: Callable[[], UpstreamStatus],
    why_unready: Callable[[], str],
) -> StatusReader:
    """Return a function that reads the status of a node.

    Parameters
    ----------
    identity : NodeIdentity
        Who the node is.
    fleet : FleetView
        State derived from the log.
    clock : Clock
        Clock of the VM.
    incarnation : callable
        Returns the node's own incarnation, None before it joined.
    lease_deadline_s : callable
        Returns the end of its lease on the clock.
    upstream : callable
        Returns the status of the upstream.
    why_unready : callable
        Returns why the node is not ready, empty when it is.
    """

    def read_status(is_brief: bool) -> NodeStatus:
        own = incarnation()
        number = _NO_INCARNATION if own is None else own
        state = None if own is None else fleet.state_of(own)
        return NodeStatus(
            node=identity,
            incarnation=number,
            state=_ABSENT if state is None else state.value,
            why_unready=why_unready(),
            lease_remaining_s=_remaining_s(clock, lease_deadline_s()),
            owned_shards=_shards(fleet.owned_by(number)),
            held_shards=_shards(fleet.unreleased_by(number)),
            config_version=fleet.config_version,
            config_author=fleet.config_author,
            applied_offset=fleet.applied_offset,
            upstream=upstream(),
            zones=zone_statuses(fleet),
            members=() if is_brief else member_statuses(fleet),
        )

    return read_status


def make_upstream_status(
    instance: str, load: ProxyLoad | None
) -> UpstreamStatus:
    """Return the status of an upstream from the load of its door."""
    if load is None:
        return UpstreamStatus(instance)
    return UpstreamStatus(
        instance=instance,
        running=load.running,
        queued=load.queued,
        limit=load.limit,
        service_time_s=load.service_time_s,
        is_admitting=load.is_admitting,
    )


def member_statuses(fleet: FleetView) -> tuple[MemberStatus, ...]:
    """Return the members of a fleet, ordered by name."""
    members = fleet.members.values()
    ordered = sorted(members, key=lambda one: (one.node_id, one.incarnation))
    return tuple(_member_status(fleet, member) for member in ordered)


def zone_statuses(fleet: FleetView) -> tuple[ZoneStatus, ...]:
    """Return the zones of a fleet's members and of its configuration."""
    counts = Counter(member.zone for member in fleet.members.values())
    out = fleet.config.zones_out
    return tuple(
        ZoneStatus(
            zone=zone,
            members=counts[zone],
            is_out=zone in out,
            reason=out[zone].reason if zone in out else '',
        )
        for zone in sorted(counts.keys() | out.keys())
    )


def _member_status(fleet: FleetView, member: Member) -> MemberStatus:
    is_zone_out = member.zone in fleet.config.zones_out
    return MemberStatus(
        node_id=member.node_id,
        incarnation=member.incarnation,
        zone=member.zone,
        region=member.region,
        service=member.service,
        state=member.state.value,
        host=member.address.host,
        peer_port=member.address.port,
        entry_port=member.entry_port,
        admin_port=member.admin_port,
        is_out=is_zone_out or member.node_id in fleet.config.upstreams_out,
    )


def _remaining_s(clock: Clock, deadline_s: float) -> float | None:
    if deadline_s == float('inf'):
        return None
    return round(clock.remaining_s(deadline_s), 3)


def _shards(ranges: Iterable[ReleasedRange]) -> dict[ServiceName, int]:
    counts: Counter[ServiceName] = Counter()
    for one in ranges:
        counts[one.service] += one.stop_shard - one.first_shard
    return dict(counts)
