import re
from pathlib import Path

from verbenadeck.admin.tests.builders import make_fake_node, make_handlers
from verbenadeck.commands import COMMANDS, ExitCode
from verbenadeck.model import RefusalReason

_OPERATIONS = Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'
_SAMPLE = re.compile('verbenadeck_[a-z_]+')


def _page() -> str:
    return _OPERATIONS.read_text()


def _served() -> set[str]:
    text = make_handlers(make_fake_node()).read_metrics().decode()
    families = re.findall('# TYPE (verbenadeck_[a-z_]+)', text)
    return set(families) - {'verbenadeck_hedges_total'}


def test_the_page_and_the_metrics_name_the_same() -> None:
    assert set(_SAMPLE.findall(_page())) == _served()


def test_the_page_tells_every_exit_code() -> None:
    told = re.findall(r'^\| (\d) \|', _page(), re.MULTILINE)
    assert [int(code) for code in told] == list(ExitCode)


def test_reasons_in_alarms_are_there() -> None:
    named = set(re.findall('reason="([a-z-]+)"', _page()))
    assert named <= {reason.value for reason in RefusalReason}


def test_commands_on_the_page_are_there() -> None:
    words = re.findall(r'^verbenadeck (\w+)(?: (\w+))?', _page(), re.MULTILINE)
    for first, second in words:
        assert first in COMMANDS or f'{first} {second}' in COMMANDS
