"""Snapshots of the fleet state, restored and damaged."""

import msgspec
import pytest

from verbenadeck.fleet import FleetState, compress_snapshot
from verbenadeck.fleet.tests.builders import HOLDS, Recorder, make_fleet
from verbenadeck.model import NodeId, Offset, Shard
from verbenadeck.records import (
    CheckpointChunk,
    LeavePhase,
    NodeLeave,
    Record,
    UpstreamLeave,
    Verdict,
)

_FIELDS_BEFORE_DEPARTURES = 10
_FIELDS_BEFORE_CLAIMS = 11


def _make_varied_fleet() -> Recorder:
    recorder, nodes = make_fleet(5)
    member = recorder.join('watched', witnesses=nodes[:3])
    recorder.assign(nodes[3])
    recorder.assign(member)
    recorder.assign(nodes[4], stop=4)
    recorder.vote(member, nodes[0])
    recorder.add(NodeLeave(nodes[1], LeavePhase.GONE))
    recorder.add(NodeLeave(nodes[2], LeavePhase.DRAINING))
    recorder.add(UpstreamLeave(NodeId('node'), 'instance'))
    recorder.apply_payload(b'noise')
    return recorder


def _compressed_snapshot(state: FleetState) -> bytes:
    return b''.join(compress_snapshot(state.snapshot()))


def test_restored_state_equals_original() -> None:
    recorder = _make_varied_fleet()
    restored = FleetState()
    offset = restored.restore(_compressed_snapshot(recorder.state))
    assert offset.unwrap() == recorder.state.applied_offset
    assert restored.snapshot() == recorder.state.snapshot()
    view = restored.shard(HOLDS, Shard(0))
    assert view == recorder.state.shard(HOLDS, Shard(0))
    assert len(view.earlier_owners) == 2


def test_restored_state_gives_same_verdicts() -> None:
    recorder = _make_varied_fleet()
    restored = FleetState()
    restored.restore(_compressed_snapshot(recorder.state))
    both = Recorder(recorder.state, restored)
    both.payloads = recorder.payloads
    nodes = list(recorder.state.members)
    for node in nodes:
        both.assign(node, first=4)
        both.release(node)
    member = nodes[-1]
    both.vote(member, nodes[1])
    assert restored.snapshot() == recorder.state.snapshot()


def test_repeat_is_duplicate_after_restore() -> None:
    recorder = _make_varied_fleet()
    restored = FleetState()
    restored.restore(_compressed_snapshot(recorder.state))
    again = recorder.payloads[1]
    offset = Offset(len(recorder.payloads))
    assert restored.apply(offset, again) is Verdict.DUPLICATE


@pytest.mark.parametrize('position', (0, 9, 60, -1))
def test_damaged_snapshot_leaves_state_unchanged(position: int) -> None:
    compressed = bytearray(_compressed_snapshot(_make_varied_fleet().state))
    compressed[position] ^= 1
    state = FleetState()
    assert 'digest' in state.restore(bytes(compressed)).failure().detail
    assert state.applied_offset == -1


def test_truncated_snapshot_is_refused() -> None:
    compressed = _compressed_snapshot(_make_varied_fleet().state)
    state = FleetState()
    for length in (0, 5, 8, len(compressed) - 1):
        assert state.restore(compressed[:length]).failure()


def test_restore_notifies_listeners() -> None:
    heard: list[tuple[Offset, Record, Verdict]] = []
    state = FleetState()
    state.subscribe(lambda *applied: heard.append(applied))
    compressed = _compressed_snapshot(_make_varied_fleet().state)
    offset = state.restore(compressed).unwrap()
    replaced = CheckpointChunk(offset, 0, 0, b'')
    assert heard == [(offset, replaced, Verdict.ACCEPTED)]


def test_snapshot_of_a_release_without_departures_is_restored() -> None:
    recorder = _make_varied_fleet()
    fields = msgspec.msgpack.decode(recorder.state.snapshot())
    raw = msgspec.msgpack.encode(fields[:_FIELDS_BEFORE_DEPARTURES])
    restored = FleetState()
    restored.restore(b''.join(compress_snapshot(raw))).unwrap()
    assert restored.members == recorder.state.members
    assert restored.departed_upstreams.get(NodeId('node')) is None


def test_snapshot_of_a_release_without_claims_is_restored() -> None:
    recorder = _make_varied_fleet()
    fields = msgspec.msgpack.decode(recorder.state.snapshot())
    raw = msgspec.msgpack.encode(fields[:_FIELDS_BEFORE_CLAIMS])
    restored = FleetState()
    restored.restore(b''.join(compress_snapshot(raw))).unwrap()
    assert restored.departed_upstreams.get(NodeId('node')) == 'instance'
    assert not restored.claims.is_open


def test_departures_of_many_nodes_are_bounded() -> None:
    recorder = _make_varied_fleet()
    for number in range(600):
        recorder.add(UpstreamLeave(NodeId(f'node-{number}'), 'instance'))
    departed = recorder.state.departed_upstreams
    assert len(departed.encode()) == 512
    assert departed.get(NodeId('node-599')) == 'instance'


@pytest.mark.parametrize('names', [('', 'instance'), ('node', '')])
def test_departure_without_a_name_is_invalid(names: tuple[str, str]) -> None:
    recorder = _make_varied_fleet()
    record = UpstreamLeave(NodeId(names[0]), names[1])
    assert recorder.add(record) is Verdict.INVALID
