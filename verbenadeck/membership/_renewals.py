"""Lease of this node as its witnesses have renewed it."""

import math

from verbenadeck.fleet import renewal_quorum
from verbenadeck.membership._timing import LeaseTiming
from verbenadeck.model import Incarnation
from verbenadeck.utils import Clock

WitnessSet = tuple[Incarnation, ...]


class Renewals:
    """Latest renewal by each witness, and the lease that follows.

    Renewals count from the moment a heartbeat was sent, because the witness
    counts from the later moment when it was received.
    """

    def __init__(self, *, clock: Clock, timing: LeaseTiming) -> None:
        self._clock = clock
        self._timing = timing
        self._sent_s: dict[Incarnation, float] = {}

    def reset(self) -> None:
        """Forget all renewals, for a new incarnation."""
        self._sent_s.clear()

    def keep_only(self, wanted: set[Incarnation]) -> None:
        """Forget witnesses that are no longer asked."""
        for witness in self._sent_s.keys() - wanted:
            self._sent_s.pop(witness)

    def renew(self, witness: Incarnation, sent_s: float) -> None:
        """Note that a witness renewed for a heartbeat of this moment."""
        known_s = self._sent_s.get(witness, -math.inf)
        self._sent_s[witness] = max(known_s, sent_s)

    def age_s(self, witness: Incarnation) -> float:
        """Return the age of the last renewal by a witness."""
        return self._clock.now_s() - self._sent_s.get(witness, -math.inf)

    def renewed_s(self, sets: tuple[WitnessSet, ...]) -> float:
        """Return the moment up to which a quorum of every set renewed.

        A set without witnesses is renewed at every moment.
        """
        return min(self._set_renewed_s(each) for each in sets)

    def deadline_s(self, sets: tuple[WitnessSet, ...]) -> float:
        """Return the end of the lease that all sets together give."""
        return self.renewed_s(sets) + self._timing.holder_lease_s

    def _set_renewed_s(self, witnesses: WitnessSet) -> float:
        if not witnesses:
            return self._clock.now_s()
        moments = sorted(
            (self._sent_s.get(witness, -math.inf) for witness in witnesses),
            reverse=True,
        )
        return moments[renewal_quorum(len(witnesses)) - 1]
