"""An instance becomes cold again while it serves."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab_3'))

from lab import Client, Instance, Lab, make_config, new_id, run_case  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
COLD_PER_S = 19.0
BOUND = COLD_PER_S * 1.5 + 5
CRASH_PER_S = 2 * COLD_PER_S
COLD_S = 3.0
DOWN_S = 4.5
RATE_PER_S = 60.0
ROUNDS = 6
EXCESSES = []
LOST = []
SENT_S = {}
KEPT = set()


class CoolingInstance(Instance):
    """Instance that counts what it gets while it is cold, and may crash then."""

    def __init__(self, machine):
        super().__init__(machine, slots=18, work_s=0.1)
        self.arrivals = []
        self.running = {}

    def become_cold(self):
        self.cold_until_s = time.monotonic() + COLD_S
        self.arrivals = []
        self.record.write('cold', self.name)

    async def answer_plainly(self, writer, method, target, headers, body):
        if not self.server.is_serving():
            raise ConnectionError
        if target == '/health':
            self.answer_health(writer)
            return
        if self.refusal(headers) is None and time.monotonic() < self.cold_until_s:
            self.count_arrival(headers)
        request_id = headers['request-id']
        self.running[request_id] = True
        try:
            await super().answer_plainly(writer, method, target, headers, body)
        finally:
            self.running.pop(request_id, None)

    def count_arrival(self, headers):
        now_s = time.monotonic()
        # Each arrival counts from the time at which its client sent it.
        self.arrivals = [
            sent_s for sent_s in (*self.arrivals, SENT_S[headers['request-id']])
            if sent_s > now_s - 1
        ]
        if len(self.arrivals) > BOUND:
            EXCESSES.append((self.name, len(self.arrivals)))
            self.record.write('over the bound', self.name, len(self.arrivals))
        if len(self.arrivals) > CRASH_PER_S:
            LOST.extend(self.running)
            self.record.write('lost by the crash', *self.running)
            self.crash()
            task = asyncio.create_task(bring_back(self.machine))
            KEPT.add(task)
            raise ConnectionError

    def answer_health(self, writer):
        left_ms = max(0, int((self.cold_until_s - time.monotonic()) * 1000))
        writer.write(
            f'HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n'
            f'Server-Load: {len(self.running)},0,{self.slots}\r\n'
            f'Cold-Remaining-Ms: {left_ms}\r\nContent-Length: 0\r\n\r\n'.encode()
        )


async def bring_back(machine):
    await asyncio.sleep(DOWN_S)
    machine.instance = CoolingInstance(machine)
    machine.instance.become_cold()
    await machine.instance.start()


async def ask_once(pool, machine, method, target, counts):
    client = pool.pop() if pool else Client(machine)
    body = b'x' * 200 if method == 'POST' else b''
    request_id = new_id()
    SENT_S[request_id] = time.monotonic()
    _, answer = await client.ask(
        method, target, request_id=request_id, body=body, timeout_s=4.5
    )
    status = answer.status if answer else 0
    counts[status] = counts.get(status, 0) + 1
    if client.writer is not None:
        pool.append(client)


async def send_load(lab, until_s, counts):
    """Send RATE_PER_S for each instance, a third of it not repeatable."""
    pools = {machine.name: [] for machine in lab.machines}
    number = 0
    began_s = lab.record.now_s()
    while lab.record.now_s() < until_s:
        machine = lab.machines[number % len(lab.machines)]
        method, prefix = ('POST', '/pay/') if number % 3 == 0 else ('GET', '/read/')
        task = asyncio.create_task(
            ask_once(pools[machine.name], machine, method, f'{prefix}{new_id()}', counts)
        )
        KEPT.add(task)
        task.add_done_callback(KEPT.discard)
        number += 1
        due_s = began_s + number / (RATE_PER_S * len(lab.machines))
        await asyncio.sleep(max(0, due_s - lab.record.now_s()))


async def cool_down_in_turn(lab):
    for number in range(ROUNDS):
        await asyncio.sleep(random.uniform(7, 8))
        if TROUBLE:
            machine = lab.machines[number % len(lab.machines)]
            machine.instance.become_cold()


async def main():
    lab = Lab(HERE / 'record.txt', ['till'] * 3)
    config = make_config(
        '0000000c',
        [('r1', '/read/', 'safe', 'till'), ('r2', '/pay/', 'unsafe', 'till')],
        [('till', False)],
    )
    counts = {}
    try:
        await lab.start(config, make_instance=CoolingInstance)
        await asyncio.sleep(6)
        until_s = lab.record.now_s() + 8.5 * ROUNDS
        await asyncio.gather(send_load(lab, until_s, counts), cool_down_in_turn(lab))
        await asyncio.sleep(4)
    finally:
        await lab.stop()
    lab.record.write('requests by status', counts, 'lost by crashes', len(LOST))
    most = max((count for _, count in EXCESSES), default=0)
    is_served = counts.get(200, 0) > 0.9 * sum(counts.values())
    is_broken = bool(EXCESSES) or (not TROUBLE and not is_served)
    lab.record.write('verdict', 'broken' if is_broken else 'held', 'most in a second', most,
                     'bound', BOUND)
    return 1 if is_broken else 0


if __name__ == '__main__':
    run_case(main)
