from pathlib import Path

import pytest

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import (
    AUTHOR_FLAG,
    LOG_FLAG,
    OperatorConsole,
    make_fleet_console,
    run_concurrently,
    run_in_sequence,
    run_words,
)

_REASON = '--reason=power work'
_ZONE_OUT_COMMAND = ('zone', 'out', 'suva', LOG_FLAG, AUTHOR_FLAG, _REASON)
_ZONE_IN_COMMAND = (
    'zone',
    'in',
    'suva',
    LOG_FLAG,
    AUTHOR_FLAG,
    '--reason=power is back',
)
_CONFIG_COMMAND = ('config', LOG_FLAG)


def _write_document(folder: Path, text: str) -> str:
    path = folder / 'document.json'
    path.write_text(text)
    return str(path)


def test_zone_is_taken_out_and_brought_back() -> None:
    out, shown_out, back, shown_in = run_in_sequence(
        make_fleet_console(),
        (_ZONE_OUT_COMMAND, _CONFIG_COMMAND, _ZONE_IN_COMMAND, _CONFIG_COMMAND),
    )
    assert out == (ExitCode.DONE, 'zone suva is out by version 2')
    assert 'power work' in shown_out[1]
    assert back == (ExitCode.DONE, 'zone suva is in by version 3')
    assert '"zones_out": {}' in shown_in[1]


def test_config_shows_author_and_reason_of_change() -> None:
    _out, output = run_in_sequence(
        make_fleet_console(), (_ZONE_OUT_COMMAND, _CONFIG_COMMAND)
    )
    assert output[1].startswith('// version 2 by ana: power work\n')


def test_repeated_change_succeeds() -> None:
    outcomes = run_in_sequence(
        make_fleet_console(),
        (
            _ZONE_OUT_COMMAND,
            _ZONE_OUT_COMMAND,
            _ZONE_IN_COMMAND,
            _ZONE_IN_COMMAND,
        ),
    )
    assert {code for code, _ in outcomes} == {ExitCode.DONE}


def test_concurrent_changes_all_take_effect() -> None:
    console = make_fleet_console()
    upstream = ('upstream', 'out', 'node-1', LOG_FLAG, '--author=ben', _REASON)
    exception = (
        'exception',
        'add',
        'slow',
        LOG_FLAG,
        AUTHOR_FLAG,
        _REASON,
        '--field=queue_limit',
        '--setting=8',
        '--zone=suva',
    )
    outcomes = run_concurrently(
        console, (_ZONE_OUT_COMMAND, upstream, exception)
    )
    assert {code for code, _ in outcomes} == {ExitCode.DONE}
    _code, output = run_words(console, *_CONFIG_COMMAND)
    assert '"suva": {' in output
    assert '"node-1": {' in output
    assert '"queue_limit"' in output
    assert output.startswith('// version 4 ')


@pytest.mark.parametrize(
    ('words', 'code', 'text'),
    [
        (('zone', 'out', 'suva', LOG_FLAG), 'USAGE', 'the reason is missing'),
        (
            ('zone', 'out', 'suva', LOG_FLAG, '--reason=  '),
            'USAGE',
            'the reason is missing',
        ),
        (
            ('zone', 'out', 'sva', LOG_FLAG, AUTHOR_FLAG, _REASON),
            'NOT_FOUND',
            "zone 'sva' is not known; known are: suva",
        ),
        (
            ('upstream', 'out', 'ghost', LOG_FLAG, AUTHOR_FLAG, _REASON),
            'NOT_FOUND',
            "upstream 'ghost' is not known; known are: node-0, node-1",
        ),
        (
            ('exception', 'remove', 'ghost', LOG_FLAG, AUTHOR_FLAG, _REASON),
            'INVALID',
            'ghost: is not there',
        ),
        (
            (
                'exception',
                'add',
                'x',
                LOG_FLAG,
                AUTHOR_FLAG,
                _REASON,
                '--field=colour',
            ),
            'INVALID',
            'colour is no policy field',
        ),
        (
            ('zone', 'out', LOG_FLAG),
            'USAGE',
            'zone out takes NAME, given: none',
        ),
        (('zone', 'out', 'suva', '--colour=red'), 'USAGE', 'colour'),
        (('zone', 'out', 'suva', _REASON), 'USAGE', 'the log is not named'),
        (
            ('zone', 'out', 'suva', '--log_url=7300', _REASON),
            'USAGE',
            '--log_url must be an URL',
        ),
        (
            ('zone', 'out', 'suva', LOG_FLAG, _REASON, '--timeout_s=soon'),
            'USAGE',
            'timeout_s',
        ),
    ],
)
def test_invalid_command_returns_reason_and_appends_nothing(
    words: tuple[str, ...], code: str, text: str
) -> None:
    console = make_fleet_console()
    records = len(console.log.records)
    outcome = run_words(console, *words)
    assert outcome[0] is ExitCode[code]
    assert text in outcome[1]
    assert len(console.log.records) == records


