"""Choice of one door among those that may serve a request."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from verbenadeck.router._stats import DoorStats

_CHOICES = 4
_NEAR_BONUS = 0.9


class Choice(NamedTuple):
    """A chosen door and why."""

    door: DoorStats
    why: str


Choose = Callable[[Sequence[DoorStats], float, random.Random], Choice]
"""From at least one door, the time now and a random source to a choice."""


def choose_by_wait(
    doors: Sequence[DoorStats], now_s: float, source: random.Random
) -> Choice:
    """Return the best of a few random doors by expected wait.

    A door in the same zone wins against one that is hardly better. A door
    that was left alone for long gets one request as a probe.
    """
    best = doors[0]
    best_s = math.inf
    for door in _some(doors, source):
        if _needs_probe(door, now_s):
            return Choice(door, 'probe')
        wait_s = door.expected_wait_s(now_s)
        if door.is_near:
            wait_s *= _NEAR_BONUS
        if wait_s < best_s:
            best = door
            best_s = wait_s
    if best.is_near:
        return Choice(best, 'near and not slower')
    return Choice(best, 'least expected wait')


def _some(
    doors: Sequence[DoorStats], source: random.Random
) -> Sequence[DoorStats]:
    count = len(doors)
    if count <= _CHOICES:
        return doors
    start = int(source.random() * count)
    step = 1 + int(source.random() * (count - 1) / _CHOICES)
    return [
        doors[(start + number * step) % count] for number in range(_CHOICES)
    ]


def _needs_probe(door: DoorStats, now_s: float) -> bool:
    if now_s - door.sent_at_s < door.probe_pause_s or door.in_flight:
        return False
    if now_s < door.avoid_until_s:
        return False
    return door.load is None or door.load.is_admitting
