from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from returns.result import Result, Success

from verbenadeck.settings import (
    NodeSettings,
    SettingsErrors,
    load_settings,
    parse_settings,
)
from verbenadeck.settings.tests.builders import settings_text


def _problem_texts(
    result: Result[NodeSettings, SettingsErrors],
) -> dict[str, str]:
    """Return the texts of the problems by their dotted paths."""
    return {
        problem.where: problem.text for problem in result.failure().problems
    }


def test_missing_fields_get_their_defaults() -> None:
    node = parse_settings(settings_text()).unwrap()
    assert node.node_id == 'suva-catalogue-1'
    assert node.lease.heartbeat_interval_s * 4 == node.lease.lease_s


def test_parse_settings_accepts_comments() -> None:
    text = settings_text().replace('{', '{ // first\n', 1)
    assert isinstance(parse_settings(text), Success)


def test_parse_settings_reports_all_problems_with_paths() -> None:
    text = settings_text(
        zone=7,
        zonne='suva',
        host='0.0.0.0',
        log={'stream': 'A B'},
        logging={'format': 'xml'},
        peer_port=70_000,
        lease={'lease_s': 'long'},
        upstream=[],
    )
    problems = _problem_texts(parse_settings(text))
    assert problems == {
        'zone': 'must be text, not 7',
        'zonne': problems['zonne'],
        'host': problems['host'],
        'log.url': 'is missing',
        'log.stream': problems['log.stream'],
        'logging.format': 'must be one of: plain, json, not "xml"',
        'peer_port': 'must be from 0 to 65535',
        'lease.lease_s': 'must be a number, not "long"',
        'upstream': 'must be an object {...}, not a list',
    }
    assert problems['zonne'].startswith('is unknown; known are: node_id')


@pytest.mark.parametrize(
    ('changed', 'where'),
    [
        ({'peer_port': True}, 'peer_port'),
        ({'peer_port': 7.5}, 'peer_port'),
        ({'node_id': ''}, 'node_id'),
        ({'node_id': 'a b'}, 'node_id'),
        ({'stop_timeout_s': -1}, 'stop_timeout_s'),
        ({'host': 'localhost'}, 'host'),
        ({'peer_port': 9, 'entry_port': 9}, 'entry_port'),
        (
            {'lease': {'lease_s': 0.5, 'heartbeat_interval_s': 0.3}},
            'lease.heartbeat_interval_s',
        ),
        ({'lease': {'lease_s': 5}}, 'lease.drift_margin_s'),
        ({'lease': {'lease_s': 0.1}}, 'lease.lease_s'),
        ({'upstream': {'announce_path': 'up'}}, 'upstream.announce_path'),
        ({'logging': {'level': 'LOUD'}}, 'logging.level'),
    ],
)
def test_parse_settings_reports_the_path_of_an_invalid_value(
    changed: dict[str, object], where: str
) -> None:
    problems = _problem_texts(parse_settings(settings_text(**changed)))
    assert list(problems) == [where]


def test_each_problem_has_the_line_of_its_value() -> None:
    text = '{\n  /* zone: */\n  log: {\n    url: "x",\n  },\n  zone: 3,\n}'
    errors = parse_settings(text, source='fiji.json').failure()
    shown = str(errors).splitlines()
    assert any(
        problem.startswith('fiji.json:4: log.url: ') for problem in shown
    )
    assert any(problem.startswith('fiji.json:6: zone: ') for problem in shown)
    assert 'fiji.json:1: node_id: is missing' in shown


def test_parse_settings_rejects_a_duplicate_name() -> None:
    errors = parse_settings('{zone: "a", zone: "b"}').failure()
    assert 'zone' in str(errors)


def test_load_settings_reports_the_name_of_a_missing_file(
    tmp_path: Path,
) -> None:
    errors = load_settings(tmp_path / 'none.json').failure()
    assert 'none.json: is unreadable' in str(errors)


def test_load_settings_rejects_a_directory(tmp_path: Path) -> None:
    assert 'is unreadable' in str(load_settings(tmp_path).failure())


def test_load_settings_rejects_a_file_that_is_not_utf8(tmp_path: Path) -> None:
    path = tmp_path / 'bad.json'
    path.write_bytes(b'\xff\xfe{}')
    assert 'is not UTF-8' in str(load_settings(path).failure())


@pytest.mark.parametrize('text', ['', '[', '{a:}', 'null', '[' * 5000])
def test_parse_settings_rejects_text_that_is_not_a_valid_document(
    text: str,
) -> None:
    assert parse_settings(text).failure().problems


@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
@given(st.text(alphabet='{}[]:,"\'/*\n a1', max_size=40))
def test_parse_settings_returns_a_failure_for_arbitrary_text(text: str) -> None:
    assert str(parse_settings(text).failure())
