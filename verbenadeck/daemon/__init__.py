"""Process of a node with the interfaces of the product itself.

`verbenadeck.platform` runs the same services with the interfaces of the
users' platform, and needs none of the modules here.
"""

from verbenadeck.daemon._assembly import build_node
from verbenadeck.daemon._daemon import NodeReady, run_node

__all__ = ('NodeReady', 'build_node', 'run_node')
