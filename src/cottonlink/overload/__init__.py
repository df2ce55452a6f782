"""Decisions of the call path under overload, without input or output of their own.

The docstring of each module says which situation it handles. Times are monotonic milliseconds
that are passed as arguments.
"""

from cottonlink.overload._connection_account import (
    BODY_FACTOR,
    CONNECTION_BYTES,
    FIELD_BYTES,
    IDLE,
    LINGERING,
    REQUESTS_AHEAD,
    SERVING,
    UNFINISHED,
    UNREAD,
    ConnectionAccount,
    ConnectionCharge,
    make_connection_account,
)
from cottonlink.overload._crash_registry import (
    CountedCrash,
    CrashNotice,
    CrashRegistry,
    LearnedQuarantine,
    QuarantineReport,
    ReportedLevel,
    make_crash_registry,
    report_of_crash,
)
from cottonlink.overload._leaving_targets import (
    LeavingTargets,
    make_leaving_targets,
)
from cottonlink.overload._load_balancer import LoadBalancer, Patience, make_load_balancer
from cottonlink.overload._memory_account import (
    Hold,
    MemoryAccount,
    make_memory_account,
    memory_limit_bytes,
)
from cottonlink.overload._parent_hints import ParentHints, make_parent_hints
from cottonlink.overload._parent_run import CallCounts, ParentRun, make_call_counts
from cottonlink.overload._placement import Placement, make_placement
from cottonlink.overload._quarantine import (
    Quarantine,
    QuarantineDecision,
    make_quarantine,
    request_fingerprint,
)
from cottonlink.overload._recent_answers import RecentAnswers, make_recent_answers
from cottonlink.overload._retry_budget import RetryBudget, make_retry_budget
from cottonlink.overload._route_classifier import RouteClassifier, make_route_classifier
from cottonlink.overload._route_throttle import LimitChange, RouteThrottle, make_route_throttle
from cottonlink.overload._running_requests import RunningRequests, make_running_requests
from cottonlink.overload._start_pace import SiblingLevels, StartPace, make_start_pace
from cottonlink.overload._store_position import UNKNOWN_ERA, StorePosition
from cottonlink.overload._target_limit import (
    LIMIT_LAPSE_MS,
    TargetLimit,
    TargetLimitChange,
    make_target_limit,
)
from cottonlink.overload._target_queue import (
    NESTED_CALL_TIER,
    NEW_REQUEST_TIER,
    RATE_LIMITED,
    Job,
    Refusal,
    TargetQueue,
    allowed_wait_ms,
    make_target_queue,
    usable_slots,
)
from cottonlink.overload._target_start import TargetStart, target_start
from cottonlink.overload._traffic_split import TrafficSplit, make_traffic_split
from cottonlink.overload._upstream_directory import UpstreamDirectory, make_upstream_directory
from cottonlink.overload._watcher_election import (
    WatcherElection,
    make_watcher_election,
)

__all__ = [
    "BODY_FACTOR",
    "CONNECTION_BYTES",
    "FIELD_BYTES",
    "IDLE",
    "LIMIT_LAPSE_MS",
    "LINGERING",
    "NESTED_CALL_TIER",
    "NEW_REQUEST_TIER",
    "RATE_LIMITED",
    "REQUESTS_AHEAD",
    "SERVING",
    "UNFINISHED",
    "UNKNOWN_ERA",
    "UNREAD",
    "CallCounts",
    "ConnectionAccount",
    "ConnectionCharge",
    "CountedCrash",
    "CrashNotice",
    "CrashRegistry",
    "Hold",
    "Job",
    "LearnedQuarantine",
    "LeavingTargets",
    "LimitChange",
    "LoadBalancer",
    "MemoryAccount",
    "ParentHints",
    "ParentRun",
    "Patience",
    "Placement",
    "Quarantine",
    "QuarantineDecision",
    "QuarantineReport",
    "RecentAnswers",
    "Refusal",
    "ReportedLevel",
    "RetryBudget",
    "RouteClassifier",
    "RouteThrottle",
    "RunningRequests",
    "SiblingLevels",
    "StartPace",
    "StorePosition",
    "TargetLimit",
    "TargetLimitChange",
    "TargetQueue",
    "TargetStart",
    "TrafficSplit",
    "UpstreamDirectory",
    "WatcherElection",
    "allowed_wait_ms",
    "make_call_counts",
    "make_connection_account",
    "make_crash_registry",
    "make_leaving_targets",
    "make_load_balancer",
    "make_memory_account",
    "make_parent_hints",
    "make_placement",
    "make_quarantine",
    "make_recent_answers",
    "make_retry_budget",
    "make_route_classifier",
    "make_route_throttle",
    "make_running_requests",
    "make_start_pace",
    "make_target_limit",
    "make_target_queue",
    "make_traffic_split",
    "make_upstream_directory",
    "make_watcher_election",
    "memory_limit_bytes",
    "report_of_crash",
    "request_fingerprint",
    "target_start",
    "usable_slots",
]
