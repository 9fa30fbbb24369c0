import json
from pathlib import Path

import pytest

from verbenadeck.commands import AdminReply, ExitCode, main
from verbenadeck.commands.tests.builders import (
    LOG,
    Desk,
    fleet_desk,
    run_words,
    status_reply,
)
from verbenadeck.fleet.tests.builders import Recorder, make_join
from verbenadeck.settings.tests.builders import settings_text
from verbenadeck.testing import MemoryLog


def _desk_with_admins(*admin_ports: int) -> Desk:
    recorder = Recorder()
    recorder.publish()
    for index, port in enumerate(admin_ports):
        join = make_join(f'node-{index}', admin_port=port)
        recorder.add(join)
    log = MemoryLog()
    log.records.extend(recorder.payloads)
    return Desk(log=log)


def test_status_asks_every_member() -> None:
    desk = _desk_with_admins(9001, 9002)
    desk.replies = {9001: status_reply(1), 9002: status_reply(2)}
    code, shown = run_words(desk, 'status', LOG)
    assert code is ExitCode.DONE
    assert 'configuration: version 1 by ana' in shown
    assert 'zone suva: in, 2 members' in shown
    rows = [line for line in shown.splitlines() if line.startswith('node-')]
    assert len(rows) == 2
    assert '0.8 s' in rows[0]
    assert '3/20 +1' in rows[0]


def test_status_is_incomplete_while_a_node_is_silent_or_lags() -> None:
    desk = _desk_with_admins(9001, 9002)
    desk.replies = {9001: status_reply(1)}
    code, shown = run_words(desk, 'status', LOG)
    assert code is ExitCode.INCOMPLETE
    assert '127.0.0.1:9002 does not answer' in shown
    desk.replies = {9001: status_reply(1), 9002: status_reply(2, version=0)}
    assert run_words(desk, 'status', LOG)[0] is ExitCode.INCOMPLETE


def test_status_of_a_fleet_without_members_is_incomplete() -> None:
    assert run_words(Desk(), 'status', LOG)[0] is ExitCode.INCOMPLETE


def test_status_takes_no_answer_of_another_process() -> None:
    desk = _desk_with_admins(9001)
    desk.replies = {9001: status_reply(77)}
    code, shown = run_words(desk, 'status', LOG)
    assert code is ExitCode.INCOMPLETE
    assert 'life 77 answers there now' in shown


def test_status_in_json() -> None:
    desk = _desk_with_admins(9001)
    desk.replies = {9001: status_reply(1)}
    _code, shown = run_words(desk, 'status', LOG, '--json')
    fleet = json.loads(shown)
    assert fleet['config_version'] == 1
    assert fleet['members'][0]['status']['owned_shards'] == {'holds': 8}


@pytest.mark.parametrize('body', [b'', b'{}', b'\xff', b'[]'])
def test_status_survives_noise_from_a_node(body: bytes) -> None:
    desk = _desk_with_admins(9001)
    desk.replies = {9001: AdminReply(200, body)}
    code, shown = run_words(desk, 'status', LOG)
    assert code is ExitCode.INCOMPLETE
    assert 'answered with no status' in shown


def test_status_does_without_the_log() -> None:
    desk = Desk(replies={9001: status_reply(1)})
    desk.log.is_up = False
    code, shown = run_words(desk, 'status', '--admin=127.0.0.1:9001')
    assert code is ExitCode.INCOMPLETE
    assert 'version 1 by ana' in shown


@pytest.mark.parametrize('place', ['nowhere', ':9', '127.0.0.1:0', 'a:x'])
def test_a_bad_admin_address_is_named(place: str) -> None:
    code, shown = run_words(Desk(), 'status', f'--admin={place}')
    assert code is ExitCode.USAGE
    assert place in shown


def test_owner_shows_node_and_fence() -> None:
    code, shown = run_words(fleet_desk(), 'owner', 'holds', 'oven-17', LOG)
    assert code is ExitCode.DONE
    assert 'node node-0 at 127.0.0.1:8000, fence 4' in shown


def test_owner_of_an_unknown_service_is_named() -> None:
    code, shown = run_words(fleet_desk(), 'owner', 'ghost', 'a', LOG)
    assert (code, shown) == (
        ExitCode.NOT_FOUND,
        "service 'ghost' is unknown",
    )


def test_log_tail_prints_each_record_as_a_line() -> None:
    desk = fleet_desk()
    desk.log.records.append(b'noise')
    code, shown = run_words(desk, 'log', 'tail', LOG)
    lines = [json.loads(line) for line in shown.splitlines()]
    assert code is ExitCode.DONE
    assert [line['offset'] for line in lines] == list(range(6))
    assert lines[0]['record'] == 'ConfigPublished'
    assert lines[0]['fields']['author'] == 'ana'
    assert lines[1]['record'] == 'NodeJoin'
    assert 'not a record' in lines[5]['error']


def test_log_tail_starts_where_the_log_does() -> None:
    desk = fleet_desk()
    desk.log.first_offset = 3
    _code, shown = run_words(desk, 'log', 'tail', LOG, '--limit=1')
    assert [json.loads(line)['offset'] for line in shown.splitlines()] == [3]


def test_log_tail_tells_of_an_unreachable_log() -> None:
    desk = Desk()
    desk.log.is_up = False
    code, shown = run_words(desk, 'log', 'tail', LOG)
    assert code is ExitCode.UNAVAILABLE
    assert 'log is down' in shown


def test_check_tells_settings_from_documents(tmp_path: Path) -> None:
    settings = tmp_path / 'settings.json'
    settings.write_text(settings_text())
    document = tmp_path / 'document.json'
    document.write_text('{services: {holds: {}}}')
    code, shown = run_words(Desk(), 'check', str(settings))
    assert code is ExitCode.DONE
    assert shown.endswith('good settings of node suva-catalogue-1')
    code, shown = run_words(Desk(), 'check', str(document))
    assert code is ExitCode.DONE
    assert shown.endswith('good configuration document')


def test_check_names_unknown_adapters(tmp_path: Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_text(settings_text(callers={'adapter': 'gopher'}))
    code, shown = run_words(Desk(), 'check', str(path))
    assert code is ExitCode.INVALID
    assert 'callers.adapter: is unknown: gopher; known are: ' in shown


def test_node_without_good_settings_does_not_start(tmp_path: Path) -> None:
    code, _shown = run_words(Desk(), 'node')
    assert code is ExitCode.USAGE
    missing = str(tmp_path / 'none.json')
    code, shown = run_words(Desk(), 'node', f'--settings={missing}')
    assert code is ExitCode.INVALID
    assert 'is unreadable' in shown


def test_help_and_unknown_commands_have_codes(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(('--help',)) is ExitCode.DONE
    assert main(()) is ExitCode.USAGE
    assert main(('zone', 'out', '--help')) is ExitCode.DONE
    assert main(('zone', 'sideways', 'suva')) is ExitCode.USAGE
    shown = capsys.readouterr()
    assert 'exit codes:' in shown.out
    assert '--reason' in shown.out
    assert "command 'zone' is unknown" in shown.err
