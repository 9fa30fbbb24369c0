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

_Response = tuple[int, str]
_SendRequest = Callable[..., Awaitable[_Response]]


def _run_with_server(
    fake_node: FakeNode,
    scenario: Callable[[_SendRequest, AdminServer], Awaitable[Any]],
) -> Any:
    async def run() -> Any:
        server = make_server(fake_node)
        await server.start()
        base = f'http://127.0.0.1:{server.port}'
        async with aiohttp.ClientSession(base) as session:

            async def send_request(
                path: str, method: str = 'GET', **options: Any
            ) -> _Response:
                async with session.request(method, path, **options) as response:
                    return response.status, await response.text()

            try:
                return await scenario(send_request, server)
            finally:
                await server.stop()

    return asyncio.run(run())


def _request_once(
    fake_node: FakeNode, path: str, method: str = 'GET', **options: Any
) -> Any:
    async def scenario(
        send_request: _SendRequest, _server: AdminServer
    ) -> _Response:
        return await send_request(path, method, **options)

    return _run_with_server(fake_node, scenario)


def test_status_reports_shards_lease_config_and_members() -> None:
    status, body = _request_once(make_fake_node(), '/status')
    payload = json.loads(body)
    assert status == 200
    assert payload['owned_shards'] == {'holds': 8}
    assert payload['lease_remaining_s'] == pytest.approx(1.5)
    assert (payload['config_version'], payload['config_author']) == (1, 'ana')
    assert [member['node_id'] for member in payload['members']] == [
        'node-0',
        'node-1',
        'node-2',
    ]
    assert payload['zones'] == [
        {'zone': 'suva', 'members': 3, 'is_out': False, 'reason': ''}
    ]


def test_brief_status_has_no_members() -> None:
    _status, body = _request_once(make_fake_node(), '/status?brief=1')
    assert json.loads(body)['members'] == []


def test_status_before_join_is_absent() -> None:
    fake_node = make_fake_node()
    fake_node.own_incarnation = None
    _status, body = _request_once(fake_node, '/status')
    payload = json.loads(body)
    assert (payload['state'], payload['incarnation']) == ('absent', -1)
    assert payload['owned_shards'] == {}


def test_lease_without_end_is_null() -> None:
    fake_node = make_fake_node()
    fake_node.lease_deadline_s = float('inf')
    _status, body = _request_once(fake_node, '/status')
    assert json.loads(body)['lease_remaining_s'] is None


def test_owner_lookup_returns_node_shard_and_fence() -> None:
    status, body = _request_once(
        make_fake_node(), '/owner?service=holds&key=oven-17'
    )
    payload = json.loads(body)
    assert status == 200
    assert (payload['node_id'], payload['entry_port']) == ('node-0', 8000)
    assert payload['fence'] == 4
    assert payload['is_settled']


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
def test_invalid_owner_lookup_returns_reason(
    query: str, status: int, text: str
) -> None:
    response_status, body = _request_once(make_fake_node(), f'/owner{query}')
    assert response_status == status
    assert text in json.loads(body)['error']


def test_unready_node_returns_503_with_reason() -> None:
    fake_node = make_fake_node()
    fake_node.why_unready = 'no upstream has announced itself'
    status, body = _request_once(fake_node, '/ready')
    assert status == 503
    assert json.loads(body)['error'] == fake_node.why_unready
    fake_node.why_unready = ''
    assert _request_once(fake_node, '/ready')[0] == 200


def test_metrics_are_served_in_text_format() -> None:
    status, body = _request_once(make_fake_node(), '/metrics')
    assert status == 200
    assert 'verbenadeck_hedges_total 1.0' in body
    assert 'verbenadeck_owned_shards 8.0' in body
    assert 'verbenadeck_lease_remaining_seconds 1.5' in body
    assert 'verbenadeck_log_age_seconds 0.5' in body
    assert 'verbenadeck_ready 1.0' in body


def test_post_to_drain_calls_handler() -> None:
    fake_node = make_fake_node()
    assert _request_once(fake_node, '/drain', 'POST')[0] == 202
    assert fake_node.drain_calls == ['drain']


def test_get_to_drain_is_refused() -> None:
    fake_node = make_fake_node()
    assert _request_once(fake_node, '/drain')[0] == 405
    assert not fake_node.drain_calls


def test_announcement_calls_handler_and_rejection_returns_reason() -> None:
    assert (
        _request_once(make_fake_node(), '/announce', 'POST', data=b'{}')[0]
        == 200
    )
    status, body = _request_once(
        make_fake_node(), '/announce', 'POST', data=b'no'
    )
    assert status == 400
    assert json.loads(body) == {'error': 'service is empty'}


def test_oversize_body_is_refused() -> None:
    oversize = b'{' * 5000
    status, body = _request_once(
        make_fake_node(), '/announce', 'POST', data=oversize
    )
    assert status == 413
    assert 'error' in json.loads(body)


def test_unknown_path_returns_404_with_path() -> None:
    status, body = _request_once(make_fake_node(), '/nowhere')
    assert status == 404
    assert json.loads(body)['error'].startswith('/nowhere')


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'noise\r\n\r\n',
        b'GET /status HTTP/9.9\r\n\r\n',
        b'GET /%s HTTP/1.1\r\n\r\n' % (b'a' * 20_000),
        b'POST /announce HTTP/1.1\r\nContent-Length: -5\r\n\r\n',
        b'\x00\xff\x16\x03\x01',
    ],
)
def test_server_survives_malformed_request(request_bytes: bytes) -> None:
    async def scenario(send_request: _SendRequest, server: AdminServer) -> int:
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(request_bytes)
        writer.write_eof()
        first_line = await reader.readline()
        writer.close()
        assert first_line == b'' or b' 400 ' in first_line
        return (await send_request('/ready'))[0]

    assert _run_with_server(make_fake_node(), scenario) == 200


def test_exception_in_handler_returns_500() -> None:
    fake_node = make_fake_node()
    fake_node.lease_deadline_s = float('nan')
    fake_node.own_incarnation = 'not a number'  # type: ignore[assignment]
    fake_node.fleet.unreleased_by = None  # type: ignore[assignment,method-assign]
    status, body = _request_once(fake_node, '/status')
    assert status == 500
    assert 'fault of the node' in json.loads(body)['error']


def test_start_raises_when_port_is_in_use() -> None:
    async def scenario(
        _request_once: _SendRequest, server: AdminServer
    ) -> None:
        second = make_server(make_fake_node(), port=server.port)
        with pytest.raises(OSError, match='in use'):
            await second.start()
        await second.stop()

    _run_with_server(make_fake_node(), scenario)


def test_owner_hint_is_absent_without_key_or_owner() -> None:
    fake_node = make_fake_node()
    make_headers = make_owner_hint(fake_node.fleet, write_owner_hint)
    assert make_headers(make_request(key='oven-17')) == (
        ('Verbenadeck-Owner', '127.0.0.1:8000;shards=8'),
    )
    assert make_headers(make_request(key=None)) == ()
    assert make_headers(make_request(key='oven-17', service='ghost')) == ()
