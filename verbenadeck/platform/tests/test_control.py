"""Heartbeats over HTTP: what is refused changes nothing and is counted."""

import asyncio

import pytest

from verbenadeck.adapters import Announcement
from verbenadeck.platform.tests.builders import running_control


@pytest.mark.parametrize(
    ('field', 'odd_value', 'counter'),
    [
        ('info_service', 'unnamed', 'heartbeats_refused_other_service'),
        ('info_zone', 'nadi', 'heartbeats_refused_other_zone'),
        ('address', '10.1.0.42:1', 'heartbeats_refused_other_address'),
        ('status_state', 'dancing', 'heartbeats_refused_malformed'),
    ],
)
def test_heartbeat_of_another_writer_leaves_the_instance_in_use(
    field: str, odd_value: str, counter: str
) -> None:
    # Guards against giving up the keys of an instance that holds them.
    async def scenario() -> None:
        async with running_control() as control:
            announced: list[Announcement] = []
            control.upstream.on_announce(announced.append)
            assert await control.send_heartbeat(status_sequence=1) == 200
            odd = {field: odd_value, 'born': 1_700_000_000_001}
            assert await control.send_heartbeat('i-odd', **odd) == 400
            assert await control.send_heartbeat(status_sequence=2) == 200
            assert [each.instance for each in announced] == [
                'i-1@1700000000000'
            ]
            assert control.counters == {counter: 1}

    asyncio.run(scenario())


def test_body_that_is_too_long_is_refused() -> None:
    async def scenario() -> None:
        async with running_control() as control:
            path = '/v1/Instances.Heartbeat/i-1'
            status, _ = await control.post(path, bytes(300_000))
            assert status == 413
            assert not control.upstream.is_usable
            assert control.counters == {'heartbeats_refused_too_long': 1}

    asyncio.run(scenario())


def test_heartbeat_that_is_not_acted_on_is_not_acknowledged() -> None:
    async def scenario() -> None:
        async with running_control() as control:
            statuses = [
                await control.send_heartbeat(status_sequence=sequence)
                for sequence in (4, 2**53 - 1, 4, 5)
            ]
            assert statuses == [200, 409, 409, 200]
            assert control.counters == {
                'heartbeats_refused_skipped_ahead': 1,
                'heartbeats_refused_outdated': 1,
            }

    asyncio.run(scenario())


_DEREGISTER_PATH = '/v1/Instances.Deregister/i-1'


@pytest.mark.parametrize(('is_recorded', 'status'), [(True, 200), (False, 503)])
def test_departure_is_acknowledged_once_a_restart_would_not_forget_it(
    is_recorded: bool, status: int
) -> None:
    # Guards against using an instance again that has left.
    async def scenario() -> None:
        async with running_control() as control:
            recorded: list[str] = []

            async def record(instance: str) -> bool:
                recorded.append(instance)
                return is_recorded

            control.upstream.record_departure = record
            await control.send_heartbeat()
            answer = await control.post(_DEREGISTER_PATH, b'')
            assert answer[0] == status
            assert recorded == ['i-1@1700000000000']
            assert not control.upstream.is_usable

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        (b'{"born":1}', 404),
        (b'{"born":"now"}', 400),
        (b'[]', 400),
        (b'\xff', 400),
    ],
)
def test_deregistration_of_another_writer_changes_nothing(
    body: bytes, status: int
) -> None:
    async def scenario() -> None:
        async with running_control() as control:
            await control.send_heartbeat()
            answer = await control.post(_DEREGISTER_PATH, body)
            assert answer[0] == status
            assert control.upstream.is_usable

    asyncio.run(scenario())
