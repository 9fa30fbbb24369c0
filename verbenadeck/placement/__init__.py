"""Placement: which member owns which shards."""

from verbenadeck.placement._loads import PlanInput
from verbenadeck.placement._moves import assign_records
from verbenadeck.placement._plan import Plan, make_plan
from verbenadeck.placement._planner import Planner

__all__ = ('Plan', 'PlanInput', 'Planner', 'assign_records', 'make_plan')
