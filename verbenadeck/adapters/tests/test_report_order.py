"""Order of an upstream's reports when others write reports in its name."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from verbenadeck.adapters import OrderFault, ReportOrder, ReportPosition
from verbenadeck.testing import run_virtual, virtual_clock
from verbenadeck.utils import Clock

_INTERVAL_S = 0.9
_REPLACE_AFTER_S = 1.8
_LARGEST = 2**53


class _Upstream:
    """Upstream that reports in order, beside the order that judges it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at_ms = int(clock.wall_s() * 1000) - 10_000
        self.sequence = 10
        self.order = ReportOrder(clock=clock, replace_after_s=_REPLACE_AFTER_S)

    async def report(self) -> OrderFault | None:
        """Wait for one interval, then send the next report."""
        await asyncio.sleep(_INTERVAL_S)
        self.sequence += 1
        return self.send(self.sequence)

    def send(
        self, sequence: int, *, life: str = 'life-1', born_after_ms: int = 0
    ) -> OrderFault | None:
        """Send any report."""
        started_at_ms = self.started_at_ms + born_after_ms
        return self.order.accept(ReportPosition(life, started_at_ms, sequence))


def _run(scenario: Callable[[_Upstream], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(_Upstream(virtual_clock()))

    run_virtual(main())


@pytest.mark.parametrize('sequence', [_LARGEST, 100_000])
def test_number_too_large_does_not_outdate_later_reports(sequence: int) -> None:
    # Guards against acknowledging a departure that is then ignored.
    async def scenario(upstream: _Upstream) -> None:
        assert await upstream.report() is None
        assert upstream.send(sequence) is OrderFault.SKIPPED_AHEAD
        assert await upstream.report() is None

    _run(scenario)


def test_number_too_large_in_the_first_report_is_refused() -> None:
    async def scenario(upstream: _Upstream) -> None:
        assert upstream.send(_LARGEST) is OrderFault.SKIPPED_AHEAD
        assert await upstream.report() is None

    _run(scenario)


def test_reports_that_come_alone_replace_a_number_slightly_too_large() -> None:
    async def scenario(upstream: _Upstream) -> None:
        assert await upstream.report() is None
        assert upstream.send(upstream.sequence + 50) is None
        faults = [await upstream.report() for _ in range(4)]
        assert faults[0] is OrderFault.OUTDATED
        assert faults[2:] == [None, None]

    _run(scenario)


def test_reports_that_come_alone_replace_a_later_start() -> None:
    # The start of an upstream may lie back after a step of the clock.
    async def scenario(upstream: _Upstream) -> None:
        assert await upstream.report() is None
        assert upstream.send(1, life='life-2', born_after_ms=5_000) is None
        faults = [await upstream.report() for _ in range(4)]
        assert faults[0] is OrderFault.OUTDATED
        assert faults[2:] == [None, None]

    _run(scenario)


def test_late_reports_beside_later_ones_replace_nothing() -> None:
    async def scenario(upstream: _Upstream) -> None:
        for late in range(1, 9):
            assert await upstream.report() is None
            fault = upstream.send(late, life='life-0', born_after_ms=-5_000)
            assert fault is OrderFault.OUTDATED
            assert upstream.send(late) is OrderFault.OUTDATED

    _run(scenario)


def test_late_reports_that_arrive_together_replace_nothing() -> None:
    async def scenario(upstream: _Upstream) -> None:
        assert await upstream.report() is None
        faults = {upstream.send(late) for late in range(1, 9)}
        assert faults == {OrderFault.OUTDATED}

    _run(scenario)


def test_start_in_the_future_is_never_accepted() -> None:
    async def scenario(upstream: _Upstream) -> None:
        for sequence in range(1, 9):
            await asyncio.sleep(_INTERVAL_S)
            fault = upstream.send(sequence, born_after_ms=3_600_000)
            assert fault is OrderFault.FUTURE_START

    _run(scenario)
