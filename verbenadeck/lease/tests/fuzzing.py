"""Random faults on a fleet, as steps that hypothesis can shrink."""

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

SHARD_COUNT = 8
RECOVERY_LIMIT_S = 120.0
"""Time after the last fault in which all shards are served again, in
seconds."""

_CLOCK_RATES = (0.99, 1.0, 1.01)


class Fault(enum.Enum):
    """Fault or planned change that a step causes."""

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
    """One fault at one node.

    Parameters
    ----------
    fault : Fault
        Fault to inject.
    node : int
        Number of the node, taken modulo the size of the fleet.
    wait_s : float
        Wait after the fault, in seconds.
    """

    fault: Fault
    node: int
    wait_s: float


class Run(msgspec.Struct, frozen=True):
    """Fleet and the faults that it goes through.

    Parameters
    ----------
    sizes : tuple of int
        Number of nodes in each zone.
    seed : int
        Seed of clock rates, network delays and the fleet.
    is_fenced : bool
        Whether the upstreams check fences.
    steps : tuple of Step
        Faults, in order.
    """

    sizes: tuple[int, ...]
    seed: int
    is_fenced: bool
    steps: tuple[Step, ...]


_waits = strategies.sampled_from((0.0, 0.02, 0.2, 0.6, 0.9, 1.1, 1.5, 3.0))
_fault_steps = strategies.builds(
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
    steps=strategies.lists(_fault_steps, min_size=1, max_size=14).map(tuple),
)


def execute_run(run: Run) -> None:
    """Execute a run on a virtual fleet.

    Raises an error if two nodes serve one shard, or if some shard is not
    served within `RECOVERY_LIMIT_S` after the last fault.

    Parameters
    ----------
    run : Run
        Fleet and faults.
    """
    run_processes(_execute_run(run))


async def _execute_run(run: Run) -> None:
    random_source = random.Random(run.seed)
    rates = tuple(random_source.choice(_CLOCK_RATES) for _ in range(7))
    specs = zoned_specs(*run.sizes, rates=rates, checks_fences=run.is_fenced)
    document = keyed_document(SHARD_COUNT, checks_fences=run.is_fenced)
    async with VirtualFleet(
        specs, shard_count=SHARD_COUNT, seed=run.seed, document=document
    ) as fleet:
        fleet.network.delay_s = lambda _source, _target: random_source.choice(
            (0.001, 0.005, 0.02, 0.3)
        )
        await fleet.wait_until(fleet.is_served)
        for step in run.steps:
            await inject_fault(fleet, step)
            await asyncio.sleep(step.wait_s)
            fleet.raise_violations()
        await end_all_faults(fleet)
        await asyncio.sleep(1)
        _publish(fleet)
        await fleet.wait_until(fleet.is_served, limit_s=RECOVERY_LIMIT_S)


async def inject_fault(fleet: VirtualFleet, step: Step) -> None:
    """Inject the fault of a step, without the wait after it.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that gets the fault.
    step : Step
        Fault and node.
    """
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
            await _inject_fleet_fault(fleet, step, node)


async def _inject_fleet_fault(
    fleet: VirtualFleet, step: Step, node: FleetNode
) -> None:
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
    """Publish in the background, since the log may be down."""
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


async def end_all_faults(fleet: VirtualFleet) -> None:
    """End all faults and restart every node that is down.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet whose faults end.
    """
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
