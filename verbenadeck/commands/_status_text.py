"""Formatting of the fleet status as text."""

from collections.abc import Iterable, Iterator

from verbenadeck.admin import NodeStatus, ZoneStatus
from verbenadeck.commands._status_types import FleetStatus, MemberReport

_COLUMN_HEADINGS = (
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
_COLUMN_GAP = '  '
_STATUS_CELL_COUNT = 4


def generate_status_lines(fleet: FleetStatus) -> Iterator[str]:
    """Yield the lines of a fleet status: a summary, the zones and a table.

    Parameters
    ----------
    fleet : FleetStatus
        Status of the fleet.
    """
    author = fleet.config_author or 'nobody'
    yield f'configuration: version {fleet.config_version} by {author}'
    yield f'whole: {_format_yes_no(fleet.is_complete)}'
    for zone in fleet.zones:
        yield _format_zone_line(zone)
    rows = [_COLUMN_HEADINGS, *(_make_row(report) for report in fleet.members)]
    yield from _format_table(rows)


def _format_zone_line(zone: ZoneStatus) -> str:
    state = f'out ({zone.reason})' if zone.is_out else 'in'
    return f'zone {zone.zone}: {state}, {zone.members} members'


def _make_row(report: MemberReport) -> tuple[str, ...]:
    member = report.member
    state = f'{member.state}, out' if member.is_out else member.state
    member_cells = (member.node_id, member.zone, member.service, state)
    status = report.status
    if status is None:
        unknown = '?' * _STATUS_CELL_COUNT
        return (*member_cells, *unknown, report.error)
    return (*member_cells, *_format_status_cells(status), status.why_unready)


def _format_status_cells(status: NodeStatus) -> tuple[str, ...]:
    version = str(status.config_version)
    return (
        _format_lease(status),
        _format_shards(status),
        _format_upstream(status),
        version,
    )


def _format_lease(status: NodeStatus) -> str:
    remaining_s = status.lease_remaining_s
    if remaining_s is None:
        return 'alone'
    return f'{remaining_s:.1f} s' if remaining_s > 0 else 'lapsed'


def _format_shards(status: NodeStatus) -> str:
    owned = sum(status.owned_shards.values())
    held = sum(status.held_shards.values())
    return f'{owned} (+{held} leaving)' if held else str(owned)


def _format_upstream(status: NodeStatus) -> str:
    upstream = status.upstream
    if not upstream.instance:
        return 'none'
    load = f'{upstream.running}/{upstream.limit}'
    queued = f' +{upstream.queued}' if upstream.queued else ''
    state = '' if upstream.is_admitting else ' closed'
    return f'{load}{queued}{state}'


def _format_table(rows: list[tuple[str, ...]]) -> Iterator[str]:
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    for row in rows:
        yield _COLUMN_GAP.join(_pad_cells(row, widths)).rstrip()


def _pad_cells(row: Iterable[str], widths: Iterable[int]) -> Iterator[str]:
    for cell, width in zip(row, widths, strict=True):
        yield cell.ljust(width)


def _format_yes_no(is_true: bool) -> str:
    return 'yes' if is_true else 'no'
