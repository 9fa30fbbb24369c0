"""Operators' configuration and its effect on calls of callers."""

import asyncio
import random
from typing import Any

import msgspec
import pytest
from returns.pipeline import is_successful

from verbenadeck.adapters import CallerFormat, CallerRequest
from verbenadeck.fleet import FleetState
from verbenadeck.journal import (
    ReadOptions,
    SourcePlanner,
    StreamFollower,
)
from verbenadeck.model import NodeId, Outcome, RefusalReason, ServiceName, Zone
from verbenadeck.peers import PeerAddress
from verbenadeck.platform._callers import make_caller_format
from verbenadeck.platform._operator import (
    TOPIC,
    OperatorTopic,
    read_operator_state,
)
from verbenadeck.platform._operator_records import (
    make_operator_follower,
    make_records_handler,
)
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform.tests.builders import (
    CLOCK,
    make_config,
    running_store,
)
from verbenadeck.routes import RouteStore, make_service_selector
from verbenadeck.testing import FakeNetwork

_HEADERS = (
    ('Host', 'a.example:80'),
    ('Request-Id', 'abc'),
    ('Deadline-Ms', '3000'),
    ('Shard-Key', '77'),
    ('Caller-Service', 'forged'),
    ('X-Own', 'kept'),
    ('Connection', 'close'),
)


def _make_route_store(*configs: bytes) -> RouteStore:
    route_store = RouteStore()
    for config in configs:
        route_store.update(read_operator_state(config, frozenset()).unwrap())
    return route_store


def _make_follower(
    client: StoreClient, route_store: RouteStore
) -> StreamFollower:
    return make_operator_follower(
        adapter=OperatorTopic(client, clock=CLOCK),
        clock=CLOCK,
        random_source=random.Random(1),
        transport=FakeNetwork().transport(PeerAddress('127.0.0.1', 1), CLOCK),
        planner=SourcePlanner(
            fleet=FleetState(),
            node_id=NodeId('node-1'),
            random_source=random.Random(1),
            direct_readers=1,
        ),
        options=ReadOptions(),
        on_records=make_records_handler(route_store),
    )


async def _wait_until(is_met: object) -> None:
    for _ in range(200):
        if is_met():  # type: ignore[operator]
            return
        await asyncio.sleep(0.02)
    pytest.fail('the condition was not met within 4 s')


def test_configuration_rows_become_routes_and_services() -> None:
    state = read_operator_state(make_config(), frozenset()).unwrap()
    route = {each.name: each for each in state.routes}['r1']
    assert state.version == 12
    assert (route.timeout_s, route.objective_s) == (1.5, 0.5)
    assert (route.host, route.is_repeatable) == ('a.example', True)
    assert state.services[ServiceName('desk')].is_keyed
    assert not state.services[ServiceName('till')].is_keyed
    assert state.limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    'record',
    [
        b'',
        b'{}',
        b'[]',
        make_config(version='not a number'),
        make_config(routes={'columns': ['name'], 'rows': [['r']]}),
        make_config(limits={'idleTimeout': 15}),
    ],
)
def test_malformed_configuration_is_a_failure(record: bytes) -> None:
    assert not is_successful(read_operator_state(record, frozenset()))


def _make_config_with(row_change: dict[str, object]) -> bytes:
    config = msgspec.json.decode(make_config())
    columns = config['routes']['columns']
    row = config['routes']['rows'][0]
    for column, cell in row_change.items():
        row[columns.index(column)] = cell
    return msgspec.json.encode(config)


@pytest.mark.parametrize(
    'row_change',
    [
        {'name': ''},
        {'host': 7},
        {'pathPrefix': 'read'},
        {'timeout': '-1s'},
        {'targetLatency': '-1s'},
        {'priority': -1},
        {'priority': 1.5},
        {'maxAttempts': 0},
        {'maxAttempts': 10**30},
        {'trafficSplit': [{'service': 'desk', 'weight': -1}]},
        {'trafficSplit': [{'service': 'desk', 'weight': 0}]},
        {'trafficSplit': [{'service': None, 'weight': 1}]},
    ],
)
def test_route_with_a_field_out_of_range_is_refused_with_the_whole(
    row_change: dict[str, object],
) -> None:
    # Guards against an entry of another writer that every route suffers from.
    record = _make_config_with(row_change)
    assert not is_successful(read_operator_state(record, frozenset()))


@pytest.mark.parametrize(
    'changes',
    [
        {'version': '-000000c'},
        {'version': '0_0_0_0c'},
        {'version': '9' * 5_000},
        {'version': 12},
        {'limits': {'maxBodyBytes': -1}},
        {'limits': {'maxHeaderBytes': 0}},
        {'limits': {'idleTimeout': '-1s'}},
        {'services': {'columns': ['name', 'coldPerS'], 'rows': [['a', -1]]}},
        {'services': {'columns': ['name'], 'rows': [['']]}},
    ],
)
def test_configuration_with_a_field_out_of_range_is_refused(
    changes: dict[str, Any],
) -> None:
    # Guards against a version that outdates all that follow.
    record = make_config(**changes)
    assert not is_successful(read_operator_state(record, frozenset()))


