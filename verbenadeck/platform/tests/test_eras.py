"""Era of the store, and the fleet's log in a store that comes back."""

import asyncio

import pytest
from returns.pipeline import is_successful

from verbenadeck.adapters import LogFailure
from verbenadeck.config import encode_document
from verbenadeck.journal import LogClient
from verbenadeck.model import (
    MAX_ERA,
    ConfigDocument,
    ConfigVersion,
    Era,
    Offset,
    era_of,
)
from verbenadeck.platform._eras import ERA_HEADER, StoreEras
from verbenadeck.platform._log import TOPIC
from verbenadeck.platform.tests.builders import (
    make_deadline_s,
    make_log_client,
    running_store,
)
from verbenadeck.records import ConfigPublished

_PUBLISHED_COUNT = 3


def _admit(eras: StoreEras, *headers: str) -> list[Era | None]:
    return [eras.admit({ERA_HEADER: header}) for header in headers]


def test_highest_era_counts() -> None:
    counted: list[str] = []
    eras = StoreEras(counted.append)
    assert _admit(eras, '1', '2', '1', '2') == [1, 2, None, 2]
    assert eras.newest == 2
    assert counted == [
        'store_eras',
        'store_eras',
        'store_answers_of_other_eras',
    ]


@pytest.mark.parametrize(
    'malformed',
    ['', 'two', '-1', '1.5', '\u0663', str(MAX_ERA + 1), '9' * 5000],
)
def test_malformed_era_is_refused_after_a_valid_one(malformed: str) -> None:
    eras = StoreEras()
    assert _admit(eras, malformed, '3', malformed) == [0, 3, None]
    assert eras.newest == 3


def test_answer_without_an_era_is_admitted_from_a_store_that_has_none() -> None:
    eras = StoreEras()
    assert eras.admit({}) == Era(0)
    assert eras.newest == 0


async def _publish(client: LogClient, *, first: int) -> Offset:
    offset = Offset(-1)
    for version in range(first, first + _PUBLISHED_COUNT):
        document = encode_document(ConfigDocument(moves_per_minute=version + 1))
        record = ConfigPublished(ConfigVersion(version), document, 'test')
        answer = await client.propose(record, deadline_s=make_deadline_s())
        offset = answer.unwrap().offset
    return offset


def test_log_client_follows_a_store_that_comes_back() -> None:
    async def main() -> None:
        async with running_store() as (store, store_client):
            store.era_header = '1'
            client = make_log_client(store_client, 'n1')
            await client.start()
            first = await _publish(client, first=0)
            copied = store.copy()
            lost = await _publish(client, first=_PUBLISHED_COUNT)
            store.return_from(copied, era=2)
            while client.fleet.claims.log_era < 2 or not client.is_ready:
                await asyncio.sleep(0.01)
            assert client.fleet.config_version == _PUBLISHED_COUNT
            again = await _publish(client, first=_PUBLISHED_COUNT)
            await client.stop()
        assert era_of(first) == era_of(lost) == 1
        assert era_of(again) == 2

    asyncio.run(main())


# Guards against records of the lost past that are taken for those after it.
def test_answer_of_an_earlier_era_is_not_used() -> None:
    async def main() -> None:
        async with running_store() as (store, client):
            await store.write(TOPIC, 'a', b'x')
            store.era_header = '2'
            await client.read(TOPIC, Offset(0), deadline_s=make_deadline_s())
            store.era_header = '1'
            page = await client.read(
                TOPIC, Offset(0), deadline_s=make_deadline_s()
            )
            newest = await client.fetch_newest(
                TOPIC, deadline_s=make_deadline_s()
            )
        assert client.era == 2
        for answer in (page, newest):
            assert not is_successful(answer)
            assert answer.failure().failure is LogFailure.UNAVAILABLE

    asyncio.run(main())
