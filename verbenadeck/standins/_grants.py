"""Fenced grants as the upstream stand-in checks them."""

from collections.abc import Callable

from verbenadeck.adapters import wire


class GrantTable:
    """What the upstream may serve, and the highest fence of each shard.

    Parameters
    ----------
    now_s : callable returning float
        Boot clock of the VM in seconds.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self.is_ignored = False
        self._now_s = now_s
        self._sequence = -1
        self._deadline_s = 0.0
        self._granted: dict[int, int] = {}
        self._highest: dict[int, int] = {}

    def grant(self, body: wire.GrantBody) -> str | None:
        """Replace what may be served; return why the grant is refused.

        A grant is refused as a whole when it comes after a later one or
        when one of its fences is lower than one that the shard had.
        """
        if body.sequence <= self._sequence:
            return 'grant is older than the last one'
        for part in body.ranges:
            if self._is_stale(part):
                return 'fence is lower than an earlier one'
        self._sequence = body.sequence
        self._deadline_s = body.deadline_s
        self._granted = {
            shard: part.fence
            for part in body.ranges
            for shard in range(part.first_shard, part.stop_shard)
        }
        self._highest.update(self._granted)
        return None

    def permit(self, shard: int, fence: int) -> bool:
        """Return whether an order for a shard may run now."""
        if self.is_ignored:
            return True
        if self._now_s() >= self._deadline_s:
            return False
        return self._granted.get(shard) == fence

    def _is_stale(self, part: wire.RangeBody) -> bool:
        shards = range(part.first_shard, part.stop_shard)
        return any(
            self._highest.get(shard, part.fence) > part.fence
            for shard in shards
        )
