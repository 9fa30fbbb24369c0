"""The store is away for a moment and comes back from a copy some seconds old."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab_3'))

from lab import Client, Instance, Lab, make_config, new_id, run_case  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
KEEP_S = 20.0
COPY_AGE_S = 5.0
AWAY_S = 1.0
OPERATOR_S = 0.2
DRILLS = 7
GAP_S = 8.0
KEPT = set()
LOST = []


async def keep_history(store, copies, ends):
    """Take copies of the store, and let records expire after `keep`."""
    while True:
        now_s = time.monotonic()
        copies.append((now_s, store.copy()))
        ends.append((now_s, {name: len(topic.records) for name, topic in store.topics.items()}))
        while ends and ends[0][0] < now_s - KEEP_S:
            for name, end in ends.pop(0)[1].items():
                topic = store.topics[name]
                topic.first = max(topic.first, min(end, len(topic.records)))
        await asyncio.sleep(0.2)


async def drill(lab, copies, ends, config, era):
    """Take the store away and let it come back from a copy."""
    lab.store.faults.is_down = True
    lab.record.write('store away')
    await asyncio.sleep(AWAY_S)
    oldest_s = time.monotonic() - AWAY_S - COPY_AGE_S
    copied = max((each for each in copies if each[0] <= oldest_s), key=lambda each: each[0])
    lab.store.return_from(copied[1], era=era)
    copies.clear()
    for _, end_by_name in ends:
        for name in end_by_name:
            kept = copied[1].record_counts.get(name, 0)
            end_by_name[name] = min(end_by_name[name], kept)
    for topic in lab.store.topics.values():
        topic.first = min(topic.first, len(topic.records))
        async with topic.changed:
            topic.changed.notify_all()
    lab.store.faults.is_down = False
    lab.record.write('store is back in era', era)
    await asyncio.sleep(OPERATOR_S)
    # What the operator wrote is written again.
    await lab.write_config(config)


async def ask_once(pool, machine, method, prefix, counts):
    client = pool.pop() if pool else Client(machine)
    is_kept = client.writer is not None
    request_id = new_id()
    _, answer = await client.ask(
        method, f'{prefix}{request_id}', request_id=request_id, timeout_s=4.5,
    )
    status = answer.status if answer else 0
    counts[status] = counts.get(status, 0) + 1
    if answer is None and is_kept and request_id in RUN:
        LOST.append((request_id, method, machine.name))
    if client.writer is not None:
        pool.append(client)


RUN = set()


class NotingInstance(Instance):
    """Instance that notes which requests it has begun."""

    def note_run(self, method, target, headers, body):
        RUN.add(headers['request-id'])
        super().note_run(method, target, headers, body)


async def send_load(lab, counts):
    pools = {machine.name: [] for machine in lab.machines}
    number = 0
    while True:
        machine = lab.machines[number % len(lab.machines)]
        method, prefix = ('POST', '/pay/') if number % 2 else ('GET', '/read/')
        task = asyncio.create_task(
            ask_once(pools[machine.name], machine, method, prefix, counts)
        )
        KEPT.add(task)
        task.add_done_callback(KEPT.discard)
        number += 1
        await asyncio.sleep(1 / 90)


async def restart_ended(lab, exits):
    """Start a process that has ended by itself again, as the platform does."""
    while True:
        for machine in lab.machines:
            status = machine.process.returncode
            if status is not None:
                exits.append((machine.name, status))
                lab.record.write('process ended by itself', machine.name, 'status', status)
                await machine.start_node()
        await asyncio.sleep(0.1)


async def main():
    services = ['holds'] * 3 + ['inspections'] * 3 + ['catalogue'] * 3
    lab = Lab(HERE / 'record.txt', services)
    config = make_config(
        '0000000c',
        [('r1', '/read/', 'safe', 'inspections'), ('r2', '/pay/', 'unsafe', 'holds')],
        [('holds', False), ('inspections', False), ('catalogue', True)],
    )
    counts, copies, ends, exits = {}, [], [], []

    def make_instance(machine):
        return NotingInstance(
            machine, work_s=0.5, is_keyed=machine.service == 'catalogue'
        )

    try:
        lab.store.era_header = '1'
        KEPT.add(asyncio.create_task(keep_history(lab.store, copies, ends)))
        await lab.start(config, make_instance=make_instance)
        KEPT.add(asyncio.create_task(restart_ended(lab, exits)))
        await asyncio.sleep(30)
        KEPT.add(asyncio.create_task(send_load(lab, counts)))
        await asyncio.sleep(4)
        for number in range(DRILLS):
            if TROUBLE:
                await drill(lab, copies, ends, config, 2 + number)
            await asyncio.sleep(GAP_S)
    finally:
        for task in tuple(KEPT):
            task.cancel()
        await lab.stop()
    lab.record.write('requests by status', counts)
    lab.record.write('processes that ended by themselves', exits)
    for each in LOST:
        lab.record.write('lost', *each)
    is_served = counts.get(200, 0) > 0.9 * sum(counts.values())
    is_broken = len(LOST) > 3 or (not TROUBLE and not is_served)
    lab.record.write('verdict', 'broken' if is_broken else 'held', 'lost', len(LOST))
    return 1 if is_broken else 0


if __name__ == '__main__':
    run_case(main)
