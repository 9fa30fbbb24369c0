"""Choice of the sources from which a node reads the log."""

import random
from collections.abc import Callable, Iterable, Mapping

import msgspec

from verbenadeck.fleet import FleetView, Member, newest_members
from verbenadeck.model import Incarnation, Offset
from verbenadeck.peers import PeerAddress
from verbenadeck.records import (
    CheckpointChunk,
    NodeJoin,
    NodeLeave,
    Record,
    Suspect,
    Verdict,
)

DIRECT_PER_ZONE = 2
"""Number of nodes per zone that read the log directly."""

FAN_OUT = 4
"""Maximum number of nodes that read from the same node."""


_MEMBERSHIP_RECORDS = (NodeJoin, NodeLeave, Suspect, CheckpointChunk)


class Source(msgspec.Struct, frozen=True):
    """Source of records: the log, or a peer that relays it.

    Parameters
    ----------
    peer : PeerAddress or None
        Address of the peer, None for the log.
    """

    peer: PeerAddress | None = None


LOG = Source()
"""Source that stands for the log itself."""


class SourcePlanner:
    """Planner of the sources of a node, which tracks changes of members.

    Parameters
    ----------
    fleet : FleetView
        Fleet state with the live members.
    incarnation : callable
        Returns the incarnation of this node, None while it is not a member.
    random_source : random.Random
        Selects the fallback peers.
    direct_per_zone : int
        Number of nodes per zone that read the log directly.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        incarnation: Callable[[], Incarnation | None],
        random_source: random.Random,
        direct_per_zone: int,
    ) -> None:
        self._fleet = fleet
        self._incarnation = incarnation
        self._random = random_source
        self._direct_per_zone = direct_per_zone
        self._is_changed = True
        fleet.subscribe(self._on_applied)

    def plan(self) -> tuple[Source, ...]:
        """Return the sources of this node in order of preference."""
        return plan_sources(
            self._fleet.members,
            self._incarnation(),
            self._random,
            direct_per_zone=self._direct_per_zone,
        )

    def consume_change(self) -> bool:
        """Return whether members changed since the last call; reset the flag."""
        is_changed = self._is_changed
        self._is_changed = False
        return is_changed

    def _on_applied(
        self, _offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        if isinstance(record, CheckpointChunk) and record.count:
            return
        if isinstance(record, _MEMBERSHIP_RECORDS):
            self._is_changed = True


def plan_sources(
    members: Mapping[Incarnation, Member],
    own: Incarnation | None,
    random_source: random.Random,
    *,
    direct_per_zone: int = DIRECT_PER_ZONE,
) -> tuple[Source, ...]:
    """Return the sources of a node in order of preference.

    The oldest members of a zone read the log directly and the others form a
    tree below them, so that neither the number of reads of the log nor the
    load of one node grows with the fleet. The sources of every node include
    both the log and peers, so that access to either of them is enough.

    Parameters
    ----------
    members : mapping of Incarnation to Member
        Live members.
    own : Incarnation or None
        Incarnation of this node, None while it is not a member.
    random_source : random.Random
        Selects the fallback peers.
    direct_per_zone : int
        Number of nodes per zone that read the log directly.
    """
    own_member = members.get(own) if own is not None else None
    if own_member is None:
        return _without_duplicates(
            (LOG, *_pick_one(members.values(), random_source))
        )
    newest = newest_members(members.values())
    zone = [each.incarnation for each in newest if each.zone == own_member.zone]
    if own_member.incarnation not in zone:
        return _without_duplicates(
            (LOG, *_pick_one(members.values(), random_source))
        )
    rank = zone.index(own_member.incarnation)
    zone_peers = [
        members[other] for other in zone if other != own_member.incarnation
    ]
    remote_peers = [
        member for member in members.values() if member.zone != own_member.zone
    ]
    if rank < direct_per_zone:
        fallbacks = (
            *_pick_one(remote_peers, random_source),
            *_pick_one(zone_peers, random_source),
        )
        return _without_duplicates((LOG, *fallbacks))
    parent = members[zone[(rank - direct_per_zone) // FAN_OUT]]
    fallbacks = (
        *_pick_one(zone_peers, random_source),
        LOG,
        *_pick_one(remote_peers, random_source),
    )
    return _without_duplicates((_peer_source(parent), *fallbacks))


def _peer_source(member: Member) -> Source:
    return Source(member.address)


def _pick_one(
    members: Iterable[Member], random_source: random.Random
) -> tuple[Source, ...]:
    """Return one random member as a source, none if there are no members."""
    candidates = tuple(members)
    return (
        (_peer_source(random_source.choice(candidates)),) if candidates else ()
    )


def _without_duplicates(sources: tuple[Source, ...]) -> tuple[Source, ...]:
    return tuple(dict.fromkeys(sources))
