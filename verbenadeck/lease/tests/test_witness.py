"""Renewals by a witness, by what its log says of the member."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from verbenadeck.fleet.tests.builders import Recorder
from verbenadeck.lease import LeaseWitness
from verbenadeck.membership import Heartbeat, LeaseTiming
from verbenadeck.model import NO_MEMBER, Incarnation
from verbenadeck.peers import PeerAddress
from verbenadeck.records import LeavePhase, NodeLeave, Verdict
from verbenadeck.testing import FakeNetwork, run_virtual, virtual_clock

_KEPT_ENDS = 512
_READ_S = 0.1
_SOURCE = PeerAddress('127.0.0.1', 7000)


async def _is_renewed(
    recorder: Recorder, own: Incarnation, member: Incarnation
) -> bool:
    """Return whether a witness that has applied all records renews a member."""
    clock = virtual_clock()
    transport = FakeNetwork().transport(_SOURCE, clock)
    membership: Any = SimpleNamespace(
        incarnation=own,
        is_stopping=False,
        is_leased=True,
        timing=LeaseTiming(),
    )
    journal: Any = SimpleNamespace(fleet=recorder.state)
    LeaseWitness(
        clock=clock,
        transport=transport,
        journal=journal,
        membership=membership,
        random_source=None,  # type: ignore[arg-type]
    )
    heartbeat = Heartbeat(member, own, clock.now_s(), is_renewal=True)
    return await transport.receive(_SOURCE, heartbeat) is not None


def _end(recorder: Recorder, member: Incarnation) -> None:
    record = NodeLeave(member, LeavePhase.GONE)
    assert recorder.add(record) is Verdict.ACCEPTED


def _end_others(recorder: Recorder, count: int) -> None:
    for index in range(count):
        _end(recorder, recorder.join(f'other-{index}'))


def test_member_is_renewed_before_the_witness_has_read_of_its_join() -> None:
    recorder = Recorder()
    own = recorder.join('own')
    unread = Incarnation(recorder.state.applied_offset + 1)
    assert run_virtual(_is_renewed(recorder, own, unread))


@pytest.mark.parametrize(
    'later_ends',
    [
        0,
        _KEPT_ENDS - 1,
        # Guards against the renewal of an evicted member that can't read the
        # log, once its end is no longer among those that the log keeps.
        _KEPT_ENDS,
    ],
)
def test_ended_member_is_not_renewed_however_many_end_later(
    later_ends: int,
) -> None:
    recorder = Recorder()
    own = recorder.join('own')
    member = recorder.join('member', witnesses=(own,))
    assert run_virtual(_is_renewed(recorder, own, member))
    _end(recorder, member)
    _end_others(recorder, later_ends)
    assert not run_virtual(_is_renewed(recorder, own, member))


class _WaitingWitness:
    """Witness without a lease whose read of the log lasts until a test says."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        self.incarnation = self.recorder.join('own')
        self.member = self.recorder.join(
            'member', witnesses=(self.incarnation,)
        )
        self.is_stopping = False
        self.is_leased = False
        self.timing = LeaseTiming()
        self.fleet = self.recorder.state
        self.read = asyncio.get_running_loop().create_future()
        self._clock = virtual_clock()
        self._transport = FakeNetwork().transport(_SOURCE, self._clock)
        stand_in: Any = self
        LeaseWitness(
            clock=self._clock,
            transport=self._transport,
            journal=stand_in,
            membership=stand_in,
            random_source=None,  # type: ignore[arg-type]
        )

    async def catch_up(self, *, deadline_s: float) -> bool:
        assert deadline_s > self._clock.now_s()
        return bool(await self.read)

    async def is_renewed(self) -> bool:
        heartbeat = Heartbeat(
            self.member, self.incarnation, self._clock.now_s(), is_renewal=True
        )
        return await self._transport.receive(_SOURCE, heartbeat) is not None


def _end_self(witness: _WaitingWitness) -> None:
    witness.incarnation = NO_MEMBER


def _end_member(witness: _WaitingWitness) -> None:
    _end(witness.recorder, witness.member)


def _stop(witness: _WaitingWitness) -> None:
    witness.is_stopping = True


async def _is_renewed_after(
    change: Callable[[_WaitingWitness], None], *, is_read: bool = True
) -> bool:
    witness = _WaitingWitness()
    renewing = asyncio.ensure_future(witness.is_renewed())
    await asyncio.sleep(_READ_S)
    assert not renewing.done()
    change(witness)
    witness.read.set_result(is_read)
    return await renewing


def _change_nothing(_witness: _WaitingWitness) -> None:
    """Leave the witness as it is."""


@pytest.mark.parametrize('is_read', [True, False])
def test_witness_without_a_lease_renews_if_it_has_read_the_log(
    is_read: bool,
) -> None:
    renewing = _is_renewed_after(_change_nothing, is_read=is_read)
    assert run_virtual(renewing) is is_read


# Guards against renewals by what was true before the read of the log.
@pytest.mark.parametrize('change', [_end_self, _end_member, _stop])
def test_end_during_the_read_of_the_log_forbids_the_renewal(
    change: Callable[[_WaitingWitness], None],
) -> None:
    assert not run_virtual(_is_renewed_after(change))


# Guards against a witness that refuses heartbeats under its lease while an
# earlier one still waits for the log.
def test_witness_renews_under_its_lease_while_an_earlier_heartbeat_waits() -> (
    None
):
    async def main() -> None:
        witness = _WaitingWitness()
        waiting = asyncio.ensure_future(witness.is_renewed())
        await asyncio.sleep(_READ_S)
        witness.is_leased = True
        assert await witness.is_renewed()
        witness.read.set_result(False)
        assert not await waiting

    run_virtual(main())
