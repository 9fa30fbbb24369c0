"""Rate limit of balancing moves."""

from verbenadeck.utils import Clock

_MAX_BURST_S = 6.0
_SECONDS_PER_MINUTE = 60.0


class ChurnBudget:
    """Token bucket that limits balancing moves to a rate per minute.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._available_moves = 0.0
        self._refilled_at_s = clock.now_s()

    def refill(self, moves_per_minute: int) -> int:
        """Refill the budget for the time passed and return the allowed moves.

        Parameters
        ----------
        moves_per_minute : int
            Rate of refill. The budget holds at most the moves of six seconds,
            but at least one.
        """
        now_s = self._clock.now_s()
        rate = moves_per_minute / _SECONDS_PER_MINUTE
        refilled = self._available_moves + (now_s - self._refilled_at_s) * rate
        self._available_moves = min(refilled, max(1.0, rate * _MAX_BURST_S))
        self._refilled_at_s = now_s
        return int(self._available_moves)

    def spend(self, moves: int) -> None:
        """Subtract moves from the budget."""
        self._available_moves -= moves
