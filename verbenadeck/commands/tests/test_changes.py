from pathlib import Path

import pytest

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import (
    ANA,
    LOG,
    Desk,
    fleet_desk,
    run_lines,
    run_together,
    run_words,
)

_REASON = '--reason=power work'
_OUT = ('zone', 'out', 'suva', LOG, ANA, _REASON)
_IN = ('zone', 'in', 'suva', LOG, ANA, '--reason=power is back')
_CONFIG = ('config', LOG)


def _document(folder: Path, text: str) -> str:
    path = folder / 'document.json'
    path.write_text(text)
    return str(path)


def test_a_zone_goes_out_and_comes_back() -> None:
    out, shown_out, back, shown_in = run_lines(
        fleet_desk(), (_OUT, _CONFIG, _IN, _CONFIG)
    )
    assert out == (ExitCode.DONE, 'zone suva is out by version 2')
    assert 'power work' in shown_out[1]
    assert back == (ExitCode.DONE, 'zone suva is in by version 3')
    assert '"zones_out": {}' in shown_in[1]


def test_the_author_and_reason_are_kept_in_the_log() -> None:
    _out, shown = run_lines(fleet_desk(), (_OUT, _CONFIG))
    assert shown[1].startswith('// version 2 by ana: power work\n')


def test_repeating_a_change_is_safe() -> None:
    outcomes = run_lines(fleet_desk(), (_OUT, _OUT, _IN, _IN))
    assert {code for code, _ in outcomes} == {ExitCode.DONE}


def test_racing_operators_do_not_undo_each_other() -> None:
    desk = fleet_desk()
    upstream = ('upstream', 'out', 'node-1', LOG, '--author=ben', _REASON)
    exception = (
        'exception',
        'add',
        'slow',
        LOG,
        ANA,
        _REASON,
        '--field=queue_limit',
        '--setting=8',
        '--zone=suva',
    )
    outcomes = run_together(desk, (_OUT, upstream, exception))
    assert {code for code, _ in outcomes} == {ExitCode.DONE}
    _code, shown = run_words(desk, *_CONFIG)
    assert '"suva": {' in shown
    assert '"node-1": {' in shown
    assert '"queue_limit"' in shown
    assert shown.startswith('// version 4 ')


@pytest.mark.parametrize(
    ('words', 'code', 'text'),
    [
        (('zone', 'out', 'suva', LOG), 'USAGE', 'the reason is missing'),
        (
            ('zone', 'out', 'suva', LOG, '--reason=  '),
            'USAGE',
            'the reason is missing',
        ),
        (
            ('zone', 'out', 'sva', LOG, ANA, _REASON),
            'NOT_FOUND',
            "zone 'sva' is not known; known are: suva",
        ),
        (
            ('upstream', 'out', 'ghost', LOG, ANA, _REASON),
            'NOT_FOUND',
            "upstream 'ghost' is not known; known are: node-0, node-1",
        ),
        (
            ('exception', 'remove', 'ghost', LOG, ANA, _REASON),
            'INVALID',
            'ghost: is not there',
        ),
        (
            ('exception', 'add', 'x', LOG, ANA, _REASON, '--field=colour'),
            'INVALID',
            'colour is no policy field',
        ),
        (('zone', 'out', LOG), 'USAGE', 'zone out takes NAME, given: none'),
        (('zone', 'out', 'suva', '--colour=red'), 'USAGE', 'colour'),
        (('zone', 'out', 'suva', _REASON), 'USAGE', 'the log is not named'),
        (
            ('zone', 'out', 'suva', '--log_url=7300', _REASON),
            'USAGE',
            '--log_url must be an URL',
        ),
        (
            ('zone', 'out', 'suva', LOG, _REASON, '--timeout_s=soon'),
            'USAGE',
            'timeout_s',
        ),
    ],
)
def test_bad_commands_say_what_is_wrong(
    words: tuple[str, ...], code: str, text: str
) -> None:
    desk = fleet_desk()
    records = len(desk.log.records)
    outcome = run_words(desk, *words)
    assert outcome[0] is ExitCode[code]
    assert text in outcome[1]
    assert len(desk.log.records) == records


