"""Random series of faults at groups of nodes of a large fleet."""

import asyncio
import enum
import itertools
import random
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeVar

import msgspec

from verbenadeck.fleet import Member
from verbenadeck.lease.tests.fuzzing import (
    RECOVERY_LIMIT_S,
    Fault,
    Step,
    end_all_faults,
    inject_fault,
)
from verbenadeck.model import NodeId
from verbenadeck.platform._options import LEASE_TIMING
from verbenadeck.testing import (
    VirtualFleet,
    keyed_document,
    run_processes,
    zoned_specs,
)

_Choice = TypeVar('_Choice')

SHARD_COUNT = 8
FORMATION_LIMIT_S = 60.0
"""Time within which a new fleet serves all shards, in seconds."""

_ENUM_MEMBER = re.compile(r"<(\w+\.\w+): '[^']*'>")
_SETTLING_S = 2.0
_CLOCK_RATES = (0.99, 1.0, 1.01)
_MIN_WAIT_S = 0.3
_MAX_WAIT_S = 4.0
_MAX_GROUP_SHARE = 1 / 3
_SMALL_GROUP_SIZE = 3
_COPIES_KEPT = 5
_MAX_LATE_APPENDS = 3
_MAX_LATE_S = 2.0
_DELAYS_S = (
    (0.005,),
    (0.001, 0.005, 0.02),
    (0.001, 0.005, 0.02, 0.3),
)


class GroupFault(enum.Enum):
    """Fault of a group of nodes, whose links to one another stay whole."""

    CUT_OFF = 'cut-off'
    CUT_FROM_PEERS = 'cut-from-peers'
    CUT_OUT = 'group-cut-out'
    CUT_IN = 'group-cut-in'
    CUT_LOG = 'group-cut-log'
    RESTORE_LOG = 'group-restore-log'
    END_ALL = 'end-all'
    RETURN_LOG = 'return-log'


class Group(enum.Enum):
    """Nodes that a step affects besides those that it names."""

    NODES = 'nodes'
    ZONES = 'zones'
    WITNESSES = 'witnesses'


class GroupStep(msgspec.Struct, frozen=True):
    """One fault at a group of nodes.

    Parameters
    ----------
    fault : Fault or GroupFault
        Fault to inject: a `Fault` at each node of the group by itself, a
        `GroupFault` at all of them together.
    nodes : tuple of int
        Numbers of the nodes.
    wait_s : float
        Wait after the fault, in seconds.
    group : Group
        Whether the nodes of the same zones, or the witnesses that the nodes
        have at that moment, belong to the group too.
    """

    fault: Fault | GroupFault
    nodes: tuple[int, ...]
    wait_s: float
    group: Group = Group.NODES


class Exploration(msgspec.Struct, frozen=True):
    """Large fleet and the faults that its groups go through.

    Parameters
    ----------
    sizes : tuple of int
        Number of nodes in each zone.
    seed : int
        Seed of clock rates, network delays and the fleet.
    is_fenced : bool
        Whether the upstreams check fences.
    delays_s : tuple of float
        One-way delays of the network to draw from, in seconds.
    steps : tuple of GroupStep
        Faults, in order.
    """

    sizes: tuple[int, ...]
    seed: int
    is_fenced: bool
    delays_s: tuple[float, ...]
    steps: tuple[GroupStep, ...]


_FAULT_WEIGHTS: Mapping[Fault | GroupFault, int] = MappingProxyType(
    {
        GroupFault.CUT_OFF: 10,
        GroupFault.CUT_FROM_PEERS: 4,
        GroupFault.CUT_OUT: 6,
        GroupFault.CUT_IN: 6,
        GroupFault.CUT_LOG: 10,
        GroupFault.RESTORE_LOG: 2,
        GroupFault.END_ALL: 2,
        Fault.PAUSE: 8,
        Fault.RESUME: 6,
        Fault.RESTART: 6,
        Fault.RESTART_COLD: 2,
        Fault.KILL: 4,
        Fault.STOP: 1,
        Fault.ISOLATE: 1,
        Fault.CUT_OUT: 2,
        Fault.CUT_IN: 2,
        Fault.HEAL: 2,
        Fault.LOG_DOWN: 1,
        Fault.LOG_UP: 2,
        Fault.LOG_SLOW: 1,
        Fault.LOSE_ANSWERS: 1,
        Fault.LOSE_DATAGRAMS: 1,
        Fault.UPSTREAM_RESTART: 1,
        Fault.ZONE_OUT: 1,
        Fault.ZONES_IN: 1,
    }
)
_FAULT_WEIGHTS_WITH_RETURNS: Mapping[Fault | GroupFault, int] = (
    MappingProxyType({**_FAULT_WEIGHTS, GroupFault.RETURN_LOG: 12})
)
_FLEET_FAULTS = frozenset(
    (
        Fault.HEAL,
        Fault.LOG_DOWN,
        Fault.LOG_UP,
        Fault.LOG_SLOW,
        Fault.LOSE_ANSWERS,
        Fault.LOSE_DATAGRAMS,
        Fault.ZONE_OUT,
        Fault.ZONES_IN,
    )
)
_GROUP_WEIGHTS = MappingProxyType(
    {Group.NODES: 5, Group.ZONES: 1, Group.WITNESSES: 5}
)


