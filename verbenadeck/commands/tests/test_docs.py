import re
from pathlib import Path

from verbenadeck.admin.tests.builders import make_fake_node, make_handlers
from verbenadeck.commands import COMMANDS, ExitCode
from verbenadeck.model import RefusalReason

_OPERATIONS = Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'
_METRIC_NAME = re.compile('verbenadeck_[a-z_]+')


def _read_operations_page() -> str:
    return _OPERATIONS.read_text()


def _find_served_metrics() -> set[str]:
    text = make_handlers(make_fake_node()).read_metrics().decode()
    families = re.findall('# TYPE (verbenadeck_[a-z_]+)', text)
    return set(families) - {'verbenadeck_hedges_total'}


def test_operations_page_names_exactly_the_served_metrics() -> None:
    assert (
        set(_METRIC_NAME.findall(_read_operations_page()))
        == _find_served_metrics()
    )


def test_operations_page_lists_every_exit_code() -> None:
    documented_codes = re.findall(
        r'^\| (\d) \|', _read_operations_page(), re.MULTILINE
    )
    assert [int(code) for code in documented_codes] == list(ExitCode)


def test_reasons_in_alarms_exist() -> None:
    reasons_on_page = set(
        re.findall('reason="([a-z-]+)"', _read_operations_page())
    )
    assert reasons_on_page <= {reason.value for reason in RefusalReason}


def test_commands_on_operations_page_exist() -> None:
    words = re.findall(
        r'^verbenadeck (\w+)(?: (\w+))?', _read_operations_page(), re.MULTILINE
    )
    for first, second in words:
        assert first in COMMANDS or f'{first} {second}' in COMMANDS