def test_name_without_members_requires_force() -> None:
    words = ('zone', 'out', 'nadi', LOG_FLAG, AUTHOR_FLAG, _REASON)
    assert run_words(make_fleet_console(), *words)[0] is ExitCode.NOT_FOUND
    outcome = run_words(make_fleet_console(), *words, '--force')
    assert outcome[0] is ExitCode.DONE


def test_change_with_unreachable_log_returns_unavailable() -> None:
    console = make_fleet_console()
    console.log.is_up = False
    code, text = run_words(console, *_ZONE_OUT_COMMAND, '--timeout_s=3')
    assert code is ExitCode.UNAVAILABLE
    assert 'nothing changed: timed out waiting for the log' in text
    assert 'Check the URL' in text


def test_change_succeeds_when_append_reply_is_lost() -> None:
    console = make_fleet_console()
    console.log.lost_answers = 1
    outcome = run_words(console, *_ZONE_OUT_COMMAND)
    assert outcome == (ExitCode.DONE, 'zone suva is out by version 2')


def test_first_document_requires_no_expected_version(tmp_path: Path) -> None:
    path = _write_document(tmp_path, '{services: {holds: {}}} // first')
    console = OperatorConsole()
    first, again = run_in_sequence(
        console,
        (
            ('publish', path, LOG_FLAG, AUTHOR_FLAG),
            ('publish', path, LOG_FLAG, AUTHOR_FLAG),
        ),
    )
    assert first == (ExitCode.DONE, 'version 1 is published')
    assert again == (ExitCode.DONE, 'version 1 is this document already')


def test_later_document_requires_expected_version(tmp_path: Path) -> None:
    path = _write_document(tmp_path, '{moves_per_minute: 5}')
    words = ('publish', path, LOG_FLAG, AUTHOR_FLAG)
    bare, stale, right = run_in_sequence(
        make_fleet_console(),
        (words, (*words, '--expect=7'), (*words, '--expect=1')),
    )
    assert bare[0] is ExitCode.CONFLICT
    assert 'version 1 by ana is in force' in bare[1]
    assert stale[0] is ExitCode.CONFLICT
    assert 'ana published version 1; yours edits 7' in stale[1]
    assert right == (ExitCode.DONE, 'version 2 is published')


def test_one_of_two_concurrent_documents_returns_conflict(
    tmp_path: Path,
) -> None:
    console = make_fleet_console()
    lines = []
    for moves, author in ((5, 'ana'), (6, 'ben')):
        path = tmp_path / f'{author}.json'
        path.write_text(f'{{moves_per_minute: {moves}}}')
        author_flag = f'--author={author}'
        lines.append(
            ('publish', str(path), LOG_FLAG, author_flag, '--expect=1')
        )
    codes = sorted(code for code, _ in run_concurrently(console, lines))
    assert codes == [ExitCode.DONE, ExitCode.CONFLICT]


def test_published_document_keeps_zone_out_of_service(tmp_path: Path) -> None:
    path = _write_document(tmp_path, '{moves_per_minute: 5}')
    console = make_fleet_console()
    lines = (
        _ZONE_OUT_COMMAND,
        ('publish', path, LOG_FLAG, AUTHOR_FLAG, '--expect=2'),
        _CONFIG_COMMAND,
    )
    _out, published, output = run_in_sequence(console, lines)
    assert published[0] is ExitCode.DONE
    assert 'power work' in output[1]
    assert '"moves_per_minute": 5' in output[1]


def test_invalid_document_is_rejected_with_line_numbers(tmp_path: Path) -> None:
    text = '{\n services: {holds: {queue_limit: -1,\n colour: 1}}}'
    path = _write_document(tmp_path, text)
    console = make_fleet_console()
    records = len(console.log.records)
    code, output = run_words(console, 'publish', path, LOG_FLAG, AUTHOR_FLAG)
    assert code is ExitCode.INVALID
    assert 'document.json:2: services.holds.queue_limit: must be' in output
    assert 'document.json:3: services.holds.colour: is unknown' in output
    assert len(console.log.records) == records
