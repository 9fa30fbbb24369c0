"""Check that the oracle detects two owners if a rule of the lease is broken."""

import asyncio
from functools import partial

import pytest

from verbenadeck.fleet import Member
from verbenadeck.lease.tests.builders import (
    TAKEOVER_LIMIT_S,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.membership._renewals import Renewals
from verbenadeck.membership._witness_set import WitnessSetManager
from verbenadeck.model import Incarnation
from verbenadeck.testing import TwoOwnersError, VirtualFleet


async def _resume_with_delayed_acknowledgements(
    fleet: VirtualFleet, *, is_from_receipt: bool = False
) -> None:
    """Pause an owner while acknowledgements are on their way to it."""
    node = fleet.nodes[owner_of(fleet)]
    timing = node.membership.timing
    delay_s = timing.heartbeat_interval_s / 8
    fleet.network.delay_s = lambda _source, _target: delay_s
    await asyncio.sleep(1)
    # Pause after a heartbeat was sent and before its acknowledgements arrive.
    shift_s = -delay_s if is_from_receipt else delay_s
    left_s = timing.holder_lease_s - timing.heartbeat_interval_s - shift_s
    await fleet.wait_until(
        lambda: (
            node.clock.remaining_s(node.membership.lease_deadline_s) < left_s
        )
    )
    node.process.pause()
    await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
    await asyncio.sleep(1)
    # After it resumes, neither the log nor the network tells it anything new.
    node.adapter.is_cut = True
    node.process.resume()
    await asyncio.sleep(3)


async def _cut_from_witnesses_and_log(fleet: VirtualFleet) -> None:
    """Cut an owner from its witnesses and the log, but not from other nodes."""
    owner = owner_of(fleet)
    witnesses = witnesses_of(fleet, owner)
    fleet.block_links([owner], witnesses)
    fleet.block_links(witnesses, [owner])
    fleet.nodes[owner].adapter.is_cut = True
    await asyncio.sleep(6)


def test_resumed_owner_with_delayed_acknowledgements_serves_nothing() -> None:
    run_scenario(_resume_with_delayed_acknowledgements)


def test_oracle_detects_a_lease_counted_from_receipt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    record_renewal = Renewals.record_renewal

    def renew_from_receipt(
        self: Renewals, witness: Incarnation, sent_s: float
    ) -> None:
        record_renewal(self, witness, self._clock.now_s())

    monkeypatch.setattr(Renewals, 'record_renewal', renew_from_receipt)
    with pytest.raises(TwoOwnersError):
        run_scenario(
            partial(_resume_with_delayed_acknowledgements, is_from_receipt=True)
        )


def test_owner_cut_from_witnesses_and_log_serves_nothing() -> None:
    run_scenario(_cut_from_witnesses_and_log)


def test_oracle_detects_a_lease_on_the_new_witness_set_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    both = WitnessSetManager.required_sets

    def only_newest(
        self: WitnessSetManager, member: Member
    ) -> tuple[tuple[Incarnation, ...], ...]:
        return both(self, member)[-1:]

    monkeypatch.setattr(WitnessSetManager, 'required_sets', only_newest)
    with pytest.raises(TwoOwnersError):
        run_scenario(_cut_from_witnesses_and_log)
