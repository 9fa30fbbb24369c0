"""Times of the lease protocol."""

import msgspec


class LeaseTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the lease protocol, which all nodes of a fleet must share.

    The lease is safe while every boot clock runs within 1% of true time: the
    holder counts `lease_s` less 2.5%, and a witness counts all of it.

    Parameters
    ----------
    lease_s : float
        Length of a lease, in seconds.
    drift_margin : float
        Fraction of the lease by which its holder shortens it for clock
        drift; at least twice the drift of a clock.
    heartbeat_interval_s : float
        Interval of heartbeats to each witness, in seconds.
    max_voter_lease_age_s : float
        Maximum age of its own last renewal at which a witness votes, in
        seconds. Less than `lease_s`, so that nodes which are cut off at the
        same moment lose the right to vote before they see leases of others
        lapse.
    probe_after_s : float
        Silence of a witness after which candidates are probed while fewer
        than a quorum answer, in seconds; more than one heartbeat interval
        and a round trip.
    witness_timeout_s : float
        Age of the last renewal by a quorum at which the witness set is
        changed, and up to which a probed candidate counts as answering, in
        seconds.
    spare_timeout_s : float
        Silence after which a witness is replaced while the others are a
        quorum, in seconds.
    probe_timeout_s : float
        Time after which a probed candidate that does not answer is excluded,
        in seconds.
    candidate_cooldown_s : float
        Time for which such a candidate stays excluded, in seconds.
    tie_break_s : float
        Extra wait of the higher incarnation when two nodes vote to evict
        each other, in seconds.
    last_resort_s : float
        Time without a lease after which a node of a small fleet votes and
        removes silent witnesses nevertheless, and after which a node with a
        quorum loss resigns, in seconds.
    witness_review_interval_s : float
        Interval at which the witness set is compared with the best possible
        one, besides each change of the membership, in seconds.
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
        """Length of a lease for its holder from the heartbeat, in seconds."""
        return self.lease_s * (1 - self.drift_margin)
