"""Clients of a node's outbound address."""

import asyncio
import collections
import random
import time

from stand.fleet import PORTS
from stand.http import encode, read_body, read_head


Result = collections.namedtuple(
    'Result', 'started node request_id how took is_kept')


class Client:
    """Client with one kept connection, as the pool habit of the pages."""

    def __init__(self, node, record, results):
        self.node, self.record, self.results = node, record, results
        self._reader = self._writer = None
        self.answered = 0  # answers on the present connection

    async def send(self, host, path, *, method='GET', key=None, body=b'',
                   deadline_s=3.0, headers=(), request_id=None):
        """Send one request; return (request id, answer or None, seconds)."""
        request_id = request_id or f'{random.getrandbits(64):016x}'
        started = time.monotonic()
        pairs = [('Host', host), ('Request-Id', request_id),
                 ('Deadline-Ms', str(int(deadline_s * 1000))), *headers]
        if key is not None:
            pairs.append(('Shard-Key', str(key)))
        answer, how, is_sent = None, 'deadline', False
        is_kept = self.answered > 0
        try:
            async with asyncio.timeout(deadline_s):
                if self._writer is None:
                    self._reader, self._writer = (
                        await asyncio.open_connection(
                            self.node.ip, PORTS['outbound']))
                self._writer.write(
                    encode(f'{method} {path} HTTP/1.1', pairs, body))
                is_sent = True
                self.record('sent', self.node.name, request_id, path)
                answer = await read_head(self._reader)
                if answer is None:
                    how = 'closed without an answer'
                else:
                    await read_body(self._reader, answer, is_response=True)
                    how = str(answer.status)
                    if not answer.is_complete:
                        answer, how = None, 'answer cut'
        except OSError as error:
            how = 'closed without an answer' if is_sent else (
                f'connection failed: {type(error).__name__}')
        except TimeoutError:
            pass
        took = time.monotonic() - started
        self.record('answered', self.node.name, request_id, how,
                    f'{took:.3f} s')
        if answer is None or (
                (answer.get('Connection') or '').lower() == 'close'):
            self.close()
        elif answer is not None:
            self.answered += 1
        self.results.append(
            Result(started, self.node.name, request_id, how, took, is_kept))
        return request_id, answer, how

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.answered = 0


async def browse(client, stop_at, *, pause_s=0.1):
    """Send listing requests on random keys until a time."""
    while time.monotonic() < stop_at:
        if not client.node.takes_clients:
            await asyncio.sleep(0.1)
            continue
        await client.send('browse.example', f'/list/{random.randrange(999)}',
                          key=random.randrange(65_536))
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))


async def pay(client, stop_at, *, pause_s=0.1):
    """Send deposits until a time."""
    while time.monotonic() < stop_at:
        if not client.node.takes_clients:
            await asyncio.sleep(0.1)
            continue
        await client.send('hold.example', f'/pay/{random.randrange(999)}',
                          method='POST', body=b'x' * 500, deadline_s=4.0)
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
