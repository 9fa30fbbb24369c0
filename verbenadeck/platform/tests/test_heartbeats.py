"""Heartbeats of instances and what they lead to."""

from typing import Any

import msgspec
import pytest
from returns.pipeline import is_successful

from verbenadeck.adapters import (
    Announcement,
    HeldRange,
    HoldReply,
    KeyHandover,
    UpstreamDeparture,
)
from verbenadeck.lease._heartbeat_grants import MAX_ROWS
from verbenadeck.model import Fence
from verbenadeck.platform._heartbeats import (
    MAX_REPLY_BYTES,
    InstanceHeartbeat,
    read_heartbeat,
    write_reply,
)
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.platform.tests.builders import CLOCK, make_beat
from verbenadeck.routes import RouteStore


def _beat(instance: str = 'i-1', **changes: Any) -> InstanceHeartbeat:
    body = msgspec.json.encode(make_beat(**changes))
    return read_heartbeat(instance, body).unwrap()


def _upstream() -> tuple[
    PlatformUpstream, list[Announcement | UpstreamDeparture]
]:
    upstream = PlatformUpstream(clock=CLOCK, route_store=RouteStore())
    seen: list[Announcement | UpstreamDeparture] = []
    upstream.on_announce(seen.append)
    upstream.on_departure(seen.append)
    upstream.hold_handler = lambda _report: HoldReply((), 1)
    return upstream, seen


def test_a_beat_is_decoded() -> None:
    beat = _beat(
        holds=[[0, 4095, 7]],
        freed=[[4096, 8191, 'text']],
        status_coldRemaining='2.5s',
    )
    assert (beat.address, beat.slots) == (('10.1.0.41', 8628), 18)
    assert beat.cold_s == pytest.approx(2.5)
    assert beat.holds.held == (HeldRange(0, 4095, Fence(7)),)
    assert beat.holds.released == (KeyHandover(4096, 8191, 'text'),)


@pytest.mark.parametrize(
    'changes',
    [
        {'born': 'now'},
        {'born': True},
        {'address': 7},
        {'address': 'nowhere'},
        {'info': None},
        {'info_slots': '18'},
        {'info_service': None},
        {'status_state': 'dancing'},
        {'status_sequence': 1.5},
        {'holds': [[1, 2]]},
        {'holds': [['a', 2, 3]]},
    ],
)
def test_a_beat_of_another_writer_names_no_instance(
    changes: dict[str, Any],
) -> None:
    body = msgspec.json.encode(make_beat(**changes))
    assert not is_successful(read_heartbeat('i-1', body))


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'7', b'null'])
def test_bytes_that_are_no_beat_name_no_instance(body: bytes) -> None:
    assert not is_successful(read_heartbeat('i-1', body))


def test_a_later_beat_wins_over_one_that_was_delayed() -> None:
    upstream, _ = _upstream()
    assert upstream.handle_heartbeat(_beat(status_sequence=5)) is not None
    assert upstream.handle_heartbeat(_beat(status_sequence=5)) is None
    assert upstream.handle_heartbeat(_beat(status_sequence=4)) is None


def test_the_same_name_with_a_later_birth_is_a_new_life() -> None:
    upstream, seen = _upstream()
    upstream.handle_heartbeat(_beat(born=1000, status_sequence=9))
    upstream.handle_heartbeat(_beat(born=2000, status_sequence=1))
    lives = [one.instance for one in seen if isinstance(one, Announcement)]
    assert lives == ['i-1@1000', 'i-1@2000']
    assert (
        upstream.handle_heartbeat(_beat(born=1000, status_sequence=10)) is None
    )


def test_an_instance_that_drains_ends_once() -> None:
    upstream, seen = _upstream()
    upstream.handle_heartbeat(_beat(status_sequence=1))
    for sequence in (2, 3):
        upstream.handle_heartbeat(
            _beat(status_sequence=sequence, status_state='draining')
        )
    assert seen[1:] == [UpstreamDeparture.DRAINING]
    upstream.handle_deregister('another')
    upstream.handle_deregister('i-1')
    assert seen[1:] == [UpstreamDeparture.DRAINING, UpstreamDeparture.LEFT]


def test_a_forgotten_instance_comes_back_with_its_next_beat() -> None:
    upstream, seen = _upstream()
    upstream.handle_heartbeat(_beat(status_sequence=1))
    upstream.mark_lost()
    is_known = [upstream.is_known]
    upstream.handle_heartbeat(_beat(status_sequence=2))
    is_known.append(upstream.is_known)
    assert is_known == [False, True]
    assert len(seen) == 3


def test_the_longest_reply_is_one_that_instances_read() -> None:
    last_key = 65_535
    fence = Fence(99_999_999)
    row = HeldRange(last_key, last_key, fence, '0123456789abcdef')
    reply = HoldReply(tuple(row for _ in range(MAX_ROWS)), 9.999)
    assert len(write_reply(reply)) <= MAX_REPLY_BYTES
