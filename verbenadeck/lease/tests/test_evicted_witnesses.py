"""Witnesses that go on running after the log has recorded their end."""

import asyncio
import random

import pytest
from returns.result import Result

from verbenadeck.adapters import LogError, LogPage
from verbenadeck.lease.tests.builders import (
    incarnations,
    nodes_in_zone,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.model import Incarnation, Offset
from verbenadeck.platform._options import LEASE_TIMING
from verbenadeck.records import LeavePhase, NodeLeave, Verdict
from verbenadeck.testing import MemoryLogAdapter, VirtualFleet, zoned_specs

_CUT_S = 8.0
_ZONE_SIZE = 4
_HEAL_LIMIT_S = 3.0
_MAX_READ_DELAY_S = 0.4


def _cut_off_two_zones(fleet: VirtualFleet) -> None:
    inside = nodes_in_zone(fleet, 'a') + nodes_in_zone(fleet, 'b')
    outside = [name for name in fleet.nodes if name not in inside]
    fleet.block_links(inside, outside)
    fleet.block_links(outside, inside)
    for name in inside:
        fleet.nodes[name].adapter.is_cut = True


# Guards against two owners after the end of witnesses that can't read the log.
def test_witnesses_cut_off_with_a_member_renew_it_no_longer_than_a_lease() -> (
    None
):
    async def scenario(fleet: VirtualFleet) -> None:
        _cut_off_two_zones(fleet)
        await asyncio.sleep(_CUT_S)
        assert fleet.is_served()
        fleet.raise_violations()

    run_scenario(
        scenario, specs=zoned_specs(*(_ZONE_SIZE,) * 5), shard_count=32
    )


# Guards against two owners after witnesses that are behind in the log resign.
def test_witnesses_that_resign_renew_nothing_until_they_have_read_the_log() -> (
    None
):
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        resigning = witnesses_of(fleet, owner)[:2]
        ended = [incarnations(fleet)[name] for name in resigning]
        for name in (owner, *resigning):
            fleet.nodes[name].adapter.is_cut = True
        for name in resigning:
            fleet.nodes[name].upstream.restart()
            fleet.nodes[name].membership.resign('test')
        # The log takes their last records, which peers append for them.
        await _append_ends(fleet, ended)
        await asyncio.sleep(_CUT_S)
        fleet.raise_violations()
        assert owner_of(fleet) != owner

    run_scenario(scenario)


async def _append_ends(fleet: VirtualFleet, ended: list[int]) -> None:
    peer = next(
        node for node in fleet.nodes.values() if not node.adapter.is_cut
    )
    for incarnation in ended:
        record = NodeLeave(Incarnation(incarnation), LeavePhase.GONE)
        outcome = await peer.process.spawn(
            peer.journal.propose(record, deadline_s=peer.clock.now_s() + 1)
        )
        assert outcome.unwrap().verdict is Verdict.ACCEPTED


# Guards against a fleet that stays without leases after all have lapsed.
def test_witnesses_without_a_lease_renew_again_once_the_log_is_read() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for node in fleet.nodes.values():
            fleet.network.isolate(node.address)
        await asyncio.sleep(_CUT_S)
        assert not fleet.is_served()
        fleet.network.heal()
        await fleet.wait_until(fleet.is_served, limit_s=_HEAL_LIMIT_S)

    run_scenario(scenario)


# Guards against renewals by members that can't know whether they have ended.
def test_witnesses_without_a_lease_renew_nothing_while_the_log_is_down() -> (
    None
):
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.log.is_up = False
        for node in fleet.nodes.values():
            fleet.network.isolate(node.address)
        await asyncio.sleep(_CUT_S)
        fleet.network.heal()
        await asyncio.sleep(_HEAL_LIMIT_S)
        assert not fleet.is_served()
        fleet.log.is_up = True
        await fleet.wait_until(fleet.is_served, limit_s=_HEAL_LIMIT_S)

    run_scenario(scenario)


# Guards against votes about members whose heartbeats wait for a read of the log.
@pytest.mark.parametrize('seed', [1, 2])
def test_members_stay_when_all_leases_come_back_by_slow_reads(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    read = MemoryLogAdapter.read
    delays_s = random.Random(seed)

    async def read_slowly(
        self: MemoryLogAdapter,
        start_offset: Offset,
        *,
        limit: int,
        deadline_s: float,
    ) -> Result[LogPage, LogError]:
        await asyncio.sleep(delays_s.uniform(0, _MAX_READ_DELAY_S))
        return await read(
            self, start_offset, limit=limit, deadline_s=deadline_s
        )

    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        for node in fleet.nodes.values():
            fleet.network.isolate(node.address)
        await asyncio.sleep(_CUT_S)
        monkeypatch.setattr(MemoryLogAdapter, 'read', read_slowly)
        fleet.network.heal()
        await fleet.wait_until(fleet.is_served, limit_s=_HEAL_LIMIT_S)
        await asyncio.sleep(_CUT_S)
        assert incarnations(fleet) == before

    run_scenario(
        scenario,
        specs=zoned_specs(3, 3, 3, 3, 3),
        seed=seed,
        timing=LEASE_TIMING,
    )
