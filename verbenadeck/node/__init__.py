"""Assembly of the core services of a node, and its planned stop."""

from verbenadeck.node._adapter_closer import AdapterCloser
from verbenadeck.node._core import (
    MESSAGE_TYPES,
    CoreOptions,
    NodeDependencies,
    NodeLocation,
    register_core,
)
from verbenadeck.node._departure import DepartureHandler
from verbenadeck.node._departure_log import DepartureLog
from verbenadeck.node._fleet_joiner import FleetJoiner
from verbenadeck.node._invariants import make_loop_exception_handler
from verbenadeck.node._planned_stop import PlannedStop
from verbenadeck.node._start_error import StartError
from verbenadeck.node._stop import begin_drain, stop_node

__all__ = (
    'MESSAGE_TYPES',
    'AdapterCloser',
    'CoreOptions',
    'DepartureHandler',
    'DepartureLog',
    'FleetJoiner',
    'NodeDependencies',
    'NodeLocation',
    'PlannedStop',
    'StartError',
    'begin_drain',
    'make_loop_exception_handler',
    'register_core',
    'stop_node',
)
