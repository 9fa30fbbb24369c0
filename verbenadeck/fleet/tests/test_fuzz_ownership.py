"""Honest nodes behind a late, repeating log: one owner at a time."""

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
from verbenadeck.fleet._shard_table import ShardTable, Tenancy
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
_ALL = 1_000_000
_FUZZ = settings(
    max_examples=200,
    stateful_step_count=60,
    derandomize=True,
    database=None,
    deadline=None,
)
_HUNT = settings(_FUZZ, max_examples=2_000, phases=(Phase.generate,))
_NODE = st.integers(0, 4)
_RARELY = st.sampled_from((False, False, False, True))


class MoveMachine(RuleBasedStateMachine):
    """Planned moves alone."""

    def __init__(self) -> None:
        super().__init__()
        self.envelopes: list[Envelope] = []
        self.in_flight: list[Envelope] = []
        self.sequence = 0
        self.nodes: dict[Incarnation, HonestNode] = {}
        self.judge = HonestNode(Incarnation(-9))
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
        self.put(self.in_flight[index])
        if not is_repeated:
            self.in_flight.pop(index)

    @rule(chosen=_NODE, limit=st.sampled_from((1, _ALL)))
    def read_and_serve(self, chosen: int, limit: int) -> None:
        node = self.pick(chosen)
        node.read(self.envelopes, limit)
        node.serve(HOLDS)

    @rule()
    def serve_all(self) -> None:
        self.read_all()
        for node in self.nodes.values():
            node.serve(HOLDS)

    @rule(chosen=_NODE, is_late=st.booleans())
    def let_go(self, chosen: int, is_late: bool) -> None:
        node = self.pick(chosen)
        node.read(self.envelopes, _ALL)
        for record in node.let_go():
            self.send(record, is_late=is_late)

    @rule(planner=_NODE, chosen=_NODE, is_late=_RARELY)
    def assign(self, planner: int, chosen: int, is_late: bool) -> None:
        node = self.pick(planner)
        targets = node.targets()
        if targets:
            target = targets[chosen % len(targets)]
            fence = node.view.shard(HOLDS, Shard(0)).fence
            move = ShardMove(HOLDS, 0, _SHARD_COUNT, fence, target)
            self.send(Assign((move,)), is_late=is_late)

    @rule(chosen=_NODE, is_late=st.booleans())
    def hand_over(self, chosen: int, is_late: bool) -> None:
        """Move all shards; the release may stay on its way."""
        self.assign(0, chosen, is_late=False)
        for other in range(_NODE_COUNT):
            self.let_go(other, is_late)
        self.serve_all()

    @invariant()
    def one_node_at_most_serves_a_shard(self) -> None:
        serving = Counter[int]()
        for node in self.nodes.values():
            serving.update(node.serving)
        assert max(serving.values(), default=0) <= 1

    def pick(self, chosen: int) -> HonestNode:
        nodes = tuple(self.nodes.values())
        return nodes[-1 - chosen % min(len(nodes), 4)]

    def read_all(self) -> None:
        for node in self.nodes.values():
            node.read(self.envelopes, _ALL)

    def send(self, record: Record, *, is_late: bool = False) -> None:
        """Append a record now or leave it on its way to the log."""
        self.sequence += 1
        writer = WriterId(f'writer-{self.sequence}')
        seen = Offset(len(self.envelopes) - 1)
        envelope = Envelope(1, writer, 1, record, seen)
        if is_late:
            self.in_flight.append(envelope)
        else:
            self.put(envelope)

    def put(self, envelope: Envelope) -> None:
        joined = Incarnation(len(self.envelopes))
        self.envelopes.append(envelope)
        self.judge.read(self.envelopes, _ALL)
        is_live = joined in self.judge.view.members
        if isinstance(envelope.record, NodeJoin) and is_live:
            self.nodes[joined] = HonestNode(joined)


class OwnershipMachine(MoveMachine):
    """Moves, evictions, leaves and joins together."""

    @rule(witness=_NODE, chosen=_NODE, is_late=_RARELY)
    def suspect(self, witness: int, chosen: int, is_late: bool) -> None:
        voter = self.pick(witness)
        member = voter.view.member(self.pick(chosen).incarnation)
        is_witness = member and voter.incarnation in member.witnesses
        if member is None or not is_witness or not voter.has_lease:
            return
        voter.promised.add(member.incarnation)
        self.end_lapsed_leases()
        ballot = Vote(member.incarnation, member.epoch, voter.incarnation)
        self.send(Suspect((ballot,)), is_late=is_late)

    @rule(chosen=_NODE)
    def leave(self, chosen: int) -> None:
        node = self.pick(chosen)
        if len(self.nodes) > _NODE_COUNT:
            node.lose_lease()
            self.send(NodeLeave(node.incarnation, LeavePhase.GONE))

    @rule(chosen=_NODE)
    def join(self, chosen: int) -> None:
        witnesses = tuple(self.pick(chosen).targets()[:3])
        self.send(make_join('late', witnesses=witnesses))

    def end_lapsed_leases(self) -> None:
        """End the lease of each member that too few may still renew."""
        self.judge.read(self.envelopes, _ALL)
        for member in self.judge.view.members.values():
            renewing = [
                witness
                for witness in member.witnesses
                if member.incarnation not in self.nodes[witness].promised
            ]
            needed = renewal_quorum(len(member.witnesses))
            if member.witnesses and len(renewing) < needed:
                self.nodes[member.incarnation].lose_lease()


def _release_anything(
    table: ShardTable, run: tuple[int, int], incarnation: Any, _as_of: Offset
) -> bool:
    shards = [shard for shard in range(*run) if shard in table.earlier_owners]
    for shard in shards:
        table._strike(shard, incarnation, Offset(_ALL))
    return bool(shards)


def _keep_last_only(
    last_owner: Any, last_fence: Any, _earlier: Any, owner: Any, _is_live: Any
) -> tuple[Tenancy, ...]:
    if last_owner in {owner, -1}:
        return ()
    return (Tenancy(last_owner, last_fence),)


def _keep_none(*_args: Any) -> tuple[Tenancy, ...]:
    return ()


_TABLE = 'verbenadeck.fleet._shard_table'
_PLANTED = (
    (MoveMachine, f'{_TABLE}.ShardTable.release', _release_anything),
    (MoveMachine, f'{_TABLE}._unsettled', _keep_last_only),
    (MoveMachine, f'{_TABLE}._unsettled', _keep_none),
    (
        OwnershipMachine,
        'verbenadeck.fleet._members.eviction_quorum',
        lambda size: 1 if size else 0,
    ),
)


@pytest.mark.parametrize('machine', (MoveMachine, OwnershipMachine))
def test_one_owner_at_a_time(machine: type[MoveMachine]) -> None:
    run_state_machine_as_test(machine, settings=_FUZZ)


@pytest.mark.parametrize(('machine', 'name', 'fault'), _PLANTED)
def test_a_planted_fault_gives_two_owners(
    machine: type[MoveMachine],
    name: str,
    fault: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(name, fault)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=_HUNT)


def test_verdicts_of_the_start_are_accepted() -> None:
    machine = OwnershipMachine()
    assert len(machine.nodes) == _NODE_COUNT
    for node in machine.nodes.values():
        member = machine.judge.view.member(node.incarnation)
        assert member is not None
        assert len(member.witnesses) == _NODE_COUNT - 1
