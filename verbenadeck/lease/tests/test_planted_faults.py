"""Check that faults of groups show it if a rule of the lease is broken."""

import asyncio

import pytest

from verbenadeck.fleet import Member
from verbenadeck.lease._membership_check import MembershipCheck
from verbenadeck.lease._quorum_loss_monitor import QuorumLossMonitor
from verbenadeck.lease._witness import LeaseWitness
from verbenadeck.lease.tests.builders import (
    Scenario,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.lease.tests.exploration import (
    GroupFault,
    cut_together,
    find_group_judged_from_outside,
    wait_watched,
)
from verbenadeck.membership._renewals import Renewals
from verbenadeck.membership._witness_set import WitnessSetManager
from verbenadeck.model import Incarnation
from verbenadeck.platform._options import LEASE_TIMING
from verbenadeck.testing import TwoOwnersError, VirtualFleet, zoned_specs

_CUT_S = 12.0
_LONG_DELAY_S = 0.3
_SHORT_DELAY_S = 0.005


def _run_on_five_zones(scenario: Scenario) -> None:
    run_scenario(
        scenario, specs=zoned_specs(2, 2, 2, 2, 2), timing=LEASE_TIMING
    )


async def _cut_owner_off(fleet: VirtualFleet) -> None:
    await cut_together(fleet, GroupFault.CUT_OFF, [owner_of(fleet)])
    await wait_watched(fleet, _CUT_S)


async def _cut_group_off(fleet: VirtualFleet) -> None:
    group = find_group_judged_from_outside(fleet)
    await cut_together(fleet, GroupFault.CUT_OFF, group)
    await wait_watched(fleet, _CUT_S)


async def _cut_from_witnesses_and_log(fleet: VirtualFleet) -> None:
    owner = owner_of(fleet)
    witnesses = witnesses_of(fleet, owner)
    fleet.block_links([owner], witnesses)
    fleet.block_links(witnesses, [owner])
    await cut_together(fleet, GroupFault.CUT_LOG, [owner])
    await wait_watched(fleet, _CUT_S)


async def _silence_owner_with_slow_answers(fleet: VirtualFleet) -> None:
    """Cut what an owner sends while answers are still on their way to it."""
    owner = owner_of(fleet)
    address = fleet.nodes[owner].address
    fleet.network.delay_s = lambda _source, target: (
        _LONG_DELAY_S if target == address else _SHORT_DELAY_S
    )
    await asyncio.sleep(_LONG_DELAY_S * 2)
    await cut_together(fleet, GroupFault.CUT_OUT, [owner])
    await cut_together(fleet, GroupFault.CUT_LOG, [owner])
    await wait_watched(fleet, _CUT_S)


@pytest.mark.parametrize(
    'scenario',
    [
        _cut_owner_off,
        _cut_from_witnesses_and_log,
        _silence_owner_with_slow_answers,
    ],
)
def test_owner_that_is_cut_alone_has_no_second_owner(
    scenario: Scenario,
) -> None:
    _run_on_five_zones(scenario)


def _expect_two_owners(scenario: Scenario) -> None:
    with pytest.raises(TwoOwnersError):
        _run_on_five_zones(scenario)


def test_group_cut_off_finds_a_witness_that_renews_while_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def renew_always(_self: MembershipCheck) -> bool:
        return True

    monkeypatch.setattr(MembershipCheck, 'run', renew_always)
    _expect_two_owners(_cut_group_off)


def test_group_cut_off_finds_votes_by_quorum_loss_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def vote_at_once(self: QuorumLossMonitor, earliest_s: float) -> float:
        return earliest_s - self._lease_s

    monkeypatch.setattr(QuorumLossMonitor, '_next_vote_s', vote_at_once)
    _expect_two_owners(_cut_group_off)


def test_silenced_owner_finds_a_lease_counted_from_receipt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    record_renewal = Renewals.record_renewal

    def renew_from_receipt(
        self: Renewals, witness: Incarnation, _sent_s: float
    ) -> None:
        record_renewal(self, witness, self._clock.now_s())

    monkeypatch.setattr(Renewals, 'record_renewal', renew_from_receipt)
    _expect_two_owners(_silence_owner_with_slow_answers)


def test_cut_from_witnesses_finds_a_lease_on_the_new_witness_set_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    both = WitnessSetManager.required_sets

    def only_newest(
        self: WitnessSetManager, member: Member
    ) -> tuple[tuple[Incarnation, ...], ...]:
        return both(self, member)[-1:]

    monkeypatch.setattr(WitnessSetManager, 'required_sets', only_newest)
    _expect_two_owners(_cut_from_witnesses_and_log)


def test_cut_owner_finds_a_witness_that_votes_before_a_full_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    full_wait_s = LeaseWitness._vote_wait_s

    def wait_half_a_lease(self: LeaseWitness) -> float | None:
        wait_s = full_wait_s(self)
        return None if wait_s is None else wait_s / 2

    monkeypatch.setattr(LeaseWitness, '_vote_wait_s', wait_half_a_lease)
    _expect_two_owners(_cut_owner_off)
