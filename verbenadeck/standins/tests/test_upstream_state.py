"""Tests of admission, runs and load reports of the upstream stand-in."""

import asyncio

import pytest

from verbenadeck.standins import (
    LoadLie,
    Overrun,
    RefusalReason,
    UpstreamFaults,
    UpstreamState,
)
from verbenadeck.standins.tests.builders import (
    CrashedError,
    build_grant,
    build_options,
    build_request_fields,
    build_state,
)
from verbenadeck.testing import run_virtual, virtual_clock


def _build_keyed_state() -> UpstreamState:
    return build_state(virtual_clock(), build_options(is_keyed=True))


def test_request_without_granted_fence_is_refused() -> None:
    async def scenario() -> None:
        state = _build_keyed_state()
        assert state.grants.apply_grant(build_grant(1)) is None
        for shard, fence in ((0, 4), (0, 6), (10, 5), (-1, -1)):
            upstream_request = build_request_fields(shard=shard, fence=fence)
            assert state.admit(upstream_request) is RefusalReason.FENCED
        assert state.admit(build_request_fields(shard=9, fence=5)) is None

    run_virtual(scenario())


def test_lower_fence_after_revocation_is_refused() -> None:
    async def scenario() -> None:
        grants = _build_keyed_state().grants
        assert grants.apply_grant(build_grant(1, fence=8)) is None
        empty = build_grant(2, first_shard=0, stop_shard=0)
        assert grants.apply_grant(empty) is None
        assert grants.apply_grant(build_grant(3, fence=7)) is not None
        assert not grants.is_permitted(0, 7)
        assert grants.apply_grant(build_grant(4, fence=8)) is None
        assert grants.is_permitted(0, 8)

    run_virtual(scenario())


def test_grant_older_than_revocation_is_refused() -> None:
    async def scenario() -> None:
        grants = _build_keyed_state().grants
        revoked = build_grant(2, first_shard=0, stop_shard=0)
        assert grants.apply_grant(revoked) is None
        assert grants.apply_grant(build_grant(1)) is not None
        assert not grants.is_permitted(0, 5)

    run_virtual(scenario())


def test_request_after_grant_deadline_is_refused() -> None:
    async def scenario() -> None:
        state = _build_keyed_state()
        state.grants.apply_grant(build_grant(1, deadline_s=1))
        await asyncio.sleep(0.999)
        upstream_request = build_request_fields(shard=0, fence=5)
        assert state.admit(upstream_request) is None
        await asyncio.sleep(0.001)
        assert state.admit(upstream_request) is RefusalReason.FENCED
        state.apply_faults(UpstreamFaults(is_fence_blind=True))
        assert state.admit(upstream_request) is None

    run_virtual(scenario())


@pytest.mark.parametrize('overrun', (Overrun.REFUSE, Overrun.STALL))
def test_cold_overrun_refuses_or_stalls(overrun: Overrun) -> None:
    async def scenario() -> None:
        options = build_options(
            overrun=overrun, cold_slots=1, warm_up_s=10, spread=0
        )
        state = build_state(virtual_clock(), options)
        first = asyncio.ensure_future(state.run(build_request_fields()))
        await asyncio.sleep(0)
        refused = state.admit(build_request_fields(request_id='id-2'))
        assert state.report_runs().overruns == 1
        assert (refused is RefusalReason.COLD) == (overrun is Overrun.REFUSE)
        if overrun is Overrun.STALL:
            assert await state.run(build_request_fields(request_id='id-2'))
            assert asyncio.get_running_loop().time() >= 2
            assert state.cold_start.capacity == 1
        await first

    run_virtual(scenario())


def test_cold_overrun_with_crash_option_crashes() -> None:
    async def scenario() -> None:
        options = build_options(
            overrun=Overrun.CRASH, cold_slots=0, warm_up_s=10
        )
        state = build_state(virtual_clock(), options)
        with pytest.raises(CrashedError):
            state.admit(build_request_fields())

    run_virtual(scenario())


def test_capacity_grows_in_warm_up_and_drops_when_chilled() -> None:
    async def scenario() -> None:
        options = build_options(cold_slots=2, warm_up_s=10)
        state = build_state(virtual_clock(), options)
        seen = []
        for _ in range(3):
            seen.append(state.cold_start.capacity)
            await asyncio.sleep(5)
        state.apply_faults(UpstreamFaults(is_chilled=True))
        seen.append(state.cold_start.capacity)
        assert seen == [2, 11, 20, 2]

    run_virtual(scenario())


@pytest.mark.parametrize(
    ('changes', 'refused'),
    (
        ({'instance': 'instance-0'}, RefusalReason.INSTANCE),
        ({'deadline_s': 0.0}, RefusalReason.DEADLINE),
    ),
)
def test_request_for_other_instance_or_past_deadline_does_not_run(
    changes: dict[str, float | str], refused: RefusalReason
) -> None:
    async def scenario() -> None:
        state = build_state(virtual_clock(), build_options())
        upstream_request = build_request_fields(**changes)  # type: ignore[arg-type]
        assert state.admit(upstream_request) is refused
        assert state.report_runs().runs == {}

    run_virtual(scenario())


def test_request_with_full_slots_or_draining_is_refused() -> None:
    async def scenario() -> None:
        state = build_state(virtual_clock(), build_options(slots=1))
        running = asyncio.ensure_future(state.run(build_request_fields()))
        await asyncio.sleep(0)
        assert (
            state.admit(build_request_fields(request_id='id-2'))
            is RefusalReason.SHED
        )
        state.is_draining = True
        assert (
            state.admit(build_request_fields(request_id='id-2'))
            is RefusalReason.DRAINING
        )
        assert await running
        assert state.report_runs().runs == {'id-1': 1}

    run_virtual(scenario())


def test_run_stops_at_cancellation_or_deadline() -> None:
    async def scenario() -> None:
        state = build_state(
            virtual_clock(), build_options(service_time_s=5, spread=0)
        )
        running = asyncio.ensure_future(state.run(build_request_fields()))
        await asyncio.sleep(1)
        state.cancel('id-1')
        assert not await running
        assert not await state.run(build_request_fields(deadline_s=2))
        assert [round(run.end_s) for run in state.served] == [1, 2]

    run_virtual(scenario())


def test_path_with_poison_crashes() -> None:
    async def scenario() -> None:
        state = build_state(virtual_clock(), build_options(poison='bad'))
        assert state.admit(build_request_fields(path='/good')) is None
        with pytest.raises(CrashedError):
            state.admit(build_request_fields(path='/bad'))

    run_virtual(scenario())


def test_load_report_is_delayed_and_falsified() -> None:
    async def scenario() -> None:
        state = build_state(
            virtual_clock(), build_options(service_time_s=5, spread=0)
        )
        state.report_load()
        await asyncio.sleep(1)
        running = asyncio.ensure_future(state.run(build_request_fields()))
        await asyncio.sleep(0.5)
        assert state.report_load().running == 1
        state.apply_faults(UpstreamFaults(load_lag_s=1))
        assert state.report_load().running == 0
        state.apply_faults(UpstreamFaults(load_lie=LoadLie.IDLE))
        assert state.report_load().running == 0
        assert await running

    run_virtual(scenario())
