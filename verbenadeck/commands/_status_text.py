"""Status of the fleet as text for people."""

from collections.abc import Iterable, Iterator

from verbenadeck.admin import NodeStatus, ZoneStatus
from verbenadeck.commands._status_types import FleetStatus, MemberReport

_HEADINGS = (
    'node',
    'zone',
    'service',
    'state',
    'lease',
    'shards',
    'upstream',
    'config',
    'note',
)
_GAP = '  '
_STATUS_CELLS = 4


def status_lines(fleet: FleetStatus) -> Iterator[str]:
    """Yield the lines of a status."""
    author = fleet.config_author or 'nobody'
    yield f'configuration: version {fleet.config_version} by {author}'
    yield f'whole: {_yes(fleet.is_whole)}'
    for zone in fleet.zones:
        yield _zone_line(zone)
    rows = [_HEADINGS, *(_row(report) for report in fleet.members)]
    yield from _table(rows)


def _zone_line(zone: ZoneStatus) -> str:
    state = f'out ({zone.reason})' if zone.is_out else 'in'
    return f'zone {zone.zone}: {state}, {zone.members} members'


def _row(report: MemberReport) -> tuple[str, ...]:
    member = report.member
    state = f'{member.state}, out' if member.is_out else member.state
    head = (member.node_id, member.zone, member.service, state)
    status = report.status
    if status is None:
        unknown = '?' * _STATUS_CELLS
        return (*head, *unknown, report.error)
    return (*head, *_status_cells(status), status.why_unready)


def _status_cells(status: NodeStatus) -> tuple[str, ...]:
    version = str(status.config_version)
    return _lease(status), _shards(status), _upstream(status), version


def _lease(status: NodeStatus) -> str:
    remaining_s = status.lease_remaining_s
    if remaining_s is None:
        return 'alone'
    return f'{remaining_s:.1f} s' if remaining_s > 0 else 'lapsed'


def _shards(status: NodeStatus) -> str:
    owned = sum(status.owned_shards.values())
    held = sum(status.held_shards.values())
    return f'{owned} (+{held} leaving)' if held else str(owned)


def _upstream(status: NodeStatus) -> str:
    upstream = status.upstream
    if not upstream.instance:
        return 'none'
    load = f'{upstream.running}/{upstream.limit}'
    queued = f' +{upstream.queued}' if upstream.queued else ''
    state = '' if upstream.is_admitting else ' closed'
    return f'{load}{queued}{state}'


def _table(rows: list[tuple[str, ...]]) -> Iterator[str]:
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    for row in rows:
        yield _GAP.join(_padded(row, widths)).rstrip()


def _padded(row: Iterable[str], widths: Iterable[int]) -> Iterator[str]:
    for cell, width in zip(row, widths, strict=True):
        yield cell.ljust(width)


def _yes(is_so: bool) -> str:
    return 'yes' if is_so else 'no'
