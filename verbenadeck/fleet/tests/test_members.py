"""Witness sets, eviction votes and phases of leaving."""

import pytest

from verbenadeck.fleet import MemberState, eviction_quorum, renewal_quorum
from verbenadeck.fleet.tests.builders import HOLDS, Recorder, make_fleet
from verbenadeck.model import Epoch, Incarnation, Shard
from verbenadeck.records import LeavePhase, NodeLeave, Verdict, Witnesses


def _make_fleet_with_witnessed_member() -> tuple[
    Recorder, list[Incarnation], Incarnation
]:
    """Return a fleet of six and one more member with three witnesses."""
    recorder, nodes = make_fleet(6)
    member = recorder.join('watched', witnesses=nodes[:3])
    return recorder, nodes, member


def _member_state(
    recorder: Recorder, member: Incarnation
) -> MemberState | None:
    return recorder.state.state_of(member)


@pytest.mark.parametrize('size', range(1, 9))
def test_renewal_and_eviction_quorums_always_intersect(size: int) -> None:
    assert renewal_quorum(size) + eviction_quorum(size) == size + 1
    assert 2 * renewal_quorum(size) > size


def test_two_votes_of_three_witnesses_evict_member() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    assert recorder.vote(member, nodes[0]) is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.JOINED
    assert recorder.vote(member, nodes[2]) is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.EVICTED
    assert member not in recorder.state.members


def test_vote_counts_once_and_from_witnesses_only() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    recorder.vote(member, nodes[0])
    assert recorder.vote(member, nodes[0]) is Verdict.STALE
    assert recorder.vote(member, nodes[4]) is Verdict.STALE
    assert recorder.vote(member, member) is Verdict.INVALID
    assert _member_state(recorder, member) is MemberState.JOINED


def test_vote_for_earlier_epoch_is_stale() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    first_epoch = Epoch(member)
    recorder.vote(member, nodes[0])
    changed = Witnesses(member, first_epoch, tuple(nodes[1:4]))
    assert recorder.add(changed) is Verdict.ACCEPTED
    late = recorder.vote(member, nodes[1], epoch=first_epoch)
    assert late is Verdict.STALE
    assert recorder.vote(member, nodes[1]) is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.JOINED
    assert recorder.vote(member, nodes[3]) is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.EVICTED


def test_witness_change_with_unexpected_epoch_is_stale() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    first_epoch = Epoch(member)
    for verdict in (Verdict.ACCEPTED, Verdict.STALE):
        changed = Witnesses(member, first_epoch, tuple(nodes[1:4]))
        assert recorder.add(changed) is verdict
    view = recorder.state.member(member)
    assert view is not None
    assert view.witnesses == tuple(nodes[1:4])
    assert view.epoch == Epoch(recorder.state.applied_offset - 1)


def test_invalid_witness_sets_are_refused() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    expected = {
        (nodes[0], nodes[0]): Verdict.INVALID,
        (nodes[0], member): Verdict.INVALID,
        tuple(nodes): Verdict.INVALID,
        (nodes[0], Incarnation(9_999)): Verdict.STALE,
        (): Verdict.STALE,
    }
    for witnesses, verdict in expected.items():
        changed = Witnesses(member, Epoch(member), witnesses)
        assert recorder.add(changed) is verdict


def test_last_member_may_remove_its_witnesses() -> None:
    recorder = Recorder()
    witness = recorder.join('witness')
    member = recorder.join('member', witnesses=(witness,))
    recorder.add(NodeLeave(witness, LeavePhase.GONE))
    dropped = Witnesses(member, Epoch(member), ())
    assert recorder.add(dropped) is Verdict.ACCEPTED


def test_member_without_witnesses_is_never_evicted() -> None:
    recorder, nodes = make_fleet(3)
    since = recorder.state.applied_offset
    assert recorder.vote(nodes[0], nodes[1], since=since) is Verdict.STALE
    assert _member_state(recorder, nodes[0]) is MemberState.JOINED


def test_vote_of_departed_member_is_stale() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    assert recorder.vote(member, nodes[0]) is Verdict.STALE


def test_departed_witness_counts_as_vote_after_voter_waited() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    left_at = recorder.state.applied_offset
    too_early = recorder.vote(member, nodes[1], since=left_at - 1)
    assert too_early is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.JOINED
    assert recorder.vote(member, nodes[1], since=left_at) is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.EVICTED


def test_any_member_may_vote_once_departed_witnesses_reach_quorum() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    one_left = recorder.state.applied_offset
    assert recorder.vote(member, nodes[5], since=one_left) is Verdict.STALE
    recorder.add(NodeLeave(nodes[1], LeavePhase.GONE))
    both_left = recorder.state.applied_offset
    assert recorder.vote(member, nodes[5], since=one_left) is Verdict.STALE
    voted = recorder.vote(member, nodes[5], since=both_left)
    assert voted is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.EVICTED


def test_wait_before_current_epoch_counts_no_departed_witness() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    recorder.add(NodeLeave(nodes[5], LeavePhase.GONE))
    left_at = recorder.state.applied_offset
    changed = Witnesses(member, Epoch(member), tuple(nodes[2:5]))
    recorder.add(changed)
    assert recorder.vote(member, nodes[2], since=left_at) is Verdict.ACCEPTED
    assert _member_state(recorder, member) is MemberState.JOINED
    future = recorder.state.applied_offset + 1
    assert recorder.vote(member, nodes[3], since=future) is Verdict.INVALID


def test_eviction_removes_member_from_earlier_owners() -> None:
    recorder, nodes, member = _make_fleet_with_witnessed_member()
    recorder.assign(member)
    recorder.assign(nodes[5])
    for witness in nodes[:2]:
        recorder.vote(member, witness)
    view = recorder.state.shard(HOLDS, Shard(0))
    assert (view.owner, view.earlier_owners) == (nodes[5], ())


def test_earlier_incarnation_stays_member_after_node_rejoins() -> None:
    recorder, _nodes, member = _make_fleet_with_witnessed_member()
    recorder.assign(member)
    again = recorder.join('watched')
    assert _member_state(recorder, member) is MemberState.JOINED
    recorder.assign(again)
    assert recorder.state.shard(HOLDS, Shard(0)).earlier_owners == (member,)


def test_leave_phases_never_go_back() -> None:
    recorder, nodes = make_fleet(2)
    draining = NodeLeave(nodes[0], LeavePhase.DRAINING)
    assert recorder.add(draining) is Verdict.ACCEPTED
    assert _member_state(recorder, nodes[0]) is MemberState.DRAINING
    assert recorder.add(draining) is Verdict.STALE
    gone = NodeLeave(nodes[0], LeavePhase.GONE)
    assert recorder.add(gone) is Verdict.ACCEPTED
    assert recorder.add(gone) is Verdict.STALE
    assert recorder.add(draining) is Verdict.STALE
