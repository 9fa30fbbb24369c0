"""A heartbeat of another writer with a number too large among its keys."""

import asyncio
import json
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand.case import BROKEN, CANNOT_RUN, HELD, main  # noqa: E402
from stand.client import Client, browse, pay  # noqa: E402
from stand.fleet import SHARDED, Fleet  # noqa: E402
from stand.http import call  # noqa: E402

MAX_LOST = 3  # RULES.md, LOST: more than three times
CLIENTS_PER_NODE = 12
WORK_S = 0.35
PLAY_S = 16.0
ODD_AT_S = 5.0


async def play(record, has_trouble):
    """Count requests that were passed on and whose connection just closed."""
    fleet = Fleet(record, work_s=WORK_S)
    try:
        if not await fleet.start():
            return CANNOT_RUN
        results = []
        stop_at = time.monotonic() + PLAY_S
        clients = [
            kind(Client(node, record, results), stop_at, pause_s=0.08)
            for node in fleet.nodes.values() for kind in (browse, pay)
            for _ in range(CLIENTS_PER_NODE // 2)]
        started = time.monotonic()

        async def odd_heartbeat():
            await asyncio.sleep(ODD_AT_S)
            if not has_trouble:
                return
            target = random.choice([
                one for one in fleet.instances.values()
                if one.service == SHARDED])
            body = target.describe()
            body['holds'] = [[0, 9_007_199_254_740_991, 7]]
            record('odd heartbeat to the node of', target.name,
                   json.dumps(body))
            answer = await call(
                *target.control, 'POST',
                f'/v1/Instances.Heartbeat/{target.name}',
                [('Content-Type', 'application/json')],
                json.dumps(body).encode(), timeout_s=1.0)
            record('odd heartbeat answered', answer and answer.status)

        await asyncio.gather(odd_heartbeat(), *clients)
        runs = {}
        for instance in fleet.instances.values():
            runs.update(instance.runs)
        lost = [one for one in results
                if one.how in {'closed without an answer', 'answer cut'}
                and one.is_kept and one.request_id in runs]
        served = sum(one.how == '200' for one in results)
        record('requests', len(results), 'with status 200:', served)
        for one in lost:
            record('lost: run by an instance, connection closed without an '
                   'answer:', one.node, one.request_id,
                   f'{one.started - started:.3f} s')
        record('lost in all:', len(lost))
        for node in fleet.nodes.values():
            for at, why in node.ends:
                record('node ended by itself', node.name,
                       f'{at - started:.3f} s', why)
        if not served:
            return CANNOT_RUN
        return BROKEN if len(lost) > MAX_LOST else HELD
    finally:
        await fleet.stop()


if __name__ == '__main__':
    main(HERE, play)
