"""Table of the shards that this node is named owner of."""

import enum
import math
from collections.abc import Iterator

import msgspec

from verbenadeck.fleet import FleetView, ShardView
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
    """Step of a shard on its way to being served here."""

    WAITING = 'waiting'
    OPEN = 'open'


class OwnedShard(msgspec.Struct):
    """Shard that this node is named owner of.

    Parameters
    ----------
    fence : Fence
        Fence of the assignment.
    is_first : bool
        Whether the shard never had another owner.
    state : OwnedShardState
        How far the move has come.
    not_before_s : float
        Moment from which it may be served, for services whose upstreams
        do not check fences.
    """

    fence: Fence
    is_first: bool = False
    state: OwnedShardState = OwnedShardState.WAITING
    not_before_s: float = -math.inf


class ReleaseNote(msgspec.Struct, frozen=True):
    """What an earlier owner said by message when it released a shard."""

    as_of_offset: Offset
    entries: bytes


class Settled(msgspec.Struct, frozen=True):
    """Shards that are free of earlier owners, with their entries."""

    ranges: tuple[ReleasedRange, ...]
    entries: bytes | None


class OwnedShardTable:
    """Follows the shards of one incarnation from assignment to service."""

    def __init__(self, *, clock: Clock, fleet: FleetView) -> None:
        self._clock = clock
        self._fleet = fleet
        self._owner = NO_MEMBER
        self._owned_shards: dict[ShardKey, OwnedShard] = {}
        self._notes: dict[ShardKey, dict[Incarnation, ReleaseNote]] = {}

    def get(self, key: ShardKey) -> OwnedShard | None:
        """Return the slot of a shard."""
        return self._owned_shards.get(key)

    @property
    def open_fences(self) -> dict[Shard, Fence]:
        """Fences of the shards that are open as of the last refresh."""
        return {
            key[1]: owned_shard.fence
            for key, owned_shard in self._owned_shards.items()
            if owned_shard.state is OwnedShardState.OPEN
        }

    def note_move(
        self, owner: Incarnation, offset: Offset, move: ShardMove
    ) -> None:
        """Note an assignment to this node while it is applied."""
        self._adopt(owner)
        whole = ReleasedRange(move.service, move.first_shard, move.stop_shard)
        fence = Fence(offset)
        is_first = move.expected_fence == NO_FENCE
        for key in shards_in((whole,)):
            if self._fleet.shard(*key).fence == fence:
                self._owned_shards[key] = OwnedShard(fence, is_first)

    def note_release(
        self,
        member: Incarnation,
        ranges: tuple[ReleasedRange, ...],
        note: ReleaseNote,
    ) -> None:
        """Note that an earlier owner released shards by message."""
        for key in shards_in(ranges):
            self._notes.setdefault(key, {})[member] = note

    def refresh(self, owner: Incarnation) -> list[Settled]:
        """Follow the log, and return what is settled since the last time."""
        self._adopt(owner)
        named: dict[ShardKey, ShardView] = {}
        if owner != NO_MEMBER:
            for key in shards_in(self._fleet.owned_by(owner)):
                named[key] = self._fleet.shard(*key)
        for lost in self._owned_shards.keys() - named.keys():
            self._owned_shards.pop(lost)
        for stale in self._notes.keys() - named.keys():
            self._notes.pop(stale)
        found: dict[bytes | None, list[ShardKey]] = {}
        for key, view in named.items():
            for entries in self._settle(key, view):
                found.setdefault(entries, []).append(key)
        return [
            Settled(ranges_of(keys), entries) for entries, keys in found.items()
        ]

    def _adopt(self, owner: Incarnation) -> None:
        if owner != self._owner:
            self._owner = owner
            self._owned_shards.clear()
            self._notes.clear()

    def _settle(self, key: ShardKey, view: ShardView) -> Iterator[bytes | None]:
        owned_shard = self._owned_shards.get(key)
        if owned_shard is None or owned_shard.fence != view.fence:
            owned_shard = OwnedShard(view.fence)
            self._owned_shards[key] = owned_shard
        if owned_shard.state is not OwnedShardState.WAITING:
            return
        notes = {
            member: note
            for member, note in self._notes.get(key, {}).items()
            if note.as_of_offset >= view.fence
        }
        if not notes.keys() >= set(view.earlier_owners):
            return
        owned_shard.state = OwnedShardState.OPEN
        self._notes.pop(key, None)
        if notes:
            yield from (note.entries for note in notes.values())
            return
        if owned_shard.is_first:
            yield b''
            return
        wait_s = takeover_wait_s(self._fleet.config, key[0])
        owned_shard.not_before_s = (
            self._clock.now_s() + wait_s if wait_s else -math.inf
        )
        yield None
