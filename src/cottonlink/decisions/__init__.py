"""Pure decision modules, usable without a network.

Each takes typed events with a monotonic ``now_ms`` and returns typed decisions.
"""

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
from cottonlink.decisions._permits import incarnation_of_permit, owner_of_permit
from cottonlink.decisions._quarantine import (
    Quarantine,
    Verdict,
    make_quarantine,
    request_fingerprint,
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

__all__ = [
    "Attach",
    "AttemptFailure",
    "Binding",
    "BindingsFull",
    "ChildBindings",
    "Denied",
    "Draw",
    "DrawResult",
    "ExecutionRegistry",
    "Issued",
    "Known",
    "Quarantine",
    "RegistryFull",
    "Replay",
    "RetryAction",
    "RetryBudgets",
    "RetryRatio",
    "Run",
    "StoredAnswer",
    "Verdict",
    "decide_retry",
    "home_node",
    "incarnation_of_permit",
    "make_child_bindings",
    "make_execution_registry",
    "make_quarantine",
    "make_retry_budgets",
    "make_retry_ratio",
    "owner_of_permit",
    "request_fingerprint",
]
