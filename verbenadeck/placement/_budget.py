"""Churn budget."""

from verbenadeck.utils import Clock

_BURST_S = 6.0
_MINUTE_S = 60.0


class ChurnBudget:
    """Moves that balance may make, refilled at a steady rate."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._moves = 0.0
        self._counted_s = clock.now_s()

    def refill(self, moves_per_minute: int) -> int:
        """Return the moves that are allowed now."""
        now_s = self._clock.now_s()
        rate = moves_per_minute / _MINUTE_S
        grown = self._moves + (now_s - self._counted_s) * rate
        self._moves = min(grown, max(1.0, rate * _BURST_S))
        self._counted_s = now_s
        return int(self._moves)

    def spend(self, moves: int) -> None:
        """Take moves off the budget."""
        self._moves -= moves
