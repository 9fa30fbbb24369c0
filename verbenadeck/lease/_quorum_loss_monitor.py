"""Votes about members whose witnesses have left the fleet."""

import random

import msgspec

from verbenadeck.fleet import FleetView, Member, eviction_quorum, has_ended
from verbenadeck.model import Epoch, Incarnation, Offset
from verbenadeck.records import Vote


class _QuorumLoss(msgspec.Struct):
    """Member that has lost the quorum of its witnesses.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the member's witness set.
    since_offset : Offset
        Log offset at which the loss was first seen.
    vote_at_s : float
        Moment on the boot clock after which to vote, in seconds.
    """

    epoch: Epoch
    since_offset: Offset
    vote_at_s: float


class QuorumLossMonitor:
    """Votes to evict members that have lost the quorum of their witnesses.

    An owner can be lost together with its witnesses, for instance when all
    lose power and its VM never comes back. No witness is then left to vote
    that the lease has lapsed. `LeaseWitness` renews nothing after its end, so
    all renewals have run out once a full lease has passed since the end of
    the witnesses became known, and any live member may vote after that time.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    lease_s : float
        Length of a lease, in seconds.
    random_source : random.Random
        Spreads the votes in time, so that one or two nodes cast most of
        them.
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
        self._quorum_losses: dict[Incarnation, _QuorumLoss] = {}

    def rescan(self, now_s: float) -> None:
        """Update the members with a quorum loss after a change of the fleet.

        Parameters
        ----------
        now_s : float
            Present moment on the boot clock, in seconds.
        """
        found: dict[Incarnation, _QuorumLoss] = {}
        for incarnation, member in self._fleet.members.items():
            if not self._has_lost_quorum(member):
                continue
            known = self._quorum_losses.get(incarnation)
            if known is None or known.epoch != member.epoch:
                known = _QuorumLoss(
                    member.epoch,
                    self._fleet.applied_offset,
                    self._next_vote_s(now_s + self._lease_s),
                )
            found[incarnation] = known
        self._quorum_losses = found

    def due_votes(self, own: Incarnation, now_s: float) -> tuple[Vote, ...]:
        """Return the votes to cast now.

        The next vote about the same member follows within one lease.

        Parameters
        ----------
        own : Incarnation
            Incarnation of this node, which casts the votes.
        now_s : float
            Present moment on the boot clock, in seconds.
        """
        votes: list[Vote] = []
        for incarnation, quorum_loss in self._quorum_losses.items():
            if incarnation == own or now_s <= quorum_loss.vote_at_s:
                continue
            quorum_loss.vote_at_s = self._next_vote_s(now_s)
            votes.append(
                Vote(
                    incarnation,
                    quorum_loss.epoch,
                    own,
                    quorum_loss.since_offset,
                )
            )
        return tuple(votes)

    def _next_vote_s(self, earliest_s: float) -> float:
        return earliest_s + self._lease_s * self._random.random()

    def _has_lost_quorum(self, member: Member) -> bool:
        quorum = eviction_quorum(len(member.witnesses))
        ended = sum(
            has_ended(self._fleet, witness) for witness in member.witnesses
        )
        return 0 < quorum <= ended
