"""Reference model of the fleet state, built on dicts instead of arrays."""

from collections.abc import Callable
from typing import Any

from verbenadeck.model import NO_FENCE, NO_MEMBER, Incarnation
from verbenadeck.records import (
    Assign,
    ConfigPublished,
    LeavePhase,
    NodeJoin,
    NodeLeave,
    Record,
    Released,
    Suspect,
    UpstreamLeave,
    Witnesses,
)

_QUORUMS = (0, 1, 1, 2, 2, 3)


class ReferenceMember:
    def __init__(self, epoch: int, witnesses: tuple[int, ...]) -> None:
        self.epoch = epoch
        self.witnesses = witnesses
        self.votes: set[int] = set()
        self.is_joined = True


class ReferenceShard:
    def __init__(self) -> None:
        self.owner: int = NO_MEMBER
        self.fence: int = NO_FENCE
        self.earlier_fences: dict[int, int] = {}


class ReferenceFleet:
    """Reference model that decides whether each record takes effect."""

    def __init__(self, shard_count: int) -> None:
        self.shards = [ReferenceShard() for _index in range(shard_count)]
        self.members: dict[int, ReferenceMember] = {}
        self.ended: dict[int, int] = {}
        self.version = 0
        self.departed: dict[str, str] = {}
        self._handlers: dict[type, Callable[[int, Any], bool]] = {
            NodeJoin: self._join,
            NodeLeave: self._leave,
            Witnesses: self._witnesses,
            Suspect: self._suspect,
            Assign: self._assign,
            Released: self._release,
            ConfigPublished: self._publish,
            UpstreamLeave: self._depart,
        }

    def apply(self, offset: int, record: Record) -> bool:
        return self._handlers[type(record)](offset, record)

    def _join(self, offset: int, record: NodeJoin) -> bool:
        if not self._are_valid_witnesses(offset, record.witnesses):
            return False
        self.members[offset] = ReferenceMember(offset, record.witnesses)
        return True

    def _leave(self, offset: int, record: NodeLeave) -> bool:
        member = self.members.get(record.incarnation)
        if member is None:
            return False
        if record.phase is LeavePhase.GONE:
            self._end(offset, record.incarnation)
            return True
        had_joined = member.is_joined
        member.is_joined = False
        return had_joined

    def _witnesses(self, offset: int, record: Witnesses) -> bool:
        member = self.members.get(record.incarnation)
        if member is None or member.epoch != record.expected_epoch:
            return False
        if not self._are_valid_witnesses(record.incarnation, record.witnesses):
            return False
        if not record.witnesses and len(self.members) > 1:
            return False
        member.witnesses = record.witnesses
        member.epoch = offset
        member.votes.clear()
        return True

    def _suspect(self, offset: int, record: Suspect) -> bool:
        vote = record.votes[0]
        member = self.members.get(vote.incarnation)
        if member is None or member.epoch != vote.epoch:
            return False
        if vote.witness not in self.members or vote.since_offset >= offset:
            return False
        if vote.witness == vote.incarnation:
            return False
        is_new = vote.witness in set(member.witnesses) - member.votes
        if is_new:
            member.votes.add(vote.witness)
        counted = set(member.votes)
        if vote.since_offset >= member.epoch:
            counted.update(
                witness
                for witness in member.witnesses
                if self.ended.get(witness, offset) <= vote.since_offset
            )
        if 0 < _QUORUMS[len(member.witnesses)] <= len(counted):
            self._end(offset, vote.incarnation)
            return True
        return is_new

    def _assign(self, offset: int, record: Assign) -> bool:
        move = record.moves[0]
        shard_range = range(move.first_shard, move.stop_shard)
        owner = self.members.get(move.new_owner)
        if owner is None or not owner.is_joined:
            return False
        if any(
            self.shards[s].fence != move.expected_fence for s in shard_range
        ):
            return False
        for index in shard_range:
            self._set_owner(self.shards[index], move.new_owner, offset)
        return True

    def _set_owner(self, shard: ReferenceShard, owner: int, fence: int) -> None:
        if shard.owner in self.members:
            shard.earlier_fences[shard.owner] = shard.fence
        shard.earlier_fences.pop(owner, None)
        shard.owner = owner
        shard.fence = fence

    def _release(self, offset: int, record: Released) -> bool:
        released = record.ranges[0]
        is_removed = False
        if record.as_of_offset >= offset:
            return False
        for index in range(released.first_shard, released.stop_shard):
            earlier_fences = self.shards[index].earlier_fences
            fence = earlier_fences.get(record.incarnation)
            if fence is not None and fence <= record.as_of_offset:
                earlier_fences.pop(record.incarnation)
                is_removed = True
        return is_removed

    def _publish(self, _offset: int, record: ConfigPublished) -> bool:
        is_next = record.expected_version == self.version
        self.version += is_next
        return is_next

    def _depart(self, _offset: int, record: UpstreamLeave) -> bool:
        earlier = self.departed.get(record.node_id)
        self.departed[record.node_id] = record.upstream_instance
        return earlier != record.upstream_instance

    def _are_valid_witnesses(
        self, own: int, witnesses: tuple[int, ...]
    ) -> bool:
        chosen = set(witnesses)
        is_sound = len(chosen) == len(witnesses) and own not in chosen
        return is_sound and chosen <= self.members.keys()

    def _end(self, offset: int, incarnation: Incarnation) -> None:
        self.members.pop(incarnation)
        self.ended[incarnation] = offset
        for shard in self.shards:
            shard.earlier_fences.pop(incarnation, None)
