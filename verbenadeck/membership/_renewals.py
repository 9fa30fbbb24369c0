"""Lease renewals that this node has received from its witnesses."""

import math

from verbenadeck.fleet import renewal_quorum
from verbenadeck.membership._timing import LeaseTiming
from verbenadeck.model import Incarnation
from verbenadeck.utils import Clock

WitnessSet = tuple[Incarnation, ...]


class Renewals:
    """Latest renewal by each witness, and the resulting lease.

    A renewal counts from the sending of the heartbeat, because the witness
    counts from the receipt, which is later.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    timing : LeaseTiming
        Times of the lease protocol.
    """

    def __init__(self, *, clock: Clock, timing: LeaseTiming) -> None:
        self._clock = clock
        self._timing = timing
        self._renewal_sent_s: dict[Incarnation, float] = {}
        self._answered_s: dict[Incarnation, float] = {}

    def reset(self) -> None:
        """Discard all renewals, for a new incarnation."""
        self._renewal_sent_s.clear()
        self._answered_s.clear()

    def discard_except(self, kept: set[Incarnation]) -> None:
        """Discard the renewals by all other witnesses.

        Parameters
        ----------
        kept : set of Incarnation
            Witnesses whose renewals are kept.
        """
        for witness in self._renewal_sent_s.keys() - kept:
            self._renewal_sent_s.pop(witness)

    def record_renewal(self, witness: Incarnation, sent_s: float) -> None:
        """Record a renewal by a witness.

        Parameters
        ----------
        witness : Incarnation
            Witness that renewed the lease.
        sent_s : float
            Moment at which the heartbeat was sent, in seconds.
        """
        known_s = self._renewal_sent_s.get(witness, -math.inf)
        self._renewal_sent_s[witness] = max(known_s, sent_s)

    def record_answer(self, witness: Incarnation) -> None:
        """Record that a witness has answered, with or without a renewal.

        Parameters
        ----------
        witness : Incarnation
            Witness that answered.
        """
        self._answered_s[witness] = self._clock.now_s()

    def answer_age_s(self, witness: Incarnation) -> float:
        """Return the age of the last answer of a witness, in seconds.

        Parameters
        ----------
        witness : Incarnation
            Witness to check.
        """
        return self._clock.now_s() - self._answered_s.get(witness, -math.inf)

    def age_s(self, witness: Incarnation) -> float:
        """Return the age of the last renewal by a witness, in seconds.

        Parameters
        ----------
        witness : Incarnation
            Witness to check.
        """
        return self._clock.now_s() - self._renewal_sent_s.get(
            witness, -math.inf
        )

    def renewed_s(self, required_sets: tuple[WitnessSet, ...]) -> float:
        """Return the moment of the last renewal by a quorum of every set.

        A set without witnesses always counts as renewed now.

        Parameters
        ----------
        required_sets : tuple of WitnessSet
            Sets of which each must have a quorum.
        """
        return min(self._quorum_renewed_s(each) for each in required_sets)

    def deadline_s(self, required_sets: tuple[WitnessSet, ...]) -> float:
        """Return the end of the lease on the boot clock, in seconds.

        Parameters
        ----------
        required_sets : tuple of WitnessSet
            Sets of which each must have a quorum.
        """
        return self.renewed_s(required_sets) + self._timing.holder_lease_s

    def _quorum_renewed_s(self, witnesses: WitnessSet) -> float:
        if not witnesses:
            return self._clock.now_s()
        moments = sorted(
            (
                self._renewal_sent_s.get(witness, -math.inf)
                for witness in witnesses
            ),
            reverse=True,
        )
        return moments[renewal_quorum(len(witnesses)) - 1]
