"""Assembly of the services of a node and its daemon."""

from verbenadeck.node._assembly import build_node
from verbenadeck.node._closing import Closing
from verbenadeck.node._core import (
    MESSAGES,
    CoreOptions,
    NodeEdges,
    NodePlace,
    register_core,
)
from verbenadeck.node._daemon import (
    NodeReady,
    StartError,
    run_node,
)
from verbenadeck.node._departure import Departure
from verbenadeck.node._invariants import make_loop_handler
from verbenadeck.node._joining import Joining
from verbenadeck.node._planned_stop import PlannedStop
from verbenadeck.node._stop import begin_drain, stop_node

__all__ = (
    'MESSAGES',
    'Closing',
    'CoreOptions',
    'Departure',
    'Joining',
    'NodeEdges',
    'NodePlace',
    'NodeReady',
    'PlannedStop',
    'StartError',
    'build_node',
    'begin_drain',
    'make_loop_handler',
    'register_core',
    'run_node',
    'stop_node',
)
