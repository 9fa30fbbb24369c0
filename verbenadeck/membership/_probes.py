"""Candidates that are asked whether they answer."""

from verbenadeck.membership._renewals import Renewals
from verbenadeck.membership._timing import LeaseTiming
from verbenadeck.model import Incarnation
from verbenadeck.utils import Clock


class Probes:
    """Which candidates answer, and which are passed over for a time.

    A probe is a heartbeat: the answer renews the lease like any other, so a
    candidate that enters the set has renewed it already.
    """

    def __init__(
        self, *, clock: Clock, timing: LeaseTiming, renewals: Renewals
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._renewals = renewals
        self._asked_s: dict[Incarnation, float] = {}
        self._avoid_until_s: dict[Incarnation, float] = {}

    @property
    def asked(self) -> set[Incarnation]:
        """Candidates that are being asked."""
        return set(self._asked_s)

    @property
    def avoided(self) -> set[Incarnation]:
        """Candidates that did not answer not long ago."""
        return set(self._avoid_until_s)

    def clear(self) -> None:
        """Ask nobody."""
        self._asked_s.clear()

    def is_answering(self, candidate: Incarnation) -> bool:
        """Return whether a node answered not long ago."""
        age_s = self._renewals.age_s(candidate)
        return age_s <= self._timing.witness_timeout_s

    def ask(self, candidates: set[Incarnation]) -> None:
        """Ask these candidates and no others."""
        now_s = self._clock.now_s()
        self._asked_s = {
            each: self._asked_s.get(each, now_s) for each in candidates
        }

    def expire(self) -> None:
        """Pass over those that were asked and did not answer in time."""
        now_s = self._clock.now_s()
        for each, asked_s in tuple(self._asked_s.items()):
            is_late = now_s - asked_s > self._timing.probe_timeout_s
            if is_late and not self.is_answering(each):
                self._asked_s.pop(each)
                self._avoid_until_s[each] = (
                    now_s + self._timing.candidate_cooldown_s
                )
        for each, until_s in tuple(self._avoid_until_s.items()):
            if until_s <= now_s:
                self._avoid_until_s.pop(each)
