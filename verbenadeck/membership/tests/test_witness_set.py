"""Sets of which the lease needs a quorum while a change is in progress."""

import asyncio
import random
from collections.abc import Sequence

import pytest
from returns.result import Failure, Result

from verbenadeck.fleet import FleetState, Member
from verbenadeck.fleet.tests.builders import Recorder
from verbenadeck.journal import AppliedRecord, JournalError, JournalFailure
from verbenadeck.membership import LeaseTiming
from verbenadeck.membership._renewals import Renewals, WitnessSet
from verbenadeck.membership._witness_set import WitnessSetManager
from verbenadeck.records import Record, Witnesses
from verbenadeck.testing import (
    VirtualFleet,
    run_processes,
    run_virtual,
    virtual_clock,
    zoned_specs,
)

_SLOW_APPEND_S = 0.3


class _FakeJournal:
    """Log client whose appends fail one after the other as a test says."""

    def __init__(
        self, fleet: FleetState, failures: Sequence[JournalFailure]
    ) -> None:
        self.fleet = fleet
        self.proposed: list[Record] = []
        self._failures = list(failures)

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        self.proposed.append(record)
        return Failure(JournalError(self._failures.pop(0), 'no answer'))


async def _propose_changes(
    failures: Sequence[JournalFailure],
) -> tuple[WitnessSet, tuple[WitnessSet, ...]]:
    """Return the set that was proposed and the sets that are required then."""
    recorder = Recorder()
    others = [recorder.join(f'node-{index}') for index in range(4)]
    own = recorder.join('node-own', witnesses=others[:3])
    member = recorder.state.member(own)
    assert isinstance(member, Member)
    clock = virtual_clock()
    timing = LeaseTiming()
    renewals = Renewals(clock=clock, timing=timing)
    journal = _FakeJournal(recorder.state, failures)
    manager = WitnessSetManager(
        clock=clock,
        random_source=random.Random(1),
        journal=journal,  # type: ignore[arg-type]
        renewals=renewals,
        timing=timing,
        is_long_without_lease=bool,
    )
    for _ in failures:
        # One witness is silent, the others and the candidate answer.
        for witness in (*others[:2], others[3]):
            renewals.record_renewal(witness, clock.now_s())
        manager.maintain(member)
        await asyncio.sleep(0.01)
    assert len(journal.proposed) == len(failures)
    last = journal.proposed[-1]
    assert isinstance(last, Witnesses)
    return last.witnesses, manager.required_sets(member)


@pytest.mark.parametrize('certain_failures', [0, 1, 2])
def test_set_of_a_change_that_may_be_appended_is_required(
    certain_failures: int,
) -> None:
    proposed, required = run_virtual(
        _propose_changes(
            (JournalFailure.NOT_APPENDED,) * certain_failures
            + (JournalFailure.UNKNOWN,)
        )
    )
    assert proposed in required


def test_set_of_a_change_that_was_certainly_not_appended_is_not_required() -> (
    None
):
    proposed, required = run_virtual(
        _propose_changes((JournalFailure.NOT_APPENDED,))
    )
    assert proposed not in required


# Guards against a lease on the old set alone while the log appends an earlier
# proposal of the new set, whose members then evict this node.
def test_repeat_that_is_not_appended_leaves_an_earlier_proposal_required() -> (
    None
):
    proposed, required = run_virtual(
        _propose_changes((JournalFailure.UNKNOWN, JournalFailure.NOT_APPENDED))
    )
    assert proposed in required


# The task of the change failed when a new incarnation had begun meanwhile.
def test_change_of_the_witness_set_may_end_after_a_reset() -> None:
    async def scenario() -> None:
        async with VirtualFleet(zoned_specs(1, 1, 1)) as fleet:
            await fleet.wait_until(fleet.is_served)
            node = next(iter(fleet.nodes.values()))
            member = node.membership.member
            assert member is not None
            manager = node.membership._witness_set_manager
            fleet.log.latency_s = _SLOW_APPEND_S
            change = node.process.spawn(
                manager._change(member, member.witnesses[:1])
            )
            await asyncio.sleep(_SLOW_APPEND_S / 2)
            manager.reset()
            await change

    run_processes(scenario())
