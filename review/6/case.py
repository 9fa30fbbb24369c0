"""The store comes back from a copy some seconds old (rule OWNER, fencing tokens).

Machines are stopped and started in turn. The store, of which a copy was taken when
that began, is away for a second and comes back from the copy. A moment later all
processes of the system are killed at once and start again; the instances run on.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lab_2'))
import lab as stand

ROLL_GAP_S = 1.0
AWAY_S = 1.0
DOWN_S = 1.0
JUDGED_S = 25.0
KEYED = 'catalogue'
OTHER = 'holds'


class Fences:
    """Highest fencing token with which each instance has had each key."""

    def __init__(self, lab):
        self.lab = lab
        self.seen = {}
        self.broken = []

    def watch(self, instance):
        take = instance._take

        def take_and_check(reply, sent):
            before = dict(instance.held)
            result = take(reply, sent)
            for keys, (fence, _) in instance.held.items():
                if keys not in before or before[keys][0] != fence:
                    self.check(instance, *keys, fence)
            return result

        instance._take = take_and_check

    def check(self, instance, first, last, fence):
        for (low, high, holder), known in self.seen.items():
            if holder != instance.id and low <= last and first <= high:
                if fence <= known:
                    self.broken.append(
                        f'OWNER: {instance.id} takes keys {max(low, first)} to '
                        f'{min(high, last)} with token {fence}; {holder} has had '
                        f'them with {known}'
                    )
                    self.lab.record.write(self.broken[-1])
        own = first, last, instance.id
        self.seen[own] = max(fence, self.seen.get(own, 0))
        self.lab.record.write(f'{instance.id} takes {first} to {last}, token {fence}')


async def case(lab, has_trouble):
    for zone in stand.ZONES:
        lab.add(zone, OTHER, slots=18)
    for zone in stand.ZONES:
        lab.add(zone, KEYED, slots=18, keyed=True)
    lab.put_config(
        [['r-browse', 'a.example', '/c/', 'safe', '1500ms', '500ms', 2, KEYED, 2,
          None],
         ['r-hold', 'a.example', '/u/', 'unsafe', '2000ms', '600ms', 1, OTHER, 2,
          None]],
        [(KEYED, True), (OTHER, False)],
    )
    fences = Fences(lab)
    for instance in lab.instances:
        if instance.keyed:
            fences.watch(instance)
    await lab.start()
    await lab.wait_ready()

    def send():
        nodes = [node for node in lab.nodes if node.is_in] or lab.nodes
        return lab.request(
            random.choice(nodes), 'GET', '/c/list?work=20', deadline_ms=3000,
            headers=[('Shard-Key', str(random.randrange(65536)))],
        )

    await lab.wait_served(send)
    await asyncio.sleep(5)

    copy = lab.store.copy()
    copied_at = lab.record.now()
    lab.record.write('a copy of the store is taken')

    async def roll(node):
        node.signal(signal.SIGTERM)
        if await node.ended(6) is None:
            node.process.kill()
            node.process.wait()
        await asyncio.sleep(0.3)
        node.start()

    rolls = []
    for node in lab.nodes[:5]:
        rolls.append(asyncio.ensure_future(roll(node)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*rolls)
    await asyncio.sleep(1)

    lab.record.write('the store is away')
    lab.store.mode = 'silent'
    await asyncio.sleep(AWAY_S)
    if has_trouble:
        lab.store.restore(copy)
        # What the operator wrote is written again.
        lab.store.put('keyed.op', 'config', lab.config)
        lab.record.write('the configuration is written again')
    lab.store.mode = 'up'
    lab.record.write(
        f'the store is back, era {lab.store.era}; the copy is '
        f'{lab.record.now() - copied_at:.1f} s old'
    )
    await asyncio.sleep(1)
    lab.record.write('all processes of the system are killed')
    for node in lab.nodes:
        node.process.kill()
    for node in lab.nodes:
        node.process.wait()
    await asyncio.sleep(DOWN_S)
    for node in lab.nodes:
        node.start()
    await asyncio.sleep(JUDGED_S)
    answers = await asyncio.gather(*(send() for _ in range(60)))
    served = sum(answer.status == 200 for answer in answers)
    lab.record.write(f'at the end: {served} of 60 requests with keys served')
    return fences.broken


stand.main(case)
