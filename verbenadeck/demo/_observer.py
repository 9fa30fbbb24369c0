"""Follows the log of a site, to know owners and to count moves."""

import asyncio

from returns.result import Success

from verbenadeck.adapters import LogAdapter
from verbenadeck.fleet import FleetState, Member
from verbenadeck.model import (
    NO_MEMBER,
    Incarnation,
    Offset,
    ServiceName,
    Shard,
)
from verbenadeck.records import Assign, Record, Verdict
from verbenadeck.utils import Clock

_READ_TIMEOUT_S = 2.0
_PAUSE_S = 0.1
_LIMIT = 1000


class Observer:
    """Applies the records of a log as every node does.

    Parameters
    ----------
    log : LogAdapter
        Log of the site.
    services : tuple of ServiceName
        Services whose owners are followed; those not divided by key have
        owners for the ids of requests that are not repeatable.
    clock : Clock
        Boot clock.

    Attributes
    ----------
    fleet : FleetState
        State derived from the log.
    shards_moved : int
        Shards that changed from one owner to another so far.
    """

    def __init__(
        self,
        log: LogAdapter,
        services: tuple[ServiceName, ...],
        *,
        clock: Clock,
    ) -> None:
        self.fleet = FleetState()
        self.shards_moved = 0
        self._log = log
        self._services = services
        self._clock = clock
        self._owners: dict[tuple[ServiceName, int], Incarnation] = {}
        self.fleet.subscribe(self._on_applied)

    async def follow(self) -> None:
        """Read the log until cancelled."""
        while True:
            start = Offset(self.fleet.applied_offset + 1)
            deadline_s = self._clock.now_s() + _READ_TIMEOUT_S
            found = await self._log.read(
                start, limit=_LIMIT, deadline_s=deadline_s
            )
            if not isinstance(found, Success):
                await asyncio.sleep(_PAUSE_S)
                continue
            for index, record in enumerate(found.unwrap().records):
                self.fleet.apply(Offset(start + index), record)

    def owners(self, service: ServiceName) -> dict[Shard, Incarnation]:
        """Return the settled owner of each shard that has one."""
        owners: dict[Shard, Incarnation] = {}
        for index in range(self.fleet.shard_count(service)):
            shard = Shard(index)
            view = self.fleet.shard(service, shard)
            if view.owner != NO_MEMBER and not view.earlier_owners:
                owners[shard] = view.owner
        return owners

    def is_settled(self) -> bool:
        """Return whether every shard has an owner that may serve it."""
        return all(self._is_settled(service) for service in self._services)

    def member(self, node_id: str) -> Member | None:
        """Return the live member of a node, None when it has none."""
        for member in self.fleet.members.values():
            if member.node_id == node_id:
                return member
        return None

    def _is_settled(self, service: ServiceName) -> bool:
        count = self.fleet.shard_count(service)
        return count > 0 and len(self.owners(service)) == count

    def _on_applied(
        self, _offset: Offset, record: Record, _verdict: Verdict
    ) -> None:
        if not isinstance(record, Assign):
            return
        for move in record.moves:
            for index in range(move.first_shard, move.stop_shard):
                self._note_owner(move.service, Shard(index))

    def _note_owner(self, service: ServiceName, shard: Shard) -> None:
        if shard >= self.fleet.shard_count(service):
            return
        owner = self.fleet.shard(service, shard).owner
        known = self._owners.get((service, shard), NO_MEMBER)
        if owner != known and known != NO_MEMBER:
            self.shards_moved += 1
        self._owners[service, shard] = owner
