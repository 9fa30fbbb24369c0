import pytest

from verbenadeck.fleet import MemberState, eviction_quorum, renewal_quorum
from verbenadeck.fleet.tests.builders import HOLDS, Recorder, make_fleet
from verbenadeck.model import Epoch, Incarnation, Shard
from verbenadeck.records import LeavePhase, NodeLeave, Verdict, Witnesses


def _watched() -> tuple[Recorder, list[Incarnation], Incarnation]:
    """Return a fleet of six with one more member that three watch."""
    recorder, nodes = make_fleet(6)
    member = recorder.join('watched', witnesses=nodes[:3])
    return recorder, nodes, member


def _state(recorder: Recorder, member: Incarnation) -> MemberState | None:
    return recorder.state.state_of(member)


@pytest.mark.parametrize('size', range(1, 9))
def test_every_renewal_meets_every_eviction(size: int) -> None:
    assert renewal_quorum(size) + eviction_quorum(size) == size + 1
    assert 2 * renewal_quorum(size) > size


def test_two_of_three_votes_evict() -> None:
    recorder, nodes, member = _watched()
    assert recorder.vote(member, nodes[0]) is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.JOINED
    assert recorder.vote(member, nodes[2]) is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.EVICTED
    assert member not in recorder.state.members


def test_a_vote_counts_once_and_from_witnesses_only() -> None:
    recorder, nodes, member = _watched()
    recorder.vote(member, nodes[0])
    assert recorder.vote(member, nodes[0]) is Verdict.STALE
    assert recorder.vote(member, nodes[4]) is Verdict.STALE
    assert recorder.vote(member, member) is Verdict.INVALID
    assert _state(recorder, member) is MemberState.JOINED


def test_votes_for_an_old_epoch_are_void() -> None:
    recorder, nodes, member = _watched()
    first_epoch = Epoch(member)
    recorder.vote(member, nodes[0])
    changed = Witnesses(member, first_epoch, tuple(nodes[1:4]))
    assert recorder.add(changed) is Verdict.ACCEPTED
    late = recorder.vote(member, nodes[1], epoch=first_epoch)
    assert late is Verdict.STALE
    assert recorder.vote(member, nodes[1]) is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.JOINED
    assert recorder.vote(member, nodes[3]) is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.EVICTED


def test_a_set_is_changed_by_its_expected_epoch_only() -> None:
    recorder, nodes, member = _watched()
    first_epoch = Epoch(member)
    for verdict in (Verdict.ACCEPTED, Verdict.STALE):
        changed = Witnesses(member, first_epoch, tuple(nodes[1:4]))
        assert recorder.add(changed) is verdict
    view = recorder.state.member(member)
    assert view is not None
    assert view.witnesses == tuple(nodes[1:4])
    assert view.epoch == Epoch(recorder.state.applied_offset - 1)


def test_unsound_sets_are_refused() -> None:
    recorder, nodes, member = _watched()
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


def test_only_the_last_member_may_drop_its_witnesses() -> None:
    recorder = Recorder()
    witness = recorder.join('witness')
    member = recorder.join('member', witnesses=(witness,))
    recorder.add(NodeLeave(witness, LeavePhase.GONE))
    dropped = Witnesses(member, Epoch(member), ())
    assert recorder.add(dropped) is Verdict.ACCEPTED


def test_a_member_without_witnesses_is_never_voted_out() -> None:
    recorder, nodes = make_fleet(3)
    since = recorder.state.applied_offset
    assert recorder.vote(nodes[0], nodes[1], since=since) is Verdict.STALE
    assert _state(recorder, nodes[0]) is MemberState.JOINED


def test_a_member_that_left_has_no_vote() -> None:
    recorder, nodes, member = _watched()
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    assert recorder.vote(member, nodes[0]) is Verdict.STALE


def test_witnesses_that_left_count_after_the_voter_waited() -> None:
    recorder, nodes, member = _watched()
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    left_at = recorder.state.applied_offset
    too_early = recorder.vote(member, nodes[1], since=left_at - 1)
    assert too_early is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.JOINED
    assert recorder.vote(member, nodes[1], since=left_at) is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.EVICTED


def test_any_member_speaks_for_a_set_that_left() -> None:
    recorder, nodes, member = _watched()
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    one_left = recorder.state.applied_offset
    assert recorder.vote(member, nodes[5], since=one_left) is Verdict.STALE
    recorder.add(NodeLeave(nodes[1], LeavePhase.GONE))
    both_left = recorder.state.applied_offset
    assert recorder.vote(member, nodes[5], since=one_left) is Verdict.STALE
    voted = recorder.vote(member, nodes[5], since=both_left)
    assert voted is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.EVICTED


def test_a_wait_before_the_epoch_counts_for_nothing() -> None:
    recorder, nodes, member = _watched()
    recorder.add(NodeLeave(nodes[5], LeavePhase.GONE))
    left_at = recorder.state.applied_offset
    changed = Witnesses(member, Epoch(member), tuple(nodes[2:5]))
    recorder.add(changed)
    assert recorder.vote(member, nodes[2], since=left_at) is Verdict.ACCEPTED
    assert _state(recorder, member) is MemberState.JOINED
    future = recorder.state.applied_offset + 1
    assert recorder.vote(member, nodes[3], since=future) is Verdict.INVALID


def test_an_eviction_settles_the_shards_of_the_member() -> None:
    recorder, nodes, member = _watched()
    recorder.assign(member)
    recorder.assign(nodes[5])
    for witness in nodes[:2]:
        recorder.vote(member, witness)
    view = recorder.state.shard(HOLDS, Shard(0))
    assert (view.owner, view.earlier_owners) == (nodes[5], ())


def test_a_new_incarnation_leaves_the_old_one_alone() -> None:
    recorder, _nodes, member = _watched()
    recorder.assign(member)
    again = recorder.join('watched')
    assert _state(recorder, member) is MemberState.JOINED
    recorder.assign(again)
    assert recorder.state.shard(HOLDS, Shard(0)).earlier_owners == (member,)


def test_leaving_goes_one_way() -> None:
    recorder, nodes = make_fleet(2)
    draining = NodeLeave(nodes[0], LeavePhase.DRAINING)
    assert recorder.add(draining) is Verdict.ACCEPTED
    assert _state(recorder, nodes[0]) is MemberState.DRAINING
    assert recorder.add(draining) is Verdict.STALE
    gone = NodeLeave(nodes[0], LeavePhase.GONE)
    assert recorder.add(gone) is Verdict.ACCEPTED
    assert recorder.add(gone) is Verdict.STALE
    assert recorder.add(draining) is Verdict.STALE
