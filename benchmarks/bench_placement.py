"""Shards moved by a plan against the least possible, and planner time.

One JSON line: for a leave, a join, a zone out and a zone in at 440 owners
and 32,768 shards, the moves, the least possible and the time of one plan.
"""

import json
import time
from collections.abc import Mapping

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement import PlanInput, make_plan

_SHARDS = 32_768
_OWNERS = 440
_ZONES = 7
_SLOTS = 6
_MAX_ROUNDS = 10_000
_BUDGET = 60

_Weights = Mapping[Incarnation, int]


class _Fleet:
    """Owners by shard, moved by plans until nothing moves any more."""

    def __init__(self, weights: _Weights) -> None:
        self.owners = [-1 for _ in range(_SHARDS)]
        self.settle(weights)

    def settle(self, weights: _Weights) -> dict[str, float]:
        """Plan until balance; return the moves and the longest plan."""
        moved = 0
        longest_s = 0.0
        for _ in range(_MAX_ROUNDS):
            start_s = time.perf_counter()
            plan = make_plan(
                PlanInput(owners=self.owners, weights=weights, budget=_BUDGET)
            )
            longest_s = max(longest_s, time.perf_counter() - start_s)
            moves: dict[Shard, Incarnation] = {**plan.forced, **plan.balance}
            for shard, owner in moves.items():
                self.owners[shard] = owner
            moved += len(moves)
            if not moves:
                break
        return {'moved': moved, 'longest_plan_ms': longest_s * 1e3}

    def count(self, owner: Incarnation) -> int:
        """Return the shards of an owner."""
        return self.owners.count(owner)


def run() -> dict[str, dict[str, float]]:
    """Run all changes one after the other."""
    everyone = {Incarnation(each): _SLOTS for each in range(_OWNERS)}
    fleet = _Fleet(everyone)
    leaver = Incarnation(7)
    fewer = {each: slots for each, slots in everyone.items() if each != leaver}
    found: dict[str, dict[str, float]] = {}
    least = fleet.count(leaver)
    found['leave'] = {**fleet.settle(fewer), 'least': least}
    joiner = Incarnation(_OWNERS)
    joined = {**fewer, joiner: _SLOTS}
    found['join'] = {**fleet.settle(joined), 'least': _SHARDS // _OWNERS}
    out = {each for each in joined if each % _ZONES == 0}
    inside = {each: _SLOTS for each in joined if each not in out}
    least = sum(map(fleet.count, out))
    found['zone_out'] = {**fleet.settle(inside), 'least': least}
    least = _SHARDS * len(out) // _OWNERS
    found['zone_in'] = {**fleet.settle(joined), 'least': least}
    return found


def main() -> None:
    """Print the result."""
    print(json.dumps({'bench': 'placement', **run()}))


if __name__ == '__main__':
    main()
