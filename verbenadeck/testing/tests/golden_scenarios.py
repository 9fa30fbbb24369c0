"""Scenarios in virtual time whose logs are kept as golden files."""

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
    MemoryLog,
    VirtualFleet,
    run_processes,
    run_virtual,
    zoned_specs,
)
from verbenadeck.testing._process import current_process
from verbenadeck.testing.golden import Transcript, record_transcript

GOLDEN_DIRECTORY = Path(__file__).parent / 'golden'

FleetScenario = Callable[[VirtualFleet, Transcript], Awaitable[None]]


def run_fleet_scenario(scenario: FleetScenario) -> str:
    """Run a scenario on six nodes in three zones and return its log."""

    async def main(transcript: Transcript) -> None:
        fleet = VirtualFleet(
            zoned_specs(2, 2, 2),
            shard_count=16,
            log=MemoryLog(retains_newest=False),
        )
        transcript.name_process = lambda: _process_name(fleet)
        async with fleet:
            await fleet.wait_until(fleet.is_served)
            transcript.add_line('all shards are served')
            await asyncio.sleep(4)
            await scenario(fleet, transcript)
            transcript.add_line(f'served: {fleet.is_served()}')

    with record_transcript() as transcript:
        run_processes(main(transcript))
    return transcript.join_lines()


def _process_name(fleet: VirtualFleet) -> str:
    process = current_process()
    for name, node in fleet.nodes.items():
        if node.process is process:
            return name
    return ''


async def list_owners_after_start(
    fleet: VirtualFleet, transcript: Transcript
) -> None:
    """Write the owner of each shard after the start of the fleet."""
    for shard in range(fleet.shard_count):
        transcript.add_line(f'shard {shard} at {owner_of(fleet, shard)}')


async def move_zone_out_and_in(
    fleet: VirtualFleet, transcript: Transcript
) -> None:
    """Take a zone out of service by operator command and put it back."""
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
        transcript.add_line(f'published: {answer}')
        await asyncio.sleep(6)


async def kill_owner(fleet: VirtualFleet, transcript: Transcript) -> None:
    """Kill a shard owner and wait until every shard is served again."""
    lost = owner_of(fleet)
    transcript.add_line(f'kill {lost}')
    await fleet.nodes[lost].kill()
    took_s = await fleet.wait_until(fleet.is_served)
    transcript.add_line(f'served again after {took_s:.3f} s')
    await asyncio.sleep(3)


async def interrupt_log(fleet: VirtualFleet, transcript: Transcript) -> None:
    """Stop the log for 2 s, then lose the answer of one append."""
    transcript.add_line('log down')
    fleet.log.is_up = False
    await asyncio.sleep(2)
    transcript.add_line('log up, one answer will be lost')
    fleet.log.is_up = True
    fleet.log.lost_answers = 1
    await fleet.publish(fleet.document)
    transcript.add_line('published')
    await asyncio.sleep(2)


async def publish_concurrently(
    fleet: VirtualFleet, transcript: Transcript
) -> None:
    """Publish and change the configuration from two nodes at once."""
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
        transcript.add_line(f'published: {published}')
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
        transcript.add_line(f'changed: {changed}')
    config = nodes[0].journal.fleet.config
    transcript.add_line(f'zones out: {sorted(config.zones_out)}')
    transcript.add_line(
        f'exceptions: {[each.name for each in config.exceptions]}'
    )
    await asyncio.sleep(4)


async def stop_owner(fleet: VirtualFleet, transcript: Transcript) -> None:
    """Stop a shard owner gracefully."""
    leaving = owner_of(fleet)
    transcript.add_line(f'stop {leaving}')
    await fleet.nodes[leaving].stop()
    transcript.add_line('stopped')
    await asyncio.sleep(2)


def run_request_scenario() -> str:
    """Route a read, a deposit and its resend; return the log."""

    async def main(transcript: Transcript) -> None:
        site, routers = await three_zones()
        site.own_all(site.nodes[1])
        deposit = make_deposit('deposit-1', key='mango')
        read = make_request(request_id='read-1', key='mango')
        for request in (read, deposit, deposit):
            answer = await routers[0].route(request)
            kind = 'answer' if isinstance(answer, Success) else answer
            transcript.add_line(f'{request.request_id}: {kind}')
        runs = site.nodes[1].upstream.runs['deposit-1']
        transcript.add_line(f'deposit-1 ran {runs} times')

    with record_transcript() as transcript:
        run_virtual(main(transcript))
    return transcript.join_lines()


_FLEET_SCENARIOS: MappingProxyType[str, FleetScenario] = MappingProxyType(
    {
        'start': list_owners_after_start,
        'planned-move': move_zone_out_and_in,
        'loss': kill_owner,
        'log-outage': interrupt_log,
        'operators-race': publish_concurrently,
        'graceful-stop': stop_owner,
    }
)
SCENARIO_NAMES = (*_FLEET_SCENARIOS, 'requests')


def run_scenario(name: str) -> str:
    """Run a scenario by its name and return its log."""
    if name == 'requests':
        return run_request_scenario()
    return run_fleet_scenario(_FLEET_SCENARIOS[name])


def write_golden_files() -> None:
    """Run all scenarios and overwrite their golden files."""
    for name in SCENARIO_NAMES:
        (GOLDEN_DIRECTORY / f'{name}.txt').write_text(run_scenario(name))


if __name__ == '__main__':
    write_golden_files()
