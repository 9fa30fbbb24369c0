"""Departure of an upstream: drain, leave, missing heartbeats and restart."""

import asyncio
import math
from typing import Any

from verbenadeck.adapters import Announcement, UpstreamDeparture
from verbenadeck.model import ServiceName
from verbenadeck.node import DepartureHandler
from verbenadeck.testing import run_virtual, virtual_clock

_SILENCE_TIMEOUT_S = 3.1
_MOVE_TIMEOUT_S = 1.2
_CLOSE_AFTER_S = 1.7


class _CallRecorder:
    """Proxy and membership that record the calls they receive."""

    def __init__(self) -> None:
        self.clock = virtual_clock()
        self.last_heartbeat_at_s = self.clock.now_s()
        self.calls: list[str] = []
        self.move_takes_s = 0.5
        self.left: set[str] = set()
        self.closes_at_s = math.inf

    def has_left(self, instance: str) -> bool:
        return instance in self.left

    async def keep_recorded(self) -> None:
        """Do nothing: the log loses no departure."""

    def close_at(self, closes_at_s: float) -> None:
        self.closes_at_s = closes_at_s

    def set_draining(self, *, is_draining: bool) -> None:
        self.calls.append('refuse' if is_draining else 'admit')

    def resign(self, reason: str) -> None:
        self.calls.append(reason)

    async def leave(self, *, deadline_s: float) -> bool:
        self.calls.append('leave')
        ends_s = self.clock.now_s() + self.move_takes_s
        await self.clock.sleep_until(min(ends_s, deadline_s))
        return ends_s <= deadline_s

    def mark_lost(self) -> None:
        self.calls.append('mark_lost')
        self.last_heartbeat_at_s = float('inf')

    def departure(self) -> DepartureHandler:
        parts: Any = self
        return DepartureHandler(
            proxy=parts,
            membership=parts,
            clock=self.clock,
            last_heartbeat_at_s=lambda: self.last_heartbeat_at_s,
            mark_lost=self.mark_lost,
            silence_timeout_s=_SILENCE_TIMEOUT_S,
            close_after_s=_CLOSE_AFTER_S,
            move_timeout_s=_MOVE_TIMEOUT_S,
            departures=parts,
        )


def _announcement(instance: str) -> Announcement:
    return Announcement(ServiceName('desk'), instance, '127.0.0.1', 1, 4, 4, 4)


def test_draining_upstream_is_admitted_until_its_shards_have_moved() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        departure = recorder.departure()
        departure.on_departure(UpstreamDeparture.DRAINING)
        await asyncio.sleep(0.4)
        assert recorder.calls == ['leave']
        await asyncio.sleep(0.2)
        assert recorder.calls == ['leave', 'refuse']

    run_virtual(scenario())


def test_drain_refuses_new_work_after_move_timeout() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        recorder.move_takes_s = 60
        departure = recorder.departure()
        departure.on_departure(UpstreamDeparture.DRAINING)
        await asyncio.sleep(_MOVE_TIMEOUT_S + 0.05)
        assert recorder.calls == ['leave', 'refuse']

    run_virtual(scenario())


# Guards against sends after `drain` by a node without time to move the shards.
def test_draining_upstream_is_closed_however_long_the_move_takes() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        recorder.move_takes_s = 60
        departure = recorder.departure()
        departure.on_departure(UpstreamDeparture.DRAINING)
        closes_at_s = recorder.clock.now_s() + _CLOSE_AFTER_S
        assert recorder.closes_at_s == closes_at_s
        departure.on_announce(_announcement('new'))
        assert math.isinf(recorder.closes_at_s)

    run_virtual(scenario())


# Guards against keys that go to a leaving instance when its leave is lost.
def test_departure_is_repeated_when_the_log_has_lost_records() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        departure = recorder.departure()
        await departure.start()
        departure.on_new_history()
        await asyncio.sleep(0.5)
        assert not recorder.calls
        departure.on_departure(UpstreamDeparture.DRAINING)
        await asyncio.sleep(1)
        departure.on_new_history()
        await asyncio.sleep(1)
        await departure.stop()
        assert recorder.calls == ['leave', 'refuse', 'leave', 'refuse']

    run_virtual(scenario())


def test_upstream_that_left_is_refused_at_once() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        recorder.departure().on_departure(UpstreamDeparture.LEFT)
        assert recorder.calls[0] == 'refuse'
        assert recorder.closes_at_s <= recorder.clock.now_s()

    run_virtual(scenario())


def test_missing_heartbeats_end_membership_only_after_every_grant() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        departure = recorder.departure()
        await departure.start()
        await asyncio.sleep(_SILENCE_TIMEOUT_S - 0.05)
        assert not recorder.calls
        await asyncio.sleep(0.3)
        assert recorder.calls == ['mark_lost']
        departure.on_departure(UpstreamDeparture.SILENT)
        assert recorder.calls == [
            'mark_lost',
            'refuse',
            'the upstream sent no heartbeat within its time-out',
        ]
        await departure.stop()

    run_virtual(scenario())


def test_restarted_upstream_ends_earlier_instance_and_is_admitted() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        departure = recorder.departure()
        departure.on_announce(_announcement('a@1'))
        departure.on_announce(_announcement('a@1'))
        assert recorder.calls == ['admit', 'admit']
        departure.on_announce(_announcement('a@2'))
        assert recorder.calls[2:] == [
            'admit',
            'the upstream restarted as a new instance',
        ]

    run_virtual(scenario())


def test_upstream_that_left_before_a_restart_of_the_node_is_refused() -> None:
    async def scenario() -> None:
        recorder = _CallRecorder()
        recorder.last_heartbeat_at_s = float('inf')
        departure = recorder.departure()
        await departure.start()
        departure.on_announce(_announcement('a@1'))
        await asyncio.sleep(0.3)
        assert recorder.calls == ['admit']
        # The log is read a little later than the upstream announces itself.
        recorder.left.add('a@1')
        await asyncio.sleep(0.3)
        assert recorder.calls == ['admit', 'refuse', 'leave']
        departure.on_announce(_announcement('a@2'))
        assert recorder.calls[3] == 'admit'
        await departure.stop()

    run_virtual(scenario())
