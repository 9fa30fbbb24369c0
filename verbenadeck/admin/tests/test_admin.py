import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest

from verbenadeck.adapters import write_owner_hint
from verbenadeck.admin import AdminServer, make_owner_hint
from verbenadeck.admin.tests.builders import (
    FakeNode,
    make_fake_node,
    make_request,
    make_server,
)

_Answer = tuple[int, str]
_Ask = Callable[..., Awaitable[_Answer]]


def _serve(
    fake_node: FakeNode, scenario: Callable[[_Ask, AdminServer], Awaitable[Any]]
) -> Any:
    async def run() -> Any:
        server = make_server(fake_node)
        await server.start()
        base = f'http://127.0.0.1:{server.port}'
        async with aiohttp.ClientSession(base) as session:

            async def ask(
                path: str, method: str = 'GET', **options: Any
            ) -> _Answer:
                async with session.request(method, path, **options) as answer:
                    return answer.status, await answer.text()

            try:
                return await scenario(ask, server)
            finally:
                await server.stop()

    return asyncio.run(run())


def _ask(
    fake_node: FakeNode, path: str, method: str = 'GET', **options: Any
) -> Any:
    async def scenario(ask: _Ask, _server: AdminServer) -> _Answer:
        return await ask(path, method, **options)

    return _serve(fake_node, scenario)


def test_status_tells_owned_shards_lease_config_and_members() -> None:
    status, text = _ask(make_fake_node(), '/status')
    shown = json.loads(text)
    assert status == 200
    assert shown['owned_shards'] == {'holds': 8}
    assert shown['lease_remaining_s'] == pytest.approx(1.5)
    assert (shown['config_version'], shown['config_author']) == (1, 'ana')
    assert [one['node_id'] for one in shown['members']] == [
        'node-0',
        'node-1',
        'node-2',
    ]
    assert shown['zones'] == [
        {'zone': 'suva', 'members': 3, 'is_out': False, 'reason': ''}
    ]


def test_brief_status_leaves_members_out() -> None:
    _status, text = _ask(make_fake_node(), '/status?brief=1')
    assert json.loads(text)['members'] == []


def test_status_before_the_join_is_absent() -> None:
    fake_node = make_fake_node()
    fake_node.own = None
    _status, text = _ask(fake_node, '/status')
    shown = json.loads(text)
    assert (shown['state'], shown['incarnation']) == ('absent', -1)
    assert shown['owned_shards'] == {}


def test_a_lease_without_an_end_is_null() -> None:
    fake_node = make_fake_node()
    fake_node.lease_deadline_s = float('inf')
    _status, text = _ask(fake_node, '/status')
    assert json.loads(text)['lease_remaining_s'] is None


def test_owner_names_node_shard_and_fence() -> None:
    status, text = _ask(make_fake_node(), '/owner?service=holds&key=oven-17')
    shown = json.loads(text)
    assert status == 200
    assert (shown['node_id'], shown['entry_port']) == ('node-0', 8000)
    assert shown['fence'] == 4
    assert shown['is_settled']


@pytest.mark.parametrize(
    ('query', 'status', 'text'),
    [
        ('', 400, 'query lacks: key, service'),
        ('?service=holds', 400, 'query lacks: key'),
        ('?service=ghost&key=a', 404, "service 'ghost' is unknown"),
        ('?service=holds&key=', 400, 'a key has from 1 to 1000 characters'),
        ('?service=holds&key={}'.format('k' * 1001), 400, 'a key has from 1'),
    ],
)
def test_bad_questions_for_an_owner_are_explained(
    query: str, status: int, text: str
) -> None:
    found_status, found = _ask(make_fake_node(), f'/owner{query}')
    assert found_status == status
    assert text in json.loads(found)['error']


def test_ready_says_why_not() -> None:
    fake_node = make_fake_node()
    fake_node.why_unready = 'no upstream has announced itself'
    status, text = _ask(fake_node, '/ready')
    assert status == 503
    assert json.loads(text)['error'] == fake_node.why_unready
    fake_node.why_unready = ''
    assert _ask(fake_node, '/ready')[0] == 200


def test_metrics_are_in_the_text_format() -> None:
    status, text = _ask(make_fake_node(), '/metrics')
    assert status == 200
    assert 'verbenadeck_hedges_total 1.0' in text
    assert 'verbenadeck_owned_shards 8.0' in text
    assert 'verbenadeck_lease_remaining_seconds 1.5' in text
    assert 'verbenadeck_log_age_seconds 0.5' in text
    assert 'verbenadeck_ready 1.0' in text


def test_drain_is_handed_on() -> None:
    fake_node = make_fake_node()
    assert _ask(fake_node, '/drain', 'POST')[0] == 202
    assert fake_node.drains == ['drain']


def test_a_get_never_drains() -> None:
    fake_node = make_fake_node()
    assert _ask(fake_node, '/drain')[0] == 405
    assert not fake_node.drains


def test_announcements_are_handed_on_and_refused_with_a_reason() -> None:
    assert _ask(make_fake_node(), '/announce', 'POST', data=b'{}')[0] == 200
    status, text = _ask(make_fake_node(), '/announce', 'POST', data=b'no')
    assert status == 400
    assert json.loads(text) == {'error': 'service is empty'}


def test_oversize_bodies_are_refused() -> None:
    oversize = b'{' * 5000
    status, text = _ask(make_fake_node(), '/announce', 'POST', data=oversize)
    assert status == 413
    assert 'error' in json.loads(text)


def test_unknown_paths_are_named() -> None:
    status, text = _ask(make_fake_node(), '/nowhere')
    assert status == 404
    assert json.loads(text)['error'].startswith('/nowhere')


@pytest.mark.parametrize(
    'raw',
    [
        b'noise\r\n\r\n',
        b'GET /status HTTP/9.9\r\n\r\n',
        b'GET /%s HTTP/1.1\r\n\r\n' % (b'a' * 20_000),
        b'POST /announce HTTP/1.1\r\nContent-Length: -5\r\n\r\n',
        b'\x00\xff\x16\x03\x01',
    ],
)
def test_malformed_requests_leave_the_server_up(raw: bytes) -> None:
    async def scenario(ask: _Ask, server: AdminServer) -> int:
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(raw)
        writer.write_eof()
        first_line = await reader.readline()
        writer.close()
        assert first_line == b'' or b' 400 ' in first_line
        return (await ask('/ready'))[0]

    assert _serve(make_fake_node(), scenario) == 200


def test_a_fault_in_a_view_is_an_answer() -> None:
    fake_node = make_fake_node()
    fake_node.lease_deadline_s = float('nan')
    fake_node.own = 'not a number'  # type: ignore[assignment]
    fake_node.fleet.unreleased_by = None  # type: ignore[assignment,method-assign]
    status, text = _ask(fake_node, '/status')
    assert status == 500
    assert 'fault of the node' in json.loads(text)['error']


def test_a_taken_port_is_told_to_the_starter() -> None:
    async def scenario(_ask: _Ask, server: AdminServer) -> None:
        second = make_server(make_fake_node(), port=server.port)
        with pytest.raises(OSError, match='in use'):
            await second.start()
        await second.stop()

    _serve(make_fake_node(), scenario)


def test_hints_name_the_owner_only_where_there_is_one() -> None:
    fake_node = make_fake_node()
    hint = make_owner_hint(fake_node.fleet, write_owner_hint)
    assert hint(make_request(key='oven-17')) == (
        ('Verbenadeck-Owner', '127.0.0.1:8000;shards=8'),
    )
    assert hint(make_request(key=None)) == ()
    assert hint(make_request(key='oven-17', service='ghost')) == ()
