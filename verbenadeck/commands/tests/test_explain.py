import gzip
from pathlib import Path

import msgspec

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import Desk, run_words


def _line(time_s: float, part: str, message: str, node: str = '') -> str:
    body = {
        'time_s': time_s,
        'level': 'INFO',
        'part': part,
        'message': message,
    }
    return f'{node}{msgspec.json.encode(body).decode()}\n'


_ENTRY = (
    _line(1, 'routes', 'version 4 in force'),
    _line(2, 'router', 'desk r1 to n2: owner of shard 3'),
    _line(2.5, 'router', 'desk r9 to n2: owner of shard 3'),
    _line(4, 'entry', 'refused desk r1 after 2.000 s: unknown peer-lost'),
    'no structured line\n',
)
_DOOR = (
    _line(0.5, 'lease', 'opened shards'),
    _line(3, 'door', 'refused desk r1: not-run moving'),
)


def test_the_way_of_a_request_is_shown_in_order_of_time(tmp_path: Path) -> None:
    entry = tmp_path / 'entry.log'
    entry.write_text(''.join(_ENTRY))
    door = tmp_path / 'door.log.gz'
    door.write_bytes(gzip.compress(''.join(_DOOR).encode()))
    code, shown = run_words(Desk(), 'explain', 'r1', f'--files={entry},{door}')
    assert code is ExitCode.DONE
    parts = [row.split('  ')[-1].split(':')[0] for row in shown.splitlines()]
    assert parts == ['lease', 'routes', 'router', 'door', 'entry']
    assert 'r9' not in shown
    marked = [row for row in shown.splitlines() if row.startswith('>')]
    assert len(marked) == 3


def test_a_collector_may_put_the_node_before_each_line(tmp_path: Path) -> None:
    path = tmp_path / 'all.log'
    path.write_text(
        _line(1, 'lease', 'opened', node='0.1 n2 ')
        + _line(2, 'door', 'refused desk r1', node='0.2 n2 ')
        + _line(2, 'lease', 'closed', node='0.2 n3 ')
    )
    code, shown = run_words(Desk(), 'explain', 'r1', f'--files={path}')
    assert code is ExitCode.DONE
    assert shown.count('n2') == 2
    assert 'n3' not in shown


def test_an_unknown_request_is_not_found(tmp_path: Path) -> None:
    path = tmp_path / 'entry.log'
    path.write_text(''.join(_ENTRY))
    code, _ = run_words(Desk(), 'explain', 'r7', f'--files={path}')
    assert code is ExitCode.NOT_FOUND


def test_a_missing_file_is_told(tmp_path: Path) -> None:
    code, _ = run_words(Desk(), 'explain', 'r1', f'--files={tmp_path}/none')
    assert code is ExitCode.INVALID
