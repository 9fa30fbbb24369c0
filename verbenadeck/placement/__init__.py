"""Placement: which member owns which shards."""

from verbenadeck.placement._eligibility import is_proven
from verbenadeck.placement._load_reports import (
    MESSAGES,
    LoadBoard,
    LoadReporter,
    MeasuredLoad,
    ShardLoads,
)
from verbenadeck.placement._loads import PlanInput
from verbenadeck.placement._moves import assign_records
from verbenadeck.placement._plan import Plan, make_plan
from verbenadeck.placement._planner import Planner

__all__ = (
    'MESSAGES',
    'LoadBoard',
    'LoadReporter',
    'MeasuredLoad',
    'Plan',
    'PlanInput',
    'Planner',
    'ShardLoads',
    'assign_records',
    'is_proven',
    'make_plan',
)
