"""The oracle sees two owners when the lease rules are broken."""

import asyncio
from functools import partial

import pytest

from verbenadeck.fleet import Member
from verbenadeck.lease.tests.builders import (
    TARGET_S,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.membership._renewals import Renewals
from verbenadeck.membership._witness_set import WitnessSetKeeper
from verbenadeck.model import Incarnation
from verbenadeck.testing import TwoOwnersError, VirtualFleet


async def _resume_with_old_answers(
    fleet: VirtualFleet, *, is_from_receipt: bool = False
) -> None:
    """Pause an owner while answers are on their way to it."""
    node = fleet.nodes[owner_of(fleet)]
    timing = node.membership.timing
    delay_s = timing.heartbeat_interval_s / 8
    fleet.network.delay_s = lambda _source, _target: delay_s
    await asyncio.sleep(1)
    # One heartbeat has left and its answers have not come back.
    shift_s = -delay_s if is_from_receipt else delay_s
    left_s = timing.holder_lease_s - timing.heartbeat_interval_s - shift_s
    await fleet.wait_until(
        lambda: (
            node.clock.remaining_s(node.membership.lease_deadline_s) < left_s
        )
    )
    node.process.pause()
    await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
    await asyncio.sleep(1)
    # Nothing new is learned from the log or the network after it.
    node.adapter.is_cut = True
    node.process.resume()
    await asyncio.sleep(3)


async def _lose_witnesses_and_log(fleet: VirtualFleet) -> None:
    """Cut an owner from its witnesses and from the log, not from others."""
    owner = owner_of(fleet)
    witnesses = witnesses_of(fleet, owner)
    fleet.block_links([owner], witnesses)
    fleet.block_links(witnesses, [owner])
    fleet.nodes[owner].adapter.is_cut = True
    await asyncio.sleep(6)


def test_a_resumed_owner_with_old_answers_serves_nothing() -> None:
    run_scenario(_resume_with_old_answers)


def test_a_lease_counted_from_receipt_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    renew = Renewals.renew

    def renew_from_receipt(
        self: Renewals, witness: Incarnation, sent_s: float
    ) -> None:
        renew(self, witness, self._clock.now_s())

    monkeypatch.setattr(Renewals, 'renew', renew_from_receipt)
    with pytest.raises(TwoOwnersError):
        run_scenario(partial(_resume_with_old_answers, is_from_receipt=True))


def test_an_owner_without_witnesses_and_log_serves_nothing() -> None:
    run_scenario(_lose_witnesses_and_log)


def test_a_set_change_with_only_the_new_set_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    both = WitnessSetKeeper.sets

    def only_newest(
        self: WitnessSetKeeper, member: Member
    ) -> tuple[tuple[Incarnation, ...], ...]:
        return both(self, member)[-1:]

    monkeypatch.setattr(WitnessSetKeeper, 'sets', only_newest)
    with pytest.raises(TwoOwnersError):
        run_scenario(_lose_witnesses_and_log)
