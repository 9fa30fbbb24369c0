"""Routes published by operators, and their use on a node."""

from verbenadeck.routes._config_sync import ConfigSync
from verbenadeck.routes._route_store import RouteStore
from verbenadeck.routes._table import (
    CallerLimits,
    OperatorState,
    Route,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from verbenadeck.routes._traffic_split import make_service_selector

__all__ = (
    'CallerLimits',
    'ConfigSync',
    'OperatorState',
    'Route',
    'RouteStore',
    'WeightedService',
    'RouteTable',
    'ServiceConfig',
    'make_service_selector',
)
