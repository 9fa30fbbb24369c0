"""Input of a plan with the measured load of the members."""

from collections.abc import Mapping

import msgspec

from verbenadeck.model import Incarnation
from verbenadeck.placement._load_reports import MeasuredLoad
from verbenadeck.placement._loads import PlanInput

_LOAD_HYSTERESIS = 0.2
_MAX_LOAD_MOVE_RATIO = 0.125
_WEIGHT_PER_CAPACITY = 10


def apply_measured_load(
    plan_input: PlanInput,
    measured_load: MeasuredLoad | None,
    *,
    may_balance: bool,
) -> PlanInput:
    """Return the input with costs, weights and budget by measured load.

    Parameters
    ----------
    plan_input : PlanInput
        Input with slots as weights and equal costs.
    measured_load : MeasuredLoad or None
        Measured load. None when no owner has reported: then only shards of
        lost owners move, since balancing by slots would undo the balance by
        load.
    may_balance : bool
        Whether enough time has passed since the last balancing moves.
    """
    if measured_load is None:
        return msgspec.structs.replace(plan_input, budget=0)
    may_move = may_balance and measured_load.is_busy
    max_moves = int(len(plan_input.owners) * _MAX_LOAD_MOVE_RATIO)
    return msgspec.structs.replace(
        plan_input,
        weights=_capacities(plan_input.weights, measured_load),
        costs=measured_load.costs,
        hysteresis=_LOAD_HYSTERESIS,
        is_measured=True,
        unmeasured=frozenset(
            plan_input.weights.keys() - measured_load.capacities.keys()
        ),
        budget=min(plan_input.budget, max_moves) if may_move else 0,
    )


def _capacities(
    weights: Mapping[Incarnation, int], measured_load: MeasuredLoad
) -> dict[Incarnation, int]:
    """Return weights in proportion to measured capacity.

    A member without a report gets the mean measured capacity per slot.
    """
    known = measured_load.capacities
    reporting = [each for each in weights if each in known]
    slots = sum(weights[each] for each in reporting)
    load_per_slot = sum(known[each] for each in reporting) / max(1, slots)
    return {
        each: max(
            1,
            int(_WEIGHT_PER_CAPACITY * known.get(each, weight * load_per_slot)),
        )
        for each, weight in weights.items()
    }
