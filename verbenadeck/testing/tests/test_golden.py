"""Logs of whole sessions against their golden files."""

from pathlib import Path

import pytest

from verbenadeck.testing.golden import compare
from verbenadeck.testing.tests.golden_scenarios import (
    GOLDEN,
    NAMES,
    play_session,
)


@pytest.mark.parametrize('name', NAMES)
def test_a_session_is_as_its_golden_file(name: str) -> None:
    difference = compare(play_session(name), GOLDEN / f'{name}.txt')
    assert not difference, f'\n{difference}\nmake golden renews the files'


def test_a_changed_line_shows_in_the_diff(tmp_path: Path) -> None:
    golden = tmp_path / 'start.txt'
    lines = (GOLDEN / 'start.txt').read_text().splitlines(keepends=True)
    golden.write_text(''.join([*lines[:3], 'other\n', *lines[4:]]))
    difference = compare(''.join(lines), golden)
    assert '-other\n' in difference
    assert f'+{lines[3]}' in difference


def test_a_missing_golden_file_differs(tmp_path: Path) -> None:
    assert compare('line\n', tmp_path / 'none.txt')
