"""Events of a session: a zone leaves, owners are killed, paused, stopped."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from verbenadeck.demo._fleet import PlacedRuns, SiteFleet
from verbenadeck.demo._operator import Operator
from verbenadeck.demo._processes import send_signal
from verbenadeck.demo._sites import Place, Site
from verbenadeck.demo._summary import Stretch

_CALM_S = 5.0
_ZONE_GRACE_S = 3.0
_ZONE_OUT_S = 2.0
_SETTLE_S = 3.5
_DOWN_S = 3.5
_PAUSE_S = 3.0
_STOP_S = 3.0


class Event(NamedTuple):
    """A named event; it notes what it observes in its stretch."""

    name: str
    act: Callable[[Stretch], Awaitable[None]]


def events_of(
    site: Site, fleet: SiteFleet, operator: Operator
) -> tuple[Event, ...]:
    """Return the events of a session in order.

    Parameters
    ----------
    site : Site
        The site.
    fleet : SiteFleet
        Its processes.
    operator : Operator
        Publishes configuration.
    """
    zone = site.zones[0]
    killed, paused = _owners_outside(fleet, zone)
    events = [
        Event('calm', _calm(fleet)),
        Event(f'zone {zone} out', _take_out(fleet, operator, zone)),
        Event(f'zone {zone} in', _take_in(operator, zone)),
        Event('owner killed', _send(fleet, killed, signal.SIGKILL, _DOWN_S)),
        Event('owner restarted', _restart(fleet, killed)),
        Event('owner paused', _send(fleet, paused, signal.SIGSTOP, _PAUSE_S)),
        Event(
            'owner continued', _send(fleet, paused, signal.SIGCONT, _SETTLE_S)
        ),
        Event('owner stopped', _send(fleet, paused, signal.SIGTERM, _STOP_S)),
        Event('owner back', _restart(fleet, paused)),
    ]
    return tuple(events)


def _owners_outside(fleet: SiteFleet, zone: str) -> tuple[Place, Place]:
    keyed = [
        place
        for place in fleet.places
        if place.service.is_keyed and place.zone != zone
    ]
    return keyed[0], keyed[1]


def _calm(fleet: SiteFleet) -> Callable[[Stretch], Awaitable[None]]:
    async def act(stretch: Stretch) -> None:
        before = await fleet.runs()
        await asyncio.sleep(_CALM_S)
        stretch.imbalance = imbalance_of(before, await fleet.runs())

    return act


def _take_out(
    fleet: SiteFleet, operator: Operator, zone: str
) -> Callable[[Stretch], Awaitable[None]]:
    async def act(stretch: Stretch) -> None:
        await operator.take_zone_out(zone, 'the demo takes a zone out')
        await asyncio.sleep(_ZONE_GRACE_S)
        before = _run_count(await fleet.runs(zone))
        await asyncio.sleep(_ZONE_OUT_S)
        after = _run_count(await fleet.runs(zone))
        stretch.runs_while_out = after - before

    return act


def _take_in(
    operator: Operator, zone: str
) -> Callable[[Stretch], Awaitable[None]]:
    async def act(_stretch: Stretch) -> None:
        await operator.take_zone_in(zone, 'the demo goes on')
        await asyncio.sleep(_SETTLE_S)

    return act


def _send(
    fleet: SiteFleet, place: Place, number: signal.Signals, wait_s: float
) -> Callable[[Stretch], Awaitable[None]]:
    async def act(_stretch: Stretch) -> None:
        send_signal(fleet.node(place), number)
        await asyncio.sleep(wait_s)

    return act


def _restart(
    fleet: SiteFleet, place: Place
) -> Callable[[Stretch], Awaitable[None]]:
    async def act(_stretch: Stretch) -> None:
        await fleet.start_node(place)
        await asyncio.sleep(_SETTLE_S)

    return act


def imbalance_of(before: PlacedRuns, after: PlacedRuns) -> dict[str, float]:
    """Return the busiest upstream's runs over the mean, by service."""
    gained: dict[str, list[int]] = {}
    for old, new in zip(before, after, strict=True):
        runs = gained.setdefault(old.place.service.name, [])
        runs.append(_run_count((new,)) - _run_count((old,)))
    return {
        name: round(max(runs) * len(runs) / max(1, sum(runs)), 3)
        for name, runs in gained.items()
    }


def _run_count(placed: PlacedRuns) -> int:
    return sum(sum(one.report.runs.values()) for one in placed)
