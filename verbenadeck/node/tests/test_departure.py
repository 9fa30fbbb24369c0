"""An upstream that drains, leaves, falls silent or starts again."""

import asyncio
from typing import Any

from verbenadeck.adapters import Announcement, UpstreamDeparture
from verbenadeck.model import ServiceName
from verbenadeck.node import DepartureHandler
from verbenadeck.testing import run_virtual, virtual_clock

_SILENCE_S = 3.1
_MOVE_S = 1.2


class _Recorder:
    """Door and membership that note what they are told."""

    def __init__(self) -> None:
        self.clock = virtual_clock()
        self.last_heartbeat_at_s = self.clock.now_s()
        self.told: list[str] = []
        self.move_takes_s = 0.5

    def set_draining(self, *, is_draining: bool) -> None:
        self.told.append('refuse' if is_draining else 'admit')

    def resign(self, reason: str) -> None:
        self.told.append(reason)

    async def leave(self, *, deadline_s: float) -> bool:
        self.told.append('leave')
        ends_s = self.clock.now_s() + self.move_takes_s
        await self.clock.sleep_until(min(ends_s, deadline_s))
        return ends_s <= deadline_s

    def forget(self) -> None:
        self.told.append('forget')
        self.last_heartbeat_at_s = float('inf')

    def departure(self) -> DepartureHandler:
        parts: Any = self
        return DepartureHandler(
            proxy=parts,
            membership=parts,
            clock=self.clock,
            last_heartbeat_at_s=lambda: self.last_heartbeat_at_s,
            mark_lost=self.forget,
            silence_timeout_s=_SILENCE_S,
            move_timeout_s=_MOVE_S,
        )


def _announcement(life: str) -> Announcement:
    return Announcement(ServiceName('desk'), life, '127.0.0.1', 1, 4, 4, 4)


def test_a_draining_upstream_is_served_until_its_shards_have_moved() -> None:
    async def scenario() -> None:
        seen = _Recorder()
        departure = seen.departure()
        departure.on_departure(UpstreamDeparture.DRAINING)
        await asyncio.sleep(0.4)
        assert seen.told == ['leave']
        await asyncio.sleep(0.2)
        assert seen.told == ['leave', 'refuse']

    run_virtual(scenario())


def test_shards_that_do_not_move_hold_nothing_up() -> None:
    async def scenario() -> None:
        seen = _Recorder()
        seen.move_takes_s = 60
        departure = seen.departure()
        departure.on_departure(UpstreamDeparture.DRAINING)
        await asyncio.sleep(_MOVE_S + 0.05)
        assert seen.told == ['leave', 'refuse']

    run_virtual(scenario())


def test_an_upstream_that_leaves_now_gets_nothing_new() -> None:
    async def scenario() -> None:
        seen = _Recorder()
        seen.departure().on_departure(UpstreamDeparture.LEFT)
        assert seen.told[0] == 'refuse'

    run_virtual(scenario())


def test_silence_ends_the_life_only_after_every_grant() -> None:
    async def scenario() -> None:
        seen = _Recorder()
        departure = seen.departure()
        await departure.start()
        await asyncio.sleep(_SILENCE_S - 0.05)
        assert not seen.told
        await asyncio.sleep(0.3)
        assert seen.told == ['forget']
        departure.on_departure(UpstreamDeparture.SILENT)
        assert seen.told == ['forget', 'refuse', 'the upstream is silent']
        await departure.stop()

    run_virtual(scenario())


def test_a_new_life_ends_the_one_before_it_and_is_admitted() -> None:
    async def scenario() -> None:
        seen = _Recorder()
        departure = seen.departure()
        departure.on_announce(_announcement('a@1'))
        departure.on_announce(_announcement('a@1'))
        assert seen.told == ['admit', 'admit']
        departure.on_announce(_announcement('a@2'))
        assert seen.told[2:] == ['admit', 'the upstream has started again']

    run_virtual(scenario())
