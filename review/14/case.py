"""A zone is evacuated right after the store has come back from a copy."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab_3'))

from lab import Client, Instance, Lab, make_config, new_id, run_case  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
EVACUATE_S = 5.0
STRETCH_MAX_S = 5.0
STAY_S = 20.0
COPY_AGE_S = 3.0
AWAY_S = 1.0
OPERATOR_S = 0.2
SENT_S = {}
KEPT = set()


async def keep_copies(store, copies):
    while True:
        copies.append((time.monotonic(), store.copy()))
        await asyncio.sleep(0.2)


def cut_store(lab):
    lab.store.faults.is_down = True
    lab.record.write('store away')


async def return_store(lab, copies, config):
    """Let the store come back from a copy, as in a drill."""
    oldest_s = time.monotonic() - COPY_AGE_S
    copied = max((each for each in copies if each[0] <= oldest_s), key=lambda each: each[0])
    lab.store.return_from(copied[1], era=2)
    for topic in lab.store.topics.values():
        async with topic.changed:
            topic.changed.notify_all()
    lab.store.faults.is_down = False
    lab.record.write('store is back in era 2')
    await asyncio.sleep(OPERATOR_S)
    # What the operator wrote is written again.
    await lab.write_config(config)


async def evacuate(lab, zone):
    await lab.store.write('keyed.op', f'evacuate/{zone}', b'{}')
    lab.record.write('evacuation of', zone)


async def ask_once(pool, machine, method, prefix, counts):
    client = pool.pop() if pool else Client(machine)
    request_id = new_id()
    SENT_S[request_id] = machine.lab.record.now_s()
    _, answer = await client.ask(
        method, f'{prefix}{request_id}', request_id=request_id, timeout_s=4.5,
    )
    status = answer.status if answer else 0
    counts[status] = counts.get(status, 0) + 1
    if client.writer is not None:
        pool.append(client)


async def send_load(lab, counts):
    pools = {machine.name: [] for machine in lab.machines}
    number = 0
    while True:
        machine = lab.machines[number % len(lab.machines)]
        method, prefix = ('POST', '/pay/') if number % 3 == 0 else ('GET', '/read/')
        task = asyncio.create_task(
            ask_once(pools[machine.name], machine, method, prefix, counts)
        )
        KEPT.add(task)
        task.add_done_callback(KEPT.discard)
        number += 1
        await asyncio.sleep(1 / 60)


async def main():
    lab = Lab(HERE / 'record.txt', ['holds'] * 6)
    config = make_config(
        '0000000c',
        [('r1', '/read/', 'safe', 'holds'), ('r2', '/pay/', 'unsafe', 'holds')],
        [('holds', False)],
    )
    counts = {}
    copies = []
    try:
        lab.store.era_header = '1'
        await lab.start(config, make_instance=lambda machine: Instance(machine, work_s=0.2))
        KEPT.add(asyncio.create_task(keep_copies(lab.store, copies)))
        await asyncio.sleep(6)
        KEPT.add(asyncio.create_task(send_load(lab, counts)))
        await asyncio.sleep(4)
        zone = lab.zones[0]
        if TROUBLE:
            cut_store(lab)
            await asyncio.sleep(AWAY_S)
            await return_store(lab, copies, config)
        await evacuate(lab, zone)
        acknowledged_s = lab.record.now_s()
        await asyncio.sleep(STAY_S)
    finally:
        for task in tuple(KEPT):
            task.cancel()
        await lab.stop()
    after_s = acknowledged_s + EVACUATE_S + STRETCH_MAX_S
    late = [
        run for machine in lab.machines if machine.zone == zone
        for run in machine.instance.runs if run[0] > after_s
    ]
    lab.record.write('requests by status', counts)
    lab.record.write('evacuation acknowledged at', round(acknowledged_s, 3),
                     'requests that reached the zone over', EVACUATE_S + STRETCH_MAX_S,
                     's later:', len(late))
    for run in late[:20]:
        lab.record.write('late', *run)
    is_served = counts.get(200, 0) > 0.8 * sum(counts.values())
    is_broken = bool(late) or (not TROUBLE and not is_served)
    lab.record.write('verdict', 'broken' if is_broken else 'held')
    return 1 if is_broken else 0


if __name__ == '__main__':
    run_case(main)
