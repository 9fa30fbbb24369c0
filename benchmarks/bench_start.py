"""Calls to the log and to the operators' stream when a fleet starts.

Prints one JSON document. Run it with ``python -m benchmarks.bench_start``.
Times are virtual, and calls are counted at the fake log.
"""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable

from loguru import logger

from verbenadeck.journal.tests.start_fleets import StartFleet
from verbenadeck.testing import run_virtual

_SIZES = (30, 100, 300)
_SETTLE_S = 5.0
_STEADY_S = 20.0
_OUTAGE_S = 10.0

_Phase = Callable[[StartFleet], Awaitable[None]]


async def _start(fleet: StartFleet) -> None:
    await fleet.start(range(fleet.size))
    await fleet.wait_joined()


async def _lose_log(fleet: StartFleet) -> None:
    fleet.log.is_up = False
    fleet.stream.is_up = False
    await asyncio.sleep(_OUTAGE_S)
    fleet.log.is_up = True
    fleet.stream.is_up = True


async def _rest(_fleet: StartFleet) -> None:
    await asyncio.sleep(_STEADY_S)


async def _restart(fleet: StartFleet) -> None:
    await fleet.restart(range(fleet.size))


_PHASES: tuple[tuple[str, _Phase, float], ...] = (
    ('first_start_calls', _start, 1),
    ('calls_per_s_at_rest', _rest, _STEADY_S),
    ('calls_per_s_in_an_outage', _lose_log, _OUTAGE_S),
    ('restart_of_all_calls', _restart, 1),
)


async def _measure(size: int) -> dict[str, float]:
    fleet = StartFleet(size)
    figures: dict[str, float] = {}
    for name, work, unit in _PHASES:
        before = fleet.call_count
        await work(fleet)
        calls = (fleet.call_count - before) / unit
        figures[name] = calls
        figures[f'{name}_a_node'] = calls / size
        await asyncio.sleep(_SETTLE_S)
    await fleet.stop()
    return figures


def main() -> None:
    """Measure all sizes and print the figures."""
    logger.remove()
    measured = {size: run_virtual(_measure(size)) for size in _SIZES}
    json.dump(measured, sys.stdout, indent=2)


if __name__ == '__main__':
    main()
