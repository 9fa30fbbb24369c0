import gzip
from pathlib import Path

import msgspec

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import OperatorConsole, run_words


def _make_log_line(
    time_s: float, part: str, message: str, node: str = ''
) -> str:
    body = {
        'time_s': time_s,
        'level': 'INFO',
        'part': part,
        'message': message,
    }
    return f'{node}{msgspec.json.encode(body).decode()}\n'


_ENTRY_LINES = (
    _make_log_line(1, 'routes', 'version 4 in force'),
    _make_log_line(2, 'router', 'desk r1 to n2: owner of shard 3'),
    _make_log_line(2.5, 'router', 'desk r9 to n2: owner of shard 3'),
    _make_log_line(
        4, 'entry', 'refused desk r1 after 2.000 s: unknown peer-lost'
    ),
    'no structured line\n',
)
_PROXY_LINES = (
    _make_log_line(0.5, 'lease', 'opened shards'),
    _make_log_line(3, 'door', 'refused desk r1: not-run moving'),
)


def test_request_lines_of_several_files_are_ordered_by_time(
    tmp_path: Path,
) -> None:
    entry_log = tmp_path / 'entry.log'
    entry_log.write_text(''.join(_ENTRY_LINES))
    proxy_log = tmp_path / 'door.log.gz'
    proxy_log.write_bytes(gzip.compress(''.join(_PROXY_LINES).encode()))
    code, output = run_words(
        OperatorConsole(), 'explain', 'r1', f'--files={entry_log},{proxy_log}'
    )
    assert code is ExitCode.DONE
    parts = [row.split('  ')[-1].split(':')[0] for row in output.splitlines()]
    assert parts == ['lease', 'routes', 'router', 'door', 'entry']
    assert 'r9' not in output
    marked = [row for row in output.splitlines() if row.startswith('>')]
    assert len(marked) == 3


def test_prefix_of_log_collector_is_taken_as_source(tmp_path: Path) -> None:
    path = tmp_path / 'all.log'
    path.write_text(
        _make_log_line(1, 'lease', 'opened', node='0.1 n2 ')
        + _make_log_line(2, 'door', 'refused desk r1', node='0.2 n2 ')
        + _make_log_line(2, 'lease', 'closed', node='0.2 n3 ')
    )
    code, output = run_words(
        OperatorConsole(), 'explain', 'r1', f'--files={path}'
    )
    assert code is ExitCode.DONE
    assert output.count('n2') == 2
    assert 'n3' not in output


def test_unknown_request_id_returns_not_found(tmp_path: Path) -> None:
    path = tmp_path / 'entry.log'
    path.write_text(''.join(_ENTRY_LINES))
    code, _ = run_words(OperatorConsole(), 'explain', 'r7', f'--files={path}')
    assert code is ExitCode.NOT_FOUND


def test_missing_file_returns_invalid(tmp_path: Path) -> None:
    code, _ = run_words(
        OperatorConsole(), 'explain', 'r1', f'--files={tmp_path}/none'
    )
    assert code is ExitCode.INVALID
