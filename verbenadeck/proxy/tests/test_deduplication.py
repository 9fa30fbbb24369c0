"""Non-repeatable requests don't run twice over crashes, moves and losses."""

import asyncio

import pytest
from returns.result import Success

from verbenadeck.model import (
    Answer,
    Incarnation,
    Outcome,
    RefusalReason,
    RequestId,
)
from verbenadeck.proxy import Ledger
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    admit,
    all_shards,
    answered,
    make_deposit,
    uuid7_at,
    verdict,
)
from verbenadeck.proxy.tests.fakes import SHARDS, FakeUpstream
from verbenadeck.testing import run_virtual

_WITNESSES = (Incarnation(3), Incarnation(4), Incarnation(5))


async def _fleet_with_witnesses() -> tuple[ProxyFleet, list[Node]]:
    """Create an owner, its successor and the three witnesses of both."""
    site = ProxyFleet()
    nodes = [
        await site.add(FakeUpstream(service_time_s=0.2), witnesses=_WITNESSES)
        for _ in range(5)
    ]
    site.own_all(nodes[0])
    return site, nodes


def _start_takeovers(site: ProxyFleet, lost: Node, successor: Node) -> None:
    site.lose(lost)
    site.own_all(successor)
    successor.proxy.open_shards(all_shards(), None)


