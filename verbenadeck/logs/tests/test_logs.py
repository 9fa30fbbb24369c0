"""Order, batching, formats and confidentiality of log lines."""

import asyncio
import io
import json
from collections.abc import Iterator

import pytest
from loguru import logger

from verbenadeck.logs import (
    Line,
    LineWriter,
    make_decision_logger,
    plain_renderer,
    setup_logs,
    teardown_logs,
)
from verbenadeck.testing import run_virtual


@pytest.fixture(autouse=True)
def _restore_logs() -> Iterator[None]:
    yield
    teardown_logs()


def _line(text: str, level: str = 'INFO') -> Line:
    return Line(1.5, level, 'door', text)


def test_lines_of_all_parts_are_written_in_order() -> None:
    out = io.StringIO()

    async def scenario() -> None:
        setup_logs(stream=out)
        decide = make_decision_logger('router')
        for index in range(2000):
            decide('route {}', index)
            logger.bind(part='door').info('admit {}', index)

    run_virtual(scenario())
    teardown_logs()
    messages = [line.split(' ', 1)[1] for line in out.getvalue().splitlines()]
    assert messages == [
        text
        for index in range(2000)
        for text in (
            f'INFO    router: route {index}',
            f'INFO    door: admit {index}',
        )
    ]


def test_batch_is_written_after_flush_interval() -> None:
    out = io.StringIO()

    async def scenario() -> tuple[str, str]:
        writer = LineWriter(out, plain_renderer(), flush_interval_s=0.1)
        writer.add(_line('first'))
        await asyncio.sleep(0.09)
        before = out.getvalue()
        await asyncio.sleep(0.02)
        return before, out.getvalue()

    before, after = run_virtual(scenario())
    assert before == ''
    assert after.endswith('door: first\n')


def test_full_batch_is_written_without_dropping_lines() -> None:
    out = io.StringIO()

    async def scenario() -> int:
        writer = LineWriter(out, plain_renderer(), batch_lines=10)
        for index in range(25):
            writer.add(_line(str(index)))
        return len(out.getvalue().splitlines())

    assert run_virtual(scenario()) == 20


def test_warning_is_written_at_once_after_earlier_lines() -> None:
    out = io.StringIO()

    async def scenario() -> list[str]:
        writer = LineWriter(out, plain_renderer())
        writer.add(_line('calm'))
        writer.add(_line('alarm', 'WARNING'))
        return out.getvalue().splitlines()

    assert [line[-5:] for line in run_virtual(scenario())] == [
        ' calm',
        'alarm',
    ]


def test_line_is_written_at_once_without_event_loop() -> None:
    out = io.StringIO()
    LineWriter(out, plain_renderer()).add(_line('alone'))
    assert out.getvalue().endswith('alone\n')


def test_template_with_missing_argument_is_logged_unformatted() -> None:
    out = io.StringIO()
    setup_logs(stream=out)
    decide = make_decision_logger('router')
    decide('to {} by {}', 'one')
    decide('after')
    assert 'to {} by {}' in out.getvalue()
    assert 'router: after' in out.getvalue()


def test_newline_in_argument_does_not_start_a_line() -> None:
    out = io.StringIO()
    setup_logs(stream=out)
    make_decision_logger('router')('key {}', 'a\nERROR forged')
    logger.bind(part='door').info('key {}', 'b\nERROR forged')
    assert len(out.getvalue().splitlines()) == 2


def test_json_line_has_time_level_part_and_message() -> None:
    out = io.StringIO()
    setup_logs(stream=out, line_format='json')
    make_decision_logger('router')('route {}', '"r1"')
    entry = json.loads(out.getvalue())
    assert entry.pop('time_s') > 0
    assert entry == {
        'level': 'INFO',
        'part': 'router',
        'message': 'route "r1"',
    }


def test_decisions_are_omitted_when_level_is_above_info() -> None:
    out = io.StringIO()
    setup_logs(stream=out, level='WARNING')
    make_decision_logger('router')('route {}', 'r1')
    logger.bind(part='door').warning('full')
    assert [line[-10:] for line in out.getvalue().splitlines()] == [
        'door: full'
    ]


def test_decisions_are_written_by_loguru_without_setup() -> None:
    seen: list[str] = []
    sink = logger.add(lambda message: seen.append(str(message)))
    make_decision_logger('router')('route {}', 'r1')
    logger.remove(sink)
    assert 'route r1' in seen[0]


def test_traceback_contains_no_values_of_variables() -> None:
    out = io.StringIO()
    setup_logs(stream=out)
    deposit = 'card 4111'
    try:
        int(deposit[:0])
    except ValueError as error:
        logger.bind(part='admin').opt(exception=error).error('failed')
    assert 'ValueError' in out.getvalue()
    assert deposit not in out.getvalue()
