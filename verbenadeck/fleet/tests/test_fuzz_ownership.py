"""Random moves with delayed and repeated appends: one owner per shard."""

from collections import Counter
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

from verbenadeck.fleet import renewal_quorum
from verbenadeck.fleet._shard_table import EarlierOwner, ShardTable
from verbenadeck.fleet.tests.builders import (
    HOLDS,
    make_document,
    make_join,
    make_published,
)
from verbenadeck.fleet.tests.honest_node import HonestNode
from verbenadeck.model import Epoch, Incarnation, Offset, Shard, WriterId
from verbenadeck.records import (
    Assign,
    Envelope,
    LeavePhase,
    NodeJoin,
    NodeLeave,
    Record,
    ShardMove,
    Suspect,
    Vote,
    Witnesses,
)

_SHARD_COUNT = 1
_NODE_COUNT = 4
_NO_LIMIT = 1_000_000
_FUZZ_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=60,
    derandomize=True,
    database=None,
    deadline=None,
)
_FAULT_SEARCH_SETTINGS = settings(
    _FUZZ_SETTINGS, max_examples=2_000, phases=(Phase.generate,)
)
_NODE_INDEX = st.integers(0, 4)
_MOSTLY_FALSE = st.sampled_from((False, False, False, True))


class MoveMachine(RuleBasedStateMachine):
    """Planned moves without evictions, leaves or later joins."""

    def __init__(self) -> None:
        super().__init__()
        self.envelopes: list[Envelope] = []
        self.in_flight: list[Envelope] = []
        self.sequence = 0
        self.nodes: dict[Incarnation, HonestNode] = {}
        self.reference = HonestNode(Incarnation(-9))
        document = make_document(holds=_SHARD_COUNT)
        self.send(make_published(document))
        for index in range(_NODE_COUNT):
            self.send(make_join(f'node-{index}'))
        for node in tuple(self.nodes):
            others = tuple(other for other in self.nodes if other != node)
            self.send(Witnesses(node, Epoch(node), others))
        self.read_all()

    @rule(chosen=st.integers(0, 30), is_repeated=st.booleans())
    def deliver(self, chosen: int, is_repeated: bool) -> None:
        if not self.in_flight:
            return
        index = chosen % len(self.in_flight)
        self.append_envelope(self.in_flight[index])
        if not is_repeated:
            self.in_flight.pop(index)

    @rule(chosen=_NODE_INDEX, limit=st.sampled_from((1, _NO_LIMIT)))
    def read_and_serve(self, chosen: int, limit: int) -> None:
        node = self.choose_node(chosen)
        node.read(self.envelopes, limit)
        node.serve(HOLDS)

    @rule()
    def serve_all(self) -> None:
        self.read_all()
        for node in self.nodes.values():
            node.serve(HOLDS)

    @rule(chosen=_NODE_INDEX, is_late=st.booleans())
    def release_moved_shards(self, chosen: int, is_late: bool) -> None:
        node = self.choose_node(chosen)
        node.read(self.envelopes, _NO_LIMIT)
        for record in node.release_moved_shards():
            self.send(record, is_late=is_late)

    @rule(planner=_NODE_INDEX, chosen=_NODE_INDEX, is_late=_MOSTLY_FALSE)
    def assign(self, planner: int, chosen: int, is_late: bool) -> None:
        node = self.choose_node(planner)
        joined_members = node.joined_members()
        if joined_members:
            target = joined_members[chosen % len(joined_members)]
            fence = node.view.shard(HOLDS, Shard(0)).fence
            move = ShardMove(HOLDS, 0, _SHARD_COUNT, fence, target)
            self.send(Assign((move,)), is_late=is_late)

    @rule(chosen=_NODE_INDEX, is_late=st.booleans())
    def assign_and_release_all(self, chosen: int, is_late: bool) -> None:
        """Move all shards; the releases may be delayed."""
        self.assign(0, chosen, is_late=False)
        for other in range(_NODE_COUNT):
            self.release_moved_shards(other, is_late)
        self.serve_all()

    @invariant()
    def each_shard_is_served_by_one_node_at_most(self) -> None:
        serving = Counter[int]()
        for node in self.nodes.values():
            serving.update(node.serving)
        assert max(serving.values(), default=0) <= 1

    def choose_node(self, chosen: int) -> HonestNode:
        nodes = tuple(self.nodes.values())
        return nodes[-1 - chosen % min(len(nodes), 4)]

    def read_all(self) -> None:
        for node in self.nodes.values():
            node.read(self.envelopes, _NO_LIMIT)

    def send(self, record: Record, *, is_late: bool = False) -> None:
        """Append a record to the log, at once or only when delivered."""
        self.sequence += 1
        writer = WriterId(f'writer-{self.sequence}')
        seen = Offset(len(self.envelopes) - 1)
        envelope = Envelope(1, writer, 1, record, seen)
        if is_late:
            self.in_flight.append(envelope)
        else:
            self.append_envelope(envelope)

    def append_envelope(self, envelope: Envelope) -> None:
        joined = Incarnation(len(self.envelopes))
        self.envelopes.append(envelope)
        self.reference.read(self.envelopes, _NO_LIMIT)
        is_live = joined in self.reference.view.members
        if isinstance(envelope.record, NodeJoin) and is_live:
            self.nodes[joined] = HonestNode(joined)


