"""Random faults on a fleet, as actions that hypothesis can shrink."""

import asyncio
import enum
import random
from contextlib import suppress

import msgspec
from hypothesis import strategies
from returns.primitives.exceptions import UnwrapFailedError

from verbenadeck.model import ConfigDocument, OutOfService, Zone
from verbenadeck.testing import (
    FleetNode,
    VirtualFleet,
    keyed_document,
    run_processes,
    zoned_specs,
)

SHARDS = 8
CONVERGE_S = 120.0
"""Time after the last fault in which all shards are served again."""

_RATES = (0.99, 1.0, 1.01)


class Fault(enum.Enum):
    """Fault or planned change that is made to happen."""

    KILL = 'kill'
    RESTART = 'restart'
    RESTART_COLD = 'restart-cold'
    PAUSE = 'pause'
    RESUME = 'resume'
    STOP = 'stop'
    ISOLATE = 'isolate'
    CUT_OUT = 'cut-out'
    CUT_IN = 'cut-in'
    CUT_LOG = 'cut-log'
    CUT_ZONES = 'cut-zones'
    HEAL = 'heal'
    LOG_DOWN = 'log-down'
    LOG_UP = 'log-up'
    LOG_SLOW = 'log-slow'
    LOSE_ANSWERS = 'lose-answers'
    LOSE_DATAGRAMS = 'lose-datagrams'
    UPSTREAM_RESTART = 'upstream-restart'
    ZONE_OUT = 'zone-out'
    ZONES_IN = 'zones-in'


class Step(msgspec.Struct, frozen=True):
    """One fault at one node, and the wait after it in seconds."""

    fault: Fault
    node: int
    wait_s: float


class Run(msgspec.Struct, frozen=True):
    """One fleet and what happens to it."""

    sizes: tuple[int, ...]
    seed: int
    is_fenced: bool
    steps: tuple[Step, ...]


_waits = strategies.sampled_from((0.0, 0.02, 0.2, 0.6, 0.9, 1.1, 1.5, 3.0))
_steps = strategies.builds(
    Step,
    fault=strategies.sampled_from(Fault),
    node=strategies.integers(0, 8),
    wait_s=_waits,
)
runs = strategies.builds(
    Run,
    sizes=strategies.sampled_from(((1, 1), (1, 1, 1), (2, 2, 1), (2, 2, 2))),
    seed=strategies.integers(0, 1 << 16),
    is_fenced=strategies.booleans(),
    steps=strategies.lists(_steps, min_size=1, max_size=14).map(tuple),
)


def play(run: Run) -> None:
    """Play a run; raise when two would serve or the fleet stays down."""
    run_processes(_play(run))


async def _play(run: Run) -> None:
    shuffled = random.Random(run.seed)
    rates = tuple(shuffled.choice(_RATES) for _ in range(7))
    specs = zoned_specs(*run.sizes, rates=rates, checks_fences=run.is_fenced)
    document = keyed_document(SHARDS, checks_fences=run.is_fenced)
    async with VirtualFleet(
        specs, shard_count=SHARDS, seed=run.seed, document=document
    ) as fleet:
        fleet.network.delay_s = lambda _source, _target: shuffled.choice(
            (0.001, 0.005, 0.02, 0.3)
        )
        await fleet.wait_until(fleet.is_served)
        for step in run.steps:
            await _act(fleet, step)
            await asyncio.sleep(step.wait_s)
            fleet.raise_violations()
        await _repair(fleet)
        await fleet.wait_until(fleet.is_served, limit_s=CONVERGE_S)


async def _act(fleet: VirtualFleet, step: Step) -> None:
    names = tuple(fleet.nodes)
    name = names[step.node % len(names)]
    node = fleet.nodes[name]
    inside = [each for each in names if each[0] == name[0]]
    others = [each for each in names if each != name]
    outside = [each for each in names if each not in inside]
    match step.fault:
        case Fault.KILL:
            await node.kill()
        case Fault.RESTART | Fault.RESTART_COLD:
            await node.kill()
            is_same_vm = step.fault is Fault.RESTART
            await fleet.restart(name, is_same_vm=is_same_vm)
        case Fault.PAUSE:
            node.process.pause()
        case Fault.RESUME:
            node.process.resume()
        case Fault.STOP:
            asyncio.ensure_future(_stop(node))
        case Fault.ISOLATE:
            fleet.network.isolate(node.address)
        case Fault.CUT_OUT:
            fleet.block_links([name], others)
        case Fault.CUT_IN:
            fleet.block_links(others, [name])
        case Fault.CUT_LOG:
            node.adapter.is_cut = not node.adapter.is_cut and node.is_running
        case Fault.CUT_ZONES:
            fleet.block_links(inside, outside)
            fleet.block_links(outside, inside)
        case _:
            await _act_on_all(fleet, step, node)


async def _act_on_all(fleet: VirtualFleet, step: Step, node: FleetNode) -> None:
    match step.fault:
        case Fault.HEAL:
            fleet.network.heal()
            fleet.network.loss = 0
        case Fault.LOG_DOWN:
            fleet.log.is_up = False
        case Fault.LOG_UP:
            fleet.log.is_up = True
            fleet.log.latency_s = 0.01
        case Fault.LOG_SLOW:
            fleet.log.latency_s = 0.3
        case Fault.LOSE_ANSWERS:
            fleet.log.lost_answers = 3
        case Fault.LOSE_DATAGRAMS:
            fleet.network.loss = 0.3
        case Fault.UPSTREAM_RESTART:
            node.upstream.restart()
        case Fault.ZONE_OUT:
            _publish(fleet, node.spec.zone)
        case Fault.ZONES_IN:
            _publish(fleet)


def _publish(fleet: VirtualFleet, *zones_out: Zone) -> None:
    """Publish in the background, as an operator whose log may be down."""
    document = msgspec.structs.replace(
        fleet.document,
        zones_out={each: OutOfService('test') for each in zones_out},
    )
    asyncio.ensure_future(_try_publish(fleet, document))


async def _try_publish(fleet: VirtualFleet, document: ConfigDocument) -> None:
    with suppress(ValueError, UnwrapFailedError, StopIteration):
        await fleet.publish(document)


async def _stop(node: FleetNode) -> None:
    if node.is_running:
        await node.stop()


async def _repair(fleet: VirtualFleet) -> None:
    """End all faults and bring back every node."""
    fleet.network.heal()
    fleet.network.loss = 0
    fleet.log.is_up = True
    fleet.log.latency_s = 0.01
    fleet.log.lost_answers = 0
    for name, node in tuple(fleet.nodes.items()):
        node.process.resume()
        if node.is_running:
            node.adapter.is_cut = False
        else:
            await node.kill()
            await fleet.restart(name)
    await asyncio.sleep(1)
    _publish(fleet)