def test_outcome_after_a_crash_during_the_run_stays_unknown() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service_time_s=1))
        site.own_all(node)
        deposit = make_deposit('d1')
        task = asyncio.create_task(admit(node, deposit))
        await asyncio.sleep(0.5)
        node.upstream.crash()
        node.upstream.announce()
        expected = (Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
        assert verdict(await task) == expected
        assert verdict(await admit(node, deposit)) == expected
        assert node.upstream.runs['d1'] == 1

    run_virtual(scenario())


def test_request_that_did_not_run_may_be_sent_again() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        site.own_all(node)
        node.upstream.is_connected = False
        deposit = make_deposit('d1')
        assert verdict(await admit(node, deposit))[0] is Outcome.NOT_RUN
        node.upstream.is_connected = True
        assert await admit(node, deposit) == answered(deposit)
        assert node.upstream.runs['d1'] == 1

    run_virtual(scenario())


def test_reused_id_of_another_request_is_refused() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        site.own_all(node)
        await admit(node, make_deposit('d1', body=b'anna pays 5'))
        other = make_deposit('d1', body=b'ben pays 7')
        assert verdict(await admit(node, other)) == (
            Outcome.NOT_RUN,
            RefusalReason.BAD_REQUEST,
        )
        assert node.upstream.runs['d1'] == 1

    run_virtual(scenario())


def test_full_ledger_refuses_requests_and_keeps_its_entries() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(ledger=Ledger(limit=2))
        site.own_all(node)
        first = make_deposit('d1')
        await admit(node, first)
        await admit(node, make_deposit('d2'))
        assert verdict(await admit(node, make_deposit('d3'))) == (
            Outcome.NOT_RUN,
            RefusalReason.QUEUE_FULL,
        )
        assert await admit(node, first) == answered(first)
        await asyncio.sleep(601)
        third = make_deposit('d3')
        assert await admit(node, third) == answered(third)
        assert node.upstream.runs['d1'] == 1

    run_virtual(scenario())


def test_ledger_refuses_entries_beyond_its_max_bytes() -> None:
    ledger = Ledger(max_bytes=1000)
    entry = ledger.open(RequestId('a'), 1, 0, now_s=0)
    assert entry is not None
    ledger.keep(entry, Answer(200, (), bytes(900)), expires_at_s=10)
    assert ledger.open(RequestId('b'), 1, 0, now_s=1) is None
    assert ledger.open(RequestId('b'), 1, 0, now_s=11) is not None


def test_new_owner_does_not_run_what_a_lost_owner_may_have_run() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        deposit = make_deposit('d1')
        assert await admit(nodes[0], deposit) == answered(deposit)
        _start_takeovers(site, nodes[0], nodes[1])
        assert verdict(await admit(nodes[1], deposit)) == (
            Outcome.UNKNOWN,
            RefusalReason.LEDGER_LOST,
        )
        assert nodes[1].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_new_owner_runs_what_the_lost_owner_never_received() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        _start_takeovers(site, nodes[0], nodes[1])
        deposit = make_deposit('d1')
        assert await admit(nodes[1], deposit) == answered(deposit)

    run_virtual(scenario())


def test_witness_sets_from_before_the_first_assignment_are_not_queried() -> (
    None
):
    async def scenario() -> None:
        site = ProxyFleet()
        nodes = [await site.add(FakeUpstream(), witnesses=()) for _ in range(5)]
        for node in nodes:
            site.set_witnesses(node, _WITNESSES)
        site.own_all(nodes[0])
        _start_takeovers(site, nodes[0], nodes[1])
        deposit = make_deposit('d1')
        assert await admit(nodes[1], deposit) == answered(deposit)

    run_virtual(scenario())


def test_replaced_witness_sets_of_an_owner_are_still_queried() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        deposit = make_deposit('d1')
        assert await admit(nodes[0], deposit) == answered(deposit)
        site.set_witnesses(nodes[0], (nodes[1].incarnation,))
        _start_takeovers(site, nodes[0], nodes[1])
        outcome, _ = verdict(await admit(nodes[1], deposit))
        assert outcome is Outcome.UNKNOWN
        assert nodes[1].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_one_lost_witness_leaves_a_majority_to_query() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        ran, fresh = make_deposit('d1'), make_deposit('d2')
        await admit(nodes[0], ran)
        site.lose(nodes[2])
        _start_takeovers(site, nodes[0], nodes[1])
        assert verdict(await admit(nodes[1], ran))[0] is Outcome.UNKNOWN
        assert await admit(nodes[1], fresh) == answered(fresh)

    run_virtual(scenario())


def test_two_lost_witnesses_leave_the_outcome_unknown() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        site.lose(nodes[2])
        site.lose(nodes[3])
        _start_takeovers(site, nodes[0], nodes[1])
        old = make_deposit('d1')
        assert verdict(await admit(nodes[1], old)) == (
            Outcome.UNKNOWN,
            RefusalReason.LEDGER_LOST,
        )
        assert nodes[1].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_restarted_witness_does_not_answer_for_its_earlier_incarnation() -> (
    None
):
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        await admit(nodes[0], make_deposit('d1'))
        for witness in nodes[2:]:
            witness.incarnation = Incarnation(witness.incarnation + 100)
        _start_takeovers(site, nodes[0], nodes[1])
        outcome, _ = verdict(await admit(nodes[1], make_deposit('d1')))
        assert outcome is Outcome.UNKNOWN
        assert nodes[1].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_uuid7_id_created_after_the_takeover_is_new() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        site.lose(nodes[2])
        site.lose(nodes[3])
        _start_takeovers(site, nodes[0], nodes[1])
        site.set_witnesses(nodes[1], (Incarnation(5),))
        takeover_s = site.clock.wall_s()
        await asyncio.sleep(20)
        old = make_deposit(uuid7_at(takeover_s - 5))
        close = make_deposit(uuid7_at(takeover_s + 5))
        ahead = make_deposit(uuid7_at(takeover_s + 500))
        young = make_deposit(uuid7_at(takeover_s + 15))
        for doubtful in (old, close, ahead):
            outcome, _ = verdict(await admit(nodes[1], doubtful))
            assert outcome is Outcome.UNKNOWN
        assert await admit(nodes[1], young) == answered(young)

    run_virtual(scenario())


def test_request_without_a_majority_of_copies_does_not_run() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        site.lose(nodes[2])
        site.lose(nodes[3])
        deposit = make_deposit('d1')
        assert verdict(await admit(nodes[0], deposit)) == (
            Outcome.NOT_RUN,
            RefusalReason.LEDGER_LOST,
        )
        assert nodes[0].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_planned_move_hands_over_recorded_answers() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        done, running = make_deposit('d1'), make_deposit('d2')
        await admit(nodes[0], done)
        task = asyncio.create_task(admit(nodes[0], running))
        await asyncio.sleep(0.1)
        site.own_all(nodes[1])
        entries = await nodes[0].proxy.close_shards(all_shards(), deadline_s=9)
        assert nodes[0].upstream.running == 0
        nodes[1].proxy.open_shards(all_shards(), entries)
        assert await task == answered(running)
        for deposit in (done, running):
            assert await admit(nodes[1], deposit) == answered(deposit)
            assert nodes[1].upstream.runs[deposit.request_id] == 0

    run_virtual(scenario())


@pytest.mark.parametrize('entries', [b'\xc1', b'\x92\x90', b'\x80'])
def test_unreadable_ledger_of_the_earlier_owner_counts_as_lost(
    entries: bytes,
) -> None:
    # Guards against one malformed message that ends the lease of its receiver.
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        deposit = make_deposit('d1')
        assert await admit(nodes[0], deposit) == answered(deposit)
        site.own_all(nodes[1])
        nodes[1].proxy.open_shards(all_shards(), entries)
        assert await admit(nodes[1], deposit) != answered(deposit)
        assert nodes[1].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_resend_during_a_move_waits_for_the_ledger_entries() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        old, new = nodes[:2]
        deposit = make_deposit('d1')
        assert await admit(old, deposit) == answered(deposit)
        new.ownership.moving.update(range(SHARDS))
        site.own_all(new)
        resend = asyncio.create_task(admit(new, deposit))
        entries = await old.proxy.close_shards(all_shards(), deadline_s=9)
        new.proxy.open_shards(all_shards(), entries)
        new.ownership.moving.clear()
        assert await resend == answered(deposit)
        assert new.upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_closing_shards_refuses_their_queue_as_not_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=1, service_time_s=1))
        site.own_all(node)
        deposits = [make_deposit() for _ in range(4)]
        tasks = [asyncio.create_task(admit(node, one)) for one in deposits]
        await asyncio.sleep(0.1)
        await node.proxy.close_shards(all_shards(), deadline_s=5)
        results = await asyncio.gather(*tasks)
        assert isinstance(results[0], Success)
        for deposit, result in zip(deposits[1:], results[1:], strict=True):
            assert verdict(result) == (
                Outcome.NOT_RUN,
                RefusalReason.MOVING,
            )
            assert node.upstream.runs[deposit.request_id] == 0
        late = await admit(node, make_deposit())
        assert verdict(late) == (Outcome.NOT_RUN, RefusalReason.MOVING)

    run_virtual(scenario())