def draw_exploration(
    seed: int,
    *,
    sizes: tuple[int, ...],
    step_count: int,
    with_returns: bool = False,
) -> Exploration:
    """Draw a random series of faults.

    Parameters
    ----------
    seed : int
        Seed of the series and of the fleet.
    sizes : tuple of int
        Number of nodes in each zone.
    step_count : int
        Number of faults.
    with_returns : bool
        Whether the log also comes back without its newest records.
    """
    weights = _FAULT_WEIGHTS_WITH_RETURNS if with_returns else _FAULT_WEIGHTS
    random_source = random.Random(seed)
    return Exploration(
        sizes,
        seed,
        is_fenced=random_source.choice((True, False)),
        delays_s=random_source.choice(_DELAYS_S),
        steps=tuple(
            _draw_step(random_source, weights, node_count=sum(sizes))
            for _ in range(step_count)
        ),
    )


def _draw_step(
    random_source: random.Random,
    weights: Mapping[Fault | GroupFault, int],
    *,
    node_count: int,
) -> GroupStep:
    group = _draw_weighted(random_source, _GROUP_WEIGHTS)
    largest = (
        1
        if group is Group.ZONES
        else random_source.choice(
            (_SMALL_GROUP_SIZE, int(node_count * _MAX_GROUP_SHARE))
        )
    )
    size = random_source.randint(1, largest)
    return GroupStep(
        _draw_weighted(random_source, weights),
        tuple(random_source.sample(range(node_count), size)),
        round(random_source.uniform(_MIN_WAIT_S, _MAX_WAIT_S), 2),
        group,
    )


def _draw_weighted(
    random_source: random.Random, weights: Mapping[_Choice, int]
) -> _Choice:
    return random_source.choices(tuple(weights), tuple(weights.values()))[0]


def explore(exploration: Exploration) -> None:
    """Lead a fleet with the platform's timing through a series of faults.

    Raises an error if two nodes serve one shard, or if some shard is not
    served within `RECOVERY_LIMIT_S` after the last fault. A note of the error
    has the exploration as code, to be kept as a known run.

    Parameters
    ----------
    exploration : Exploration
        Fleet and faults.
    """
    try:
        run_processes(_explore(exploration))
    except Exception as error:
        error.add_note(_ENUM_MEMBER.sub(r'\1', repr(exploration)))
        raise


async def _explore(exploration: Exploration) -> None:
    random_source = random.Random(exploration.seed)
    rates = tuple(
        random_source.choice(_CLOCK_RATES)
        for _ in range(sum(exploration.sizes))
    )
    is_fenced = exploration.is_fenced
    async with VirtualFleet(
        zoned_specs(*exploration.sizes, rates=rates, checks_fences=is_fenced),
        shard_count=SHARD_COUNT,
        seed=exploration.seed,
        document=keyed_document(SHARD_COUNT, checks_fences=is_fenced),
        timing=LEASE_TIMING,
    ) as fleet:
        await fleet.wait_until(fleet.is_served, limit_s=FORMATION_LIMIT_S)
        await asyncio.sleep(_SETTLING_S)
        fleet.network.delay_s = lambda _source, _target: random_source.choice(
            exploration.delays_s
        )
        copies = [len(fleet.log.records)]
        for step in exploration.steps:
            if step.fault is GroupFault.RETURN_LOG:
                copied_count = random_source.choice(copies[-_COPIES_KEPT:])
                return_with_late_appends(fleet, copied_count, random_source)
                copies = [copied_count]
            else:
                await inject_group_fault(fleet, step)
            copies.append(len(fleet.log.records))
            await wait_watched(fleet, step.wait_s)
        await end_all_faults(fleet)
        await fleet.wait_until(fleet.is_served, limit_s=RECOVERY_LIMIT_S)


