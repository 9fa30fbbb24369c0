"""Status of a node and of the fleet as that node sees it."""

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
    """Identity of a node, taken from its settings.

    Parameters
    ----------
    node_id : NodeId
        Id of the node, unique in the fleet.
    zone : Zone
        Availability zone of the node.
    region : Region
        Region of the zone.
    service : ServiceName
        Service of the node's upstream.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName


class UpstreamStatus(msgspec.Struct, frozen=True):
    """State of a node's upstream, as its proxy sees it.

    Parameters
    ----------
    instance : str
        Instance id of the upstream; empty before its announcement.
    running, queued, limit : int
        Number of running requests, number of queued requests and the
        concurrency limit.
    service_time_s : float
        Smoothed service time of a request, in seconds.
    is_admitting : bool
        Whether the proxy admits new requests.
    """

    instance: str = ''
    running: int = 0
    queued: int = 0
    limit: int = 0
    service_time_s: float = 0
    is_admitting: bool = False


class MemberStatus(msgspec.Struct, frozen=True):
    """Member of the fleet, as a node sees it.

    Parameters
    ----------
    node_id : NodeId
        Id of the member's node.
    incarnation : Incarnation
        Incarnation under which the node joined.
    zone : Zone
        Availability zone of the member.
    region : Region
        Region of the zone.
    service : ServiceName
        Service of the member's upstream.
    state : str
        Membership state.
    host : str
        IP address of the member.
    peer_port, entry_port, admin_port : int
        Ports for other nodes, for callers and for operators.
    is_out : bool
        Whether the member's upstream or zone is out of service.
    """

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
    """Availability zone, as a node sees it.

    Parameters
    ----------
    zone : Zone
        Name of the zone.
    members : int
        Number of members in the zone.
    is_out : bool
        Whether operators took the zone out of service.
    reason : str
        Reason that the operator gave, empty for a zone in service.
    """

    zone: Zone
    members: int
    is_out: bool
    reason: str = ''


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of a node and of the fleet as the node sees it.

    Parameters
    ----------
    node : NodeIdentity
        Identity of the node.
    incarnation : int
        Incarnation of the node in the log, -1 if it has not joined.
    state : str
        Membership state of that incarnation, `absent` if it has not joined.
    why_unready : str
        Reason why the node is not ready, empty if it is ready.
    lease_remaining_s : float or None
        Seconds until the lease ends, None for a lease without an end.
    owned_shards : dict of ServiceName to int
        Number of shards by service that the node owns according to the log.
    held_shards : dict of ServiceName to int
        Number of shards by service that the node owned earlier and has not
        released yet.
    config_version : ConfigVersion
        Configuration version in force on the node.
    config_author : str
        Author of that version.
    applied_offset : Offset
        Offset of the last log record that the node applied.
    upstream : UpstreamStatus
        State of the node's upstream.
    zones : tuple of ZoneStatus
        Availability zones that the node knows.
    members : tuple of MemberStatus
        Members that the node knows; empty in the brief form.
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
"""Returns the status of a node; True requests the brief form, no members."""

_STATE_NOT_JOINED = 'absent'
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
    """Return a function that collects the status of a node.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of the node.
    fleet : FleetView
        Fleet state derived from the log.
    clock : Clock
        Monotonic clock of the VM, for the remaining lease time.
    incarnation : callable
        Returns the node's incarnation, None before it joined.
    lease_deadline_s : callable
        Returns the end of the node's lease as a time of `clock`.
    upstream : callable
        Returns the state of the node's upstream.
    why_unready : callable
        Returns why the node is not ready, an empty text if it is ready.
    """

    def read_status(is_brief: bool) -> NodeStatus:
        own_incarnation = incarnation()
        status_incarnation = (
            _NO_INCARNATION if own_incarnation is None else own_incarnation
        )
        state = (
            None if own_incarnation is None else fleet.state_of(own_incarnation)
        )
        return NodeStatus(
            node=identity,
            incarnation=status_incarnation,
            state=_STATE_NOT_JOINED if state is None else state.value,
            why_unready=why_unready(),
            lease_remaining_s=_lease_remaining_s(clock, lease_deadline_s()),
            owned_shards=_count_shards(fleet.owned_by(status_incarnation)),
            held_shards=_count_shards(fleet.unreleased_by(status_incarnation)),
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
    """Return the status of an upstream from the load of its proxy.

    Parameters
    ----------
    instance : str
        Instance id of the upstream, empty before its announcement.
    load : ProxyLoad or None
        Load that the proxy reports, None if there is none.
    """
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
    """Return the status of all members, ordered by node id and incarnation.

    Parameters
    ----------
    fleet : FleetView
        Fleet state derived from the log.
    """
    members = fleet.members.values()
    ordered = sorted(
        members, key=lambda member: (member.node_id, member.incarnation)
    )
    return tuple(_make_member_status(fleet, member) for member in ordered)


def zone_statuses(fleet: FleetView) -> tuple[ZoneStatus, ...]:
    """Return the status of all known zones, ordered by name.

    Includes the zones of the members and the zones that the configuration
    takes out of service, which may have no members.

    Parameters
    ----------
    fleet : FleetView
        Fleet state derived from the log.
    """
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


def _make_member_status(fleet: FleetView, member: Member) -> MemberStatus:
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


def _lease_remaining_s(clock: Clock, deadline_s: float) -> float | None:
    if deadline_s == float('inf'):
        return None
    return round(clock.remaining_s(deadline_s), 3)


def _count_shards(
    ranges: Iterable[ReleasedRange],
) -> dict[ServiceName, int]:
    counts: Counter[ServiceName] = Counter()
    for shard_range in ranges:
        counts[shard_range.service] += (
            shard_range.stop_shard - shard_range.first_shard
        )
    return dict(counts)
