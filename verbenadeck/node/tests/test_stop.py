"""Nodes are stopped and started in turn: how long an upstream is unused."""

import asyncio

from verbenadeck.node import begin_drain
from verbenadeck.testing import run_virtual, virtual_clock

_LINGER_S = 2.2


class _Recorder:
    """Membership and door that note when they are told what."""

    def __init__(self, *, owns_shards: bool) -> None:
        self.clock = virtual_clock()
        self.began_s = self.clock.now_s()
        self.owns_shards = owns_shards
        self.move_takes_s = 1.0
        self.told_ms: dict[str, int] = {}

    async def leave(self, *, deadline_s: float) -> bool:
        self._note('leave')
        ends_s = self.clock.now_s() + self.owns_shards * self.move_takes_s
        await self.clock.sleep_until(min(ends_s, deadline_s))
        return ends_s <= deadline_s

    async def drain(self, *, deadline_s: float) -> None:
        self._note('drain')

    def _note(self, what: str) -> None:
        self.told_ms[what] = round((self.clock.now_s() - self.began_s) * 1000)


async def _stop(seen: _Recorder, *, told_after_s: float) -> None:
    draining = await begin_drain(
        seen,
        seen,
        owns_shards=seen.owns_shards,
        clock=seen.clock,
        move_deadline_s=seen.began_s + 1.8,
        linger_until_s=seen.began_s + _LINGER_S,
        are_callers_notified=(
            lambda: seen.clock.now_s() >= seen.began_s + told_after_s
        ),
    )
    await draining


def test_an_upstream_without_keys_is_used_until_callers_are_told() -> None:
    async def scenario() -> None:
        seen = _Recorder(owns_shards=False)
        await _stop(seen, told_after_s=1.2)
        assert 1200 <= seen.told_ms['leave'] < 1300
        assert 1200 <= seen.told_ms['drain'] < 1300

    run_virtual(scenario())


def test_keys_move_away_from_the_first_moment_on() -> None:
    async def scenario() -> None:
        seen = _Recorder(owns_shards=True)
        await _stop(seen, told_after_s=1.2)
        assert seen.told_ms['leave'] == 0
        assert 1200 <= seen.told_ms['drain'] < 1300

    run_virtual(scenario())


def test_callers_that_nobody_tells_hold_nothing_up() -> None:
    async def scenario() -> None:
        seen = _Recorder(owns_shards=False)
        await _stop(seen, told_after_s=60)
        assert seen.told_ms['drain'] < 2300

    run_virtual(scenario())


def test_keys_that_do_not_move_are_given_up_in_time() -> None:
    """The log is down, so that nothing can be assigned."""

    async def scenario() -> None:
        seen = _Recorder(owns_shards=True)
        seen.move_takes_s = 60
        await _stop(seen, told_after_s=1.2)
        assert seen.told_ms['drain'] < 1900

    run_virtual(scenario())


def test_the_drain_does_not_wait_for_the_rest_of_the_stop() -> None:
    async def scenario() -> None:
        seen = _Recorder(owns_shards=False)
        task = asyncio.ensure_future(_stop(seen, told_after_s=0))
        await asyncio.sleep(0.02)
        assert 'drain' in seen.told_ms
        await task

    run_virtual(scenario())
