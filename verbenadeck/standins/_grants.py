"""Check of fenced grants by the upstream stand-in."""

from collections.abc import Callable

from verbenadeck.adapters import wire


class GrantTable:
    """Shards granted to the upstream and the highest fence of each shard.

    Parameters
    ----------
    now_s : callable returning float
        Boot clock of the VM in seconds.

    Attributes
    ----------
    ignores_fences : bool
        Whether every request is permitted, to simulate a faulty upstream.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self.ignores_fences = False
        self._now_s = now_s
        self._last_sequence = -1
        self._deadline_s = 0.0
        self._granted_fences: dict[int, int] = {}
        self._highest_fences: dict[int, int] = {}

    def apply_grant(self, body: wire.GrantBody) -> str | None:
        """Replace the granted shards; return why a grant is refused, or None.

        A grant is refused as a whole if a grant with the same or a higher
        sequence was applied before, or if one of its fences is lower than
        an earlier fence of that shard.

        Parameters
        ----------
        body : wire.GrantBody
            Grant as received.
        """
        if body.sequence <= self._last_sequence:
            return 'grant is older than the last one'
        for part in body.ranges:
            if self._is_stale(part):
                return 'fence is lower than an earlier one'
        self._last_sequence = body.sequence
        self._deadline_s = body.deadline_s
        self._granted_fences = {
            shard: part.fence
            for part in body.ranges
            for shard in range(part.first_shard, part.stop_shard)
        }
        self._highest_fences.update(self._granted_fences)
        return None

    def is_permitted(self, shard: int, fence: int) -> bool:
        """Return whether a request for a shard with this fence may run now.

        Parameters
        ----------
        shard : int
            Shard of the request.
        fence : int
            Fence of the request.
        """
        if self.ignores_fences:
            return True
        if self._now_s() >= self._deadline_s:
            return False
        return self._granted_fences.get(shard) == fence

    def _is_stale(self, part: wire.RangeBody) -> bool:
        shards = range(part.first_shard, part.stop_shard)
        return any(
            self._highest_fences.get(shard, part.fence) > part.fence
            for shard in shards
        )
