"""Runtime of a node: settings, listeners, forwarding and control actors.

The node that receives a call from its caller is the *ingress* of the call, the node next to the
target that runs it is the *owner*. To a node, the other nodes are its *peers*.
"""

from cottonlink.node._process import Node, make_node, run_node
from cottonlink.node._settings import Settings, load_settings

__all__ = ["Node", "Settings", "load_settings", "make_node", "run_node"]
