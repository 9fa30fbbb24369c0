"""Stand-in of the platform's store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from stand.http import encode, read_body, read_head


class Store:
    """Topics of the store, served over HTTP."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.topics = {}
        self.changed = asyncio.Event()
        self.is_down = False
        self._server = None

    def records(self, topic):
        """Return the records of a topic."""
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        """Append a record to a keyed topic."""
        raw = key.encode()
        self.records(topic).append(bytes((len(raw),)) + raw + value)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port)

    async def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                await read_body(reader, head, is_response=False)
                method, target, _ = head.start.split(' ')
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query, head.body)
                writer.write(encode(f'HTTP/1.1 {status} X', [], body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        if self.is_down:
            return 503, b'{}'
        records = self.records(query.get('topic', ''))
        if path.endswith('/log-append'):
            offset, position = len(records), 0
            while position < len(body):
                (length,) = struct.unpack_from('>I', body, position)
                position += 4
                records.append(body[position:position + length])
                position += length
            self._wake()
            return 200, json.dumps(
                {'offset': offset, 'end': len(records)}).encode()
        if path.endswith('/log-read'):
            start = int(query['from'])
            loop = asyncio.get_running_loop()
            until = loop.time() + int(query.get('waitMs', 0)) / 1000
            while len(records) <= start and loop.time() < until:
                try:
                    async with asyncio.timeout(until - loop.time()):
                        await self.changed.wait()
                except TimeoutError:
                    break
            page = b''.join(
                struct.pack('>I', len(one)) + one for one in records[start:])
            return 200, struct.pack('>QQ', len(records), 0) + page
        if path.endswith('/log-newest'):
            newest = {}
            for offset, record in enumerate(records):
                stop = 1 + record[0]
                key, value = record[1:stop].decode(), record[stop:]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            keys = [k for k in sorted(newest) if k > query.get('after', '')]
            items = [{'key': k, 'value': base64.b64encode(
                newest[k][1]).decode(), 'offset': newest[k][0]}
                for k in keys[:500]]
            return 200, json.dumps({'items': items, 'more': len(keys) > 500,
                                    'end': len(records)}).encode()
        return 404, b'{}'
