"""Decoding of heartbeats and their effect on the upstream adapter."""

import asyncio
from typing import Any

import msgspec
import pytest
from returns.pipeline import is_successful
from returns.result import Result, Success

from verbenadeck.adapters import (
    Announcement,
    HeldRange,
    HoldReply,
    HoldReport,
    KeyHandover,
    LoadReport,
    OrderFault,
    UpstreamDeparture,
)
from verbenadeck.lease._heartbeat_grants import MAX_ROWS
from verbenadeck.model import Fence, ServiceName
from verbenadeck.platform._heartbeats import (
    MAX_REPLY_BYTES,
    Deregistration,
    InstanceHeartbeat,
    read_heartbeat,
    write_reply,
)
from verbenadeck.platform._operator import read_operator_state
from verbenadeck.platform._refusals import HeartbeatError, HeartbeatFault
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.platform.tests.builders import (
    CLOCK,
    EXPECTED_UPSTREAM,
    decode_heartbeat,
    make_config,
    make_heartbeat_body,
    make_route_store,
    make_upstream,
)
from verbenadeck.routes import RouteStore


def _make_heartbeat(instance: str = 'i-1', **changes: Any) -> InstanceHeartbeat:
    body = msgspec.json.encode(make_heartbeat_body(**changes))
    return decode_heartbeat(body, instance).unwrap()


def _make_upstream() -> tuple[
    PlatformUpstream, list[Announcement | UpstreamDeparture]
]:
    upstream = make_upstream()
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
    assert heartbeat.holds is not None
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
        {'holds': None},
        {'holds': 'none'},
        {'freed': {}},
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
    first = upstream.handle_heartbeat(_make_heartbeat(status_sequence=5))
    assert first == Success(HoldReply((), 1))
    for sequence in (5, 4):
        late = _make_heartbeat(status_sequence=sequence)
        fault = upstream.handle_heartbeat(late).failure().fault
        assert fault is OrderFault.OUTDATED


def test_restart_under_same_name_is_announced_as_new_instance() -> None:
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(born=1000, status_sequence=9))
    upstream.handle_heartbeat(_make_heartbeat(born=2000, status_sequence=1))
    instances = [
        event.instance for event in events if isinstance(event, Announcement)
    ]
    assert instances == ['i-1@1000', 'i-1@2000']
    late = _make_heartbeat(born=1000, status_sequence=10)
    fault = upstream.handle_heartbeat(late).failure().fault
    assert fault is OrderFault.OUTDATED


def _deregister(
    upstream: PlatformUpstream, instance: str, started_at_ms: int | None = None
) -> Result[None, HeartbeatError]:
    message = Deregistration(instance, started_at_ms)
    return asyncio.run(upstream.handle_deregister(message))


def test_draining_instance_is_reported_once() -> None:
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=1))
    for sequence in (2, 3):
        upstream.handle_heartbeat(
            _make_heartbeat(status_sequence=sequence, status_state='draining')
        )
    assert events[1:] == [UpstreamDeparture.DRAINING]
    _deregister(upstream, 'another')
    for _ in range(2):
        _deregister(upstream, 'i-1')
    assert events[1:] == [UpstreamDeparture.DRAINING, UpstreamDeparture.LEFT]


def test_late_deregistration_of_an_earlier_life_changes_nothing() -> None:
    upstream, events = _make_upstream()
    heartbeat = _make_heartbeat()
    upstream.handle_heartbeat(heartbeat)
    late = _deregister(upstream, 'i-1', heartbeat.started_at_ms - 1)
    assert late.failure().fault is HeartbeatFault.OTHER_INSTANCE
    assert upstream.is_usable
    _deregister(upstream, 'i-1', heartbeat.started_at_ms)
    assert events[1:] == [UpstreamDeparture.LEFT]


def test_departed_instance_is_not_used_again_after_a_silence() -> None:
    # Guards against a silence that makes the node forget the departure.
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=1))
    _deregister(upstream, 'i-1')
    upstream.mark_lost()
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=2))
    assert not upstream.is_usable
    assert events[-1] is UpstreamDeparture.LEFT


def test_lost_instance_returns_with_its_next_heartbeat() -> None:
    upstream, events = _make_upstream()
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=1))
    upstream.mark_lost()
    is_known = [upstream.is_usable]
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=2))
    is_known.append(upstream.is_usable)
    assert is_known == [False, True]
    assert len(events) == 3