class OwnershipMachine(MoveMachine):
    """Planned moves together with evictions, leaves and joins."""

    @rule(witness=_NODE_INDEX, chosen=_NODE_INDEX, is_late=_MOSTLY_FALSE)
    def suspect(self, witness: int, chosen: int, is_late: bool) -> None:
        voter = self.choose_node(witness)
        member = voter.view.member(self.choose_node(chosen).incarnation)
        is_witness = member and voter.incarnation in member.witnesses
        if member is None or not is_witness or not voter.has_lease:
            return
        voter.not_renewed.add(member.incarnation)
        self.end_lapsed_leases()
        ballot = Vote(member.incarnation, member.epoch, voter.incarnation)
        self.send(Suspect((ballot,)), is_late=is_late)

    @rule(chosen=_NODE_INDEX)
    def leave(self, chosen: int) -> None:
        node = self.choose_node(chosen)
        if len(self.nodes) > _NODE_COUNT:
            node.lose_lease()
            self.send(NodeLeave(node.incarnation, LeavePhase.GONE))

    @rule(chosen=_NODE_INDEX)
    def join(self, chosen: int) -> None:
        witnesses = tuple(self.choose_node(chosen).joined_members()[:3])
        self.send(make_join('late', witnesses=witnesses))

    def end_lapsed_leases(self) -> None:
        """End the leases of members that too few witnesses still renew."""
        self.reference.read(self.envelopes, _NO_LIMIT)
        for member in self.reference.view.members.values():
            renewing = [
                witness
                for witness in member.witnesses
                if member.incarnation not in self.nodes[witness].not_renewed
            ]
            needed = renewal_quorum(len(member.witnesses))
            if member.witnesses and len(renewing) < needed:
                self.nodes[member.incarnation].lose_lease()


def _release_any_fence(
    table: ShardTable,
    shard_range: tuple[int, int],
    incarnation: Any,
    _as_of: Offset,
) -> bool:
    shards = [
        shard for shard in range(*shard_range) if shard in table.earlier_owners
    ]
    for shard in shards:
        table._remove_from_shard(shard, incarnation, Offset(_NO_LIMIT))
    return bool(shards)


def _keep_previous_owner_only(
    last_owner: Any, last_fence: Any, _earlier: Any, owner: Any, _is_live: Any
) -> tuple[EarlierOwner, ...]:
    if last_owner in {owner, -1}:
        return ()
    return (EarlierOwner(last_owner, last_fence),)


def _keep_no_owner(*_args: Any) -> tuple[EarlierOwner, ...]:
    return ()


_TABLE = 'verbenadeck.fleet._shard_table'
_INJECTED_FAULTS = (
    (MoveMachine, f'{_TABLE}.ShardTable.release', _release_any_fence),
    (MoveMachine, f'{_TABLE}._blocking_owners', _keep_previous_owner_only),
    (MoveMachine, f'{_TABLE}._blocking_owners', _keep_no_owner),
    (
        OwnershipMachine,
        'verbenadeck.fleet._members.eviction_quorum',
        lambda size: 1 if size else 0,
    ),
)


@pytest.mark.parametrize('machine', (MoveMachine, OwnershipMachine))
def test_each_shard_has_one_serving_node_at_most(
    machine: type[MoveMachine],
) -> None:
    run_state_machine_as_test(machine, settings=_FUZZ_SETTINGS)


@pytest.mark.parametrize(('machine', 'name', 'fault'), _INJECTED_FAULTS)
def test_injected_fault_causes_two_serving_nodes(
    machine: type[MoveMachine],
    name: str,
    fault: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(name, fault)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=_FAULT_SEARCH_SETTINGS)


def test_initial_records_are_accepted() -> None:
    machine = OwnershipMachine()
    assert len(machine.nodes) == _NODE_COUNT
    for node in machine.nodes.values():
        member = machine.reference.view.member(node.incarnation)
        assert member is not None
        assert len(member.witnesses) == _NODE_COUNT - 1