def test_older_configuration_version_is_ignored() -> None:
    route_store = _make_route_store(
        make_config('0000000c'), make_config('0000000b')
    )
    assert route_store.state is not None
    assert route_store.state.version == 12


def test_follower_applies_changes_and_recovers_after_expired_records() -> None:
    async def main() -> None:
        async with running_store() as (store, client):
            route_store = RouteStore()
            follower = _make_follower(client, route_store)
            await store.write(TOPIC, 'config', make_config('00000001'))
            await follower.start()
            await _wait_until(lambda: route_store.state)
            await store.write(TOPIC, 'evacuate/suva', b'{}')
            await _wait_until(
                lambda: route_store.state and route_store.state.zones_out
            )
            assert route_store.state is not None
            assert route_store.state.zones_out == {Zone('suva')}
            store.faults.is_down = True
            await store.write(TOPIC, 'evacuate/suva', b'')
            await store.write(TOPIC, 'config', make_config('00000005'))
            store.topic(TOPIC).first = len(store.topic(TOPIC).records)
            store.faults.is_down = False
            await _wait_until(
                lambda: route_store.state and route_store.state.version == 5
            )
            assert not route_store.state.zones_out
            await follower.stop()

    asyncio.run(main())


def _make_caller_format() -> CallerFormat:
    return make_caller_format(
        route_store=_make_route_store(make_config()),
        pick_service=make_service_selector(),
        own_service=lambda: ServiceName('here'),
    )


def test_call_gets_settings_of_its_route() -> None:
    caller_format = _make_caller_format()
    fields = caller_format.read_call('/read/x?y=1', _HEADERS).unwrap()
    assert (fields.service, fields.path) == ('desk', '/read/x?y=1')
    assert (fields.key, fields.request_id) == ('77', 'abc')
    assert (fields.timeout_s, fields.objective_s) == (1.5, 0.5)
    assert fields.is_repeatable
    assert dict(fields.headers) == {
        'Host': 'a.example:80',
        'Caller-Service': 'here',
        'X-Own': 'kept',
    }


def _read_attempt(
    caller_format: CallerFormat, remaining_ms: int
) -> CallerRequest:
    headers = (('Host', 'a.example'), ('Deadline-Ms', str(remaining_ms)))
    return caller_format.read_call('/read/x', headers).unwrap()


# Guards against requests that are refused as late although they are fresh,
# since their callers wait for less time than others do.
def test_callers_of_different_patience_have_the_whole_objective() -> None:
    caller_format = _make_caller_format()
    for remaining_ms in range(2600, 3100, 10):
        _read_attempt(caller_format, remaining_ms)
    for remaining_ms in (3000, 2800, 2600):
        fields = _read_attempt(caller_format, remaining_ms)
        assert fields.objective_s == pytest.approx(0.5)


@pytest.mark.parametrize('deadline', ('', 'soon', 'nan', 'inf', '-inf'))
def test_caller_without_valid_deadline_gets_that_of_the_route(
    deadline: str,
) -> None:
    headers = (('Host', 'a.example'), ('Deadline-Ms', deadline))
    fields = _make_caller_format().read_call('/read/x', headers).unwrap()
    assert fields.timeout_s == pytest.approx(1.5)


def test_objective_shrinks_when_a_refused_caller_comes_again() -> None:
    caller_format = _make_caller_format()
    for _ in range(50):
        fields = _read_attempt(caller_format, 3000)
        assert fields.on_refused is not None
        fields.on_refused()
        _read_attempt(caller_format, 2800)
    fields = _read_attempt(caller_format, 2800)
    assert fields.objective_s == pytest.approx(0.3)
    assert fields.is_returning
    fields = _read_attempt(caller_format, 3000)
    assert fields.objective_s == pytest.approx(0.5)
    assert not fields.is_returning


def test_call_without_known_routes_is_refused_with_503_and_retry_after() -> (
    None
):
    caller_format = make_caller_format(
        route_store=RouteStore(),
        pick_service=make_service_selector(),
        own_service=lambda: ServiceName('here'),
    )
    refusal = caller_format.read_call('/read/x', _HEADERS).failure()
    assert refusal.reason is RefusalReason.NO_CONFIG
    answer = caller_format.write_refusal(refusal, None)
    assert answer.status == 503
    assert 'Retry-After' in dict(answer.headers)


def test_unknown_route_is_refused_with_404() -> None:
    caller_format = make_caller_format(
        route_store=_make_route_store(make_config()),
        pick_service=make_service_selector(),
        own_service=lambda: ServiceName('here'),
    )
    refusal = caller_format.read_call('/write/x', _HEADERS).failure()
    assert refusal.outcome is Outcome.NOT_RUN
    assert caller_format.write_refusal(refusal, None).status == 404


def test_traffic_split_keeps_its_weights_over_few_requests() -> None:
    route_store = _make_route_store(make_config())
    route = route_store.find('a.example', '/read/split/1')
    assert route is not None
    pick = make_service_selector()
    picked = [pick(route) for _ in range(20)]
    assert picked.count(ServiceName('till')) == 2
