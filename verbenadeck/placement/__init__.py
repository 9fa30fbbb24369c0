"""Placement: assignment of shards to members."""

from verbenadeck.placement._eligibility import is_confirmed_reachable
from verbenadeck.placement._load_reports import (
    MESSAGE_TYPES,
    LoadReporter,
    LoadTable,
    MeasuredLoad,
    ShardLoads,
)
from verbenadeck.placement._loads import PlanInput
from verbenadeck.placement._moves import make_assign_records
from verbenadeck.placement._plan import Plan, make_plan
from verbenadeck.placement._planner import Planner

__all__ = (
    'MESSAGE_TYPES',
    'LoadTable',
    'LoadReporter',
    'MeasuredLoad',
    'Plan',
    'PlanInput',
    'Planner',
    'ShardLoads',
    'make_assign_records',
    'is_confirmed_reachable',
    'make_plan',
)
