"""An instance has said that it leaves; its node and the store restart."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab_3'))

from lab import Client, Instance, Lab, make_config, new_id, run_case, signal  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PARTS = os.environ.get('PARTS', 'kill era').split()
TOUCH_S = 3.0
DRAIN_S = 2.0
STAY_S = 14.0
COPY_AGE_S = 3.0
AWAY_S = 1.0
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
    # What the operator wrote is written again.
    await lab.write_config(config)
    lab.store.faults.is_down = False
    lab.record.write('store is back in era 2')


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
        # Clients use the machines whose nodes are not restarted.
        machine = lab.machines[1 + number % (len(lab.machines) - 1)]
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
    calm_s = 0.0
    try:
        lab.store.era_header = '1'
        await lab.start(config, make_instance=lambda machine: Instance(machine, work_s=0.2))
        KEPT.add(asyncio.create_task(keep_copies(lab.store, copies)))
        await asyncio.sleep(6)
        KEPT.add(asyncio.create_task(send_load(lab, counts)))
        await asyncio.sleep(4)
        machine = lab.machines[0]
        leaving = machine.instance
        status, _ = await leaving.post('/v1/Instances.Deregister', {'born': leaving.born_ms})
        acknowledged_s = lab.record.now_s()
        lab.record.write('deregistration of', leaving.name, '->', status)
        if status != 200:
            return 2
        if TROUBLE:
            await asyncio.sleep(0.5)
            if 'era' in PARTS:
                cut_store(lab)
            if 'kill' in PARTS:
                machine.signal(signal.SIGKILL)
                await machine.process.wait()
            await asyncio.sleep(AWAY_S)
            if 'era' in PARTS:
                await return_store(lab, copies, config)
            if 'kill' in PARTS:
                await machine.start_node()
            calm_s = lab.record.now_s() + TOUCH_S
        await asyncio.sleep(max(0, acknowledged_s + STAY_S - lab.record.now_s()))
        leaving.crash()
        lab.record.write('the instance has ended')
        await asyncio.sleep(3)
    finally:
        for task in tuple(KEPT):
            task.cancel()
        await lab.stop()
    after_s = max(acknowledged_s + DRAIN_S, calm_s)
    late = [
        run for run in leaving.runs
        if run[0] > acknowledged_s + DRAIN_S and SENT_S[run[1]] > after_s
    ]
    lab.record.write('requests by status', counts)
    lab.record.write('acknowledged at', round(acknowledged_s, 3), 'all in touch from',
                     round(calm_s, 3), 'reached the instance after that', len(late))
    for run in late[:20]:
        lab.record.write('late', *run)
    is_served = counts.get(200, 0) > 0.9 * sum(counts.values())
    is_broken = bool(late) or (not TROUBLE and not is_served)
    lab.record.write('verdict', 'broken' if is_broken else 'held')
    return 1 if is_broken else 0


if __name__ == '__main__':
    run_case(main)
