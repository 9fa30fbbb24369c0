"""Order and time limits of a planned stop, as in a rolling restart.

A drain that begins too early leaves the upstream unused; one that waits
without a limit holds up the restart.
"""

import asyncio
import math

from verbenadeck.node import PlannedStop, begin_drain
from verbenadeck.testing import run_virtual, virtual_clock

_LINGER_S = 2.2


class _CallRecorder:
    """Membership and proxy that record the time of each call in ms."""

    def __init__(self, *, owns_shards: bool) -> None:
        self.clock = virtual_clock()
        self.started_at_s = self.clock.now_s()
        self.owns_shards = owns_shards
        self.move_takes_s = 1.0
        self.call_times_ms: dict[str, int] = {}

    async def leave(self, *, deadline_s: float) -> bool:
        self._record_call('leave')
        ends_s = self.clock.now_s() + self.owns_shards * self.move_takes_s
        await self.clock.sleep_until(min(ends_s, deadline_s))
        return ends_s <= deadline_s

    async def drain(self, *, deadline_s: float) -> None:
        self._record_call('drain')

    def _record_call(self, what: str) -> None:
        self.call_times_ms[what] = round(
            (self.clock.now_s() - self.started_at_s) * 1000
        )


async def _stop(recorder: _CallRecorder, *, notified_after_s: float) -> None:
    draining = await begin_drain(
        recorder,
        recorder,
        owns_shards=recorder.owns_shards,
        clock=recorder.clock,
        move_deadline_s=recorder.started_at_s + 1.8,
        linger_until_s=recorder.started_at_s + _LINGER_S,
        are_callers_notified=(
            lambda: (
                recorder.clock.now_s()
                >= recorder.started_at_s + notified_after_s
            )
        ),
    )
    await draining


def test_upstream_without_shards_is_used_until_callers_are_notified() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder(owns_shards=False)
        await _stop(recorder, notified_after_s=1.2)
        assert 1200 <= recorder.call_times_ms['leave'] < 1300
        assert 1200 <= recorder.call_times_ms['drain'] < 1300

    run_virtual(scenario())


def test_owned_shards_are_handed_over_at_once() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder(owns_shards=True)
        await _stop(recorder, notified_after_s=1.2)
        assert recorder.call_times_ms['leave'] == 0
        assert 1200 <= recorder.call_times_ms['drain'] < 1300

    run_virtual(scenario())


def test_drain_begins_without_caller_notice_after_linger_time() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder(owns_shards=False)
        await _stop(recorder, notified_after_s=60)
        assert recorder.call_times_ms['drain'] < 2300

    run_virtual(scenario())


def test_drain_begins_at_move_deadline_when_shards_do_not_move() -> None:
    """Shards cannot be moved, for example because the log is unavailable."""

    async def scenario() -> None:
        recorder = _CallRecorder(owns_shards=True)
        recorder.move_takes_s = 60
        await _stop(recorder, notified_after_s=1.2)
        assert recorder.call_times_ms['drain'] < 1900

    run_virtual(scenario())


def test_drain_begins_at_once_when_callers_are_notified() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder(owns_shards=False)
        task = asyncio.ensure_future(_stop(recorder, notified_after_s=0))
        await asyncio.sleep(0.02)
        assert 'drain' in recorder.call_times_ms
        await task

    run_virtual(scenario())


def test_deadline_of_a_stop_counts_from_its_begin() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        stop = PlannedStop(clock=clock, timeout_s=6)
        assert (stop.is_begun(), stop.deadline_s) == (False, math.inf)
        await asyncio.sleep(1)
        stop.begin()
        begun_at_s = clock.now_s()
        await asyncio.sleep(1)
        stop.begin()
        await stop.wait()
        assert stop.deadline_s == begun_at_s + 6

    run_virtual(scenario())
