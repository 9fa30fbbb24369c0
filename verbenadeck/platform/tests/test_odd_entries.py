"""Odd entries of other writers: none ends a process or stops a follower."""

import asyncio
import random
from typing import Any

import msgspec
import pytest
from returns.pipeline import is_successful

from verbenadeck.adapters import LogFailure
from verbenadeck.fleet import FleetState
from verbenadeck.journal import ReadOptions, SourcePlanner
from verbenadeck.journal.tests.builders import FaultyAdapter
from verbenadeck.journal.tests.start_fleets import RetainingAdapter
from verbenadeck.model import Era, NodeId, Offset
from verbenadeck.peers import PeerAddress
from verbenadeck.platform._frames import (
    make_record,
    read_appended,
    read_page,
)
from verbenadeck.platform._keyed_state import read_newest_page
from verbenadeck.platform._operator import read_operator_state
from verbenadeck.platform._operator_records import (
    make_operator_follower,
    make_records_handler,
)
from verbenadeck.platform._refusals import HeartbeatFault
from verbenadeck.platform._units import read_address, read_time_s
from verbenadeck.platform.tests.builders import (
    CLOCK,
    decode_heartbeat,
    make_config,
    make_heartbeat_body,
    make_upstream,
)
from verbenadeck.routes import RouteStore
from verbenadeck.testing import (
    FakeNetwork,
    MemoryLog,
    run_virtual,
    virtual_clock,
)

_NESTED = b''.join((b'[' * 200_000, b']' * 200_000))
_MALFORMED = (
    _NESTED,
    b'{"version":%s}' % _NESTED,
    b'{"version":"1","routes":{"columns":["name"],"rows":[[1e999]]}}',
    b'{"version":"%s","routes":{}}' % (b'9' * 5_000),
    b'\xff\xfe',
    b'',
)
_YEAR_MS = 31_536_000_000


@pytest.mark.parametrize('index', range(len(_MALFORMED)))
def test_malformed_entry_is_a_failure(index: int) -> None:
    body = _MALFORMED[index]
    assert not is_successful(read_operator_state(body, frozenset()))
    assert not is_successful(decode_heartbeat(body))


@pytest.mark.parametrize('text', ['a:0', 'a:65536', 'a:-1', 'a:99999999', 'a:'])
def test_port_out_of_range_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match=r'port|int'):
        read_address(text)


@pytest.mark.parametrize('text', ['1e999s', 'nans', '-infms', 's', 7])
def test_time_that_is_no_finite_number_is_refused(text: object) -> None:
    with pytest.raises(ValueError, match=r'time|float'):
        read_time_s(text)


@pytest.mark.parametrize(
    'change',
    [
        {'born': 10**30},
        {'status_sequence': -1},
        {'info_slots': 10**20},
        {'info_slots': 0},
        {'status_coldRemaining': '1e300s'},
        {'status_coldRemaining': '-1s'},
    ],
)
def test_heartbeat_with_a_number_out_of_range_is_refused(
    change: dict[str, Any],
) -> None:
    body = msgspec.json.encode(make_heartbeat_body(**change))
    assert not is_successful(decode_heartbeat(body))


@pytest.mark.parametrize('name', ['holds', 'freed'])
@pytest.mark.parametrize(
    'keys', [(0, 2**53 - 1), (65_536, 65_536), (0, 65_536), (9, 8), (-1, 4)]
)
def test_heartbeat_with_keys_out_of_range_is_refused(
    name: str, keys: tuple[int, int]
) -> None:
    # Guards against a set of shards as large as a number in the message.
    row = (*keys, 7 if name == 'holds' else 'text')
    body = msgspec.json.encode(make_heartbeat_body(**{name: [row]}))
    assert not is_successful(decode_heartbeat(body))


@pytest.mark.parametrize(
    'change', [{'info_service': 'x' * 9_999}, {'status_state': 'x' * 9_999}]
)
def test_detail_of_a_refusal_is_short(change: dict[str, Any]) -> None:
    body = msgspec.json.encode(make_heartbeat_body(**change))
    assert len(decode_heartbeat(body).failure().detail) <= 200


