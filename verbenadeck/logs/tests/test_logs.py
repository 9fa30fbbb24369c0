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
def _restored_logs() -> Iterator[None]:
    yield
    teardown_logs()


def _line(text: str, level: str = 'INFO') -> Line:
    return Line(1.5, level, 'door', text)


def test_lines_of_all_parts_stay_in_order() -> None:
    out = io.StringIO()

    async def scenario() -> None:
        setup_logs(stream=out)
        decide = make_decision_logger('router')
        for index in range(2000):
            decide('route {}', index)
            logger.bind(part='door').info('admit {}', index)

    run_virtual(scenario())
    teardown_logs()
    shown = [line.split(' ', 1)[1] for line in out.getvalue().splitlines()]
    assert shown == [
        text
        for index in range(2000)
        for text in (
            f'INFO    router: route {index}',
            f'INFO    door: admit {index}',
        )
    ]


def test_a_batch_is_written_after_the_interval() -> None:
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


def test_overflow_writes_in_place_of_dropping() -> None:
    out = io.StringIO()

    async def scenario() -> int:
        writer = LineWriter(out, plain_renderer(), batch_lines=10)
        for index in range(25):
            writer.add(_line(str(index)))
        return len(out.getvalue().splitlines())

    assert run_virtual(scenario()) == 20


def test_warnings_are_written_at_once_behind_earlier_lines() -> None:
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


def test_without_a_loop_lines_are_written_at_once() -> None:
    out = io.StringIO()
    LineWriter(out, plain_renderer()).add(_line('alone'))
    assert out.getvalue().endswith('alone\n')


def test_a_broken_template_loses_neither_itself_nor_others() -> None:
    out = io.StringIO()
    setup_logs(stream=out)
    decide = make_decision_logger('router')
    decide('to {} by {}', 'one')
    decide('after')
    assert 'to {} by {}' in out.getvalue()
    assert 'router: after' in out.getvalue()


def test_text_from_callers_cannot_forge_a_line() -> None:
    out = io.StringIO()
    setup_logs(stream=out)
    make_decision_logger('router')('key {}', 'a\nERROR forged')
    logger.bind(part='door').info('key {}', 'b\nERROR forged')
    assert len(out.getvalue().splitlines()) == 2


def test_json_lines_carry_time_level_part_and_message() -> None:
    out = io.StringIO()
    setup_logs(stream=out, line_format='json')
    make_decision_logger('router')('route {}', '"r1"')
    shown = json.loads(out.getvalue())
    assert shown.pop('time_s') > 0
    assert shown == {
        'level': 'INFO',
        'part': 'router',
        'message': 'route "r1"',
    }


def test_decisions_are_left_out_above_their_level() -> None:
    out = io.StringIO()
    setup_logs(stream=out, level='WARNING')
    make_decision_logger('router')('route {}', 'r1')
    logger.bind(part='door').warning('full')
    assert [line[-10:] for line in out.getvalue().splitlines()] == [
        'door: full'
    ]


def test_without_setup_decisions_go_to_loguru() -> None:
    seen: list[str] = []
    sink = logger.add(lambda message: seen.append(str(message)))
    make_decision_logger('router')('route {}', 'r1')
    logger.remove(sink)
    assert 'route r1' in seen[0]


def test_tracebacks_carry_no_values() -> None:
    out = io.StringIO()
    setup_logs(stream=out)
    deposit = 'card 4111'
    try:
        int(deposit[:0])
    except ValueError as error:
        logger.bind(part='admin').opt(exception=error).error('failed')
    assert 'ValueError' in out.getvalue()
    assert deposit not in out.getvalue()
