"""Control actors of a node: policy watcher, VM list watcher, gossip and target probe.

A node calls ``make_control_plane``, has its control listener pass requests to
``ControlPlane.handlers``, and then calls ``ControlPlane.start``. The actors act on the node through
``NodeControl``.
"""

from cottonlink.node._actors._control_plane import ControlPlane, make_control_plane
from cottonlink.node._actors._control_state import ControlState
from cottonlink.node._actors._handlers import CompressedJson, ControlHandlers
from cottonlink.node._actors._interfaces import NodeControl
from cottonlink.node._actors._ticker import Ticker

__all__ = [
    "CompressedJson",
    "ControlHandlers",
    "ControlPlane",
    "ControlState",
    "NodeControl",
    "Ticker",
    "make_control_plane",
]
