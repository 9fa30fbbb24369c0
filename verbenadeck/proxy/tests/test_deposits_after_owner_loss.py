"""Load: deposits for keys whose owner was just lost, from callers that send
each request id once. No deposit that certainly did not run is refused."""

import asyncio

import pytest

from verbenadeck.model import Incarnation, Outcome, RefusalReason
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    admit,
    all_shards,
    answered,
    make_deposit,
    verdict,
)
from verbenadeck.proxy.tests.fakes import (
    SERVICE,
    FakeUpstream,
    make_config,
    make_policy,
)
from verbenadeck.testing import run_virtual

_WITNESSES = (Incarnation(3), Incarnation(4), Incarnation(5))
_DEPOSITS = 20


async def _take_over_after_loss_of_witnesses(
    *, has_copies: bool
) -> tuple[ProxyFleet, Node]:
    """Lose the owner and two of its witnesses; a new owner takes over."""
    site = ProxyFleet()
    site.fleet.config = make_config(
        services={SERVICE: make_policy(has_ledger_copies=has_copies)}
    )
    nodes = [
        await site.add(FakeUpstream(service_time_s=0.1), witnesses=_WITNESSES)
        for _ in range(5)
    ]
    site.own_all(nodes[0])
    for lost in (nodes[0], nodes[2], nodes[3]):
        site.lose(lost)
    successor = nodes[1]
    site.set_witnesses(successor, ())
    site.own_all(successor)
    successor.proxy.open_shards(all_shards(), None)
    return site, successor


@pytest.mark.parametrize('has_copies', [True, False])
def test_deposits_sent_after_the_loss_are_served(has_copies: bool) -> None:
    async def scenario() -> None:
        _, successor = await _take_over_after_loss_of_witnesses(
            has_copies=has_copies
        )
        deposits = [make_deposit(is_new=True) for _ in range(_DEPOSITS)]
        results = await asyncio.gather(
            *(admit(successor, deposit) for deposit in deposits)
        )
        assert results == [answered(deposit) for deposit in deposits]
        assert set(successor.upstream.runs.values()) == {1}

    run_virtual(scenario())


@pytest.mark.parametrize('has_copies', [True, False])
def test_deposit_that_the_lost_owner_may_have_run_is_unknown(
    has_copies: bool,
) -> None:
    async def scenario() -> None:
        _, successor = await _take_over_after_loss_of_witnesses(
            has_copies=has_copies
        )
        resent = make_deposit(is_new=False)
        assert verdict(await admit(successor, resent)) == (
            Outcome.UNKNOWN,
            RefusalReason.LEDGER_LOST,
        )
        assert not successor.upstream.runs

    run_virtual(scenario())


def test_without_copies_deposits_wait_for_no_witness() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        site.fleet.config = make_config(
            services={SERVICE: make_policy(has_ledger_copies=False)}
        )
        owner, witness = [
            await site.add(
                FakeUpstream(service_time_s=0.1), witnesses=(Incarnation(2),)
            )
            for _ in range(2)
        ]
        site.own_all(owner)
        site.lose(witness)
        deposit = make_deposit(is_new=True)
        assert await admit(owner, deposit) == answered(deposit)

    run_virtual(scenario())