def test_loss_of_the_new_owner_after_a_move_keeps_the_entries() -> None:
    async def scenario() -> None:
        site, nodes = await _fleet_with_witnesses()
        deposit = make_deposit('d1')
        await admit(nodes[0], deposit)
        site.own_all(nodes[1])
        entries = await nodes[0].proxy.close_shards(all_shards(), deadline_s=9)
        nodes[1].proxy.open_shards(all_shards(), entries)
        _start_takeovers(site, nodes[1], nodes[2])
        outcome, _ = verdict(await admit(nodes[2], deposit))
        assert outcome is Outcome.UNKNOWN
        assert nodes[2].upstream.runs['d1'] == 0

    run_virtual(scenario())


def test_owner_without_a_lease_sends_nothing() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=1, service_time_s=1))
        site.own_all(node)
        first = asyncio.create_task(admit(node, make_deposit()))
        await asyncio.sleep(0)
        queued = make_deposit()
        second = asyncio.create_task(admit(node, queued))
        await asyncio.sleep(0.5)
        node.ownership.lease_deadline_s = 0.5
        assert isinstance(await first, Success)
        assert verdict(await second) == (
            Outcome.NOT_RUN,
            RefusalReason.NO_LEASE,
        )
        assert node.upstream.runs[queued.request_id] == 0

    run_virtual(scenario())
