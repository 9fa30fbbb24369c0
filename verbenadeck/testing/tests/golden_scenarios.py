"""Sessions whose logs are kept as golden files."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import MappingProxyType

from returns.result import Success

from verbenadeck.config import add_exception, zone_in, zone_out
from verbenadeck.config.operations import apply_change, publish_document
from verbenadeck.lease.tests.builders import owner_of
from verbenadeck.model import ExceptionRule, NodeId, Zone
from verbenadeck.proxy.tests.builders import make_deposit, make_request
from verbenadeck.router.tests.builders import three_zones
from verbenadeck.testing import (
    VirtualFleet,
    run_processes,
    run_virtual,
    zoned_specs,
)
from verbenadeck.testing._process import current_process
from verbenadeck.testing.golden import Script, recording

GOLDEN = Path(__file__).parent / 'golden'

Play = Callable[[VirtualFleet, Script], Awaitable[None]]


def play_fleet(play: Play) -> str:
    """Play a session on six nodes in three zones; return its lines."""

    async def main(script: Script) -> None:
        fleet = VirtualFleet(zoned_specs(2, 2, 2), shard_count=16)
        script.name_process = lambda: _process_name(fleet)
        async with fleet:
            await fleet.wait_until(fleet.is_served)
            script.note('all shards are served')
            await asyncio.sleep(4)
            await play(fleet, script)
            script.note(f'served: {fleet.is_served()}')

    with recording() as script:
        run_processes(main(script))
    return script.text()


def _process_name(fleet: VirtualFleet) -> str:
    process = current_process()
    for name, node in fleet.nodes.items():
        if node.process is process:
            return name
    return ''


async def start(fleet: VirtualFleet, script: Script) -> None:
    for shard in range(fleet.shard_count):
        script.note(f'shard {shard} at {owner_of(fleet, shard)}')


async def planned_move(fleet: VirtualFleet, script: Script) -> None:
    node = fleet.nodes[NodeId('b0')]
    out = zone_out(Zone('a'), reason='work', since_s=1)
    for change in (out, zone_in(Zone('a'))):
        answer = await node.process.spawn(
            apply_change(
                node.journal,
                change,
                author='operator',
                deadline_s=node.clock.now_s() + 5,
            )
        )
        script.note(f'published: {answer}')
        await asyncio.sleep(6)


async def loss(fleet: VirtualFleet, script: Script) -> None:
    lost = owner_of(fleet)
    script.note(f'kill {lost}')
    await fleet.nodes[lost].kill()
    took_s = await fleet.wait_until(fleet.is_served)
    script.note(f'served again after {took_s:.3f} s')
    await asyncio.sleep(3)


async def log_outage(fleet: VirtualFleet, script: Script) -> None:
    script.note('log down')
    fleet.log.is_up = False
    await asyncio.sleep(2)
    script.note('log up, one answer will be lost')
    fleet.log.is_up = True
    fleet.log.lost_answers = 1
    await fleet.publish(fleet.document)
    script.note('published')
    await asyncio.sleep(2)


async def operators_race(fleet: VirtualFleet, script: Script) -> None:
    nodes = [fleet.nodes[NodeId(name)] for name in ('a0', 'b0')]
    version = nodes[0].journal.fleet.config_version
    publishing = [
        node.process.spawn(
            publish_document(
                node.journal,
                fleet.document,
                expected_version=version,
                author=f'operator at {node.spec.name}',
                deadline_s=node.clock.now_s() + 5,
            )
        )
        for node in nodes
    ]
    for published in await asyncio.gather(*publishing):
        script.note(f'published: {published}')
    rule = ExceptionRule(
        'tea', 'slow upstreams', 'request_timeout_s', 4, zone=Zone('b')
    )
    changes = (zone_out(Zone('c'), reason='work', since_s=1),)
    changing = [
        node.process.spawn(
            apply_change(
                node.journal,
                change,
                author=f'operator at {node.spec.name}',
                deadline_s=node.clock.now_s() + 5,
            )
        )
        for node, change in zip(
            nodes, (*changes, add_exception(rule)), strict=True
        )
    ]
    for changed in await asyncio.gather(*changing):
        script.note(f'changed: {changed}')
    config = nodes[0].journal.fleet.config
    script.note(f'zones out: {sorted(config.zones_out)}')
    script.note(f'exceptions: {[each.name for each in config.exceptions]}')
    await asyncio.sleep(4)


async def graceful_stop(fleet: VirtualFleet, script: Script) -> None:
    leaving = owner_of(fleet)
    script.note(f'stop {leaving}')
    await fleet.nodes[leaving].stop()
    script.note('stopped')
    await asyncio.sleep(2)


def play_requests() -> str:
    """Play a read, a deposit and its resend through routers and doors."""

    async def main(script: Script) -> None:
        site, routers = await three_zones()
        site.own_all(site.nodes[1])
        deposit = make_deposit('deposit-1', key='mango')
        read = make_request(request_id='read-1', key='mango')
        for request in (read, deposit, deposit):
            answer = await routers[0].route(request)
            kind = 'answer' if isinstance(answer, Success) else answer
            script.note(f'{request.request_id}: {kind}')
        runs = site.nodes[1].upstream.runs['deposit-1']
        script.note(f'deposit-1 ran {runs} times')

    with recording() as script:
        run_virtual(main(script))
    return script.text()


_PLAYS: MappingProxyType[str, Play] = MappingProxyType(
    {
        'start': start,
        'planned-move': planned_move,
        'loss': loss,
        'log-outage': log_outage,
        'operators-race': operators_race,
        'graceful-stop': graceful_stop,
    }
)
NAMES = (*_PLAYS, 'requests')


def play_session(name: str) -> str:
    """Play a session by its name and return its lines."""
    if name == 'requests':
        return play_requests()
    return play_fleet(_PLAYS[name])


def renew() -> None:
    """Write all golden files anew."""
    for name in NAMES:
        (GOLDEN / f'{name}.txt').write_text(play_session(name))


if __name__ == '__main__':
    renew()
