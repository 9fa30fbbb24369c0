"""What connections hold, and which of them end, without a network."""

from collections import Counter

import pytest
from loguru import logger

from verbenadeck.entry import EntryOptions
from verbenadeck.entry._arrival import Arrival, Excess
from verbenadeck.entry._connection_limits import (
    ConnectionLimits,
    derive_max_connections,
)
from verbenadeck.entry._limit_reports import LimitReports
from verbenadeck.entry._open_connections import OpenConnections
from verbenadeck.entry._options import make_connection_limits
from verbenadeck.entry._partial_requests import PartialRequests
from verbenadeck.utils import Clock

_LIMITS = ConnectionLimits(
    max_connections=3,
    head_limit_bytes=100,
    header_timeout_s=2,
    idle_timeout_s=5,
    framing_limit_bytes=50,
)


class _Body:
    total_raw_bytes = 0


# Guards against silent connections that keep ordinary callers out.
def test_connections_end_in_the_order_of_their_use() -> None:
    connections = OpenConnections[str](max_connections=3)
    for name in ('running', 'idle', 'silent'):
        assert connections.add(name) is None
    connections.mark_busy('running')
    connections.mark_busy('idle')
    connections.mark_idle('idle')
    assert connections.add('first') == 'silent'
    assert connections.add('second') == 'first'
    connections.mark_busy('second')
    assert connections.add('third') == 'idle'
    connections.mark_busy('third')
    assert connections.add('fourth') == 'fourth'
    assert len(connections) == 3


def test_ended_connection_does_not_come_back() -> None:
    connections = OpenConnections[str](max_connections=1)
    connections.add('old')
    connections.mark_busy('old')
    connections.remove('old')
    connections.mark_idle('old')
    assert connections.add('new') is None


# Guards against many heads that together take the memory of the node.
def test_oldest_partial_heads_end() -> None:
    partial = PartialRequests[str](max_bytes=100)
    assert partial.hold('first', 40) == []
    assert partial.hold('second', 40) == []
    assert partial.hold('third', 90) == ['first', 'second']
    partial.release('third')
    assert partial.hold('fourth', 100) == []


def test_head_may_have_its_limit_and_no_more() -> None:
    arrival = Arrival(_LIMITS)
    arrival.add(100)
    assert arrival.find_excess() is None
    arrival.add(1)
    assert arrival.find_excess() is Excess.HEAD


# Guards against refusing a body that is sent in the smallest chunks.
def test_chunks_of_one_byte_are_no_excess() -> None:
    arrival = Arrival(_LIMITS)
    body = _Body()
    arrival.expect_body(body)
    for _ in range(1000):
        arrival.add(len(b'1\r\na\r\n'))
        body.total_raw_bytes += 1
        assert arrival.find_excess() is None


def test_framing_without_body_is_an_excess() -> None:
    arrival = Arrival(_LIMITS)
    arrival.expect_body(_Body())
    arrival.add(51)
    assert arrival.find_excess() is Excess.FRAMING


# Guards against a head that is kept open by a byte now and then.
def test_bytes_of_a_head_do_not_extend_its_time() -> None:
    arrival = Arrival(_LIMITS)
    arrival.update_due(0)
    assert arrival.due_s is None
    for now_s in (1, 2):
        arrival.add(1)
        arrival.update_due(now_s)
        assert arrival.due_s == 3


def test_bytes_of_a_body_extend_its_time() -> None:
    arrival = Arrival(_LIMITS)
    arrival.expect_body(_Body())
    for now_s in (1, 2):
        arrival.update_due(now_s)
        assert arrival.due_s == now_s + 5
    arrival.expect_head()
    assert arrival.due_s is None


# Guards against a log that a crowd of clients fills.
def test_one_line_a_second_is_written_of_a_kind() -> None:
    times_s = iter((0.0, 0.5, 0.9, 1.0, 1.1))
    counters: Counter[str] = Counter()
    lines: list[str] = []
    handler = logger.add(lines.append, format='{message}')
    reports = LimitReports(
        count=lambda name: counters.update((name,)),
        clock=Clock(now_s=lambda: next(times_s)),
    )
    for detail in ('a', 'b', 'c', 'd', 'e'):
        reports.report('large', detail)
    logger.remove(handler)
    assert lines == [
        'large: a; 0 others left out\n',
        'large: d; 2 others left out\n',
    ]
    assert counters == {'large': 5}


@pytest.mark.parametrize(
    'name',
    [
        'head_limit_bytes',
        'framing_limit_bytes',
        'partial_heads_limit_bytes',
        'unread_answer_limit_bytes',
        'unread_answers_limit_bytes',
        'answer_progress_timeout_s',
        'max_connections',
    ],
)
@pytest.mark.parametrize('limit', [0, -1])
def test_limits_that_are_not_positive_are_rejected(
    name: str, limit: int
) -> None:
    with pytest.raises(ValueError, match=name):
        EntryOptions(**{name: limit})  # type: ignore[arg-type]


# Guards against a default that an answer of the largest size, or the heads and
# time-outs that operators publish, exceed.
def test_defaults_leave_room_for_what_is_allowed() -> None:
    options = EntryOptions(header_limit_bytes=16_384, header_timeout_s=3)
    limits = make_connection_limits(options)
    assert limits.head_limit_bytes >= 2 * 16_384
    assert limits.header_timeout_s == 3
    assert limits.unread_answer_limit_bytes > 8_388_608
    assert limits.max_connections == derive_max_connections(0.7)