def return_with_late_appends(
    fleet: VirtualFleet, copied_count: int, random_source: random.Random
) -> None:
    """Let the log come back, and carry out some of the lost appends again.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet whose log it is.
    copied_count : int
        Number of records in the copy.
    random_source : random.Random
        Chooses the appends, and when they are carried out.
    """
    lost = fleet.log.return_from_copy(copied_count)
    late = random_source.sample(lost, min(len(lost), _MAX_LATE_APPENDS))
    loop = asyncio.get_running_loop()
    for record in late:
        delay_s = random_source.uniform(0, _MAX_LATE_S)
        loop.call_later(delay_s, fleet.log.records.append, record)


async def wait_watched(fleet: VirtualFleet, wait_s: float) -> None:
    """Wait, and raise as soon as the oracle has found two owners.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet to watch.
    wait_s : float
        Length of the wait, in seconds.
    """
    now_s = asyncio.get_running_loop().time
    end_s = now_s() + wait_s
    await fleet.wait_until(lambda: now_s() >= end_s, limit_s=wait_s + 1)


async def inject_group_fault(fleet: VirtualFleet, step: GroupStep) -> None:
    """Inject the fault of a step, without the wait after it.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that gets the fault.
    step : GroupStep
        Fault and group.
    """
    group = _names_in_group(fleet, step)
    if isinstance(step.fault, GroupFault):
        await cut_together(fleet, step.fault, group)
        return
    numbers = {name: number for number, name in enumerate(fleet.nodes)}
    affected = group[:1] if step.fault in _FLEET_FAULTS else group
    await asyncio.gather(
        *(
            inject_fault(fleet, Step(step.fault, numbers[name], 0))
            for name in affected
        )
    )


def _names_in_group(fleet: VirtualFleet, step: GroupStep) -> list[NodeId]:
    names = tuple(fleet.nodes)
    chosen = [names[number % len(names)] for number in step.nodes]
    if step.group is Group.ZONES:
        zones = {fleet.nodes[name].spec.zone for name in chosen}
        chosen = [
            name for name in names if fleet.nodes[name].spec.zone in zones
        ]
    if step.group is Group.WITNESSES:
        witnesses = [witness_names(fleet, name) for name in chosen]
        chosen.extend(itertools.chain.from_iterable(witnesses))
    return list(dict.fromkeys(chosen))


def witness_names(fleet: VirtualFleet, name: NodeId) -> list[NodeId]:
    """Return the names of the witnesses of a node, as far as it knows them.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet to look at.
    name : NodeId
        Node, which may have no membership.
    """
    node = fleet.nodes[name]
    member: Member | None = node.membership.member
    known = node.journal.fleet.members
    if member is None:
        return []
    return [known[each].node_id for each in member.witnesses if each in known]


async def cut_together(
    fleet: VirtualFleet, fault: GroupFault, group: list[NodeId]
) -> None:
    """Inject a fault at the nodes of a group together.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that gets the fault.
    fault : GroupFault
        Fault to inject.
    group : list of NodeId
        Names of the nodes.
    """
    others = [name for name in fleet.nodes if name not in group]
    if fault is GroupFault.END_ALL:
        await end_all_faults(fleet)
    if fault in _FAULTS_OUTWARDS:
        fleet.block_links(group, others)
    if fault in _FAULTS_INWARDS:
        fleet.block_links(others, group)
    if fault in _FAULTS_OF_LOG:
        for name in group:
            node = fleet.nodes[name]
            is_restored = fault is GroupFault.RESTORE_LOG and node.is_running
            node.adapter.is_cut = not is_restored


_FAULTS_OUTWARDS = frozenset(
    (GroupFault.CUT_OFF, GroupFault.CUT_FROM_PEERS, GroupFault.CUT_OUT)
)
_FAULTS_INWARDS = frozenset(
    (GroupFault.CUT_OFF, GroupFault.CUT_FROM_PEERS, GroupFault.CUT_IN)
)
_FAULTS_OF_LOG = frozenset(
    (GroupFault.CUT_OFF, GroupFault.CUT_LOG, GroupFault.RESTORE_LOG)
)


def find_group_judged_from_outside(fleet: VirtualFleet) -> list[NodeId]:
    """Return an owner and two of its witnesses that others can evict.

    Neither of the two has a witness in the group besides the third node,
    so that the rest of the fleet can evict both.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that has formed its witness sets.
    """
    for owner, node in fleet.nodes.items():
        if not node.owned_shards():
            continue
        for pair in itertools.combinations(witness_names(fleet, owner), 2):
            group = {owner, *pair}
            inside = (
                len(group.intersection(witness_names(fleet, each)))
                for each in pair
            )
            if max(inside) <= 1:
                return [owner, *pair]
    raise ValueError('no owner has two witnesses that others can evict')
