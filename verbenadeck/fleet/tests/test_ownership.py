"""Assignment and release of shards."""

from verbenadeck.fleet import MemberState
from verbenadeck.fleet.tests.builders import (
    HOLDS,
    Recorder,
    make_document,
    make_fleet,
    make_join,
)
from verbenadeck.model import (
    NO_FENCE,
    Fence,
    Incarnation,
    Offset,
    ServiceName,
    Shard,
)
from verbenadeck.records import (
    Assign,
    LeavePhase,
    NodeLeave,
    Released,
    ReleasedRange,
    ShardMove,
    Verdict,
)

_SHARD = Shard(3)


def _earlier(recorder: Recorder) -> tuple[Incarnation, ...]:
    return recorder.state.shard(HOLDS, _SHARD).earlier_owners


def test_assignment_uses_its_offset_as_fence() -> None:
    recorder, nodes = make_fleet()
    assert recorder.assign(nodes[0]) is Verdict.ACCEPTED
    view = recorder.state.shard(HOLDS, _SHARD)
    assert view.owner == nodes[0]
    assert view.fence == Fence(recorder.state.applied_offset)
    assert view.earlier_owners == ()
    assert list(recorder.state.owned_by(nodes[0])) == [
        ReleasedRange(HOLDS, 0, 8)
    ]


def test_assignment_with_outdated_fence_is_stale() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0])
    late = recorder.assign(nodes[1], expected=NO_FENCE)
    assert late is Verdict.STALE
    assert recorder.state.shard(HOLDS, _SHARD).owner == nodes[0]


def test_assignment_over_mixed_fences_is_stale() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0], stop=4)
    assert recorder.assign(nodes[1]) is Verdict.STALE
    assert recorder.state.shard(HOLDS, _SHARD).owner == nodes[0]


def test_moves_of_one_record_are_applied_independently() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0], stop=4)
    moves = tuple(
        ShardMove(HOLDS, first, first + 4, NO_FENCE, nodes[1])
        for first in (0, 4)
    )
    assert recorder.add(Assign(moves)) is Verdict.ACCEPTED
    assert recorder.state.shard(HOLDS, Shard(0)).owner == nodes[0]
    assert recorder.state.shard(HOLDS, Shard(4)).owner == nodes[1]


def test_only_joined_member_of_service_can_be_assigned() -> None:
    recorder, nodes = make_fleet()
    recorder.add(NodeLeave(nodes[0], LeavePhase.DRAINING))
    assert recorder.assign(nodes[0]) is Verdict.STALE
    assert recorder.assign(Incarnation(10_000)) is Verdict.STALE
    recorder.add(make_join('other', service=ServiceName('inspections')))
    other = Incarnation(recorder.state.applied_offset)
    assert recorder.assign(other) is Verdict.INVALID


def test_assignment_outside_of_shard_range_is_invalid() -> None:
    recorder, nodes = make_fleet()
    for first, stop in ((-1, 2), (4, 4), (5, 4), (0, 9), (0, 2**63)):
        verdict = recorder.assign(nodes[0], first=0, stop=8, expected=-1)
        assert verdict is not Verdict.INVALID
        move = ShardMove(HOLDS, first, stop, Fence(-1), nodes[0])
        assert recorder.add(Assign((move,))) is Verdict.INVALID


def test_new_owner_waits_for_release_by_previous_owner() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0])
    recorder.assign(nodes[1])
    assert _earlier(recorder) == (nodes[0],)
    assert list(recorder.state.unreleased_by(nodes[0])) == [
        ReleasedRange(HOLDS, 0, 8)
    ]
    assert recorder.release(nodes[0]) is Verdict.ACCEPTED
    assert _earlier(recorder) == ()
    assert recorder.release(nodes[0]) is Verdict.STALE


def test_second_move_waits_for_both_earlier_owners() -> None:
    recorder, nodes = make_fleet()
    for node in nodes[:3]:
        recorder.assign(node)
    assert _earlier(recorder) == (nodes[0], nodes[1])
    recorder.release(nodes[1])
    assert _earlier(recorder) == (nodes[0],)
    recorder.release(nodes[0])
    assert _earlier(recorder) == ()


def test_delayed_release_does_not_cover_later_assignment() -> None:
    recorder, nodes = make_fleet()
    first, second, third = nodes[:3]
    recorder.assign(first)
    recorder.assign(second)
    decided_at = recorder.state.applied_offset
    recorder.assign(first)
    recorder.assign(third)
    late = recorder.release(first, as_of=decided_at)
    assert late is Verdict.STALE
    assert first in _earlier(recorder)
    assert recorder.release(first) is Verdict.ACCEPTED
    assert _earlier(recorder) == (second,)


def test_release_of_future_offset_is_invalid() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0])
    recorder.assign(nodes[1])
    future = Offset(recorder.state.applied_offset + 1)
    everything = (ReleasedRange(HOLDS, 0, 8),)
    verdict = recorder.add(Released(nodes[0], everything, future))
    assert verdict is Verdict.INVALID
    assert _earlier(recorder) == (nodes[0],)


def test_returned_shard_waits_for_intermediate_owner() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0])
    recorder.assign(nodes[1])
    recorder.assign(nodes[0])
    assert _earlier(recorder) == (nodes[1],)


def test_departed_owner_needs_no_release() -> None:
    recorder, nodes = make_fleet()
    recorder.assign(nodes[0])
    recorder.assign(nodes[1])
    recorder.add(NodeLeave(nodes[0], LeavePhase.GONE))
    assert recorder.state.state_of(nodes[0]) is MemberState.GONE
    assert _earlier(recorder) == ()
    recorder.add(NodeLeave(nodes[1], LeavePhase.GONE))
    assert recorder.state.shard(HOLDS, _SHARD).owner == nodes[1]
    recorder.assign(nodes[2])
    assert _earlier(recorder) == ()


def test_document_that_changes_shard_count_is_invalid() -> None:
    recorder, _nodes = make_fleet()
    assert recorder.publish(make_document(holds=16)) is Verdict.INVALID
    assert recorder.publish(make_document(other=4)) is Verdict.ACCEPTED
    assert recorder.publish(make_document(holds=16)) is Verdict.INVALID
    assert recorder.publish(make_document(holds=8)) is Verdict.ACCEPTED
    assert recorder.state.shard_count(HOLDS) == 8
