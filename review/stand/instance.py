"""Stand-in of an application instance beside a node."""

import asyncio
import itertools
import json
import random
import time

from stand.http import call, encode, read_body, read_head

BEAT_S = 0.87
MAX_REPLY_BYTES = 4096
QUEUE = 72


def _minus(row, others):
    """Return the parts of a range of keys that no other range covers."""
    parts = [row]
    for first, last in others:
        parts = [piece for a, b in parts for piece in (
            (a, min(b, first - 1)), (max(a, last + 1), b))
            if piece[0] <= piece[1]] if any(
                a <= last and first <= b for a, b in parts) else parts
    return parts


class Instance:
    """Instance that runs requests and holds keys as PROTOCOL.md says."""

    def __init__(self, name, service, zone, host, port, control, *, sharded,
                 slots=18, work_s=0.05, record=lambda *a: None):
        self.name, self.service, self.zone = name, service, zone
        self.host, self.port, self.control = host, port, control
        self.sharded, self.slots, self.work_s = sharded, slots, work_s
        self.record = record
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = 'ready'
        self.rows = []  # (first, last, fence, expires_at)
        self.freed = []
        self.max_fence = []  # (first, last, fence) seen
        self.running = 0
        self.waiting = 0
        self.working = {}  # key -> [runs, fence, hold ends at, taken away]
        self._slot = asyncio.Semaphore(slots)
        self.runs = {}  # request id -> number of runs
        self.rejected = 0
        self.respond = None  # hook for other answers
        self.beats_acknowledged = 0
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Listen and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port)
        self._beats = asyncio.create_task(self._beat_forever())

    async def stop(self):
        """End at once, as a crash does."""
        self._server.close()
        self._beats.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def held(self):
        """Return the rows in force."""
        now = time.monotonic()
        self.rows = [row for row in self.rows if row[3] > now]
        return self.rows

    def holds(self, key):
        """Return whether a key is held now."""
        return any(a <= key <= b for a, b, _, _ in self.held())

    def describe(self):
        """Return the body of the next heartbeat."""
        body = {
            'address': f'{self.host}:{self.port}',
            'info': {'service': self.service, 'version': 'v1',
                     'zone': self.zone, 'slots': self.slots},
            'status': {'state': self.state, 'sequence': next(self.sequence),
                       'coldRemaining': '0ms'},
            'born': self.born,
        }
        if self.sharded:
            body['holds'] = [[a, b, f] for a, b, f, _ in self.held()] + [
                [key, key, work[1]] for key, work in self.working.items()
                if work[3] and not self.holds(key)]
            body['freed'] = [list(each) for each in self.freed]
        return body

    async def beat(self):
        """Send one heartbeat and apply its reply."""
        body, sent_at = self.describe(), time.monotonic()
        freed = tuple(self.freed)
        answer = await call(
            *self.control, 'POST', f'/v1/Instances.Heartbeat/{self.name}',
            [('Content-Type', 'application/json')],
            json.dumps(body).encode(), timeout_s=1.0)
        if answer is None or answer.status != 200 or (
                len(answer.body) > MAX_REPLY_BYTES):
            return False
        self.beats_acknowledged += 1
        self.freed = [each for each in self.freed if each not in freed]
        reply = json.loads(answer.body)
        if 'holds' not in reply:
            return False
        hold_s = float(reply['hold_time'].removesuffix('ms')) / 1000
        return self._apply(reply['holds'], sent_at + hold_s)

    def _apply(self, rows, until):
        new = []
        for first, last, fence, _handover in rows:
            if any(a <= last and first <= b and seen > fence
                   for a, b, seen in self.max_fence):
                continue
            new.append((first, last, fence, until))
        spans = [(a, b) for a, b, _, _ in new]
        gone = [piece for a, b, _, _ in self.held()
                for piece in _minus((a, b), spans)]
        # Keys that are still worked on are released when their work ends.
        busy = [(key, key) for key in self.working]
        for key, work in self.working.items():
            if any(a <= key <= b for a, b in gone):
                work[3] = True
        gone = [piece for each in gone for piece in _minus(each, busy)]
        self.freed += [(a, b, f'{random.getrandbits(64):016x}')
                       for a, b in gone]
        if [r[:3] for r in new] != [r[:3] for r in self.rows]:
            self.record('holds', self.name, [r[:3] for r in new])
        self.rows = new
        self.max_fence = (self.max_fence + [r[:3] for r in new])[-200:]
        return bool(gone) or any(one[3] for one in self.working.values())

    async def _beat_forever(self):
        while True:
            again = await self.beat()
            await asyncio.sleep(0.05 if again else BEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                await read_body(reader, head, is_response=False)
                if not head.is_complete:
                    return
                raw = await self._answer(head, reader)
                if raw is None:
                    return
                writer.write(raw)
                await writer.drain()
                if (head.get('Connection') or '').lower() == 'close':
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _refuse(self, status, request_id):
        self.rejected += 1
        return encode(f'HTTP/1.1 {status} X', [
            ('Not-Executed', '1'), ('Instance-Id', self.name),
            ('Request-Id', request_id)])

    async def _answer(self, head, reader):
        _, path, _ = head.start.split(' ')
        if path == '/health':
            return encode('HTTP/1.1 200 OK', [('Instance-Id', self.name)])
        request_id = head.get('Request-Id')
        if not request_id:
            return self._refuse(400, '')
        if head.get('Expected-Instance', self.name) != self.name:
            return self._refuse(421, request_id)
        if self.sharded and not self.holds(int(head.get('Shard-Key', -1))):
            return self._refuse(421, request_id)
        if self.waiting >= QUEUE:
            return self._refuse(503, request_id)
        deadline_at = time.monotonic() + int(
            head.get('Deadline-Ms', '60000')) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline_at - time.monotonic()):
                await self._slot.acquire()
        except TimeoutError:
            return self._refuse(503, request_id)
        finally:
            self.waiting -= 1
        try:
            if not self.sharded:
                return await self._run(head, request_id, path, deadline_at)
            return await self._run_keyed(head, request_id, path, deadline_at)
        finally:
            self._slot.release()

    async def _run_keyed(self, head, request_id, path, deadline_at):
        key = int(head.get('Shard-Key', -1))
        row = next((r for r in self.held() if r[0] <= key <= r[1]), None)
        if row is None:
            return self._refuse(421, request_id)
        work = self.working.setdefault(key, [0, row[2], row[3], False])
        work[0] += 1
        try:
            raw = await self._run(head, request_id, path, deadline_at)
        finally:
            work[0] -= 1
            is_over = not self.holds(key) and (
                not work[3] or work[2] <= time.monotonic())
            if work[0] == 0:
                del self.working[key]
                if work[3] and not is_over and not self.holds(key):
                    self.freed.append(
                        (key, key, f'{random.getrandbits(64):016x}'))
        if is_over:
            return encode('HTTP/1.1 500 X', [
                ('Request-Id', request_id),
                ('Response-Signature', f'sig.{self.name}.{request_id}')])
        return raw

    async def _run(self, head, request_id, path, deadline_at):
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record('run', self.name, request_id, path)
        try:
            deadline_s = max(0.0, deadline_at - time.monotonic())
            await asyncio.sleep(min(self.work_s, deadline_s))
            is_late = self.work_s > deadline_s
        finally:
            self.running -= 1
        if self.respond is not None:
            raw = self.respond(self, head)
            if raw is not None:
                return raw
        body = f'{self.name} ran {request_id}\n'.encode()
        return encode(
            'HTTP/1.1 504 X' if is_late else 'HTTP/1.1 200 OK',
            [('Request-Id', request_id),
             ('Response-Signature', f'sig.{self.name}.{request_id}'),
             ('Content-Type', 'text/plain'),
             ('Server-Load', f'{self.running},{self.waiting},{self.slots},100')], body)
