"""Time reserved for the way back of a reply that is sent at a deadline."""

_MAX_MARGIN_S = 0.05
_MARGIN_RATIO = 0.1


def reply_margin_s(left_s: float) -> float:
    """Return by how much the next hop's deadline is earlier than one's own.

    A reply that the next hop sends at its deadline, such as a refusal after a
    wait in its queue, must still arrive here, or the outcome is unknown.

    Parameters
    ----------
    left_s : float
        Time left until one's own deadline, in seconds.

    Examples
    --------
    >>> reply_margin_s(3.0), reply_margin_s(0.25)
    (0.05, 0.025)
    """
    return min(_MAX_MARGIN_S, _MARGIN_RATIO * left_s)
