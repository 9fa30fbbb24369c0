"""Stand-in of the users' store: one partition per topic, some keyed."""

import asyncio
import base64
import copy
import struct

import msgspec
from aiohttp import web

from verbenadeck.standins._store_producers import (
    AppendAnswer,
    AppendNumber,
    ProducerHistory,
)

_LENGTH_PREFIX = struct.Struct('>I')
_OFFSET_BOUNDS = struct.Struct('>QQ')
_OK = 200
_GONE = 410
_UNAVAILABLE = 503
_MS_PER_S = 1000
_DEFAULT_WAIT_MS = '0'
_ERA_HEADER = 'Store-Era'


class StoreFaults(msgspec.Struct):
    """Faults that the store stand-in simulates.

    Parameters
    ----------
    is_down : bool
        Whether calls are refused with HTTP status 503.
    lost_answers : int
        Number of next appends that take effect without an answer.
    """

    is_down: bool = False
    lost_answers: int = 0


class Topic:
    """Records of one topic, including expired ones.

    Attributes
    ----------
    records : list of bytes
        All records, by offset.
    first : int
        First offset that has not expired.
    changed : asyncio.Condition
        Notified after each append.
    producers : dict of str to ProducerHistory
        Last appends by producer.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.changed = asyncio.Condition()
        self.producers: dict[str, ProducerHistory] = {}

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return the newest record of each key with its offset."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.records):
            stop = 1 + record[0]
            found[record[1:stop].decode()] = (offset, record[stop:])
        return {key: entry for key, entry in found.items() if entry[1]}


class StoreCopy(msgspec.Struct, frozen=True):
    """Copy of a store, from which it may come back.

    Parameters
    ----------
    record_counts : dict of str to int
        Number of records by topic.
    producers : dict of str to dict of str to ProducerHistory
        Last appends by topic and producer.
    """

    record_counts: dict[str, int]
    producers: dict[str, dict[str, ProducerHistory]]


class StoreStandin:
    """Topics and simulated faults of the store stand-in.

    Attributes
    ----------
    era_header : str
        Value of the header with the era of the store, empty for no header.
    faults : StoreFaults
        Faults to simulate.
    topics : dict of str to Topic
        Topics by name.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.topics: dict[str, Topic] = {}
        self.era_header = ''

    def copy(self) -> StoreCopy:
        """Return a copy of all topics."""
        topics = self.topics.items()
        return StoreCopy(
            {name: len(topic.records) for name, topic in topics},
            {name: copy.deepcopy(topic.producers) for name, topic in topics},
        )

    def return_from(self, copied: StoreCopy, *, era: int) -> None:
        """Come back from a copy, without what was appended since.

        Parameters
        ----------
        copied : StoreCopy
            The copy.
        era : int
            Era of the store from now on.
        """
        for name, topic in self.topics.items():
            topic.records = topic.records[: copied.record_counts.get(name, 0)]
            topic.producers = copied.producers.get(name, {})
        self.era_header = str(era)

    def topic(self, name: str) -> Topic:
        """Return a topic by name, creating it at first use.

        Parameters
        ----------
        name : str
            Name of the topic.
        """
        return self.topics.setdefault(name, Topic())

    async def write(self, name: str, key: str, content: bytes) -> int:
        """Append a record to a keyed topic and return its offset.

        Parameters
        ----------
        name : str
            Name of the topic.
        key : str
            Key of the record.
        content : bytes
            Value; empty deletes the key.
        """
        raw = key.encode()
        topic = self.topic(name)
        async with topic.changed:
            topic.records.append(bytes((len(raw),)) + raw + content)
            topic.changed.notify_all()
        return len(topic.records) - 1


def make_store_app(store: StoreStandin, *, page: int = 500) -> web.Application:
    """Return the HTTP application of a store stand-in.

    Parameters
    ----------
    store : StoreStandin
        Topics to serve and faults to apply.
    page : int
        Maximum number of items per page of newest records.
    """

    async def append(request: web.Request) -> web.Response:
        body = await request.read()
        if store.faults.is_down:
            return web.Response(status=_UNAVAILABLE)
        topic = store.topic(request.query['topic'])
        history, number = _read_producer(topic, request)
        answer = history.find_answer(number)
        if answer is not None:
            return web.json_response(answer.fields, status=answer.status)
        offset = len(topic.records)
        async with topic.changed:
            topic.records.extend(_unpack_records(body))
            topic.changed.notify_all()
        fields = {'offset': offset, 'end': len(topic.records)}
        history.record(number, AppendAnswer(_OK, fields))
        if store.faults.lost_answers:
            store.faults.lost_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response(fields)

    async def read(request: web.Request) -> web.Response:
        if store.faults.is_down:
            return web.Response(status=_UNAVAILABLE)
        topic = store.topic(request.query['topic'])
        start = int(request.query['from'])
        if start < topic.first or start > len(topic.records):
            return web.json_response({'first': topic.first}, status=_GONE)
        wait_s = int(request.query.get('waitMs', _DEFAULT_WAIT_MS)) / _MS_PER_S
        await _wait_for_records(topic, start, wait_s)
        bounds = _OFFSET_BOUNDS.pack(len(topic.records), topic.first)
        return web.Response(body=bounds + _pack_records(topic.records[start:]))

    async def newest(request: web.Request) -> web.Response:
        if store.faults.is_down:
            return web.Response(status=_UNAVAILABLE)
        topic = store.topic(request.query['topic'])
        after = request.query.get('after', '')
        kept = topic.newest()
        keys = [key for key in sorted(kept) if key > after]
        listed = [
            {
                'key': key,
                'value': base64.b64encode(kept[key][1]).decode(),
                'offset': kept[key][0],
            }
            for key in keys[:page]
        ]
        return web.json_response(
            {
                'items': listed,
                'more': len(keys) > page,
                'end': len(topic.records),
            }
        )

    async def add_era(
        _request: web.Request, answer: web.StreamResponse
    ) -> None:
        if store.era_header:
            answer.headers[_ERA_HEADER] = store.era_header

    app = web.Application()
    app.on_response_prepare.append(add_era)
    app.router.add_post('/v1/log-append', append)
    app.router.add_get('/v1/log-read', read)
    app.router.add_get('/v1/log-newest', newest)
    return app


async def _wait_for_records(topic: Topic, start: int, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s), topic.changed:
            await topic.changed.wait_for(lambda: len(topic.records) > start)
    except TimeoutError:
        return


def _read_producer(
    topic: Topic, request: web.Request
) -> tuple[ProducerHistory, AppendNumber]:
    """Return the history of the producer and the number of its append."""
    query = request.query
    if 'producer' not in query:
        return ProducerHistory(), AppendNumber(0, 0)
    history = topic.producers.setdefault(query['producer'], ProducerHistory())
    return history, AppendNumber(int(query['epoch']), int(query['sequence']))


def _unpack_records(body: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(body):
        length = _LENGTH_PREFIX.unpack_from(body, position)[0]
        position += _LENGTH_PREFIX.size
        records.append(body[position : position + length])
        position += length
    return records


def _pack_records(records: list[bytes]) -> bytes:
    return b''.join(
        _LENGTH_PREFIX.pack(len(record)) + record for record in records
    )
