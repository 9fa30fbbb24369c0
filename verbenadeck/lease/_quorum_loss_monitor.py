"""Members whose witnesses have left the fleet and can't vote any more."""

import random

import msgspec

from verbenadeck.fleet import FleetView, Member, eviction_quorum, has_ended
from verbenadeck.model import Epoch, Incarnation, Offset
from verbenadeck.records import Vote


class _Orphan(msgspec.Struct):
    """Member without enough witnesses, as first seen."""

    epoch: Epoch
    since_offset: Offset
    vote_at_s: float


class QuorumLossMonitor:
    """Votes about members that no live witness can vote about.

    When an owner is lost together with its witnesses, such as in a loss of
    power after which its VM never comes back, nobody is left to witness that
    its lease has lapsed. What the witnesses renewed has run out once a full
    lease has passed since their end was known, so any live member may say so.

    Parameters
    ----------
    fleet : FleetView
        Members.
    lease_s : float
        Length of a lease, in seconds.
    random_source : random.Random
        Spreads the votes, so that one or two nodes cast most of them.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        lease_s: float,
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._lease_s = lease_s
        self._random = random_source
        self._orphans: dict[Incarnation, _Orphan] = {}

    def rescan(self, now_s: float) -> None:
        """Follow the members after a change of the fleet."""
        found: dict[Incarnation, _Orphan] = {}
        for incarnation, member in self._fleet.members.items():
            if not self._is_orphaned(member):
                continue
            known = self._orphans.get(incarnation)
            if known is None or known.epoch != member.epoch:
                known = _Orphan(
                    member.epoch,
                    self._fleet.applied_offset,
                    self._next_s(now_s + self._lease_s),
                )
            found[incarnation] = known
        self._orphans = found

    def due(self, own: Incarnation, now_s: float) -> tuple[Vote, ...]:
        """Return the votes to cast now; each is repeated a lease later."""
        votes: list[Vote] = []
        for incarnation, orphan in self._orphans.items():
            if incarnation == own or now_s <= orphan.vote_at_s:
                continue
            orphan.vote_at_s = self._next_s(now_s)
            votes.append(
                Vote(incarnation, orphan.epoch, own, orphan.since_offset)
            )
        return tuple(votes)

    def _next_s(self, earliest_s: float) -> float:
        return earliest_s + self._lease_s * self._random.random()

    def _is_orphaned(self, member: Member) -> bool:
        quorum = eviction_quorum(len(member.witnesses))
        ended = sum(
            has_ended(self._fleet, witness) for witness in member.witnesses
        )
        return 0 < quorum <= ended
