import asyncio

import pytest

from verbenadeck.standins import (
    LoadLie,
    Overrun,
    Refused,
    UpstreamFaults,
    UpstreamState,
)
from verbenadeck.standins.tests.builders import (
    CrashedError,
    build_fields,
    build_grant,
    build_options,
    build_state,
)
from verbenadeck.testing import run_virtual, virtual_clock


def _keyed_state() -> UpstreamState:
    return build_state(virtual_clock(), build_options(is_keyed=True))


def test_only_the_granted_fence_may_run() -> None:
    async def scenario() -> None:
        state = _keyed_state()
        assert state.grants.grant(build_grant(1)) is None
        for shard, fence in ((0, 4), (0, 6), (10, 5), (-1, -1)):
            order = build_fields(shard=shard, fence=fence)
            assert state.admit(order) is Refused.FENCED
        assert state.admit(build_fields(shard=9, fence=5)) is None

    run_virtual(scenario())


def test_lower_fences_are_refused_even_after_a_revocation() -> None:
    async def scenario() -> None:
        grants = _keyed_state().grants
        assert grants.grant(build_grant(1, fence=8)) is None
        empty = build_grant(2, first_shard=0, stop_shard=0)
        assert grants.grant(empty) is None
        assert grants.grant(build_grant(3, fence=7)) is not None
        assert not grants.permit(0, 7)
        assert grants.grant(build_grant(4, fence=8)) is None
        assert grants.permit(0, 8)

    run_virtual(scenario())


def test_a_late_grant_does_not_undo_a_revocation() -> None:
    async def scenario() -> None:
        grants = _keyed_state().grants
        revoked = build_grant(2, first_shard=0, stop_shard=0)
        assert grants.grant(revoked) is None
        assert grants.grant(build_grant(1)) is not None
        assert not grants.permit(0, 5)

    run_virtual(scenario())


def test_after_the_deadline_everything_is_refused() -> None:
    async def scenario() -> None:
        state = _keyed_state()
        state.grants.grant(build_grant(1, deadline_s=1))
        await asyncio.sleep(0.999)
        order = build_fields(shard=0, fence=5)
        assert state.admit(order) is None
        await asyncio.sleep(0.001)
        assert state.admit(order) is Refused.FENCED
        state.show(UpstreamFaults(is_fence_blind=True))
        assert state.admit(order) is None

    run_virtual(scenario())


@pytest.mark.parametrize('overrun', (Overrun.REFUSE, Overrun.STALL))
def test_a_cold_overrun_breaks(overrun: Overrun) -> None:
    async def scenario() -> None:
        options = build_options(
            overrun=overrun, cold_slots=1, warm_up_s=10, spread=0
        )
        state = build_state(virtual_clock(), options)
        first = asyncio.ensure_future(state.run(build_fields()))
        await asyncio.sleep(0)
        refused = state.admit(build_fields(request_id='id-2'))
        assert state.runs_report().overruns == 1
        assert (refused is Refused.COLD) == (overrun is Overrun.REFUSE)
        if overrun is Overrun.STALL:
            assert await state.run(build_fields(request_id='id-2'))
            assert asyncio.get_running_loop().time() >= 2
            assert state.cold_start.bearable == 1
        await first

    run_virtual(scenario())


def test_a_cold_overrun_may_crash() -> None:
    async def scenario() -> None:
        options = build_options(
            overrun=Overrun.CRASH, cold_slots=0, warm_up_s=10
        )
        state = build_state(virtual_clock(), options)
        with pytest.raises(CrashedError):
            state.admit(build_fields())

    run_virtual(scenario())


def test_what_is_bearable_ramps_up_and_falls_without_warning() -> None:
    async def scenario() -> None:
        options = build_options(cold_slots=2, warm_up_s=10)
        state = build_state(virtual_clock(), options)
        seen = []
        for _ in range(3):
            seen.append(state.cold_start.bearable)
            await asyncio.sleep(5)
        state.show(UpstreamFaults(is_chilled=True))
        seen.append(state.cold_start.bearable)
        assert seen == [2, 11, 20, 2]

    run_virtual(scenario())


@pytest.mark.parametrize(
    ('changes', 'refused'),
    (
        ({'instance': 'life-0'}, Refused.INSTANCE),
        ({'deadline_s': 0.0}, Refused.DEADLINE),
    ),
)
def test_orders_for_nobody_do_not_run(
    changes: dict[str, float | str], refused: Refused
) -> None:
    async def scenario() -> None:
        state = build_state(virtual_clock(), build_options())
        order = build_fields(**changes)  # type: ignore[arg-type]
        assert state.admit(order) is refused
        assert state.runs_report().runs == {}

    run_virtual(scenario())


def test_slots_and_drain_refuse() -> None:
    async def scenario() -> None:
        state = build_state(virtual_clock(), build_options(slots=1))
        running = asyncio.ensure_future(state.run(build_fields()))
        await asyncio.sleep(0)
        assert state.admit(build_fields(request_id='id-2')) is Refused.SHED
        state.is_draining = True
        assert state.admit(build_fields(request_id='id-2')) is Refused.DRAINING
        assert await running
        assert state.runs_report().runs == {'id-1': 1}

    run_virtual(scenario())


def test_a_run_ends_by_cancellation_or_deadline() -> None:
    async def scenario() -> None:
        state = build_state(
            virtual_clock(), build_options(service_time_s=5, spread=0)
        )
        running = asyncio.ensure_future(state.run(build_fields()))
        await asyncio.sleep(1)
        state.cancel('id-1')
        assert not await running
        assert not await state.run(build_fields(deadline_s=2))
        assert [round(run.end_s) for run in state.served] == [1, 2]

    run_virtual(scenario())


def test_poison_crashes() -> None:
    async def scenario() -> None:
        state = build_state(virtual_clock(), build_options(poison='bad'))
        assert state.admit(build_fields(path='/good')) is None
        with pytest.raises(CrashedError):
            state.admit(build_fields(path='/bad'))

    run_virtual(scenario())


def test_load_reports_lag_and_lie() -> None:
    async def scenario() -> None:
        state = build_state(
            virtual_clock(), build_options(service_time_s=5, spread=0)
        )
        state.load()
        await asyncio.sleep(1)
        running = asyncio.ensure_future(state.run(build_fields()))
        await asyncio.sleep(0.5)
        assert state.load().running == 1
        state.show(UpstreamFaults(load_lag_s=1))
        assert state.load().running == 0
        state.show(UpstreamFaults(load_lie=LoadLie.IDLE))
        assert state.load().running == 0
        assert await running

    run_virtual(scenario())
