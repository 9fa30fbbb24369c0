"""Log lines about the load of a service."""

from collections.abc import Iterator

import pytest
from loguru import logger

from verbenadeck.model import Incarnation, ServiceName, Shard
from verbenadeck.placement._load_log import LoadLog
from verbenadeck.placement._load_reports import MeasuredLoad
from verbenadeck.placement._plan import Plan
from verbenadeck.testing import run_virtual, virtual_clock

_SERVICE = ServiceName('catalogue')
_FIRST = Incarnation(1)
_SECOND = Incarnation(2)
_PLAN = Plan({Shard(0): _FIRST}, {})


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Yield the list to which the lines of the test are added."""
    added: list[str] = []
    sink = logger.add(added.append, format='{message}')
    yield added
    logger.remove(sink)


def test_line_names_the_busiest_member_by_capacity(lines: list[str]) -> None:
    async def scenario() -> None:
        measured_load = MeasuredLoad(
            capacities={_FIRST: 20.0, _SECOND: 80.0},
            rates={_FIRST: 30.0, _SECOND: 40.0},
            costs={Shard(5): 9.0},
            is_busy=True,
        )
        load_log = LoadLog(clock=virtual_clock())
        load_log.log_plan(_SERVICE, measured_load, {_SECOND}, _PLAN)

    run_virtual(scenario())
    assert lines == [
        'load of catalogue: 0.70 of capacity on average, 1.50 at member 1,'
        ' 1 hot shards, 1 owners do not report:'
        ' 1 lost and 0 balancing moves\n'
    ]


def test_second_line_within_a_second_is_left_out(lines: list[str]) -> None:
    async def scenario() -> None:
        load_log = LoadLog(clock=virtual_clock())
        for _ in range(2):
            load_log.log_plan(_SERVICE, None, {_FIRST}, _PLAN)

    run_virtual(scenario())
    assert lines == [
        'load of catalogue: not measured, 1 owners do not report:'
        ' 1 lost and 0 balancing moves\n'
    ]
