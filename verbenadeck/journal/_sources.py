"""From whom a node takes the records of the log."""

import random
from collections.abc import Iterable, Mapping

import msgspec

from verbenadeck.fleet import Member
from verbenadeck.model import Incarnation
from verbenadeck.peers import PeerAddress

DIRECT_PER_ZONE = 2
"""Nodes of a zone that read the log themselves."""

FAN_OUT = 4
"""Nodes that take records from the same node, at most."""


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
    zone = sorted(
        member.incarnation
        for member in members.values()
        if member.zone == me.zone
    )
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
