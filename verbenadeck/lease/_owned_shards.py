"""Table of the shards that are assigned to this node."""

import enum
import math
from collections.abc import Iterator

import msgspec

from verbenadeck.fleet import FleetTables, ShardView, existing_shards
from verbenadeck.lease._fence_rules import takeover_wait_s
from verbenadeck.lease._ranges import ShardKey, ranges_of, shards_in
from verbenadeck.model import (
    NO_FENCE,
    NO_MEMBER,
    Fence,
    Incarnation,
    Offset,
    Shard,
)
from verbenadeck.records import ReleasedRange, ShardMove
from verbenadeck.utils import Clock


class OwnedShardState(enum.Enum):
    """State of a shard that is assigned to this node.

    Attributes
    ----------
    WAITING
        An earlier owner has not released the shard yet, or may be unknown
        after the start of an era.
    OPEN
        No earlier owner serves the shard any more.
    """

    WAITING = 'waiting'
    OPEN = 'open'


class OwnedShard(msgspec.Struct):
    """Shard that is assigned to this node.

    Parameters
    ----------
    fence : Fence
        Fence of the assignment.
    is_first : bool
        Whether the shard has never had an owner before.
    state : OwnedShardState
        Progress of the move to this node.
    not_before_s : float
        Moment on the boot clock from which the shard may be served, in
        seconds. Finite only after a takeover for a service whose upstreams
        do not check fences.
    """

    fence: Fence
    is_first: bool = False
    state: OwnedShardState = OwnedShardState.WAITING
    not_before_s: float = -math.inf


class ReceivedRelease(msgspec.Struct, frozen=True):
    """Release of shards that an earlier owner has sent by message.

    Parameters
    ----------
    as_of_offset : Offset
        Log offset up to which the earlier owner had applied.
    ledger_entries : bytes
        Entries of its request ledger for the shards.
    """

    as_of_offset: Offset
    ledger_entries: bytes


class OpenableShards(msgspec.Struct, frozen=True):
    """Shards that no earlier owner serves any more.

    Parameters
    ----------
    ranges : tuple of ReleasedRange
        Shards that may be opened.
    ledger_entries : bytes or None
        Entries of the earlier owner's request ledger; None if they are lost.
    """

    ranges: tuple[ReleasedRange, ...]
    ledger_entries: bytes | None


class OwnedShardTable:
    """Shards of one incarnation, from their assignment to their opening.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    fleet : FleetTables
        Owners of the shards according to the log.
    """

    def __init__(self, *, clock: Clock, fleet: FleetTables) -> None:
        self._clock = clock
        self._fleet = fleet
        self._owner = NO_MEMBER
        self._owned_shards: dict[ShardKey, OwnedShard] = {}
        self._releases: dict[ShardKey, dict[Incarnation, ReceivedRelease]] = {}

    def get(self, key: ShardKey) -> OwnedShard | None:
        """Return the entry of a shard, None if it is not assigned here.

        Parameters
        ----------
        key : ShardKey
            Service and shard.
        """
        return self._owned_shards.get(key)

    @property
    def open_fences(self) -> dict[Shard, Fence]:
        """Fences of the shards that were open at the last refresh."""
        return {
            key[1]: owned_shard.fence
            for key, owned_shard in self._owned_shards.items()
            if owned_shard.state is OwnedShardState.OPEN
        }

    def add_assignment(
        self, owner: Incarnation, offset: Offset, move: ShardMove
    ) -> None:
        """Add the shards of an assignment to this node.

        Parameters
        ----------
        owner : Incarnation
            Incarnation of this node.
        offset : Offset
            Log offset of the assignment, which is the fence of its shards.
        move : ShardMove
            Shards that are assigned.
        """
        self._reset_if_changed(owner)
        fence = Fence(offset)
        is_first = move.expected_fence == NO_FENCE
        for shard in existing_shards(self._fleet, move):
            key = (move.service, Shard(shard))
            if self._fleet.shard(*key).fence == fence:
                self._owned_shards[key] = OwnedShard(fence, is_first)

    def add_release(
        self,
        member: Incarnation,
        ranges: tuple[ReleasedRange, ...],
        release: ReceivedRelease,
    ) -> None:
        """Add a release that an earlier owner has sent by message.

        Parameters
        ----------
        member : Incarnation
            Earlier owner.
        ranges : tuple of ReleasedRange
            Shards that it has released.
        release : ReceivedRelease
            Log offset and ledger entries of the release.
        """
        for each in ranges:
            for shard in existing_shards(self._fleet, each):
                key = (each.service, Shard(shard))
                self._releases.setdefault(key, {})[member] = release

    def refresh(self, owner: Incarnation) -> list[OpenableShards]:
        """Update the table from the log and open shards that are released.

        Parameters
        ----------
        owner : Incarnation
            Incarnation of this node, `NO_MEMBER` if it has none.

        Returns
        -------
        list of OpenableShards
            Shards that have become open since the last refresh.
        """
        self._reset_if_changed(owner)
        assigned: frozenset[ShardKey] = frozenset()
        if owner != NO_MEMBER:
            assigned = frozenset(shards_in(self._fleet.owned_by(owner)))
        for removed in self._owned_shards.keys() - assigned:
            self._owned_shards.pop(removed)
        for stale in self._releases.keys() - assigned:
            self._releases.pop(stale)
        found: dict[bytes | None, list[ShardKey]] = {}
        for key in self._find_unopened(assigned):
            for entries in self._try_open(key, self._fleet.shard(*key)):
                found.setdefault(entries, []).append(key)
        return [
            OpenableShards(ranges_of(keys), entries)
            for entries, keys in found.items()
        ]

    def _find_unopened(self, assigned: frozenset[ShardKey]) -> list[ShardKey]:
        """Return the shards that are not open under their present fence.

        Most shards are, and nothing else is looked up for them.
        """
        services = {service for service, _ in assigned}
        fences = {service: self._fleet.fences(service) for service in services}
        unopened: list[ShardKey] = []
        for key in assigned:
            owned_shard = self._owned_shards.get(key)
            if (
                owned_shard is None
                or owned_shard.state is OwnedShardState.WAITING
                or owned_shard.fence != fences[key[0]][key[1]]
            ):
                unopened.append(key)
        return sorted(unopened)

    def _reset_if_changed(self, owner: Incarnation) -> None:
        if owner != self._owner:
            self._owner = owner
            self._owned_shards.clear()
            self._releases.clear()

    def _try_open(
        self, key: ShardKey, view: ShardView
    ) -> Iterator[bytes | None]:
        """Open a shard if it is released; yield its ledger entries."""
        owned_shard = self._owned_shards.get(key)
        if owned_shard is None or owned_shard.fence != view.fence:
            owned_shard = OwnedShard(view.fence)
            self._owned_shards[key] = owned_shard
        if (
            owned_shard.state is not OwnedShardState.WAITING
            or view.is_contested
        ):
            return
        releases = {
            member: release
            for member, release in self._releases.get(key, {}).items()
            if release.as_of_offset >= view.fence
        }
        if not releases.keys() >= set(view.earlier_owners):
            return
        owned_shard.state = OwnedShardState.OPEN
        self._releases.pop(key, None)
        if releases:
            yield from (release.ledger_entries for release in releases.values())
            return
        if owned_shard.is_first:
            yield b''
            return
        wait_s = takeover_wait_s(self._fleet.config, key[0])
        owned_shard.not_before_s = (
            self._clock.now_s() + wait_s if wait_s else -math.inf
        )
        yield None
