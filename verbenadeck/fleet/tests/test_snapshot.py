import pytest

from verbenadeck.fleet import FleetState, compress_snapshot
from verbenadeck.fleet.tests.builders import HOLDS, Recorder, make_fleet
from verbenadeck.model import Offset, Shard
from verbenadeck.records import (
    CheckpointChunk,
    LeavePhase,
    NodeLeave,
    Record,
    Verdict,
)


def _busy_fleet() -> Recorder:
    recorder, nodes = make_fleet(5)
    member = recorder.join('watched', witnesses=nodes[:3])
    recorder.assign(nodes[3])
    recorder.assign(member)
    recorder.assign(nodes[4], stop=4)
    recorder.vote(member, nodes[0])
    recorder.add(NodeLeave(nodes[1], LeavePhase.GONE))
    recorder.add(NodeLeave(nodes[2], LeavePhase.DRAINING))
    recorder.put_payload(b'noise')
    return recorder


def _packed(state: FleetState) -> bytes:
    return b''.join(compress_snapshot(state.snapshot()))


def test_a_restored_state_is_the_same() -> None:
    recorder = _busy_fleet()
    restored = FleetState()
    offset = restored.restore(_packed(recorder.state))
    assert offset.unwrap() == recorder.state.applied_offset
    assert restored.snapshot() == recorder.state.snapshot()
    view = restored.shard(HOLDS, Shard(0))
    assert view == recorder.state.shard(HOLDS, Shard(0))
    assert len(view.earlier_owners) == 2


def test_a_restored_state_judges_the_rest_alike() -> None:
    recorder = _busy_fleet()
    restored = FleetState()
    restored.restore(_packed(recorder.state))
    both = Recorder(recorder.state, restored)
    both.payloads = recorder.payloads
    nodes = list(recorder.state.members)
    for node in nodes:
        both.assign(node, first=4)
        both.release(node)
    member = nodes[-1]
    both.vote(member, nodes[1])
    assert restored.snapshot() == recorder.state.snapshot()


def test_repeats_are_known_after_a_restore() -> None:
    recorder = _busy_fleet()
    restored = FleetState()
    restored.restore(_packed(recorder.state))
    again = recorder.payloads[1]
    offset = Offset(len(recorder.payloads))
    assert restored.apply(offset, again) is Verdict.DUPLICATE


@pytest.mark.parametrize('position', (0, 9, 60, -1))
def test_a_damaged_snapshot_changes_nothing(position: int) -> None:
    packed = bytearray(_packed(_busy_fleet().state))
    packed[position] ^= 1
    state = FleetState()
    assert 'digest' in state.restore(bytes(packed)).failure().detail
    assert state.applied_offset == -1


def test_a_snapshot_cut_short_changes_nothing() -> None:
    packed = _packed(_busy_fleet().state)
    state = FleetState()
    for length in (0, 5, 8, len(packed) - 1):
        assert state.restore(packed[:length]).failure()


def test_listeners_hear_of_a_restore() -> None:
    heard: list[tuple[Offset, Record, Verdict]] = []
    state = FleetState()
    state.subscribe(lambda *applied: heard.append(applied))
    packed = _packed(_busy_fleet().state)
    offset = state.restore(packed).unwrap()
    replaced = CheckpointChunk(offset, 0, 0, b'')
    assert heard == [(offset, replaced, Verdict.ACCEPTED)]