def test_a_name_without_members_needs_force() -> None:
    words = ('zone', 'out', 'nadi', LOG, ANA, _REASON)
    assert run_words(fleet_desk(), *words)[0] is ExitCode.NOT_FOUND
    outcome = run_words(fleet_desk(), *words, '--force')
    assert outcome[0] is ExitCode.DONE


def test_an_unreachable_log_changes_nothing_and_says_so() -> None:
    desk = fleet_desk()
    desk.log.is_up = False
    code, text = run_words(desk, *_OUT, '--timeout_s=3')
    assert code is ExitCode.UNAVAILABLE
    assert 'nothing changed: waited in vain for the log' in text
    assert 'Check the URL' in text


def test_a_lost_answer_is_read_back() -> None:
    desk = fleet_desk()
    desk.log.lost_answers = 1
    outcome = run_words(desk, *_OUT)
    assert outcome == (ExitCode.DONE, 'zone suva is out by version 2')


def test_the_first_document_needs_no_version(tmp_path: Path) -> None:
    path = _document(tmp_path, '{services: {holds: {}}} // first')
    desk = Desk()
    first, again = run_lines(
        desk, (('publish', path, LOG, ANA), ('publish', path, LOG, ANA))
    )
    assert first == (ExitCode.DONE, 'version 1 is published')
    assert again == (ExitCode.DONE, 'version 1 is this document already')


def test_a_later_document_needs_the_version_it_edits(tmp_path: Path) -> None:
    path = _document(tmp_path, '{moves_per_minute: 5}')
    words = ('publish', path, LOG, ANA)
    bare, stale, right = run_lines(
        fleet_desk(),
        (words, (*words, '--expect=7'), (*words, '--expect=1')),
    )
    assert bare[0] is ExitCode.CONFLICT
    assert 'version 1 by ana is in force' in bare[1]
    assert stale[0] is ExitCode.CONFLICT
    assert 'ana published version 1; yours edits 7' in stale[1]
    assert right == (ExitCode.DONE, 'version 2 is published')


def test_of_two_racing_documents_one_wins_and_one_hears_of_it(
    tmp_path: Path,
) -> None:
    desk = fleet_desk()
    lines = []
    for moves, author in ((5, 'ana'), (6, 'ben')):
        path = tmp_path / f'{author}.json'
        path.write_text(f'{{moves_per_minute: {moves}}}')
        named = f'--author={author}'
        lines.append(('publish', str(path), LOG, named, '--expect=1'))
    codes = sorted(code for code, _ in run_together(desk, lines))
    assert codes == [ExitCode.DONE, ExitCode.CONFLICT]


def test_a_document_brings_no_zone_back(tmp_path: Path) -> None:
    path = _document(tmp_path, '{moves_per_minute: 5}')
    desk = fleet_desk()
    lines = (_OUT, ('publish', path, LOG, ANA, '--expect=2'), _CONFIG)
    _out, published, shown = run_lines(desk, lines)
    assert published[0] is ExitCode.DONE
    assert 'power work' in shown[1]
    assert '"moves_per_minute": 5' in shown[1]


def test_a_wrong_document_is_refused_with_its_lines(tmp_path: Path) -> None:
    text = '{\n services: {holds: {queue_limit: -1,\n colour: 1}}}'
    path = _document(tmp_path, text)
    desk = fleet_desk()
    records = len(desk.log.records)
    code, shown = run_words(desk, 'publish', path, LOG, ANA)
    assert code is ExitCode.INVALID
    assert 'document.json:2: services.holds.queue_limit: must be' in shown
    assert 'document.json:3: services.holds.colour: is unknown' in shown
    assert len(desk.log.records) == records
