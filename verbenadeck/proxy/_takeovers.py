"""Shards that were taken over from owners whose ledgers are lost."""

import msgspec

from verbenadeck.model import RequestId, ServiceName
from verbenadeck.proxy._departed_owners import DepartedOwners, WitnessSet
from verbenadeck.utils import Clock, uuid7_time_s

MAX_CLOCK_ERROR_S = 10.0
"""Maximum error of the clocks that create UUIDv7 request ids, in seconds."""


class ExportedTakeover(msgspec.Struct, frozen=True, array_like=True):
    """Takeover that is handed over with a shard that moves on.

    Parameters
    ----------
    shard : int
        Shard that was taken over.
    wall_s : float
        Wall-clock time of the takeover, in seconds.
    remaining_s : float
        Remaining time for which the lost ledger matters, in seconds.
    """

    shard: int
    wall_s: float
    remaining_s: float


class _Takeover:
    __slots__ = ('service', 'until_s', 'wall_s')

    def __init__(
        self, service: ServiceName, wall_s: float, until_s: float
    ) -> None:
        self.service = service
        self.wall_s = wall_s
        self.until_s = until_s


class Takeovers:
    """Takeovers by shard, to decide which ids a lost owner may have run.

    Parameters
    ----------
    departed_owners : DepartedOwners
        Departed owners and their witness sets.
    clock : Clock
        Clock of this VM; its wall clock is taken as exact.
    """

    def __init__(
        self, *, departed_owners: DepartedOwners, clock: Clock
    ) -> None:
        self._departed_owners = departed_owners
        self._clock = clock
        self._shards: dict[int, _Takeover] = {}

    def open(
        self, service: ServiceName, shards: frozenset[int], *, keep_s: float
    ) -> None:
        """Record that the earlier owner's ledger entries are lost.

        Parameters
        ----------
        service : ServiceName
            Service of the shards.
        shards : frozenset of int
            Shards that were taken over.
        keep_s : float
            Retention of ledger entries, in seconds.
        """
        takeover = _Takeover(
            service, self._clock.wall_s(), self._clock.now_s() + keep_s
        )
        for shard in shards:
            self._shards[shard] = takeover

    def export(self, shards: frozenset[int]) -> list[ExportedTakeover]:
        """Return the takeovers of the given shards."""
        now_s = self._clock.now_s()
        return [
            ExportedTakeover(shard, one.wall_s, one.until_s - now_s)
            for shard, one in self._shards.items()
            if shard in shards
        ]

    def load(
        self, service: ServiceName, exported: list[ExportedTakeover]
    ) -> None:
        """Load the takeovers that an earlier owner exported."""
        now_s = self._clock.now_s()
        for one in exported:
            self._shards[one.shard] = _Takeover(
                service, one.wall_s, now_s + one.remaining_s
            )

    def close(self, shards: frozenset[int]) -> None:
        """Remove the takeovers of shards that this node hands over."""
        for shard in shards & self._shards.keys():
            self._shards.pop(shard)

    def witness_sets_to_query(
        self, request_id: RequestId, shard: int
    ) -> list[WitnessSet] | None:
        """Return the witness sets to query about a request id.

        Parameters
        ----------
        request_id : RequestId
            Id; a UUIDv7 created after the takeover is new.
        shard : int
            Shard of the request.

        Returns
        -------
        list of WitnessSet or None
            None if the id is certainly new; empty if no witness is known.
        """
        takeover = self._shards.get(shard)
        if takeover is None:
            return None
        if self._clock.now_s() >= takeover.until_s:
            self._shards.pop(shard)
            return None
        created_at_s = uuid7_time_s(request_id)
        if created_at_s is not None and self._is_new(created_at_s, takeover):
            return None
        keep_s = takeover.until_s - self._clock.now_s()
        keep_s += max(0.0, self._clock.wall_s() - takeover.wall_s)
        return self._departed_owners.witness_sets_to_query(
            takeover.service, shard, keep_s=keep_s
        )

    def _is_new(self, created_at_s: float, takeover: _Takeover) -> bool:
        latest_s = self._clock.wall_s() + MAX_CLOCK_ERROR_S
        return takeover.wall_s + MAX_CLOCK_ERROR_S < created_at_s <= latest_s