# Guards against a node that learns of a cold instance by its next poll only.
def test_cold_instance_is_reported_before_its_heartbeat_is_acknowledged() -> (
    None
):
    upstream = make_upstream(make_route_store())
    reports: list[LoadReport] = []
    upstream.on_report(reports.append)
    upstream.handle_heartbeat(_make_heartbeat(status_sequence=1))
    upstream.handle_heartbeat(
        _make_heartbeat(status_sequence=2, status_coldRemaining='3s')
    )
    colds = [each.cold_start.cold_until_s > CLOCK.now_s() for each in reports]
    assert colds == [False, True]


def test_changed_rate_of_cold_instances_is_reported_at_once() -> None:
    route_store = make_route_store()
    upstream = make_upstream(route_store)
    upstream.handle_heartbeat(_make_heartbeat(status_coldRemaining='3s'))
    reports: list[LoadReport] = []
    upstream.on_report(reports.append)
    services = {
        'columns': ('name', 'healthPath', 'maxConnections', 'coldPerS'),
        'rows': [['desk', '/health', 110, 7.0]],
    }
    config = make_config('0000000d', services=services)
    route_store.update(read_operator_state(config, frozenset()).unwrap())
    assert [each.cold_start.requests_per_s for each in reports] == [7.0]


def test_longest_reply_fits_into_what_instances_read() -> None:
    last_key = 65_535
    fence = Fence(99_999_999)
    row = HeldRange(last_key, last_key, fence, '0123456789abcdef')
    reply = HoldReply(tuple(row for _ in range(MAX_ROWS)), 9.999)
    assert len(write_reply(reply)) <= MAX_REPLY_BYTES


def test_reply_with_long_texts_is_sent_without_them() -> None:
    # Guards against a reply that the instance does not read: it loses all keys.
    last_key = 65_535
    row = HeldRange(last_key, last_key, Fence(2**53), 'x' * 200)
    reply = HoldReply(tuple(row for _ in range(MAX_ROWS)), 9.999)
    body = write_reply(reply)
    assert len(body) <= MAX_REPLY_BYTES
    rows = msgspec.json.decode(body)['holds']
    assert rows == [[last_key, last_key, 2**53, ''] for _ in reply.held]


@pytest.mark.parametrize('missing', ['holds', 'freed'])
def test_heartbeat_with_one_of_its_two_lists_is_refused(missing: str) -> None:
    body = make_heartbeat_body()
    del body[missing]
    assert not is_successful(decode_heartbeat(msgspec.json.encode(body)))


def _make_heartbeat_without_lists(service: str) -> InstanceHeartbeat:
    body = make_heartbeat_body(info_service=service)
    del body['holds'], body['freed']
    expected = msgspec.structs.replace(
        EXPECTED_UPSTREAM, service=ServiceName(service)
    )
    return read_heartbeat('i-1', msgspec.json.encode(body), expected).unwrap()


@pytest.mark.parametrize(
    ('service', 'is_configured', 'reports'),
    [
        ('desk', True, []),
        ('desk', False, []),
        ('till', True, [HoldReport('i-1@1700000000000', (), ())]),
    ],
)
def test_missing_lists_say_nothing_of_the_keys_of_a_keyed_service(
    service: str, is_configured: bool, reports: list[HoldReport]
) -> None:
    # Guards against giving keys away while their instance holds them.
    route_store = make_route_store() if is_configured else RouteStore()
    upstream = make_upstream(route_store)
    received: list[HoldReport] = []
    upstream.hold_handler = received.append
    result = upstream.handle_heartbeat(_make_heartbeat_without_lists(service))
    assert received == reports
    is_refused = is_configured and service == 'desk'
    assert is_successful(result) is not is_refused
    assert upstream.is_usable is not is_refused


def test_keys_of_a_service_without_keys_are_refused() -> None:
    body = make_heartbeat_body(info_service='till', holds=[[0, 9, 7]])
    expected = msgspec.structs.replace(
        EXPECTED_UPSTREAM, service=ServiceName('till')
    )
    heartbeat = read_heartbeat('i-1', msgspec.json.encode(body), expected)
    upstream = make_upstream(make_route_store())
    result = heartbeat.bind(upstream.handle_heartbeat)
    assert result.failure().fault is HeartbeatFault.UNEXPECTED_LISTS
