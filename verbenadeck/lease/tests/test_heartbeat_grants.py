"""Grants that upstreams request with their heartbeats."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from verbenadeck.adapters import (
    Announcement,
    HeldRange,
    HoldReport,
    KeyHandover,
)
from verbenadeck.lease import HeartbeatGrants, _hold_rows
from verbenadeck.lease._heartbeat_grants import CLOCK_RATIO, MAX_ROWS
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.testing import run_virtual, virtual_clock
from verbenadeck.testing._fakes import FakeUpstream

_SERVICE = ServiceName('catalogue')
_SHARDS = 16
_KEYS = 160
_MAX_HOLD_S = 10.0
_LEASE_S = 3.0


class _FakeNode:
    """Grants with a lease and servable shards that tests set."""

    def __init__(self, *, shards: int = _SHARDS, keys: int = _KEYS) -> None:
        self.clock = virtual_clock()
        self.shards = shards
        self.lease_end_s = self.clock.now_s() + _LEASE_S
        self.servable: dict[Shard, Fence] = {}
        self.upstream = FakeUpstream(self.clock, _SERVICE, checks_fences=True)
        self.grants = HeartbeatGrants(
            clock=self.clock,
            upstream=self.upstream,
            service=lambda: (_SERVICE, self.shards),
            servable_fences=lambda: dict(self.servable),
            lease_deadline_s=lambda: self.lease_end_s,
            key_space=keys,
            max_hold_s=_MAX_HOLD_S,
        )

    def add_shards(self, first: int, stop: int, fence: int = 5) -> None:
        for shard in range(first, stop):
            self.servable[Shard(shard)] = Fence(fence)


def _report(
    *held: tuple[int, int, int], freed: tuple[KeyHandover, ...] = ()
) -> HoldReport:
    rows = tuple(HeldRange(*row[:2], Fence(row[2])) for row in held)
    return HoldReport('life-0', rows, freed)


def _run(scenario: Callable[[_FakeNode], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(_FakeNode())

    run_virtual(main())


def test_hold_ends_before_the_lease_even_on_the_slowest_clock() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        reply = node.grants.holds_for(_report())
        assert reply is not None
        assert reply.held == (HeldRange(0, 39, Fence(5)),)
        assert reply.hold_s * CLOCK_RATIO <= _LEASE_S
        assert node.grants.deadline_s(Shard(0), Fence(5)) <= node.lease_end_s
        assert node.grants.deadline_s(Shard(0), Fence(4)) < 0
        assert node.grants.deadline_s(Shard(9), Fence(5)) < 0

    _run(scenario)


def test_no_hold_is_renewed_without_a_lease() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.holds_for(_report())
        node.lease_end_s = node.clock.now_s()
        assert node.grants.holds_for(_report((0, 39, 5))) is None

    _run(scenario)


def test_new_process_revokes_grants_of_the_earlier_process() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.lease_end_s = 0
        assert not node.grants.are_earlier_grants_over
        reply = node.grants.holds_for(_report((0, 39, 5)))
        assert reply is not None
        assert not reply.held
        assert not node.grants.are_earlier_grants_over
        node.grants.holds_for(_report())
        assert node.grants.are_earlier_grants_over

    _run(scenario)


# Guards against the end of an earlier incarnation while the upstream holds
# shards by a reply that its process gave after a report which comes late.
@pytest.mark.xfail(strict=True, reason='KNOWN-RED.txt: late first report')
def test_late_report_does_not_end_grants_of_the_earlier_process() -> None:
    async def scenario(node: _FakeNode) -> None:
        earlier = _FakeNode()
        earlier.add_shards(0, 4)
        late = _report()
        assert earlier.grants.holds_for(_report()) is not None
        node.grants.holds_for(late)
        assert not node.grants.are_earlier_grants_over
        node.grants.holds_for(_report((0, 39, 5)))
        assert not node.grants.are_earlier_grants_over
        node.grants.holds_for(_report())
        assert node.grants.are_earlier_grants_over

    _run(scenario)


def test_earlier_grants_end_after_the_longest_hold() -> None:
    async def scenario(node: _FakeNode) -> None:
        await asyncio.sleep(_MAX_HOLD_S)
        assert not node.grants.are_earlier_grants_over
        await asyncio.sleep(_MAX_HOLD_S * (CLOCK_RATIO - 1) + 0.01)
        assert node.grants.are_earlier_grants_over

    _run(scenario)


def test_revocation_waits_until_the_upstream_reports_the_release() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.holds_for(_report())
        node.grants.holds_for(_report((0, 39, 5)))
        node.servable = {Shard(0): Fence(5)}
        revoking = asyncio.ensure_future(node.grants.revoke())
        reply = node.grants.holds_for(_report((0, 39, 5)))
        assert reply is not None
        assert reply.held == (HeldRange(0, 9, Fence(5)),)
        await asyncio.sleep(0.2)
        assert not revoking.done()
        node.grants.holds_for(
            _report((0, 9, 5), freed=(KeyHandover(10, 39, 'text'),))
        )
        await asyncio.sleep(0.1)
        assert revoking.done()
        released = (ReleasedRange(_SERVICE, 1, 4),)
        assert node.grants.pop_handovers(released) == (
            KeyHandover(10, 39, 'text'),
        )
        assert not node.grants.pop_handovers(released)

    _run(scenario)


def test_revocation_of_a_silent_upstream_waits_for_the_hold() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.holds_for(_report())
        node.servable = {}
        started_s = node.clock.now_s()
        await node.grants.revoke()
        assert _LEASE_S - 0.1 <= node.clock.now_s() - started_s
        assert node.clock.now_s() - started_s <= _LEASE_S + 0.1

    _run(scenario)


def test_shorter_hold_does_not_end_a_longer_one_whose_reply_was_lost() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        started_s = node.clock.now_s()
        first = node.grants.holds_for(_report())
        assert first is not None
        await asyncio.sleep(1)
        node.lease_end_s = node.clock.now_s() + 0.6
        second = node.grants.holds_for(_report((0, 39, 5)))
        assert second is not None
        assert second.hold_s < 1
        # The upstream gets neither this reply nor any later one.
        node.servable.clear()
        await node.grants.revoke()
        held_s = node.clock.now_s() - started_s
        assert held_s >= first.hold_s * CLOCK_RATIO

    _run(scenario)


# Guards against a release while the upstream holds shards by a reply that was
# on its way when it sent its last report.
def test_report_sent_before_the_last_reply_arrived_ends_no_hold() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        reply = node.grants.holds_for(_report())
        assert reply is not None
        node.servable.clear()
        await asyncio.sleep(0.1)
        node.grants.holds_for(_report())
        # The upstream gets the first reply but not the second one.
        started_s = node.clock.now_s()
        await node.grants.revoke()
        held_s = node.clock.now_s() - started_s
        assert held_s >= reply.hold_s * CLOCK_RATIO - 0.2

    _run(scenario)


def test_handover_text_is_sent_until_the_upstream_holds_the_keys() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.add_handovers((KeyHandover(10, 19, 'text'),))
        reply = node.grants.holds_for(_report())
        assert reply is not None
        assert reply.held == (
            HeldRange(0, 9, Fence(5)),
            HeldRange(10, 19, Fence(5), 'text'),
            HeldRange(20, 39, Fence(5)),
        )
        reply = node.grants.holds_for(
            _report((0, 9, 5), (10, 19, 5), (20, 39, 5))
        )
        assert reply is not None
        assert reply.held == (HeldRange(0, 39, Fence(5)),)

    _run(scenario)


def test_restarted_upstream_has_no_grants() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.holds_for(_report())
        node.upstream.restart()
        assert node.grants.deadline_s(Shard(0), Fence(5)) < 0
        assert node.grants.are_earlier_grants_over

    _run(scenario)


def test_adjacent_shards_share_a_row_with_the_highest_fence() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 2, fence=5)
        node.add_shards(2, 4, fence=9)
        reply = node.grants.holds_for(_report())
        assert reply is not None
        assert reply.held == (HeldRange(0, 39, Fence(9)),)
        assert node.grants.deadline_s(Shard(0), Fence(5)) > 0
        del node.servable[Shard(2)], node.servable[Shard(3)]
        reply = node.grants.holds_for(_report((0, 39, 9)))
        assert reply is not None
        assert reply.held == (HeldRange(0, 19, Fence(9)),)

    _run(scenario)


def test_all_keys_are_granted_when_handover_texts_do_not_fit() -> None:
    async def scenario(node: _FakeNode) -> None:
        for shard in range(_SHARDS):
            node.servable[Shard(shard)] = Fence(shard)
        node.grants.add_handovers(
            tuple(KeyHandover(key, key, 'x') for key in range(MAX_ROWS + 9))
        )
        reply = node.grants.holds_for(_report())
        assert reply is not None
        assert reply.held == (HeldRange(0, _KEYS - 1, Fence(_SHARDS - 1)),)

    _run(scenario)


def test_rows_over_the_limit_are_not_granted() -> None:
    async def scenario(node: _FakeNode) -> None:
        for shard in range(0, 2 * MAX_ROWS + 8, 2):
            node.servable[Shard(shard)] = Fence(5)
        reply = node.grants.holds_for(_report())
        assert reply is not None
        assert len(reply.held) == MAX_ROWS
        assert node.grants.deadline_s(Shard(0), Fence(5)) > 0
        last = Shard(2 * MAX_ROWS)
        assert node.grants.deadline_s(last, Fence(5)) < 0

    async def main() -> None:
        await scenario(_FakeNode(shards=400, keys=4000))

    run_virtual(main())


def test_reassigned_shard_is_served_until_the_next_heartbeat() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.holds_for(_report())
        del node.servable[Shard(0)]
        releasing = asyncio.ensure_future(
            node.grants.await_release(frozenset((Shard(0),)))
        )
        await asyncio.sleep(0.2)
        assert node.grants.granted_fence(Shard(0)) == 5
        assert not releasing.done()
        node.grants.holds_for(_report((0, 39, 5)))
        assert node.grants.granted_fence(Shard(0)) is None
        await asyncio.sleep(0.1)
        assert releasing.done()

    _run(scenario)


@pytest.mark.parametrize('slots', [4, 18])
def test_repeated_announcement_of_an_instance_keeps_its_grants(
    slots: int,
) -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        node.grants.holds_for(_report())
        same = Announcement(
            _SERVICE, node.upstream.instance, '127.0.0.1', 1, slots, 4, 4
        )
        node.grants._on_announce(same)
        assert node.grants.deadline_s(Shard(0), Fence(5)) > 0

    _run(scenario)


@pytest.mark.parametrize('last_key', [_KEYS - 1, 2**53 - 1])
def test_work_for_a_report_is_bounded_by_its_rows_and_the_shards(
    last_key: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a report whose rows or keys are expanded many times over.
    made: list[int] = []

    def make_shard(number: int) -> Shard:
        made.append(number)
        return Shard(number)

    monkeypatch.setattr(_hold_rows, 'Shard', make_shard)
    layout = _hold_rows.KeyLayout(_KEYS, lambda: _SHARDS)
    row = HeldRange(0, last_key, Fence(5))
    rows = (row for _ in range(1000))
    assert layout.covered_shards(rows) == set(range(_SHARDS))
    assert len(made) <= _SHARDS


def test_report_proves_nothing_while_the_number_of_shards_is_unknown() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.grants.holds_for(_report((0, 39, 5)))
        node.shards = _SHARDS
        node.add_shards(0, 1)
        revoking = asyncio.ensure_future(node.grants.revoke())
        await asyncio.sleep(0.2)
        assert not revoking.done()
        revoking.cancel()

    async def main() -> None:
        await scenario(_FakeNode(shards=0))

    run_virtual(main())


def test_texts_that_are_handed_over_are_bounded() -> None:
    # Guards against memory that grows with every report of the upstream.
    async def scenario(node: _FakeNode) -> None:
        for key in range(_KEYS):
            for last in range(key, _KEYS):
                released = (KeyHandover(key, last, 'text'),)
                node.grants.holds_for(_report(freed=released))
        found = node.grants.pop_handovers((ReleasedRange(_SERVICE, 0, 16),))
        assert len(found) == 4096
        assert found[-1] == KeyHandover(_KEYS - 1, _KEYS - 1, 'text')

    _run(scenario)


def test_texts_of_keys_that_do_not_exist_are_not_granted() -> None:
    async def scenario(node: _FakeNode) -> None:
        node.add_shards(0, 4)
        odd = ((8, 2, 'x'), (-1, 3, 'x'), (0, _KEYS, 'x'), (0, 9, 'x' * 201))
        node.grants.add_handovers(tuple(KeyHandover(*each) for each in odd))
        reply = node.grants.holds_for(_report())
        assert reply is not None
        assert reply.held == (HeldRange(0, 39, Fence(5)),)

    _run(scenario)
