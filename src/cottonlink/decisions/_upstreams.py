"""State that a router keeps of one upstream, and the types that report on it."""

from __future__ import annotations

import enum

from attrs import define, field, frozen

from cottonlink.decisions._admission import Load
from cottonlink.decisions._lifecycle import NodeState, slow_start_share
from cottonlink.decisions._threshold import ADMIT_ALL_THRESHOLD, Threshold
from cottonlink.policy import Upstream

# Load and threshold reported with answers are used for this time. After it, the router relies on
# its own count of calls in flight, and an old threshold no longer stops the calls that could show
# that the overload has ended.
LOAD_TTL_MS = 1_000
THRESHOLD_TTL_MS = 1_000

# A node that announced that it is leaving gets no calls for this time, after which it has usually
# been replaced under the same name.
LEAVING_PERIOD_MS = 60_000

# A health state reported by the platform may be late or wrong, so it expires without renewal.
HINT_TTL_MS = 30_000
HINT_WEIGHTS = {"failing": 0.2, "starting": 0.1}
FAILURE_WEIGHT = 0.5
MIN_WEIGHT = 0.05


class CallOutcome(enum.StrEnum):
    """How an attempt at an upstream ended, as seen by the ingress."""

    ANSWERED = "answered"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    LOST = "lost"


class UpstreamHint(enum.StrEnum):
    """State of an upstream that its health endpoint or the VM list reports.

    It is only a hint, since both may be late or wrong.
    """

    OK = "ok"
    STARTING = "starting"
    FAILING = "failing"
    DRAINING = "draining"
    LIVE = "live"
    LEAVING = "leaving"


@frozen
class RouteResult:
    """Result of one attempt; ``load``, ``threshold`` and ``state`` are None if not reported."""

    name: str
    outcome: CallOutcome
    latency_ms: float = 0.0
    load: Load | None = None
    threshold: Threshold | None = None
    state: NodeState | None = None


@frozen
class UpstreamView:
    """State of an upstream as shown to operators."""

    name: str
    data_centre: str
    in_flight: int
    load: Load | None
    threshold: Threshold
    weight: float
    ejected: bool
    leaving: bool


@define(eq=False)
class UpstreamState:
    """What a router knows about one upstream."""

    upstream: Upstream
    warm_up_start_ms: int | None = None
    in_flight: int = 0
    load: Load | None = None
    load_reported_ms: int = 0
    threshold: Threshold = ADMIT_ALL_THRESHOLD
    threshold_reported_ms: int = 0
    reported_state: NodeState | None = None
    announced_leaving_ms: int | None = None
    is_listed_as_leaving: bool = False
    hint: UpstreamHint = UpstreamHint.OK
    hint_reported_ms: int = field(default=0)

    def is_leaving(self, now_ms: int) -> bool:
        """Return whether the node or the VM list says that the upstream is leaving."""
        return self.is_listed_as_leaving or self.has_recent_announcement(now_ms)

    def has_recent_announcement(self, now_ms: int) -> bool:
        """Return whether the node announced within ``LEAVING_PERIOD_MS`` that it is leaving."""
        announced_ms = self.announced_leaving_ms
        return announced_ms is not None and now_ms - announced_ms < LEAVING_PERIOD_MS

    def weight(self, failures: int, now_ms: int) -> float:
        """Return the weight (up to 1), lowered by slow start, hints and consecutive failures."""
        weight = FAILURE_WEIGHT**failures
        if self.warm_up_start_ms is not None:
            weight *= slow_start_share(now_ms - self.warm_up_start_ms)
        if now_ms - self.hint_reported_ms < HINT_TTL_MS:
            weight *= HINT_WEIGHTS.get(self.hint, 1.0)
        return max(weight, MIN_WEIGHT)

    def occupancy(self, now_ms: int) -> float:
        """Return the calls in flight and queued at the upstream relative to its limit.

        The result is at least the number of calls in flight from this node relative to the
        upstream's slots.
        """
        slots = max(1, self.upstream.slots)
        own = self.in_flight / slots
        if self.load is None or now_ms - self.load_reported_ms >= LOAD_TTL_MS:
            return own
        reported = (self.load.in_flight + self.load.queued) / max(1, self.load.limit)
        return max(own, reported)

    def current_threshold(self, now_ms: int) -> Threshold:
        """Return the threshold last reported, or one that admits all calls if it is too old."""
        if now_ms - self.threshold_reported_ms >= THRESHOLD_TTL_MS:
            return ADMIT_ALL_THRESHOLD
        return self.threshold

    def update_from_report(self, result: RouteResult, now_ms: int) -> None:
        """Record the load, threshold and state that came with an answer."""
        if result.load is not None:
            self.load = result.load
            self.load_reported_ms = now_ms
        if result.threshold is not None:
            self.threshold = result.threshold
            self.threshold_reported_ms = now_ms
        if result.state is NodeState.WARMING and self.reported_state is not NodeState.WARMING:
            self.warm_up_start_ms = now_ms
        if result.state is not None:
            self.reported_state = result.state

    def update_from_hint(self, hint: UpstreamHint, now_ms: int) -> None:
        """Record the state that the platform reports."""
        if hint is UpstreamHint.LEAVING:
            self.is_listed_as_leaving = True
        elif hint is UpstreamHint.LIVE:
            # A new process of the node may be live long before the old one's announcement expires.
            self.is_listed_as_leaving = False
            self.announced_leaving_ms = None
        elif hint is UpstreamHint.DRAINING:
            self.announced_leaving_ms = now_ms
        else:
            self.hint = hint
            self.hint_reported_ms = now_ms
