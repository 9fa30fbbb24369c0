"""Requests a second by shard, as one door measures them."""

import heapq
import math

from verbenadeck.model import Shard
from verbenadeck.utils import Clock

DECAY_TIME_CONSTANT_S = 1.5
"""Time constant of the measured rates, in seconds: short beside the seconds
for which a key stays hot, long beside the gaps between its requests."""

MAX_TRACKED_SHARDS = 4096
"""Shards that are counted at once; the coolest are forgotten first."""

_MIN_COUNT = 0.05


class ShardRates:
    """Exponentially decaying counts of requests by shard.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._counts: dict[int, float] = {}
        self._decayed_at_s = clock.now_s()

    def record_request(self, shard: int) -> None:
        """Count one request."""
        self._counts[shard] = self._counts.get(shard, 0) + 1

    def hottest(self, max_shards: int) -> list[tuple[Shard, float]]:
        """Return the busiest shards with their requests a second."""
        self._decay()
        busiest = heapq.nlargest(
            max_shards, self._counts.items(), key=_count_of
        )
        return [
            (Shard(shard), count / DECAY_TIME_CONSTANT_S)
            for shard, count in busiest
        ]

    @property
    def total_per_s(self) -> float:
        """Requests a second over all shards."""
        self._decay()
        return sum(self._counts.values()) / DECAY_TIME_CONSTANT_S

    def _decay(self) -> None:
        now_s = self._clock.now_s()
        kept = math.exp((self._decayed_at_s - now_s) / DECAY_TIME_CONSTANT_S)
        self._decayed_at_s = now_s
        counts = heapq.nlargest(
            MAX_TRACKED_SHARDS, self._counts.items(), key=_count_of
        )
        self._counts = {
            shard: count * kept
            for shard, count in counts
            if count * kept > _MIN_COUNT
        }


def _count_of(entry: tuple[int, float]) -> float:
    return entry[1]
