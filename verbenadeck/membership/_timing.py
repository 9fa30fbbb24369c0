"""Times of the lease protocol."""

import msgspec


class LeaseTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Times that all nodes of a fleet must share.

    The lease is safe while every boot clock runs within 1% of true time:
    a holder counts `lease_s` less 2.5%, a witness counts all of it.

    Parameters
    ----------
    lease_s : float
        Length of a lease, in seconds.
    drift_margin : float
        Share of the lease that its holder gives up for clock drift; at
        least twice the drift of a clock.
    heartbeat_interval_s : float
        Interval of heartbeats to each witness, in seconds.
    max_voter_lease_age_s : float
        Greatest age of its own lease at which a witness votes, in seconds.
        Below `lease_s`, so nodes that are cut off at one moment lose the
        right to vote before they see the lapse of others.
    probe_after_s : float
        Silence in seconds after which others are probed while the lease is
        in danger; above one interval and a round trip.
    witness_timeout_s : float
        Age in seconds at which a lease in danger gets new witnesses.
    spare_timeout_s : float
        Silence after which a witness is replaced while the others suffice,
        in seconds.
    probe_timeout_s : float
        Silence in seconds after which a probed candidate is passed over.
    candidate_cooldown_s : float
        Time in seconds for which such a candidate stays passed over.
    tie_break_s : float
        Extra wait of the higher incarnation of two nodes that suspect each
        other, in seconds.
    last_resort_s : float
        Time without a lease after which a node of a small fleet votes and
        gives up silent witnesses all the same, in seconds.
    witness_review_interval_s : float
        Interval in seconds at which a set is compared with the best one,
        besides each change of the membership.
    append_timeout_s : float
        Longest wait for one append, in seconds.
    """

    lease_s: float = 1.0
    drift_margin: float = 0.025
    heartbeat_interval_s: float = 0.25
    max_voter_lease_age_s: float = 0.6
    probe_after_s: float = 0.35
    witness_timeout_s: float = 0.6
    spare_timeout_s: float = 1.5
    probe_timeout_s: float = 0.3
    candidate_cooldown_s: float = 5.0
    tie_break_s: float = 0.4
    last_resort_s: float = 30.0
    witness_review_interval_s: float = 5.0
    append_timeout_s: float = 1.0

    @property
    def holder_lease_s(self) -> float:
        """Seconds that a holder counts from sending a heartbeat."""
        return self.lease_s * (1 - self.drift_margin)
