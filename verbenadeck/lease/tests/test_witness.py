"""Renewals by a witness, by what its log says of the member."""

from types import SimpleNamespace
from typing import Any

import pytest

from verbenadeck.fleet.tests.builders import Recorder
from verbenadeck.lease import LeaseWitness
from verbenadeck.membership import Heartbeat, LeaseTiming
from verbenadeck.model import Incarnation
from verbenadeck.peers import PeerAddress
from verbenadeck.records import LeavePhase, NodeLeave, Verdict
from verbenadeck.testing import FakeNetwork, run_virtual, virtual_clock

_KEPT_ENDS = 512
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
