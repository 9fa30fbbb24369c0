"""Choice of up to three witnesses, spread over availability zones."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from verbenadeck.fleet import Member, newest_members
from verbenadeck.model import Incarnation, NodeId, Region, Zone

WITNESS_COUNT = 3


def candidates_for(
    members: Iterable[Member], *, node_id: NodeId, region: Region
) -> list[Member]:
    """Return the members that may be witnesses of a node.

    Candidates are in the region of the node, so that a region that is cut
    off from others keeps its leases. A node alone in its region has
    candidates from other regions. Only the newest incarnation of each node
    is a candidate, since the earlier ones have ended.

    Parameters
    ----------
    members : iterable of Member
        All members of the fleet.
    node_id : NodeId
        Node that needs witnesses.
    region : Region
        Region of that node.
    """
    others = [
        member
        for member in newest_members(members)
        if member.node_id != node_id
    ]
    nearby = [member for member in others if member.region == region]
    return nearby or others


def choose_witnesses(
    candidates: Iterable[Member],
    *,
    kept: Iterable[Incarnation] = (),
    random_source: random.Random,
) -> tuple[Incarnation, ...]:
    """Return up to three candidates from as many zones as possible.

    Parameters
    ----------
    candidates : iterable of Member
        Members that may be chosen.
    kept : iterable of Incarnation
        Candidates to prefer, so that a set changes as little as possible.
    random_source : random.Random
        Breaks ties, so that the load of witnesses spreads over the fleet.

    Returns
    -------
    tuple of Incarnation
        Witnesses in ascending order.
    """
    preferred = set(kept)
    left = list(candidates)
    random_source.shuffle(left)
    chosen: list[Member] = []
    zones: Counter[Zone] = Counter()

    def rank(member: Member) -> tuple[int, bool]:
        return zones[member.zone], member.incarnation not in preferred

    while left and len(chosen) < WITNESS_COUNT:
        best = min(left, key=rank)
        chosen.append(best)
        zones[best.zone] += 1
        left.remove(best)
    return tuple(sorted(member.incarnation for member in chosen))


def count_coverage(
    witnesses: Iterable[Incarnation], live: Mapping[Incarnation, Member]
) -> tuple[int, int]:
    """Return how many zones and how many live members a set covers.

    Parameters
    ----------
    witnesses : iterable of Incarnation
        Witness set.
    live : mapping of Incarnation to Member
        Members that may be witnesses.
    """
    known = [live[each] for each in witnesses if each in live]
    return len({member.zone for member in known}), len(known)
