import json
from pathlib import Path

import pytest

from verbenadeck.commands import AdminReply, ExitCode, main
from verbenadeck.commands.tests.builders import (
    LOG_FLAG,
    OperatorConsole,
    make_fleet_console,
    make_status_reply,
    run_words,
)
from verbenadeck.fleet.tests.builders import Recorder, make_join
from verbenadeck.settings.tests.builders import settings_text
from verbenadeck.testing import MemoryLog


def _make_console_with_admins(*admin_ports: int) -> OperatorConsole:
    recorder = Recorder()
    recorder.publish()
    for index, port in enumerate(admin_ports):
        join = make_join(f'node-{index}', admin_port=port)
        recorder.add(join)
    log = MemoryLog()
    log.records.extend(recorder.payloads)
    return OperatorConsole(log=log)


def test_status_requests_status_of_every_member() -> None:
    console = _make_console_with_admins(9001, 9002)
    console.replies = {9001: make_status_reply(1), 9002: make_status_reply(2)}
    code, output = run_words(console, 'status', LOG_FLAG)
    assert code is ExitCode.DONE
    assert 'configuration: version 1 by ana' in output
    assert 'zone suva: in, 2 members' in output
    rows = [line for line in output.splitlines() if line.startswith('node-')]
    assert len(rows) == 2
    assert '0.8 s' in rows[0]
    assert '3/20 +1' in rows[0]


def test_status_is_incomplete_when_node_does_not_answer_or_lags() -> None:
    console = _make_console_with_admins(9001, 9002)
    console.replies = {9001: make_status_reply(1)}
    code, output = run_words(console, 'status', LOG_FLAG)
    assert code is ExitCode.INCOMPLETE
    assert '127.0.0.1:9002 does not answer' in output
    console.replies = {
        9001: make_status_reply(1),
        9002: make_status_reply(2, version=0),
    }
    assert run_words(console, 'status', LOG_FLAG)[0] is ExitCode.INCOMPLETE


def test_status_of_a_fleet_without_members_is_incomplete() -> None:
    assert (
        run_words(OperatorConsole(), 'status', LOG_FLAG)[0]
        is ExitCode.INCOMPLETE
    )


def test_status_rejects_reply_of_other_incarnation() -> None:
    console = _make_console_with_admins(9001)
    console.replies = {9001: make_status_reply(77)}
    code, output = run_words(console, 'status', LOG_FLAG)
    assert code is ExitCode.INCOMPLETE
    assert 'in incarnation 77 answers there now' in output


def test_status_prints_json() -> None:
    console = _make_console_with_admins(9001)
    console.replies = {9001: make_status_reply(1)}
    _code, output = run_words(console, 'status', LOG_FLAG, '--json')
    fleet = json.loads(output)
    assert fleet['config_version'] == 1
    assert fleet['members'][0]['status']['owned_shards'] == {'holds': 8}


@pytest.mark.parametrize('body', [b'', b'{}', b'\xff', b'[]'])
def test_status_is_incomplete_when_reply_is_malformed(body: bytes) -> None:
    console = _make_console_with_admins(9001)
    console.replies = {9001: AdminReply(200, body)}
    code, output = run_words(console, 'status', LOG_FLAG)
    assert code is ExitCode.INCOMPLETE
    assert 'answered without a status' in output


def test_status_with_admin_flag_works_without_log() -> None:
    console = OperatorConsole(replies={9001: make_status_reply(1)})
    console.log.is_up = False
    code, output = run_words(console, 'status', '--admin=127.0.0.1:9001')
    assert code is ExitCode.INCOMPLETE
    assert 'version 1 by ana' in output


@pytest.mark.parametrize('address', ['nowhere', ':9', '127.0.0.1:0', 'a:x'])
def test_invalid_admin_address_is_named_in_error(address: str) -> None:
    code, output = run_words(OperatorConsole(), 'status', f'--admin={address}')
    assert code is ExitCode.USAGE
    assert address in output


def test_owner_shows_node_and_fence() -> None:
    code, output = run_words(
        make_fleet_console(), 'owner', 'holds', 'oven-17', LOG_FLAG
    )
    assert code is ExitCode.DONE
    assert 'node node-0 at 127.0.0.1:8000, fence 4' in output


def test_owner_of_unknown_service_returns_not_found() -> None:
    code, output = run_words(
        make_fleet_console(), 'owner', 'ghost', 'a', LOG_FLAG
    )
    assert (code, output) == (
        ExitCode.NOT_FOUND,
        "service 'ghost' is unknown",
    )


def test_log_tail_prints_one_json_line_per_record() -> None:
    console = make_fleet_console()
    console.log.records.append(b'noise')
    code, output = run_words(console, 'log', 'tail', LOG_FLAG)
    lines = [json.loads(line) for line in output.splitlines()]
    assert code is ExitCode.DONE
    assert [line['offset'] for line in lines] == list(range(6))
    assert lines[0]['record'] == 'ConfigPublished'
    assert lines[0]['fields']['author'] == 'ana'
    assert lines[1]['record'] == 'NodeJoin'
    assert 'not a record' in lines[5]['error']


def test_log_tail_starts_at_first_retained_offset() -> None:
    console = make_fleet_console()
    console.log.first_offset = 3
    _code, output = run_words(console, 'log', 'tail', LOG_FLAG, '--limit=1')
    assert [json.loads(line)['offset'] for line in output.splitlines()] == [3]


def test_log_tail_of_unreachable_log_returns_unavailable() -> None:
    console = OperatorConsole()
    console.log.is_up = False
    code, output = run_words(console, 'log', 'tail', LOG_FLAG)
    assert code is ExitCode.UNAVAILABLE
    assert 'log is down' in output


def test_check_distinguishes_settings_and_documents(tmp_path: Path) -> None:
    settings = tmp_path / 'settings.json'
    settings.write_text(settings_text())
    document = tmp_path / 'document.json'
    document.write_text('{services: {holds: {}}}')
    code, output = run_words(OperatorConsole(), 'check', str(settings))
    assert code is ExitCode.DONE
    assert output.endswith('valid settings of node suva-catalogue-1')
    code, output = run_words(OperatorConsole(), 'check', str(document))
    assert code is ExitCode.DONE
    assert output.endswith('valid configuration document')


def test_check_names_unknown_adapters(tmp_path: Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_text(settings_text(callers={'adapter': 'gopher'}))
    code, output = run_words(OperatorConsole(), 'check', str(path))
    assert code is ExitCode.INVALID
    assert 'callers.adapter: is unknown: gopher; known are: ' in output


def test_node_without_valid_settings_does_not_start(tmp_path: Path) -> None:
    code, _shown = run_words(OperatorConsole(), 'node')
    assert code is ExitCode.USAGE
    missing = str(tmp_path / 'none.json')
    code, output = run_words(OperatorConsole(), 'node', f'--settings={missing}')
    assert code is ExitCode.INVALID
    assert 'is unreadable' in output


def test_help_and_unknown_commands_return_exit_codes(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(('--help',)) is ExitCode.DONE
    assert main(()) is ExitCode.USAGE
    assert main(('zone', 'out', '--help')) is ExitCode.DONE
    assert main(('zone', 'sideways', 'suva')) is ExitCode.USAGE
    output = capsys.readouterr()
    assert 'exit codes:' in output.out
    assert '--reason' in output.out
    assert "command 'zone' is unknown" in output.err
