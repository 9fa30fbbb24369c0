"""Random disorder of a soak: signals, restarts and changes that overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

from verbenadeck.demo._events import Event
from verbenadeck.demo._fleet import SiteFleet
from verbenadeck.demo._operator import Operator
from verbenadeck.demo._processes import send_signal
from verbenadeck.demo._sites import Place
from verbenadeck.demo._summary import Stretch

_LONGEST_PAUSE_S = 4.0
_LONGEST_GAP_S = 1.5
_SETTLE_S = 4.0
_STOP_TIMEOUT_S = 20.0
_DOWN_SHARE = 0.5
_ZONE_CHANGE_SHARE = 0.1
_Disruption = Callable[[SiteFleet, Place, random.Random], Awaitable[None]]


def disorder_of(
    fleet: SiteFleet,
    operator: Operator,
    *,
    source: random.Random,
    duration_s: float,
) -> tuple[Event, ...]:
    """Return the events of a soak, which take all their choices from a seed.

    Parameters
    ----------
    fleet : SiteFleet
        Processes of the site.
    operator : Operator
        Publishes configuration.
    source : random.Random
        Source of all choices.
    duration_s : float
        Time in seconds during which disruptions begin.
    """

    async def act(_stretch: Stretch) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        running: dict[Place, asyncio.Task[None]] = {}
        changes: list[asyncio.Task[None]] = []
        while loop.time() < end_s:
            running = {
                place: task
                for place, task in running.items()
                if not task.done()
            }
            whole = [each for each in fleet.places if each not in running]
            if len(running) < _DOWN_SHARE * len(fleet.places):
                place = source.choice(whole)
                disrupt = source.choice(tuple(_DISRUPTIONS.values()))
                running[place] = asyncio.ensure_future(
                    disrupt(fleet, place, source)
                )
            if source.random() < _ZONE_CHANGE_SHARE and not changes:
                change = _move_zone(operator, source.choice(fleet.places).zone)
                changes.append(asyncio.ensure_future(change))
            await asyncio.sleep(source.uniform(0, _LONGEST_GAP_S))
        await asyncio.gather(*running.values(), *changes)

    async def settle(_stretch: Stretch) -> None:
        await asyncio.sleep(_SETTLE_S)

    return Event('disorder', act), Event('after it', settle)


async def _stop(fleet: SiteFleet, place: Place, source: random.Random) -> None:
    send_signal(fleet.node(place), signal.SIGTERM)
    await _start_again(fleet, place, source)


async def _stop_and_kill(
    fleet: SiteFleet, place: Place, source: random.Random
) -> None:
    send_signal(fleet.node(place), signal.SIGTERM)
    await asyncio.sleep(source.uniform(0, 1))
    await _kill(fleet, place, source)


async def _kill(fleet: SiteFleet, place: Place, source: random.Random) -> None:
    send_signal(fleet.node(place), signal.SIGKILL)
    await _start_again(fleet, place, source)


async def _pause(fleet: SiteFleet, place: Place, source: random.Random) -> None:
    send_signal(fleet.node(place), signal.SIGSTOP)
    await asyncio.sleep(source.uniform(0.1, _LONGEST_PAUSE_S))
    send_signal(fleet.node(place), signal.SIGCONT)


async def _pause_and_stop(
    fleet: SiteFleet, place: Place, source: random.Random
) -> None:
    await _pause(fleet, place, source)
    await _stop(fleet, place, source)


async def _start_again(
    fleet: SiteFleet, place: Place, source: random.Random
) -> None:
    async with asyncio.timeout(_STOP_TIMEOUT_S):
        await fleet.node(place).process.wait()
    await asyncio.sleep(source.uniform(0, 1))
    await fleet.start_node(place)


async def _move_zone(operator: Operator, zone: str) -> None:
    await operator.take_zone_out(zone, 'the soak takes a zone out')
    await operator.take_zone_in(zone, 'the soak goes on')


_DISRUPTIONS: Mapping[str, _Disruption] = MappingProxyType(
    {
        'stop': _stop,
        'stop-and-kill': _stop_and_kill,
        'kill': _kill,
        'pause': _pause,
        'pause-and-stop': _pause_and_stop,
    }
)
