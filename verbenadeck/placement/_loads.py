"""Input of a plan, and the loads of members while it is computed."""

from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from verbenadeck.model import Incarnation, Shard

Moves = dict[Shard, Incarnation]
ORDINARY_SHARD_COST = 1.0
"""Cost of a shard that is not hot; other costs are relative to it."""


class PlanInput(msgspec.Struct, frozen=True, kw_only=True):
    """Input of the plan for one service.

    Parameters
    ----------
    owners : sequence of int
        Assigned owner of each shard.
    weights : mapping of Incarnation to int
        Weights of the members that may own shards: slots, or measured
        capacity.
    returning_owners : mapping of Incarnation to Incarnation
        Present incarnation, by the lost incarnation whose shards it takes
        back.
    costs : mapping of Shard to float
        Cost of the shards whose cost differs from 1, that of an ordinary
        shard.
    moving : collection of int
        Shards that their earlier owner has not released yet; balancing does
        not move them.
    hysteresis : float
        Ratio of the mean load by which a member's load must differ before
        shards move.
    budget : int
        Maximum number of balancing moves.
    is_measured : bool
        Whether costs and weights come from measured load; balancing then
        moves ranges of neighbouring shards.
    initial_ranges : int
        Number of ranges that each member gets when no shard has an owner.
    unmeasured : frozenset of Incarnation
        Members whose load is unknown although that of others is measured;
        balancing moves shards neither from nor to them.
    """

    owners: Sequence[int]
    weights: Mapping[Incarnation, int]
    returning_owners: Mapping[Incarnation, Incarnation] = {}
    costs: Mapping[Shard, float] = {}
    moving: frozenset[int] = frozenset()
    hysteresis: float = 0.1
    budget: int = 0
    is_measured: bool = False
    initial_ranges: int = 1
    unmeasured: frozenset[Incarnation] = frozenset()


class Loads:
    """Load of each member while a plan is computed.

    Parameters
    ----------
    plan_input : PlanInput
        Owners, weights and costs.

    Attributes
    ----------
    weights : mapping of Incarnation to int
        Weight of each member, in slots.
    costs : mapping of Shard to float
        Cost of the shards that are not ordinary.
    load : dict of Incarnation to float
        Sum of the costs of each member's shards.
    mean : float
        Mean load per slot of the service.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        self.weights = plan_input.weights
        self.costs = plan_input.costs
        counts = Counter(plan_input.owners)
        self.load = {
            owner: float(counts.get(owner, 0)) for owner in plan_input.weights
        }
        for shard, cost in plan_input.costs.items():
            owner = Incarnation(plan_input.owners[shard])
            known = self.load.get(owner)
            if known is not None:
                self.load[owner] = known + cost - ORDINARY_SHARD_COST
        hot = sum(
            cost - ORDINARY_SHARD_COST for cost in plan_input.costs.values()
        )
        total = len(plan_input.owners) + hot
        self.mean = total / sum(plan_input.weights.values())

    def load_per_slot(self, owner: Incarnation) -> float:
        """Return the load of a member per slot."""
        return self.load[owner] / self.weights[owner]

    def cost(self, shard: Shard) -> float:
        """Return the cost of a shard."""
        return self.costs.get(shard, ORDINARY_SHARD_COST)

    def excess(self, owner: Incarnation) -> float:
        """Return how far the load of a member is above its target."""
        return self.load[owner] - self.mean * self.weights[owner]

    def move(
        self, shard: Shard, source: Incarnation, destination: Incarnation
    ) -> None:
        """Update the loads of both members for a move."""
        cost = self.cost(shard)
        self.load[source] -= cost
        self.load[destination] += cost

    def peak_after(
        self, cost: float, source: Incarnation, destination: Incarnation
    ) -> float:
        """Return the higher load per slot of two members after a move."""
        return max(
            (self.load[source] - cost) / self.weights[source],
            (self.load[destination] + cost) / self.weights[destination],
        )

    def lowers_max_load(
        self, shard: Shard, source: Incarnation, destination: Incarnation
    ) -> bool:
        """Return whether a move lowers the higher load per slot of the two."""
        after = (self.load[destination] + self.cost(shard)) / self.weights[
            destination
        ]
        return after < self.load_per_slot(source)

    def fits_between(
        self, shard: Shard, source: Incarnation, destination: Incarnation
    ) -> bool:
        """Return whether a move takes neither member past the mean."""
        cost = self.cost(shard)
        return self.excess(source) >= cost and -self.excess(destination) >= cost
