"""Capacity at the target size, worked out from measured slopes.

``python -m benchmarks.capacity`` reads ``benchmarks/slopes.json``, in which
every slope names the command that measured it, and prints the tables of
docs/CAPACITY.md.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

_SLOPES = Path(__file__).with_name('slopes.json')
_US_PER_S = 1_000_000
_KB_PER_MB = 1000
_PERCENT = 100
_DAY_S = 86_400


class Target(msgspec.Struct, frozen=True):
    """Size that the system has to carry."""

    nodes: int = 440
    zones: int = 7
    requests_per_s: float = 1_600_000
    config_changes_a_day: int = 760
    restarts_a_day: int = 110
    losses_a_day: int = 2
    core_percent: float = 2.4
    memory_mb: float = 32
    traffic_kb_per_s: float = 19
    appends_per_s: float = 300


class Slope(msgspec.Struct, frozen=True):
    """One measured figure.

    Parameters
    ----------
    value : float
        Figure in the unit of its name.
    source : str
        Command that measured it.
    """

    value: float
    source: str


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Measured figures that the tables rest on."""

    entry_us: Slope
    door_us: Slope
    link_end_kb: Slope
    control_core_percent: Slope
    heartbeat_kb_per_s: Slope
    control_memory_mb: Slope
    state_mb: Slope
    apply_us: Slope
    plan_ms: Slope
    relay_kb_per_s: Slope
    relay_records_per_s: Slope


class Row(NamedTuple):
    """One line of the table of roles."""

    role: str
    state: str
    messages: str
    core_percent: float
    memory_mb: float
    traffic_kb_per_s: float
    mechanism: str


def log_appends_a_day(target: Target) -> float:
    """Return the appends of an ordinary day.

    A restart costs two records of leaving, one of joining, one release, two
    assignments, and new witness sets at three members. A loss costs up to
    three votes, an assignment and the same new sets.
    """
    a_restart = 2 + 1 + 1 + 2 + 3
    a_loss = 3 + 1 + 3
    restarts = target.restarts_a_day * a_restart
    losses = target.losses_a_day * a_loss
    return target.config_changes_a_day + restarts + losses


def _planner_looks_per_s(target: Target) -> float:
    """Return looks a second: one for 30 s after a change, else 0.1."""
    changes = target.config_changes_a_day + target.restarts_a_day
    restless = min(1, (changes + target.losses_a_day) * 30 / _DAY_S)
    return restless + (1 - restless) / 10


def appends_at_zone_loss(target: Target) -> float:
    """Return the appends when a zone is lost.

    Each live member may vote, once for all members it watches, then change
    its own witness set; assignments go one record a service and owner.
    """
    lost = target.nodes / target.zones
    live = target.nodes - lost
    return 2 * live + lost


def roles(slopes: Slopes, target: Target) -> Iterator[Row]:
    """Yield the rows of the table, for one node."""
    rate_per_s = target.requests_per_s / target.nodes
    links = 2 * (target.nodes - 1)
    yield Row(
        'entry and router',
        'counters of 440 doors, one connection to each node',
        f'{rate_per_s:.0f} requests/s in, as many calls to doors',
        rate_per_s * slopes.entry_us.value * _PERCENT / _US_PER_S,
        links * slopes.link_end_kb.value / _KB_PER_MB,
        0,
        'one multiplexed stream a peer; choice from counters in memory',
    )
    yield Row(
        'door',
        'slots, queue, ledger of the last 10 min of deposits',
        f'{rate_per_s:.0f} calls/s in, as many requests to the upstream',
        rate_per_s * slopes.door_us.value * _PERCENT / _US_PER_S,
        0,
        0,
        'one sender to the upstream; bounded ledger',
    )
    yield Row(
        'owner and witness',
        'three renewals held, three given',
        '24 heartbeats and 24 answers a second',
        slopes.control_core_percent.value,
        slopes.control_memory_mb.value,
        slopes.heartbeat_kb_per_s.value,
        'leases by datagram, never through the log',
    )
    day = log_appends_a_day(target)
    records_per_s = day / _DAY_S
    yield Row(
        'log client',
        'owners and fences of all shards in flat arrays',
        f'{day:.0f} records a day',
        records_per_s * slopes.apply_us.value * _PERCENT / _US_PER_S,
        slopes.state_mb.value,
        slopes.relay_kb_per_s.value
        * records_per_s
        / slopes.relay_records_per_s.value,
        'two direct readers a zone, relay with a fan-out of four',
    )
    looks_per_s = _planner_looks_per_s(target)
    yield Row(
        'planner (three nodes)',
        'none of its own',
        f'{looks_per_s:.2f} looks a second at each of four services',
        4 * looks_per_s * slopes.plan_ms.value / _KB_PER_MB * _PERCENT,
        0,
        0,
        'one pass over flat arrays; no safety rests on it',
    )


def table(slopes: Slopes, target: Target) -> Iterator[str]:
    """Yield the lines of the table of roles in Markdown."""
    yield '| role | state | messages | core % | MB | KB/s | mechanism |'
    yield '|---|---|---|---|---|---|---|'
    for row in roles(slopes, target):
        figures = (row.core_percent, row.memory_mb, row.traffic_kb_per_s)
        cells = ' | '.join(f'{figure:.2f}' for figure in figures)
        head = f'| {row.role} | {row.state} | {row.messages} |'
        yield f'{head} {cells} | {row.mechanism} |'


def verdicts(slopes: Slopes, target: Target) -> Iterator[str]:
    """Yield the lines that compare control with its bounds."""
    rows = tuple(roles(slopes, target))
    control = [
        row for row in rows if row.role not in {'entry and router', 'door'}
    ]
    links_mb = rows[0].memory_mb
    cores = sum(row.core_percent for row in control)
    memory_mb = links_mb + sum(row.memory_mb for row in control)
    traffic = sum(row.traffic_kb_per_s for row in control)
    yield '| control of one node | worked out | bound | |'
    yield '|---|---|---|---|'
    yield _verdict('core, with the planner, %', cores, target.core_percent)
    yield _verdict(
        'memory, with 878 link ends, MB', memory_mb, target.memory_mb
    )
    yield _verdict('traffic, KB/s', traffic, target.traffic_kb_per_s)
    day = log_appends_a_day(target) / _DAY_S
    yield _verdict('appends/s, ordinary day', day, target.appends_per_s)
    zone_s = appends_at_zone_loss(target) / target.appends_per_s
    yield _verdict('zone lost: s of appends at 300/s', zone_s, 2)
    data = sum(row.core_percent for row in rows) - cores
    yield _verdict('data path, % of one core', data, _PERCENT)


def _verdict(name: str, found: float, bound: float) -> str:
    word = 'holds' if found <= bound else '**misses**'
    return f'| {name} | {found:.2f} | {bound:g} | {word} |'


def read_slopes() -> Slopes:
    """Return the committed slopes."""
    return msgspec.json.decode(_SLOPES.read_bytes(), type=Slopes)


def main() -> None:
    """Print both tables."""
    slopes = read_slopes()
    target = Target()
    print('\n'.join(table(slopes, target)))
    print()
    print('\n'.join(verdicts(slopes, target)))


if __name__ == '__main__':
    main()
