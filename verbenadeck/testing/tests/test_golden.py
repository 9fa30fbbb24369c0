"""Complete logs of scenarios, compared with their golden files."""

from pathlib import Path

import pytest

from verbenadeck.testing.golden import diff_with_golden
from verbenadeck.testing.tests.golden_scenarios import (
    GOLDEN_DIRECTORY,
    SCENARIO_NAMES,
    run_scenario,
)


@pytest.mark.parametrize('name', SCENARIO_NAMES)
def test_scenario_log_equals_its_golden_file(name: str) -> None:
    difference = diff_with_golden(
        run_scenario(name), GOLDEN_DIRECTORY / f'{name}.txt'
    )
    assert not difference, (
        f'\n{difference}\nrun `make golden` to rewrite the files'
    )


def test_changed_line_appears_in_diff(tmp_path: Path) -> None:
    golden = tmp_path / 'start.txt'
    lines = (
        (GOLDEN_DIRECTORY / 'start.txt').read_text().splitlines(keepends=True)
    )
    golden.write_text(''.join([*lines[:3], 'other\n', *lines[4:]]))
    difference = diff_with_golden(''.join(lines), golden)
    assert '-other\n' in difference
    assert f'+{lines[3]}' in difference


def test_missing_golden_file_gives_a_diff(tmp_path: Path) -> None:
    assert diff_with_golden('line\n', tmp_path / 'none.txt')
