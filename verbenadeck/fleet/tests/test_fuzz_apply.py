"""Random records: fleet state against reference model, replay and restore."""

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
from verbenadeck.fleet.tests.oracle import ReferenceFleet
from verbenadeck.model import (
    NO_FENCE,
    Epoch,
    Fence,
    Incarnation,
    NodeId,
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
    UpstreamLeave,
    Verdict,
    Vote,
    Witnesses,
    encode_envelope,
)

_FUZZ_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=80,
    derandomize=True,
    database=None,
    deadline=None,
)
_FAULT_SEARCH_SETTINGS = settings(_FUZZ_SETTINGS, phases=(Phase.generate,))
_INDEX = st.integers(0, 7)
_SHARD_RANGE = st.sampled_from(((0, 8), (0, 4), (4, 8)))
_AGE_OFFSETS = st.integers(1, 12)


class FleetMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.state = FleetState()
        self.restored: FleetState | None = None
        self.reference = ReferenceFleet(SHARD_COUNT)
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
        version = self.reference.version
        self.add(make_published(expected_version=version))

    @rule(behind=_AGE_OFFSETS)
    def publish_late(self, behind: int) -> None:
        version = self.reference.version - behind
        self.add(make_published(expected_version=version))

    @rule(first=_INDEX, count=st.integers(0, 3))
    def join(self, first: int, count: int) -> None:
        witnesses = [
            self.choose_member(first + index) for index in range(count)
        ]
        self.add(make_join('node', witnesses=witnesses))

    @rule(chosen=_INDEX, phase=st.sampled_from(LeavePhase))
    def leave(self, chosen: int, phase: LeavePhase) -> None:
        self.add(NodeLeave(self.choose_member(chosen), phase))

    @rule(chosen=_INDEX, first=_INDEX, count=st.integers(0, 3))
    def change_witnesses(self, chosen: int, first: int, count: int) -> None:
        member = self.choose_member(chosen)
        witnesses = tuple(
            self.choose_member(first + index) for index in range(count)
        )
        self.add(Witnesses(member, self.epoch(member), witnesses))

    @rule(
        chosen=_INDEX, witness=_INDEX, age=_AGE_OFFSETS, is_late=st.booleans()
    )
    def vote(self, chosen: int, witness: int, age: int, is_late: bool) -> None:
        member = self.choose_member(chosen)
        voter = self.choose_member(witness)
        known = self.reference.members.get(member)
        if known and known.witnesses and not is_late:
            index = witness % len(known.witnesses)
            voter = Incarnation(known.witnesses[index])
        epoch = Epoch(self.epoch(member) - is_late)
        since = Offset(max(-1, self.last_offset - age))
        self.add(Suspect((Vote(member, epoch, voter, since),)))

    @rule(
        chosen=_INDEX,
        shard_range=_SHARD_RANGE,
        behind=st.sampled_from((0, 0, 0, 1)),
    )
    def assign(
        self, chosen: int, shard_range: tuple[int, int], behind: int
    ) -> None:
        fence = Fence(self.reference.shards[shard_range[0]].fence - behind)
        self.add(
            Assign(
                (
                    ShardMove(
                        HOLDS, *shard_range, fence, self.choose_member(chosen)
                    ),
                )
            )
        )

    @rule(chosen=_INDEX, shard_range=_SHARD_RANGE, age=_AGE_OFFSETS)
    def release(
        self, chosen: int, shard_range: tuple[int, int], age: int
    ) -> None:
        owner = self.choose_member(chosen)
        earlier_fences = sorted(
            self.reference.shards[shard_range[0]].earlier_fences
        )
        if earlier_fences:
            owner = Incarnation(earlier_fences[chosen % len(earlier_fences)])
        ranges = (ReleasedRange(HOLDS, *shard_range),)
        as_of = Offset(max(-1, self.last_offset + 1 - age))
        self.add(Released(owner, ranges, as_of))

    @rule(node=st.sampled_from('ab'), instance=st.sampled_from('xyz'))
    def upstream_leave(self, node: str, instance: str) -> None:
        self.add(UpstreamLeave(NodeId(node), instance))

    @rule(back=st.integers(0, 30))
    def repeat(self, back: int) -> None:
        index = max(0, len(self.payloads) - 1 - back)
        payload = self.payloads[index]
        if payload != b'noise':
            assert self.apply_payload(payload) is Verdict.DUPLICATE

    @rule()
    def undecodable_payload(self) -> None:
        assert self.apply_payload(b'noise') is Verdict.INVALID

    @rule()
    def checkpoint(self) -> None:
        self.restored = FleetState()
        compressed = b''.join(compress_snapshot(self.state.snapshot()))
        assert self.restored.restore(compressed).unwrap() == self.last_offset

    @invariant()
    def state_matches_reference_model(self) -> None:
        assert self.state.members.keys() == self.reference.members.keys()
        for index, reference in enumerate(self.reference.shards):
            view = self.state.shard(HOLDS, Shard(index))
            assert (view.owner, view.fence) == (
                reference.owner,
                reference.fence,
            )
            assert set(view.earlier_owners) == set(reference.earlier_fences)
            assert view.owner not in view.earlier_owners

    @invariant()
    def departures_match_reference_model(self) -> None:
        departed = self.state.departed_upstreams
        assert dict(departed.encode()) == self.reference.departed

    @invariant()
    def fences_and_versions_never_decrease(self) -> None:
        fences = [shard.fence for shard in self.reference.shards]
        for index, last in enumerate(self.fences):
            fence = self.state.shard(HOLDS, Shard(index)).fence
            assert fence >= last
        assert self.state.config_version >= self.version
        self.fences = fences
        self.version = self.state.config_version

    @invariant()
    def restored_state_matches_original(self) -> None:
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

    def choose_member(self, chosen: int) -> Incarnation:
        live = sorted(self.reference.members)
        if chosen < len(live):
            return Incarnation(live[chosen])
        return self.joined[chosen % len(self.joined)]

    def epoch(self, member: Incarnation) -> Epoch:
        known = self.reference.members.get(member)
        return Epoch(known.epoch if known else 0)

    def add(self, record: Record) -> None:
        self.sequence += 1
        seen = Offset(self.last_offset)
        envelope = Envelope(1, WriterId('one'), self.sequence, record, seen)
        verdict = self.apply_payload(encode_envelope(envelope))
        is_effective = self.reference.apply(self.last_offset, record)
        assert (verdict is Verdict.ACCEPTED) == is_effective
        if is_effective and isinstance(record, NodeJoin):
            self.joined.append(Incarnation(self.last_offset))

    def apply_payload(self, payload: bytes) -> Verdict:
        offset = Offset(len(self.payloads))
        self.payloads.append(payload)
        verdict = self.state.apply(offset, payload)
        if self.restored is not None:
            assert self.restored.apply(offset, payload) is verdict
        return verdict


def _keep_earlier_owners(*_args: Any) -> None:
    """Keep an ended member among the earlier owners of its shards."""


def _always_has_fence(*_args: Any) -> bool:
    return True


def _accept_every_envelope(*_args: Any) -> None:
    """Treat every envelope as new."""


def _discard_windows(*_args: Any) -> None:
    """Ignore the writer windows of a snapshot."""


_INJECTED_FAULTS = (
    (Ownership, 'remove_earlier_owner', _keep_earlier_owners),
    (ShardTable, 'has_fence', _always_has_fence),
    (WriterWindows, 'check', _accept_every_envelope),
    (WriterWindows, 'load', _discard_windows),
    (_members, 'eviction_quorum', lambda size: 1 if size else 0),
    (_members, 'eviction_quorum', lambda size: size),
)


def test_random_records_get_verdicts_of_reference_model() -> None:
    run_state_machine_as_test(FleetMachine, settings=_FUZZ_SETTINGS)


@pytest.mark.parametrize(('owner', 'name', 'fault'), _INJECTED_FAULTS)
def test_injected_fault_is_detected(
    owner: object,
    name: str,
    fault: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FleetMachine, settings=_FAULT_SEARCH_SETTINGS)
