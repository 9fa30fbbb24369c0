"""Assembly of the services of a node and its daemon."""

from verbenadeck.node._assembly import build_node
from verbenadeck.node._core import (
    MESSAGES,
    NodeEdges,
    NodePlace,
    register_core,
)
from verbenadeck.node._daemon import (
    NodeReady,
    StartError,
    run_node,
    stop_node,
)
from verbenadeck.node._joining import Joining
from verbenadeck.node._planned_stop import PlannedStop

__all__ = (
    'MESSAGES',
    'Joining',
    'NodeEdges',
    'NodePlace',
    'NodeReady',
    'PlannedStop',
    'StartError',
    'build_node',
    'register_core',
    'run_node',
    'stop_node',
)
