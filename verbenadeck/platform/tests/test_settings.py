"""Settings file of the platform, also when it changes at run time."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from loguru import logger

from verbenadeck.platform._daemon import log_changed_settings
from verbenadeck.platform._options import make_router_options
from verbenadeck.platform._settings import load_settings


def _make_fields(**changes: Any) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'node': 'sidecar-suva-1',
        'ip': '10.1.0.41',
        'zone': 'suva',
        'region': 'viti-levu',
        'service': 'desk',
        'listen': {
            'inbound': '10.1.0.41:8624',
            'outbound': '10.1.0.41:8629',
            'ready': '10.1.0.41:8625',
            'control': '10.1.0.41:8620',
        },
        'internalPorts': [7600, 7615],
        'appAddr': '10.1.0.41:8628',
        'heartbeat': '870ms',
        'bounds': {'drain': '2000ms', 'grace': '6s', 'holdMax': '10000ms'},
        'platform': {'address': '10.200.1.7:8627'},
    }
    fields.update(changes)
    return fields


def _encode(**changes: Any) -> bytes:
    return msgspec.json.encode(_make_fields(**changes))


_ODD_CHANGES: tuple[dict[str, Any], ...] = (
    {'listen': []},
    {'listen': {'outbound': 7}},
    {'appAddr': 7},
    {'node': 'n' * 300},
    {'service': None},
    {'zone': ''},
    {'heartbeat': '0s'},
    {'internalPorts': [70_000, 70_001]},
    {'internalPorts': []},
    {'bounds': {'drain': '2s', 'grace': '-6s', 'holdMax': '1s'}},
    {'limits': [5]},
)


@pytest.mark.parametrize(
    'bound',
    [-1, 'much', True, None, pytest.param(10**400, id='too large')],
)
def test_odd_bound_of_retries_is_refused_by_name(
    bound: object, tmp_path: Path
) -> None:
    """Guards against a fleet whose retries have no or an infinite bound."""
    path = tmp_path / 'local.json'
    bounds = _make_fields()['bounds'] | {'retryBudgetSlack': bound}
    path.write_bytes(json.dumps(_make_fields(bounds=bounds)).encode())
    assert 'bounds.retryBudgetSlack' in load_settings(path).failure().detail


def test_retries_follow_the_bounds_of_the_platform(tmp_path: Path) -> None:
    """Guards against a burst of each node that is meant for all of them."""
    path = tmp_path / 'local.json'
    path.write_bytes(_encode())
    assert make_router_options(load_settings(path).unwrap()).retries is None
    limits = {'retryBudgetRatio': 0.2, 'retryBudgetSlack': 210}
    bounds = _make_fields()['bounds'] | limits
    path.write_bytes(_encode(bounds=bounds))
    retries = make_router_options(load_settings(path).unwrap()).retries
    assert retries is not None
    assert (retries.ratio, retries.burst) == pytest.approx((0.16, 168))


@pytest.mark.parametrize(
    ('content', 'line'),
    [
        (msgspec.json.encode(_make_fields()), 'nothing changed'),
        (
            msgspec.json.encode(_make_fields(zone='nadi', heartbeat='500ms')),
            'from the next start: zone, heartbeat_interval_s',
        ),
        (b'{"node": 7', 'not usable'),
        *((_encode(**change), 'not usable') for change in _ODD_CHANGES),
        (b'[' * 200_000, 'not usable'),
    ],
)
def test_reread_settings_are_compared_by_name(
    content: bytes, line: str, tmp_path: Path
) -> None:
    path = tmp_path / 'local.json'
    path.write_bytes(msgspec.json.encode(_make_fields()))
    settings = load_settings(path).unwrap()
    path.write_bytes(content)
    lines: list[str] = []
    sink = logger.add(lines.append, format='{message}')
    log_changed_settings(settings, path)
    logger.remove(sink)
    assert line in ''.join(lines)


@pytest.mark.parametrize(
    ('changes', 'link_bytes_per_s'),
    (
        ({}, None),
        ({'limits': {'memoryMb': 200}}, None),
        ({'limits': {'linkMbps': 5}}, 625_000),
        ({'limits': {'linkMbps': 0.5}}, 62_500),
    ),
)
def test_link_without_a_rate_has_no_bound(
    changes: dict[str, Any], link_bytes_per_s: float | None, tmp_path: Path
) -> None:
    """Guards against reservations in deployments that state no rate."""
    path = tmp_path / 'local.json'
    path.write_bytes(_encode(**changes))
    assert load_settings(path).unwrap().link_bytes_per_s == link_bytes_per_s


@pytest.mark.parametrize(
    'mbps', ('0', '-5', '1e308', str(10**400), '"5"', 'true', '[]')
)
def test_unusable_rate_of_the_link_is_named(mbps: str, tmp_path: Path) -> None:
    """Guards against a node that refuses all bodies, or none, by a typo."""
    path = tmp_path / 'local.json'
    content = _encode(limits={'linkMbps': 0.123})
    path.write_bytes(content.replace(b'0.123', mbps.encode()))
    assert 'limits.linkMbps' in load_settings(path).failure().detail


def test_rate_that_no_number_can_hold_is_refused(tmp_path: Path) -> None:
    """Guards against an infinite rate; the decoder names only the position."""
    path = tmp_path / 'local.json'
    content = _encode(limits={'linkMbps': 0.123})
    path.write_bytes(content.replace(b'0.123', b'1e400'))
    assert 'out of range' in load_settings(path).failure().detail
