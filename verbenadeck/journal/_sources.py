"""Choice of the sources from which a node reads the log."""

import random
from collections.abc import Iterable, Sequence

import msgspec

from verbenadeck.fleet import FleetView, Member, newest_members
from verbenadeck.model import NodeId, Offset
from verbenadeck.peers import PeerAddress
from verbenadeck.records import (
    CheckpointChunk,
    NodeJoin,
    NodeLeave,
    Record,
    Suspect,
    Verdict,
)

DIRECT_READERS = 3
"""Number of nodes of the whole fleet that read the log directly."""

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
    node_id : NodeId
        Name of this node, whose place is known from the log also after a
        restart.
    random_source : random.Random
        Selects the fallback peers.
    direct_readers : int
        Number of nodes of the whole fleet that read the log directly.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        node_id: NodeId,
        random_source: random.Random,
        direct_readers: int,
    ) -> None:
        self._fleet = fleet
        self._node_id = node_id
        self._random = random_source
        self._direct_readers = direct_readers
        self._is_changed = True
        self._guide: Member | None = None
        fleet.subscribe(self._on_applied)

    def plan(self) -> tuple[Source, ...]:
        """Return the sources of this node in order of preference."""
        newest = newest_members(self._fleet.members.values())
        own = next(
            (member for member in newest if member.node_id == self._node_id),
            None,
        )
        if own is not None:
            return plan_sources(
                newest,
                own,
                self._random,
                direct_readers=self._direct_readers,
            )
        if self._guide not in newest:
            self._guide = self._random.choice(newest) if newest else None
        if self._guide is None:
            return (LOG,)
        return _peer_source(self._guide), LOG

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
    newest: Sequence[Member],
    own: Member,
    random_source: random.Random,
    *,
    direct_readers: int = DIRECT_READERS,
) -> tuple[Source, ...]:
    """Return the sources of a node in order of preference.

    The oldest members of a few zones read the log directly. Those of the
    other zones read from them, and the other members of each zone form a tree
    below its oldest one. So neither the number of reads of the log nor the
    load of one node grows with the fleet. The sources of every node include
    both the log and peers, so that access to either of them is enough.

    Parameters
    ----------
    newest : sequence of Member
        Newest incarnation of each node, the oldest first.
    own : Member
        Member in whose place this node reads. After a restart it is the last
        incarnation: all others know its place, and it stays free until this
        node has joined again.
    random_source : random.Random
        Selects the fallback peers.
    direct_readers : int
        Number of nodes of the whole fleet that read the log directly.
    """
    roots = {member.zone: member for member in reversed(newest)}
    by_age = sorted(roots.values(), key=lambda root: root.incarnation)
    direct = by_age[:direct_readers]
    if len(direct) < direct_readers:
        others = [member for member in newest if member not in by_age]
        direct = [*direct, *others][:direct_readers]
    zone = [member for member in newest if member.zone == own.zone]
    fallbacks = (
        *_pick_one(
            (each for each in newest if each.zone != own.zone), random_source
        ),
        LOG,
        *_pick_one((each for each in zone if each != own), random_source),
    )
    if own in direct:
        return _without_duplicates((LOG, *fallbacks))
    rank = zone.index(own)
    if rank:
        parent = zone[(rank - 1) // FAN_OUT]
    else:
        parent = direct[by_age.index(own) % len(direct)]
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