@pytest.mark.parametrize(
    ('change', 'fault'),
    [
        ({'info_service': 'unnamed'}, HeartbeatFault.OTHER_SERVICE),
        ({'address': '10.1.0.42:8628'}, HeartbeatFault.OTHER_ADDRESS),
        ({'info_zone': 'nadi'}, HeartbeatFault.OTHER_ZONE),
        ({'info_zone': None}, HeartbeatFault.OTHER_ZONE),
    ],
)
def test_heartbeat_that_contradicts_the_settings_is_refused(
    change: dict[str, Any], fault: HeartbeatFault
) -> None:
    # Guards against taking another writer's heartbeat for a restart.
    body = msgspec.json.encode(make_heartbeat_body(**change))
    assert decode_heartbeat(body).failure().fault is fault


@pytest.mark.parametrize('field', ['address', 'born', 'info', 'status'])
def test_heartbeat_without_a_field_is_refused(field: str) -> None:
    body = make_heartbeat_body()
    del body[field]
    assert not is_successful(decode_heartbeat(msgspec.json.encode(body)))


@pytest.mark.parametrize(
    ('outer_field', 'inner_field'),
    [
        ('info', 'service'),
        ('info', 'version'),
        ('info', 'zone'),
        ('info', 'slots'),
        ('status', 'state'),
        ('status', 'sequence'),
        ('status', 'coldRemaining'),
    ],
)
def test_heartbeat_without_an_inner_field_is_refused(
    outer_field: str, inner_field: str
) -> None:
    body = make_heartbeat_body()
    del body[outer_field][inner_field]
    assert not is_successful(decode_heartbeat(msgspec.json.encode(body)))


def test_heartbeat_from_the_future_does_not_outdate_the_instance() -> None:
    upstream = make_upstream()

    def receive(instance: str, born_ms: int) -> None:
        body = msgspec.json.encode(make_heartbeat_body(born=born_ms))
        upstream.handle_heartbeat(decode_heartbeat(body, instance).unwrap())

    now_ms = int(CLOCK.wall_s() * 1000)
    receive('i-odd', now_ms + _YEAR_MS)
    assert not upstream.is_usable
    receive('i-1', now_ms)
    assert upstream.is_usable


@pytest.mark.parametrize(
    'body',
    [
        b'\xff',
        b'{"items":[],"more":true,"end":3}',
        b'{"items":[],"more":false,"end":-1}',
        b'{"items":[{"key":"b","value":"YQ==","offset":0}],"more":true,"end":3}',
        b'{"items":[{"key":"c","value":"YQ","offset":0}],"more":false,"end":3}',
        b'{"items":[{"key":"c","value":"YQ==","offset":-1}],"more":false,"end":3}',
    ],
)
def test_malformed_page_of_newest_records_is_a_failure(body: bytes) -> None:
    # Guards against a start that ends or never ends by an answer of the store.
    assert not is_successful(read_newest_page(200, body, 'b'))


def test_answer_to_an_append_with_an_odd_offset_leaves_it_unknown() -> None:
    for body in (b'{"offset":-1}', b'{"offset":1e999}', b'\xff'):
        failure = read_appended(200, body).failure().failure
        assert failure is LogFailure.UNKNOWN


def test_answer_cut_within_a_record_returns_the_whole_ones() -> None:
    length = (5).to_bytes(4, 'big')
    body = b''.join((bytes(16), length, b'whole', length, b'cu'))
    page = read_page(200, body, Offset(0), Era(0)).unwrap()
    assert page.records == (b'whole',)


def test_follower_goes_on_after_an_odd_entry() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        clock = virtual_clock()
        route_store = RouteStore()
        transport = FakeNetwork().transport(PeerAddress('127.0.0.1', 1), clock)
        adapter: FaultyAdapter = RetainingAdapter(stream, clock)
        follower = make_operator_follower(
            adapter=adapter,
            clock=clock,
            random_source=random.Random(1),
            transport=transport,
            planner=SourcePlanner(
                fleet=FleetState(),
                node_id=NodeId('node-1'),
                random_source=random.Random(1),
                direct_readers=1,
            ),
            options=ReadOptions(),
            on_records=make_records_handler(route_store),
        )
        await follower.start()
        for content in (*_MALFORMED[:-1], make_config('0000000d')):
            stream.records.append(make_record('config', content))
            await asyncio.sleep(1)
        assert route_store.state is not None
        assert route_store.state.version == 13
        await follower.stop()

    run_virtual(scenario())
