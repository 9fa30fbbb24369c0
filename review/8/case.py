"""Requests that wait at the node of a leaving instance (rule DRAIN).

Three instances of a document service get a burst of uploads. In the burst one of
them reports `draining`, keeps serving for the time of the pages and one second
more, deregisters and exits.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lab_2'))
import lab as stand

DRAIN_S = 2.5
STAYS_S = 3.5
USUAL_PER_S = 32
BURST = 2.5
BURST_S = 6.9
LEAVES_AT_S = 6.2
WORK_MS = 289
SERVICE = 'dokumenti'


async def case(lab, has_trouble):
    stand.BOUNDS['drain'] = '2500ms'
    for zone in stand.ZONES:
        lab.add(zone, SERVICE, slots=5)
    lab.put_config(
        [['r-upload', 'a.example', '/d/', 'upload', '4341ms', '2816ms', 1,
          SERVICE, 2, None]],
        [(SERVICE, False)],
    )
    await lab.start()
    await lab.wait_ready()

    def send():
        work_ms = random.uniform(0.6, 1.4) * WORK_MS
        return lab.request(
            random.choice(lab.nodes), 'POST', f'/d/paper?work={work_ms:.0f}',
            deadline_ms=4341, body=b'x' * 2000,
        )

    await lab.wait_served(send)
    tasks = []

    async def traffic(per_s, for_s):
        until = lab.record.now() + for_s
        while lab.record.now() < until:
            tasks.append(asyncio.ensure_future(send()))
            await asyncio.sleep(random.expovariate(per_s))

    await traffic(USUAL_PER_S, 4)
    per_s = USUAL_PER_S * (BURST if has_trouble else 1)
    busy = asyncio.ensure_future(traffic(per_s, BURST_S))
    await asyncio.sleep(LEAVES_AT_S)
    leaving = lab.instances[0]
    leaving.state = 'draining'
    lab.record.write(f'{leaving.id} begins to leave')
    while 'draining' not in leaving.acked:
        await asyncio.sleep(0.01)
        if leaving.beats.done():
            raise stand.NotRun('the instance sends no heartbeats')
    acked = leaving.acked['draining']
    await asyncio.sleep(STAYS_S)
    reply = await leaving.post(f'/v1/Instances.Deregister/{leaving.id}', None)
    lab.record.write(f'{leaving.id} deregisters, acknowledged: {reply is not None}')
    await leaving.stop()
    lab.record.write(f'{leaving.id} exits')
    await busy
    await asyncio.gather(*tasks)
    late = [run for run in leaving.runs if run.at > acked + DRAIN_S]
    cut = [run for run in leaving.runs if run.status is None]
    served = sum(answer.status == 200 for answer in lab.answers)
    lab.record.write(
        f'{served} of {len(lab.answers)} requests served; {len(cut)} were cut off '
        'when the instance exited'
    )
    return [
        f'DRAIN: {run.id} reaches {leaving.id} {run.at - acked:.3f} s after the '
        'acknowledgement' for run in late
    ]


stand.main(case)
