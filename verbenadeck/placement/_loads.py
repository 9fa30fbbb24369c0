"""Input of a plan and the load of members while it is made."""

from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from verbenadeck.model import Incarnation, Shard

Moves = dict[Shard, Incarnation]
UNIT_COST = 1.0
"""Cost of an ordinary shard."""


class PlanInput(msgspec.Struct, frozen=True, kw_only=True):
    """What a plan for one service starts from.

    Parameters
    ----------
    owners : sequence of int
        Named owner by shard.
    weights : mapping of Incarnation to int
        Capacity, in slots, of the members that may own shards.
    homes : mapping of Incarnation to Incarnation
        Members that take back what an earlier life of theirs owned.
    costs : mapping of Shard to float
        Cost of shards that differ from 1, the cost of an ordinary shard.
    moving : collection of int
        Shards whose last move is unfinished; balance leaves them alone.
    hysteresis : float
        Share of the mean by which a load must differ before shards move.
    budget : int
        Most moves for the sake of balance.
    is_measured : bool
        Whether costs and weights are measured load; runs of neighbouring
        shards move then.
    """

    owners: Sequence[int]
    weights: Mapping[Incarnation, int]
    homes: Mapping[Incarnation, Incarnation] = {}
    costs: Mapping[Shard, float] = {}
    moving: frozenset[int] = frozenset()
    hysteresis: float = 0.1
    budget: int = 0
    is_measured: bool = False


class Loads:
    """Load of each member while a plan is made."""

    def __init__(self, given: PlanInput) -> None:
        self.weights = given.weights
        self.costs = given.costs
        counts = Counter(given.owners)
        self.load = {
            owner: float(counts.get(owner, 0)) for owner in given.weights
        }
        for shard, cost in given.costs.items():
            owner = Incarnation(given.owners[shard])
            known = self.load.get(owner)
            if known is not None:
                self.load[owner] = known + cost - UNIT_COST
        hot = sum(cost - UNIT_COST for cost in given.costs.values())
        total = len(given.owners) + hot
        self.mean = total / sum(given.weights.values())

    def per_slot(self, owner: Incarnation) -> float:
        """Return the load of a member for each of its slots."""
        return self.load[owner] / self.weights[owner]

    def cost(self, shard: Shard) -> float:
        """Return the cost of a shard."""
        return self.costs.get(shard, UNIT_COST)

    def surplus(self, owner: Incarnation) -> float:
        """Return the load of a member above its share of the mean."""
        return self.load[owner] - self.mean * self.weights[owner]

    def move(
        self, shard: Shard, giver: Incarnation, taker: Incarnation
    ) -> None:
        """Count a move."""
        cost = self.cost(shard)
        self.load[giver] -= cost
        self.load[taker] += cost

    def is_better(
        self, shard: Shard, giver: Incarnation, taker: Incarnation
    ) -> bool:
        """Return whether a move lowers the higher of two loads."""
        after = (self.load[taker] + self.cost(shard)) / self.weights[taker]
        return after < self.per_slot(giver)

    def is_fit(
        self, shard: Shard, giver: Incarnation, taker: Incarnation
    ) -> bool:
        """Return whether a move takes neither side past the mean."""
        cost = self.cost(shard)
        return self.surplus(giver) >= cost and -self.surplus(taker) >= cost
