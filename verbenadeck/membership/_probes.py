"""Probes of candidates for a witness set."""

from verbenadeck.membership._renewals import Renewals
from verbenadeck.membership._timing import LeaseTiming
from verbenadeck.model import Incarnation
from verbenadeck.utils import Clock


class Probes:
    """Candidates that are probed, and those that did not answer.

    A probe is a heartbeat whose answer renews the lease like any other, so a
    candidate has already renewed the lease when it enters the witness set.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    timing : LeaseTiming
        Times of the lease protocol.
    renewals : Renewals
        Renewals by witnesses and candidates.
    """

    def __init__(
        self, *, clock: Clock, timing: LeaseTiming, renewals: Renewals
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._renewals = renewals
        self._probed_since_s: dict[Incarnation, float] = {}
        self._cooldown_until_s: dict[Incarnation, float] = {}

    @property
    def probed(self) -> set[Incarnation]:
        """Candidates that are being probed."""
        return set(self._probed_since_s)

    @property
    def cooling_down(self) -> set[Incarnation]:
        """Candidates that are excluded because a recent probe failed."""
        return set(self._cooldown_until_s)

    def clear(self) -> None:
        """Stop all probes."""
        self._probed_since_s.clear()

    def is_answering(self, candidate: Incarnation) -> bool:
        """Return whether a node has answered recently.

        Parameters
        ----------
        candidate : Incarnation
            Node to check.
        """
        age_s = self._renewals.age_s(candidate)
        return age_s <= self._timing.witness_timeout_s

    def set_candidates(self, candidates: set[Incarnation]) -> None:
        """Probe these candidates and no others.

        Parameters
        ----------
        candidates : set of Incarnation
            Nodes to probe; probes in progress continue.
        """
        now_s = self._clock.now_s()
        self._probed_since_s = {
            each: self._probed_since_s.get(each, now_s) for each in candidates
        }

    def expire(self) -> None:
        """Exclude candidates that did not renew in time, for a cooldown.

        One that answers without a renewal may have to read the log first.
        """
        now_s = self._clock.now_s()
        for each, since_s in tuple(self._probed_since_s.items()):
            is_late = now_s - since_s > self._limit_s(each)
            if is_late and not self.is_answering(each):
                self._probed_since_s.pop(each)
                self._cooldown_until_s[each] = (
                    now_s + self._timing.candidate_cooldown_s
                )
        for each, until_s in tuple(self._cooldown_until_s.items()):
            if until_s <= now_s:
                self._cooldown_until_s.pop(each)

    def _limit_s(self, candidate: Incarnation) -> float:
        age_s = self._renewals.answer_age_s(candidate)
        if age_s <= self._timing.probe_timeout_s:
            return self._timing.lease_s
        return self._timing.probe_timeout_s
