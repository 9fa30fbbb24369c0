"""An instance becomes cold again while it serves (rule FAILBACK).

Three instances serve a steady load. One of them becomes cold again, says so in
a heartbeat that it sends at once, and again in each heartbeat after it. Only
requests that clients sent after the acknowledgement of that heartbeat, and that
arrive before the end of the cold time, are judged. A cold instance that gets over
twice the rate that it tolerates in one second crashes, and is back after 2 s.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lab_2'))
import lab as stand

COLD_PER_S = 19.0
COLD_OVER = 1.5
COLD_SLACK = 5
COLD_S = 3.0
TRAFFIC_PER_S = 290
WORK_MS = 40
UNSAFE_WORK_MS = 210
EVENTS = 10
CRASHES_OVER = 2.0
UNSAFE_SHARE = 0.2
SERVICE = 'holds'


async def case(lab, has_trouble):
    for zone in stand.ZONES:
        lab.add(zone, SERVICE, slots=18)
    lab.put_config(
        [['r-check', 'a.example', '/h/', 'safe', '500ms', '200ms', 2, SERVICE, 2,
          None],
         ['r-hold', 'a.example', '/u/', 'unsafe', '2000ms', '600ms', 1, SERVICE, 2,
          None]],
        [(SERVICE, False)],
    )
    await lab.start()
    await lab.wait_ready()

    def send():
        spread = random.uniform(0.6, 1.4)
        if random.random() < UNSAFE_SHARE:
            work_ms = spread * UNSAFE_WORK_MS
            return lab.request(
                random.choice(lab.nodes), 'POST', f'/u/hold?work={work_ms:.0f}',
                deadline_ms=4000, body=b'x' * 1000,
            )
        work_ms = spread * WORK_MS
        return lab.request(
            random.choice(lab.nodes), 'GET', f'/h/check?work={work_ms:.0f}',
            deadline_ms=500,
        )

    await lab.wait_served(send)
    tasks = []
    is_over = False

    async def traffic():
        due = lab.record.now()
        while not is_over:
            due += random.expovariate(TRAFFIC_PER_S)
            if due > lab.record.now():
                await asyncio.sleep(due - lab.record.now())
            tasks.append(asyncio.ensure_future(send()))

    flow = asyncio.ensure_future(traffic())
    broken = []
    for number in range(EVENTS):
        await asyncio.sleep(2 + random.random())
        instance = lab.instances[number % len(lab.instances)]
        if not has_trouble:
            continue
        instance.cold_until = lab.record.now() + COLD_S
        lab.record.write(f'{instance.id} is cold again for {COLD_S} s')
        await instance.beat()
        acked = lab.record.now()
        lab.record.write(f'{instance.id} has an acknowledgement of being cold')
        cold_id = instance.id
        while lab.record.now() < instance.cold_until:
            await asyncio.sleep(0.02)
            now = lab.record.now()
            rate = sum(
                run.at > max(acked, now - 1) and run.sent_at >= acked
                for run in instance.runs[-200:]
            )
            if rate > CRASHES_OVER * COLD_PER_S:
                running = sum(
                    run.ended is None and run.message.first.startswith('POST')
                    for run in instance.runs
                )
                await instance.stop()
                lab.record.write(
                    f'{cold_id} crashes at {rate} requests in one second, with '
                    f'{running} unsafe requests accepted and not answered'
                )
                await asyncio.sleep(2)
                instance.cold_until = lab.record.now() + COLD_S
                await instance.start()
                break
        arrivals = [
            run for run in instance.runs
            if acked <= run.sent_at and run.at <= acked + COLD_S
            and run.served_by == cold_id
        ]
        most, begin = 0, 0
        for end, run in enumerate(arrivals):
            while run.at - arrivals[begin].sent_at > 1:
                begin += 1
            most = max(most, end - begin + 1)
        lab.record.write(f'{cold_id}: at most {most} requests in one second')
        if most > COLD_PER_S * COLD_OVER + COLD_SLACK:
            broken.append(
                f'FAILBACK: {most} requests reach {cold_id} in one second, all '
                'sent by clients after the acknowledgement that it is cold'
            )
    is_over = True
    await flow
    await asyncio.gather(*tasks)
    served = sum(answer.status == 200 for answer in lab.answers)
    lost = sum(
        answer.status == 502 and answer.target.startswith('/u/')
        for answer in lab.answers
    )
    lab.record.write(f'{lost} unsafe requests ended with 502')
    lab.record.write(f'{served} of {len(lab.answers)} requests served')
    return broken


stand.main(case)
