"""Pure decision modules, usable without a network.

Each takes typed events with a monotonic ``now_ms`` and returns typed decisions.
"""

from cottonlink.decisions._admission import (
    Admission,
    Cancel,
    Load,
    Outcome,
    Refuse,
    Start,
    make_admission,
)
from cottonlink.decisions._lifecycle import (
    Lifecycle,
    NodeState,
    PauseDetected,
    TargetState,
    make_lifecycle,
)
from cottonlink.decisions._limits import LimitAlgorithm
from cottonlink.decisions._outlier import Ejected, Readmitted
from cottonlink.decisions._queue import Arrival, QueueOrder
from cottonlink.decisions._routing import (
    Choice,
    NoUpstream,
    Router,
    RouteRequest,
    make_router,
)
from cottonlink.decisions._threshold import Threshold
from cottonlink.decisions._upstreams import CallOutcome, RouteResult, UpstreamHint, UpstreamView

__all__ = [
    "Admission",
    "Arrival",
    "CallOutcome",
    "Cancel",
    "Choice",
    "Ejected",
    "Lifecycle",
    "LimitAlgorithm",
    "Load",
    "NoUpstream",
    "NodeState",
    "Outcome",
    "PauseDetected",
    "QueueOrder",
    "Readmitted",
    "Refuse",
    "RouteRequest",
    "RouteResult",
    "Router",
    "Start",
    "TargetState",
    "Threshold",
    "UpstreamHint",
    "UpstreamView",
    "make_admission",
    "make_lifecycle",
    "make_router",
]
