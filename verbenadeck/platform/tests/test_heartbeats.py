"""Decoding of heartbeats and their effect on the upstream adapter."""

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
    write_reply,
)
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.platform.tests.builders import (
    CLOCK,
    decode_heartbeat,
    make_heartbeat_body,
)
from verbenadeck.routes import RouteStore


def _make_heartbeat(instance: str = 'i-1', **changes: Any) -> InstanceHeartbeat:
    body = msgspec.json.encode(make_heartbeat_body(**changes))
    return decode_heartbeat(body, instance).unwrap()


def _make_upstream() -> tuple[
    PlatformUpstream, list[Announcement | UpstreamDeparture]
]:
    upstream = PlatformUpstream(clock=CLOCK, route_store=RouteStore())
    events: list[Announcement | UpstreamDeparture] = []
    upstream.on_announce(events.append)
    upstream.on_departure(events.append)
    upstream.hold_handler = lambda _report: HoldReply((), 1)
    return upstream, events


def test_heartbeat_is_decoded() -> None:
    heartbeat = _make_heartbeat(
        holds=[[0, 4095, 7]],
        freed=[[4096, 8191, 'text']],
        status_coldRemaining='2.5s',
    )
    assert (heartbeat.address, heartbeat.slots) == (('10.1.0.41', 8628), 18)
    assert heartbeat.cold_remaining_s == pytest.approx(2.5)
    assert heartbeat.holds.held == (HeldRange(0, 4095, Fence(7)),)
    assert heartbeat.holds.released == (KeyHandover(4096, 8191, 'text'),)


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
def test_heartbeat_with_invalid_field_is_refused(
    changes: dict[str, Any],
) -> None:
    body = msgspec.json.encode(make_heartbeat_body(**changes))
    assert not is_successful(decode_heartbeat(body))


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'7', b'null'])
def test_body_that_is_not_a_heartbeat_is_refused(body: bytes) -> None:
    assert not is_successful(decode_heartbeat(body))


def test_delayed_or_repeated_heartbeat_is_ignored() -> None:
    upstream, _ = _make_upstream()
    assert (
        upstream.handle_heartbeat(_make_heartbeat(status_sequence=5))
        is not None
    )
    assert upstream.handle_heartbeat(_make_heartbeat(status_sequence=5)) is None
    assert upstream.handle_heartbeat(_make_heartbeat(status_sequence=4)) is None


def test_restart_under_same_name_is_announced_as_new_instance() -> None:
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(born=1000, status_sequence=9))
    upstream.handle_heartbeat(_make_heartbeat(born=2000, status_sequence=1))
    instances = [
        event.instance for event in events if isinstance(event, Announcement)
    ]
    assert instances == ['i-1@1000', 'i-1@2000']
    assert (
        upstream.handle_heartbeat(
            _make_heartbeat(born=1000, status_sequence=10)
        )
        is None
    )


def test_draining_instance_is_reported_once() -> None:
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=1))
    for sequence in (2, 3):
        upstream.handle_heartbeat(
            _make_heartbeat(status_sequence=sequence, status_state='draining')
        )
    assert events[1:] == [UpstreamDeparture.DRAINING]
    upstream.handle_deregister('another')
    upstream.handle_deregister('i-1')
    assert events[1:] == [UpstreamDeparture.DRAINING, UpstreamDeparture.LEFT]


def test_lost_instance_returns_with_its_next_heartbeat() -> None:
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=1))
    upstream.mark_lost()
    is_known = [upstream.is_known]
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=2))
    is_known.append(upstream.is_known)
    assert is_known == [False, True]
    assert len(events) == 3


def test_longest_reply_fits_into_what_instances_read() -> None:
    last_key = 65_535
    fence = Fence(99_999_999)
    row = HeldRange(last_key, last_key, fence, '0123456789abcdef')
    reply = HoldReply(tuple(row for _ in range(MAX_ROWS)), 9.999)
    assert len(write_reply(reply)) <= MAX_REPLY_BYTES
