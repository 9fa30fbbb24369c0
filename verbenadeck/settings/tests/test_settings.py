from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st
from returns.result import Result, Success

from verbenadeck.settings import (
    NodeSettings,
    SettingsErrors,
    load_settings,
    parse_settings,
)
from verbenadeck.settings.tests.builders import settings_text


def _problems(result: Result[NodeSettings, SettingsErrors]) -> dict[str, str]:
    return {one.where: one.text for one in result.failure().problems}


def test_defaults_fill_what_is_not_named() -> None:
    node = parse_settings(settings_text()).unwrap()
    assert node.node_id == 'suva-catalogue-1'
    assert node.lease.heartbeat_interval_s * 4 == node.lease.lease_s


def test_comments_and_trailing_commas_are_allowed() -> None:
    text = settings_text().replace('{', '{ // first\n', 1)
    assert isinstance(parse_settings(text), Success)


def test_all_problems_come_at_once_with_paths() -> None:
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
    problems = _problems(parse_settings(text))
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
def test_each_bad_value_is_named(
    changed: dict[str, object], where: str
) -> None:
    problems = _problems(parse_settings(settings_text(**changed)))
    assert list(problems) == [where]


def test_lines_point_at_the_problem() -> None:
    text = '{\n  /* zone: */\n  log: {\n    url: "x",\n  },\n  zone: 3,\n}'
    errors = parse_settings(text, source='fiji.json').failure()
    shown = str(errors).splitlines()
    assert any(one.startswith('fiji.json:4: log.url: ') for one in shown)
    assert any(one.startswith('fiji.json:6: zone: ') for one in shown)
    assert 'fiji.json:1: node_id: is missing' in shown


def test_a_name_that_stands_twice_is_an_error() -> None:
    errors = parse_settings('{zone: "a", zone: "b"}').failure()
    assert 'zone' in str(errors)


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    errors = load_settings(tmp_path / 'none.json').failure()
    assert 'none.json: is unreadable' in str(errors)


def test_a_directory_is_unreadable(tmp_path: Path) -> None:
    assert 'is unreadable' in str(load_settings(tmp_path).failure())


def test_binary_files_are_refused(tmp_path: Path) -> None:
    path = tmp_path / 'bad.json'
    path.write_bytes(b'\xff\xfe{}')
    assert 'is not UTF-8' in str(load_settings(path).failure())


@pytest.mark.parametrize('text', ['', '[', '{a:}', 'null', '[' * 5000])
def test_unparsable_text_is_an_error(text: str) -> None:
    assert parse_settings(text).failure().problems


@limits(max_examples=150, derandomize=True, deadline=None)
@given(st.text(alphabet='{}[]:,"\'/*\n a1', max_size=40))
def test_any_text_ends_in_a_result(text: str) -> None:
    assert str(parse_settings(text).failure())
