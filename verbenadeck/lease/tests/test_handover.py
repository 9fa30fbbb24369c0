"""Releases of shards that come back while their record is not appended."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from verbenadeck.fleet import ShardView
from verbenadeck.fleet.tests.builders import HOLDS, make_fleet
from verbenadeck.journal import AppliedRecord, JournalError, JournalFailure
from verbenadeck.lease._handover import Handover
from verbenadeck.lease._messages import ReleaseAck
from verbenadeck.membership import LeaseTiming
from verbenadeck.model import Incarnation, Offset, Shard
from verbenadeck.peers import Message, PeerAddress, PeerError
from verbenadeck.records import (
    Record,
    Released,
    ReleasedRange,
    Verdict,
)
from verbenadeck.testing import FakeProxy, run_virtual, virtual_clock

_APPEND_S = 1.0
_SETTLE_S = 0.6
_POLL_S = 0.05


class _FakeGrants:
    """Grants of an upstream that holds the shards that a test says.

    It may go on holding those for which `is_owned` is true.
    """

    def __init__(self, is_owned: Callable[[int], bool]) -> None:
        self.held: set[int] = set()
        self._is_owned = is_owned

    async def await_release(self, shards: frozenset[Shard]) -> None:
        while not self.held.isdisjoint(shards):
            await asyncio.sleep(_POLL_S)

    async def revoke(self) -> None:
        while not all(map(self._is_owned, self.held)):
            await asyncio.sleep(_POLL_S)

    def pop_handovers(self, _ranges: tuple[ReleasedRange, ...]) -> tuple[()]:
        return ()


class _Owner:
    """Handover of one member; appends fail while its log is away."""

    def __init__(self) -> None:
        recorder, members = make_fleet()
        self.recorder = recorder
        self.members = members
        self.fleet = recorder.state
        incarnation = members[0]
        assert self.recorder.assign(incarnation) is Verdict.ACCEPTED
        self.grants = _FakeGrants(
            lambda shard: self._view(shard).owner == incarnation
        )
        self.is_log_away = False
        clock = virtual_clock()
        journal: Any = self
        transport: Any = self
        membership: Any = SimpleNamespace(
            incarnation=incarnation, timing=LeaseTiming()
        )
        grants: Any = self.grants
        self.handover = Handover(
            clock=clock,
            journal=journal,
            transport=transport,
            membership=membership,
            proxy=FakeProxy(),
            grants=grants,
        )

    async def call(
        self, _peer: PeerAddress, _message: Message, *, deadline_s: float
    ) -> Result[Message, PeerError]:
        return Success(ReleaseAck(Offset(0)))

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        await asyncio.sleep(_APPEND_S)
        if self.is_log_away:
            return Failure(JournalError(JournalFailure.NOT_APPENDED, 'away'))
        verdict = self.recorder.add(record)
        return Success(AppliedRecord(self.fleet.applied_offset, verdict))

    async def settle(self, seconds: float = _SETTLE_S) -> None:
        self.handover.wake()
        await asyncio.sleep(seconds)

    def earlier_owners(self, shard: int) -> tuple[Incarnation, ...]:
        return self._view(shard).earlier_owners

    def _view(self, shard: int) -> ShardView:
        return self.fleet.shard(HOLDS, Shard(shard))


async def _hand_over_twice() -> tuple[_Owner, Incarnation]:
    """Return an owner whose shards went away, one of them twice.

    Its log is away until the second time, when its upstream still holds the
    shard that came back.
    """
    owner = _Owner()
    recorder, (own, second, third, _) = owner.recorder, owner.members
    await owner.handover.start()
    owner.is_log_away = True
    recorder.assign(second, first=0, stop=2)
    await owner.settle()
    recorder.assign(own, first=0, stop=1)
    back = (ReleasedRange(HOLDS, 0, 1),)
    recorder.add(Released(second, back, recorder.state.applied_offset))
    assert owner.earlier_owners(0) == ()
    await owner.settle(3 * _APPEND_S)
    owner.grants.held.add(0)
    recorder.assign(third, first=0, stop=1)
    assert owner.earlier_owners(0) == (own,)
    # The append in progress fails too.
    await owner.settle(2 * _APPEND_S)
    owner.is_log_away = False
    await owner.settle(3 * _APPEND_S)
    return owner, own


async def _move_one_of_two_back(owner: _Owner, *, held: set[int]) -> None:
    """Move two shards away and one back, before the next heartbeat."""
    recorder, (own, second, *_) = owner.recorder, owner.members
    owner.grants.held = {0, 1}
    recorder.assign(second, first=0, stop=2)
    await owner.settle(0.1)
    recorder.assign(own, first=0, stop=1)
    back = (ReleasedRange(HOLDS, 0, 1),)
    recorder.add(Released(second, back, recorder.state.applied_offset))
    owner.grants.held = held
    await owner.settle(3 * _APPEND_S)


def test_shards_are_released_in_the_log_when_it_returns() -> None:
    async def main() -> None:
        owner, _ = await _hand_over_twice()
        assert owner.earlier_owners(1) == ()
        owner.grants.held.clear()
        await owner.settle(3 * _APPEND_S)
        assert owner.earlier_owners(0) == ()
        await owner.handover.stop()

    run_virtual(main())


# Guards against a release of the first move that is written after the second
# one and frees a shard which the upstream holds again.
def test_release_covers_no_assignment_after_the_shards_were_closed() -> None:
    async def main() -> None:
        owner, own = await _hand_over_twice()
        assert owner.earlier_owners(0) == (own,)
        await owner.handover.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    'held',
    [
        set(),
        # Guards against shards without an owner for as long as this node owns
        # another one that was to move along with them.
        {0},
    ],
)
def test_shard_that_came_back_does_not_hold_up_the_release_of_others(
    held: set[int],
) -> None:
    async def main() -> None:
        owner = _Owner()
        await owner.handover.start()
        await _move_one_of_two_back(owner, held=held)
        assert owner.earlier_owners(0) == ()
        assert owner.earlier_owners(1) == ()
        await owner.handover.stop()

    run_virtual(main())
