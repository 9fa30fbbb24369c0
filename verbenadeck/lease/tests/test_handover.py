"""Releases of shards that come back while their record is not appended."""

import asyncio
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from verbenadeck.fleet.tests.builders import HOLDS, Recorder, make_fleet
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


class _FakeGrants:
    """Grants of an upstream that releases shards when a test says so."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.released.set()

    async def await_release(self, _shards: frozenset[Shard]) -> None:
        await self.released.wait()

    async def revoke(self) -> None:
        await self.released.wait()

    def pop_handovers(self, _ranges: tuple[ReleasedRange, ...]) -> tuple[()]:
        return ()


class _Owner:
    """Handover of one member; appends fail while its log is away."""

    def __init__(self, recorder: Recorder, incarnation: Incarnation) -> None:
        self.fleet = recorder.state
        self.grants = _FakeGrants()
        self.is_log_away = False
        self._recorder = recorder
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
        verdict = self._recorder.add(record)
        return Success(AppliedRecord(self.fleet.applied_offset, verdict))

    async def settle(self, seconds: float = _SETTLE_S) -> None:
        self.handover.wake()
        await asyncio.sleep(seconds)

    def earlier_owners(self, shard: int) -> tuple[Incarnation, ...]:
        return self.fleet.shard(HOLDS, Shard(shard)).earlier_owners


async def _hand_over_twice() -> tuple[_Owner, Incarnation]:
    """Return an owner whose shards went away, one of them twice.

    Its log is away until the second time, when its upstream still holds the
    shard that came back.
    """
    recorder, (own, second, third, _) = make_fleet()
    assert recorder.assign(own) is Verdict.ACCEPTED
    owner = _Owner(recorder, own)
    await owner.handover.start()
    owner.is_log_away = True
    recorder.assign(second, first=0, stop=2)
    await owner.settle()
    recorder.assign(own, first=0, stop=1)
    back = (ReleasedRange(HOLDS, 0, 1),)
    recorder.add(Released(second, back, recorder.state.applied_offset))
    assert owner.earlier_owners(0) == ()
    await owner.settle(3 * _APPEND_S)
    owner.grants.released.clear()
    recorder.assign(third, first=0, stop=1)
    assert owner.earlier_owners(0) == (own,)
    # The append in progress fails too.
    await owner.settle(2 * _APPEND_S)
    owner.is_log_away = False
    await owner.settle(3 * _APPEND_S)
    return owner, own


def test_shards_are_released_in_the_log_when_it_returns() -> None:
    async def main() -> None:
        owner, _ = await _hand_over_twice()
        assert owner.earlier_owners(1) == ()
        owner.grants.released.set()
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
