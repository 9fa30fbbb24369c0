"""From whom a node takes the records of the log."""

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
"""Nodes of a zone that read the log themselves."""

FAN_OUT = 4
"""Nodes that take records from the same node, at most."""


_CHANGES_MEMBERS = (NodeJoin, NodeLeave, Suspect, CheckpointChunk)


class Source(msgspec.Struct, frozen=True):
    """The log, or a peer that relays it.

    Parameters
    ----------
    peer : PeerAddress or None
        Address of the peer, None for the log.
    """

    peer: PeerAddress | None = None


LOG = Source()
"""The log itself."""


class SourcePlanner:
    """Plans the sources of a node anew whenever the members have changed.

    Parameters
    ----------
    fleet : FleetView
        Members.
    incarnation : callable
        Returns this node, None while it is no member.
    random_source : random.Random
        Picks the peers to fall back on.
    direct_per_zone : int
        Nodes of a zone that read the log themselves.
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
        """Return the sources of this node, the preferred one first."""
        return plan_sources(
            self._fleet.members,
            self._incarnation(),
            self._random,
            direct_per_zone=self._direct_per_zone,
        )

    def take_changed(self) -> bool:
        """Return whether members have changed since the last call."""
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
        if isinstance(record, _CHANGES_MEMBERS):
            self._is_changed = True


def plan_sources(
    members: Mapping[Incarnation, Member],
    own: Incarnation | None,
    random_source: random.Random,
    *,
    direct_per_zone: int = DIRECT_PER_ZONE,
) -> tuple[Source, ...]:
    """Return the sources of a node, the preferred one first.

    The oldest members of a zone read the log and the others form a tree
    below them. So the reads of the log and what one node sends stay the
    same as the fleet grows. All nodes have the log and peers in their list,
    so one of both ways is enough.

    Parameters
    ----------
    members : mapping of Incarnation to Member
        Live members.
    own : Incarnation or None
        This node, None while it is no member.
    random_source : random.Random
        Picks the peers to fall back on.
    direct_per_zone : int
        Nodes of a zone that read the log themselves.
    """
    me = members.get(own) if own is not None else None
    if me is None:
        return _distinct((LOG, *_some(members.values(), random_source)))
    lives = newest_members(members.values())
    zone = [each.incarnation for each in lives if each.zone == me.zone]
    if me.incarnation not in zone:
        return _distinct((LOG, *_some(members.values(), random_source)))
    rank = zone.index(me.incarnation)
    near = [members[other] for other in zone if other != me.incarnation]
    far = [member for member in members.values() if member.zone != me.zone]
    if rank < direct_per_zone:
        rest = (*_some(far, random_source), *_some(near, random_source))
        return _distinct((LOG, *rest))
    parent = members[zone[(rank - direct_per_zone) // FAN_OUT]]
    rest = (*_some(near, random_source), LOG, *_some(far, random_source))
    return _distinct((_relay(parent), *rest))


def _relay(member: Member) -> Source:
    return Source(member.address)


def _some(
    members: Iterable[Member], random_source: random.Random
) -> tuple[Source, ...]:
    """Return one of the members, none when there are none."""
    found = tuple(members)
    return (_relay(random_source.choice(found)),) if found else ()


def _distinct(sources: tuple[Source, ...]) -> tuple[Source, ...]:
    return tuple(dict.fromkeys(sources))
