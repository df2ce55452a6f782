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
from cottonlink.decisions._limits import (
    LimitAlgorithm,
)
from cottonlink.decisions._once import (
    Attach,
    Binding,
    BindingsFull,
    ChildBindings,
    Denied,
    ExecutionRegistry,
    Issued,
    Known,
    RegistryFull,
    Replay,
    Run,
    StoredAnswer,
    make_child_bindings,
    make_execution_registry,
)
from cottonlink.decisions._outlier import (
    Ejected,
    Readmitted,
)
from cottonlink.decisions._permits import (
    incarnation_of_permit,
    owner_of_permit,
)
from cottonlink.decisions._quarantine import (
    Quarantine,
    Verdict,
    make_quarantine,
    request_fingerprint,
)
from cottonlink.decisions._queue import (
    Arrival,
    QueueOrder,
)
from cottonlink.decisions._retries import (
    AttemptFailure,
    Draw,
    DrawResult,
    RetryAction,
    RetryBudgets,
    RetryRatio,
    decide_retry,
    home_node,
    make_retry_budgets,
    make_retry_ratio,
)
from cottonlink.decisions._routing import (
    Choice,
    NoUpstream,
    Router,
    RouteRequest,
    make_router,
)
from cottonlink.decisions._threshold import (
    Threshold,
)
from cottonlink.decisions._upstreams import (
    CallOutcome,
    RouteResult,
    UpstreamHint,
    UpstreamView,
)

__all__ = [
    "Admission",
    "Arrival",
    "Attach",
    "AttemptFailure",
    "Binding",
    "BindingsFull",
    "CallOutcome",
    "Cancel",
    "ChildBindings",
    "Choice",
    "Denied",
    "Draw",
    "DrawResult",
    "Ejected",
    "ExecutionRegistry",
    "Issued",
    "Known",
    "Lifecycle",
    "LimitAlgorithm",
    "Load",
    "NoUpstream",
    "NodeState",
    "Outcome",
    "PauseDetected",
    "Quarantine",
    "QueueOrder",
    "Readmitted",
    "Refuse",
    "RegistryFull",
    "Replay",
    "RetryAction",
    "RetryBudgets",
    "RetryRatio",
    "RouteRequest",
    "RouteResult",
    "Router",
    "Run",
    "Start",
    "StoredAnswer",
    "TargetState",
    "Threshold",
    "UpstreamHint",
    "UpstreamView",
    "Verdict",
    "decide_retry",
    "home_node",
    "incarnation_of_permit",
    "make_admission",
    "make_child_bindings",
    "make_execution_registry",
    "make_lifecycle",
    "make_quarantine",
    "make_retry_budgets",
    "make_retry_ratio",
    "make_router",
    "owner_of_permit",
    "request_fingerprint",
]
