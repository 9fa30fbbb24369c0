"""Ownership after the log has come back without its newest records."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from verbenadeck.fleet._era_claims import EraClaims
from verbenadeck.lease._claim_writer import ClaimWriter
from verbenadeck.lease._witness import LeaseWitness
from verbenadeck.lease.tests.builders import (
    Scenario,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.lease.tests.exploration import (
    draw_exploration,
    explore,
    wait_watched,
)
from verbenadeck.lease.tests.fuzzing import RECOVERY_LIMIT_S, end_all_faults
from verbenadeck.lease.tests.returns import (
    FenceWatch,
    kill_and_restart,
    lose_restarts,
    move_from_frozen_owner,
    move_from_zone,
    move_to_unknown_member,
)
from verbenadeck.membership import Heartbeat, HeartbeatAck
from verbenadeck.membership._heartbeats import Heartbeats
from verbenadeck.model import Era, Fence, NodeId, Zone
from verbenadeck.peers import PeerAddress
from verbenadeck.platform._options import LEASE_TIMING
from verbenadeck.records import ClaimsClosed
from verbenadeck.testing import (
    MemoryLogAdapter,
    TwoOwnersError,
    VirtualFleet,
)

_RESUME_LIMIT_S = 15.0
"""Time after a fault in which all keys must be served again, in seconds."""

_WATCHED_S = 6.0
_UNAWARE_S = 0.3


def _names_to_kill(fleet: VirtualFleet, share: float) -> list[NodeId]:
    names = list(fleet.nodes)
    return names[len(names) - int(len(names) * share) :]


# Guards against tokens below those that other instances have had.
@pytest.mark.parametrize('killed_share', [0.0, 0.5, 1.0])
@pytest.mark.parametrize('seed', range(3))
def test_fences_rise_when_the_log_comes_back(
    killed_share: float, seed: int
) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        watch = FenceWatch(fleet)
        await lose_restarts(fleet)
        await asyncio.sleep(1)
        await kill_and_restart(fleet, _names_to_kill(fleet, killed_share))
        await fleet.wait_until(fleet.is_served, limit_s=_RESUME_LIMIT_S)
        await asyncio.sleep(3)
        watch.stop()
        assert not watch.broken

    run_scenario(scenario, seed=seed)


async def _end_faults(fleet: VirtualFleet) -> None:
    await wait_watched(fleet, _WATCHED_S)
    await end_all_faults(fleet)
    await fleet.wait_until(fleet.is_served, limit_s=RECOVERY_LIMIT_S)


async def _lose_join_of_owner(fleet: VirtualFleet) -> None:
    await move_to_unknown_member(fleet)
    await _end_faults(fleet)


async def _lose_join_of_owner_and_cut_its_witnesses(
    fleet: VirtualFleet,
) -> None:
    owner = await move_to_unknown_member(fleet)
    witnesses = witnesses_of(fleet, owner)
    for witness in witnesses:
        fleet.nodes[witness].adapter.is_cut = True
    await wait_watched(fleet, _UNAWARE_S)
    for witness in witnesses:
        fleet.nodes[witness].adapter.is_cut = False
    await _end_faults(fleet)


async def _lose_eviction_of_frozen_owner(fleet: VirtualFleet) -> None:
    await move_from_frozen_owner(fleet)
    await _end_faults(fleet)


async def _lose_owner_beside_a_member_without_log(
    fleet: VirtualFleet,
) -> None:
    """Kill an owner whose shards wait for the claim of an unaware member."""
    owner = owner_of(fleet)
    shards = fleet.nodes[owner].owned_shards()
    unaware = next(name for name in fleet.nodes if name != owner)
    fleet.nodes[unaware].adapter.is_cut = True
    fleet.log.return_from_copy(len(fleet.log.records))
    await fleet.nodes[owner].kill()
    await fleet.wait_until(
        lambda: all(map(fleet.serving_nodes, shards)), limit_s=_RESUME_LIMIT_S
    )
    await _end_faults(fleet)


async def _lose_evacuation(fleet: VirtualFleet) -> None:
    await move_from_zone(fleet, Zone('a'))
    await _end_faults(fleet)


_SCENARIOS = (
    _lose_join_of_owner,
    _lose_join_of_owner_and_cut_its_witnesses,
    _lose_eviction_of_frozen_owner,
    _lose_evacuation,
    _lose_owner_beside_a_member_without_log,
)


# Guards against a second owner, from the copy, beside one in the lost records.
@pytest.mark.parametrize('scenario', _SCENARIOS)
def test_lost_records_cause_no_second_owner(scenario: Scenario) -> None:
    run_scenario(scenario)
    run_scenario(scenario, timing=LEASE_TIMING)


def _expect_two_owners(scenario: Scenario) -> None:
    with pytest.raises(TwoOwnersError):
        run_scenario(scenario)


def test_evacuation_finds_shards_that_are_served_before_the_era_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def is_contested(self: EraClaims, fence: Fence) -> bool:
        return self.is_open and fence <= self.start_offset

    monkeypatch.setattr(EraClaims, 'is_contested', is_contested)
    _expect_two_owners(_lose_evacuation)


def test_lost_join_finds_shards_that_are_taken_from_the_copy_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(EraClaims, 'is_contested', lambda *_fence: False)
    _expect_two_owners(_lose_join_of_owner)


def test_unaware_member_finds_witnesses_that_renew_across_eras(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    is_refused = LeaseWitness._is_refused
    on_ack = Heartbeats._on_ack

    def ignore_era(self: LeaseWitness, heartbeat: Heartbeat) -> bool:
        era = self._journal.fleet.claims.log_era
        return is_refused(self, msgspec.structs.replace(heartbeat, era=era))

    async def believe_any_era(
        self: Heartbeats, source: PeerAddress, ack: HeartbeatAck
    ) -> None:
        era = self._fleet.claims.log_era
        await on_ack(self, source, msgspec.structs.replace(ack, era=era))

    monkeypatch.setattr(LeaseWitness, '_is_refused', ignore_era)
    monkeypatch.setattr(Heartbeats, '_on_ack', believe_any_era)
    with pytest.raises(TimeoutError):
        run_scenario(_lose_owner_beside_a_member_without_log)


def test_late_witnesses_find_claims_that_close_without_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def close_at_once(self: ClaimWriter) -> None:
        claims = self._journal.fleet.claims
        if not claims.pending:
            await self._propose(ClaimsClosed(claims.start_offset))

    monkeypatch.setattr(ClaimWriter, '_close_when_due', close_at_once)
    with pytest.raises(TwoOwnersError):
        run_scenario(
            _lose_join_of_owner_and_cut_its_witnesses, timing=LEASE_TIMING
        )


def test_lost_eviction_finds_a_claim_without_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def claim_always(self: ClaimWriter) -> None:
        self._unclaimed_ranges = self._find_served_ranges()

    monkeypatch.setattr(ClaimWriter, '_on_new_history', claim_always)
    _expect_two_owners(_lose_eviction_of_frozen_owner)


def _without_era(name: str) -> Callable[..., Awaitable[Any]]:
    """Return a call of the log whose answer names no era."""
    call = getattr(MemoryLogAdapter, name)

    async def call_without_era(*arguments: Any, **options: Any) -> Any:
        answer = await call(*arguments, **options)
        return answer.map(
            lambda found: msgspec.structs.replace(found, era=Era(0))
        )

    return call_without_era


def test_lost_restarts_find_an_era_that_is_read_at_the_start_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MemoryLogAdapter, 'era', Era(0))
    for name in ('newest', 'read'):
        monkeypatch.setattr(MemoryLogAdapter, name, _without_era(name))

    async def scenario(fleet: VirtualFleet) -> None:
        watch = FenceWatch(fleet)
        await lose_restarts(fleet)
        await kill_and_restart(fleet, list(fleet.nodes))
        await asyncio.sleep(_RESUME_LIMIT_S)
        watch.stop()
        assert watch.broken

    run_scenario(scenario, is_watched=False)


@pytest.mark.parametrize('seed', [1])
def test_random_faults_around_returns_never_cause_two_owners(seed: int) -> None:
    explore(
        draw_exploration(
            seed, sizes=(3, 3, 3), step_count=12, with_returns=True
        )
    )
