"""Random records: the state agrees with a plain model and with itself."""

from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from verbenadeck.fleet import FleetState, _members, compress_snapshot
from verbenadeck.fleet._ownership import Ownership
from verbenadeck.fleet._shard_table import ShardTable
from verbenadeck.fleet._writers import WriterWindows
from verbenadeck.fleet.tests.builders import (
    HOLDS,
    SHARD_COUNT,
    make_join,
    make_published,
)
from verbenadeck.fleet.tests.oracle import PlainFleet
from verbenadeck.model import (
    NO_FENCE,
    Epoch,
    Fence,
    Incarnation,
    Offset,
    Shard,
    WriterId,
)
from verbenadeck.records import (
    Assign,
    Envelope,
    LeavePhase,
    NodeJoin,
    NodeLeave,
    Record,
    Released,
    ReleasedRange,
    ShardMove,
    Suspect,
    Verdict,
    Vote,
    Witnesses,
    encode_envelope,
)

_FUZZ = settings(
    max_examples=200,
    stateful_step_count=80,
    derandomize=True,
    database=None,
    deadline=None,
)
_HUNT = settings(_FUZZ, phases=(Phase.generate,))
_PICK = st.integers(0, 7)
_RUN = st.sampled_from(((0, 8), (0, 4), (4, 8)))
_AGE = st.integers(1, 12)


class FleetMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.state = FleetState()
        self.restored: FleetState | None = None
        self.plain = PlainFleet(SHARD_COUNT)
        self.payloads: list[bytes] = []
        self.sequence = 0
        self.fences: list[int] = [NO_FENCE for _ in range(SHARD_COUNT)]
        self.version = 0
        self.joined: list[Incarnation] = []
        self.publish()
        for count in (0, 0, 0, 3, 3, 2):
            self.join(0, count)
        for owner in (3, 4):
            self.assign(owner, (0, 8), 0)

    @rule()
    def publish(self) -> None:
        version = self.plain.version
        self.add(make_published(expected_version=version))

    @rule(behind=_AGE)
    def publish_late(self, behind: int) -> None:
        version = self.plain.version - behind
        self.add(make_published(expected_version=version))

    @rule(first=_PICK, count=st.integers(0, 3))
    def join(self, first: int, count: int) -> None:
        witnesses = [self.pick(first + index) for index in range(count)]
        self.add(make_join('node', witnesses=witnesses))

    @rule(chosen=_PICK, phase=st.sampled_from(LeavePhase))
    def leave(self, chosen: int, phase: LeavePhase) -> None:
        self.add(NodeLeave(self.pick(chosen), phase))

    @rule(chosen=_PICK, first=_PICK, count=st.integers(0, 3))
    def change_witnesses(self, chosen: int, first: int, count: int) -> None:
        member = self.pick(chosen)
        witnesses = tuple(self.pick(first + index) for index in range(count))
        self.add(Witnesses(member, self.epoch(member), witnesses))

    @rule(chosen=_PICK, witness=_PICK, age=_AGE, is_late=st.booleans())
    def vote(self, chosen: int, witness: int, age: int, is_late: bool) -> None:
        member = self.pick(chosen)
        voter = self.pick(witness)
        known = self.plain.members.get(member)
        if known and known.witnesses and not is_late:
            index = witness % len(known.witnesses)
            voter = Incarnation(known.witnesses[index])
        epoch = Epoch(self.epoch(member) - is_late)
        since = Offset(max(-1, self.last_offset - age))
        self.add(Suspect((Vote(member, epoch, voter, since),)))

    @rule(chosen=_PICK, run=_RUN, behind=st.sampled_from((0, 0, 0, 1)))
    def assign(self, chosen: int, run: tuple[int, int], behind: int) -> None:
        fence = Fence(self.plain.shards[run[0]].fence - behind)
        self.add(Assign((ShardMove(HOLDS, *run, fence, self.pick(chosen)),)))

    @rule(chosen=_PICK, run=_RUN, age=_AGE)
    def release(self, chosen: int, run: tuple[int, int], age: int) -> None:
        owner = self.pick(chosen)
        earlier = sorted(self.plain.shards[run[0]].earlier)
        if earlier:
            owner = Incarnation(earlier[chosen % len(earlier)])
        ranges = (ReleasedRange(HOLDS, *run),)
        as_of = Offset(max(-1, self.last_offset + 1 - age))
        self.add(Released(owner, ranges, as_of))

    @rule(back=st.integers(0, 30))
    def repeat(self, back: int) -> None:
        index = max(0, len(self.payloads) - 1 - back)
        payload = self.payloads[index]
        if payload != b'noise':
            assert self.put(payload) is Verdict.DUPLICATE

    @rule()
    def noise(self) -> None:
        assert self.put(b'noise') is Verdict.INVALID

    @rule()
    def checkpoint(self) -> None:
        self.restored = FleetState()
        packed = b''.join(compress_snapshot(self.state.snapshot()))
        assert self.restored.restore(packed).unwrap() == self.last_offset

    @invariant()
    def state_agrees_with_the_plain_model(self) -> None:
        assert self.state.members.keys() == self.plain.members.keys()
        for index, plain in enumerate(self.plain.shards):
            view = self.state.shard(HOLDS, Shard(index))
            assert (view.owner, view.fence) == (plain.owner, plain.fence)
            assert set(view.earlier_owners) == set(plain.earlier)
            assert view.owner not in view.earlier_owners

    @invariant()
    def fences_and_versions_only_rise(self) -> None:
        fences = [shard.fence for shard in self.plain.shards]
        for index, last in enumerate(self.fences):
            fence = self.state.shard(HOLDS, Shard(index)).fence
            assert fence >= last
        assert self.state.config_version >= self.version
        self.fences = fences
        self.version = self.state.config_version

    @invariant()
    def a_checkpoint_and_the_rest_are_the_whole(self) -> None:
        if self.restored is not None:
            assert self.restored.snapshot() == self.state.snapshot()

    def teardown(self) -> None:
        replayed = FleetState()
        for offset, payload in enumerate(self.payloads):
            replayed.apply(Offset(offset), payload)
        assert replayed.snapshot() == self.state.snapshot()

    @property
    def last_offset(self) -> int:
        return len(self.payloads) - 1

    def pick(self, chosen: int) -> Incarnation:
        live = sorted(self.plain.members)
        if chosen < len(live):
            return Incarnation(live[chosen])
        return self.joined[chosen % len(self.joined)]

    def epoch(self, member: Incarnation) -> Epoch:
        known = self.plain.members.get(member)
        return Epoch(known.epoch if known else 0)

    def add(self, record: Record) -> None:
        self.sequence += 1
        seen = Offset(self.last_offset)
        envelope = Envelope(1, WriterId('one'), self.sequence, record, seen)
        verdict = self.put(encode_envelope(envelope))
        is_effective = self.plain.apply(self.last_offset, record)
        assert (verdict is Verdict.ACCEPTED) == is_effective
        if is_effective and isinstance(record, NodeJoin):
            self.joined.append(Incarnation(self.last_offset))

    def put(self, payload: bytes) -> Verdict:
        offset = Offset(len(self.payloads))
        self.payloads.append(payload)
        verdict = self.state.apply(offset, payload)
        if self.restored is not None:
            assert self.restored.apply(offset, payload) is verdict
        return verdict


def _keep_earlier(*_args: Any) -> None:
    """Leave the shards of a member that has left as they are."""


def _always_has_fence(*_args: Any) -> bool:
    return True


def _never_judge(*_args: Any) -> None:
    """Take every envelope for a new one."""


def _load_nothing(*_args: Any) -> None:
    """Drop the windows of a snapshot."""


_PLANTED = (
    (Ownership, 'settle', _keep_earlier),
    (ShardTable, 'has_fence', _always_has_fence),
    (WriterWindows, 'judge', _never_judge),
    (WriterWindows, 'load', _load_nothing),
    (_members, 'eviction_quorum', lambda size: 1 if size else 0),
    (_members, 'eviction_quorum', lambda size: size),
)


def test_random_records_are_judged_like_the_plain_model() -> None:
    run_state_machine_as_test(FleetMachine, settings=_FUZZ)


@pytest.mark.parametrize(('owner', 'name', 'fault'), _PLANTED)
def test_a_planted_fault_is_found(
    owner: object,
    name: str,
    fault: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FleetMachine, settings=_HUNT)
