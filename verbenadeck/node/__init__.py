"""Assembly of the services of a node, and the daemon that runs them."""

from verbenadeck.node._adapter_closer import AdapterCloser
from verbenadeck.node._assembly import build_node
from verbenadeck.node._core import (
    MESSAGE_TYPES,
    CoreOptions,
    NodeDependencies,
    NodeLocation,
    register_core,
)
from verbenadeck.node._daemon import (
    NodeReady,
    StartError,
    run_node,
)
from verbenadeck.node._departure import DepartureHandler
from verbenadeck.node._fleet_joiner import FleetJoiner
from verbenadeck.node._invariants import make_loop_exception_handler
from verbenadeck.node._planned_stop import PlannedStop
from verbenadeck.node._stop import begin_drain, stop_node

__all__ = (
    'MESSAGE_TYPES',
    'AdapterCloser',
    'CoreOptions',
    'DepartureHandler',
    'FleetJoiner',
    'NodeDependencies',
    'NodeLocation',
    'NodeReady',
    'PlannedStop',
    'StartError',
    'build_node',
    'begin_drain',
    'make_loop_exception_handler',
    'register_core',
    'run_node',
    'stop_node',
)
