"""Doors of the fleet as this entry sees them."""

from verbenadeck.fleet import FleetView, Member, MemberState
from verbenadeck.model import (
    ConfigVersion,
    Incarnation,
    NodeId,
    Offset,
    ServiceName,
    Shard,
    Zone,
)
from verbenadeck.records import Assign, Record, Released, Verdict
from verbenadeck.router._stats import DoorStats


class Directory:
    """Finds doors by service or by shard and keeps their statistics.

    Parameters
    ----------
    fleet : FleetView
        Fleet state.
    node_id, zone : str
        Place of this node.
    """

    def __init__(
        self, *, fleet: FleetView, node_id: NodeId, zone: Zone
    ) -> None:
        self._fleet = fleet
        self._node_id = node_id
        self._zone = zone
        self._doors: dict[Incarnation, DoorStats] = {}
        self._open: dict[ServiceName, list[DoorStats]] = {}
        self._is_stale = True
        self._version: ConfigVersion | None = None
        fleet.subscribe(self._on_record)

    def open_doors(self, service: ServiceName) -> list[DoorStats]:
        """Return the doors of a service that are neither out nor leaving."""
        self._refresh()
        return self._open.get(service, [])

    def owners(self, service: ServiceName, shard: Shard) -> list[DoorStats]:
        """Return the doors that may serve a shard, the likeliest first.

        While a shard moves its earlier owner serves it up to the release.
        """
        self._refresh()
        view = self._fleet.shard(service, shard)
        named = (*reversed(view.earlier), view.owner)
        return [self._doors[each] for each in named if each in self._doors]

    def is_member(self, door: DoorStats) -> bool:
        """Return whether a door's node is still a member."""
        return door.member.incarnation in self._fleet.members

    def _on_record(
        self, _offset: Offset, record: Record, _verdict: Verdict
    ) -> None:
        if not isinstance(record, Assign | Released):
            self._is_stale = True

    def _refresh(self) -> None:
        version = self._fleet.config_version
        if not self._is_stale and version == self._version:
            return
        self._is_stale = False
        self._version = version
        self._doors = {
            incarnation: self._stats(member)
            for incarnation, member in self._fleet.members.items()
        }
        self._open = {}
        for door in self._doors.values():
            if self._is_open(door.member):
                self._open.setdefault(door.member.service, []).append(door)

    def _stats(self, member: Member) -> DoorStats:
        door = self._doors.get(member.incarnation)
        if door is None:
            return DoorStats(
                member,
                is_local=member.node_id == self._node_id,
                is_near=member.zone == self._zone,
            )
        door.member = member
        return door

    def _is_open(self, member: Member) -> bool:
        config = self._fleet.config
        return (
            member.state is MemberState.JOINED
            and member.zone not in config.zones_out
            and member.node_id not in config.upstreams_out
        )
