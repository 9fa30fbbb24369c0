"""Choice of one door among those that may serve a request."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from verbenadeck.router._stats import DoorStats

_PROBE_EVERY_S = 1.0
_PROBE_LATENCIES = 20.0


class Choice(NamedTuple):
    """A chosen door and why."""

    door: DoorStats
    why: str


Choose = Callable[[Sequence[DoorStats], float, random.Random], Choice]
"""From at least one door, the time now and a random source to a choice."""


def choose_by_wait(
    doors: Sequence[DoorStats], now_s: float, source: random.Random
) -> Choice:
    """Return the better of two random doors by expected wait.

    One of the two is near when there is a near one, so work stays in the
    zone while that isn't slower. A door that was left alone for long gets
    one request as a probe.
    """
    if len(doors) == 1:
        return Choice(doors[0], 'only one')
    first = _first(doors, source)
    second = doors[_other(doors, first, source)]
    first_s = first.expected_wait_s(now_s)
    second_s = second.expected_wait_s(now_s)
    best, other = (first, second) if first_s <= second_s else (second, first)
    if _needs_probe(other, now_s):
        return Choice(other, 'probe')
    if best.is_near and not other.is_near:
        return Choice(best, 'near and not slower')
    return Choice(best, 'lower wait of two')


def _first(doors: Sequence[DoorStats], source: random.Random) -> DoorStats:
    near = [door for door in doors if door.is_near]
    among = near or doors
    return among[int(source.random() * len(among))]


def _other(
    doors: Sequence[DoorStats], first: DoorStats, source: random.Random
) -> int:
    index = int(source.random() * len(doors))
    if doors[index] is first:
        return (index + 1) % len(doors)
    return index


def _needs_probe(door: DoorStats, now_s: float) -> bool:
    if door.in_flight or now_s < door.avoid_until_s:
        return False
    if door.load is not None and not door.load.is_admitting:
        return False
    pause_s = max(_PROBE_EVERY_S, _PROBE_LATENCIES * door.latency_s)
    return now_s - door.sent_at_s > pause_s
