"""Requests per second by shard, as one proxy measures them."""

import heapq
import math

from verbenadeck.model import Shard
from verbenadeck.utils import Clock

DECAY_TIME_CONSTANT_S = 1.5
"""Time constant of the measured rates, in seconds. It is short compared with
the seconds for which a key stays hot, and long compared with the intervals
between its requests."""

MAX_TRACKED_SHARDS = 4096
"""Maximum number of shards that are counted; the least busy are dropped."""

_MIN_COUNT = 0.05


class ShardRates:
    """Request rates by shard, measured by exponentially decaying counts.

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
        """Count one request for a shard."""
        self._counts[shard] = self._counts.get(shard, 0) + 1

    def hottest(self, max_shards: int) -> list[tuple[Shard, float]]:
        """Return at most `max_shards` busiest shards and their requests/s."""
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
        """Requests per second over all shards."""
        self._decay()
        return sum(self._counts.values()) / DECAY_TIME_CONSTANT_S

    def _decay(self) -> None:
        now_s = self._clock.now_s()
        decay = math.exp((self._decayed_at_s - now_s) / DECAY_TIME_CONSTANT_S)
        self._decayed_at_s = now_s
        counts = heapq.nlargest(
            MAX_TRACKED_SHARDS, self._counts.items(), key=_count_of
        )
        self._counts = {
            shard: count * decay
            for shard, count in counts
            if count * decay > _MIN_COUNT
        }


def _count_of(entry: tuple[int, float]) -> float:
    return entry[1]
