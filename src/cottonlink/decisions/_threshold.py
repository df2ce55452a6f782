"""Admission threshold and Retry-After advice."""

from __future__ import annotations

import math
import random

from attrs import frozen

# Time constants of the moving averages. One second covers some hundred calls of a target with
# 40 slots and is well below the recovery times that matter (several seconds).
DRAIN_WINDOW_MS = 1_000
REFUSED_WINDOW_MS = 2_000

MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 30_000

# Advice before the first call has completed, when there is no rate yet.
UNMEASURED_RETRY_AFTER_MS = 1_000

# Callers refused at the same moment return within a range of 1 : 3 instead of all at once.
RETRY_JITTER = 0.5


@frozen(order=True)
class Threshold:
    """Calls ordered below ``(importance, position)`` would be refused now."""

    importance: int
    position: int

    def admits(self, importance: int, position: int) -> bool:
        """Return whether a call is at or above the threshold."""
        return (importance, position) >= (self.importance, self.position)


ADMIT_ALL_THRESHOLD = Threshold(0, 0)


class DecayingCount:
    """Number of recent events, each weighted by ``exp(-age / window_ms)``."""

    def __init__(self, window_ms: int, now_ms: int = 0) -> None:
        self._window_ms = window_ms
        self._count = 0.0
        self._updated_ms = now_ms

    def add(self, now_ms: int, count: float = 1.0) -> None:
        """Count events at ``now_ms``."""
        self._count = self.value(now_ms) + count
        self._updated_ms = max(now_ms, self._updated_ms)

    def value(self, now_ms: int) -> float:
        """Return the weighted number of events."""
        age_ms = max(0, now_ms - self._updated_ms)
        return self._count * math.exp(-age_ms / self._window_ms)


class RetryAfterEstimator:
    """Computes Retry-After values from the measured drain rate and the backlog."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._drained = DecayingCount(DRAIN_WINDOW_MS)
        self._refused = DecayingCount(REFUSED_WINDOW_MS)
        self._has_drained = False

    def record_completed(self, now_ms: int) -> None:
        """Record that a call was completed."""
        self._has_drained = True
        self._drained.add(now_ms)

    def record_refused(self, now_ms: int) -> None:
        """Record that a call was refused and may come back."""
        self._refused.add(now_ms)

    def completion_rate_per_s(self, now_ms: int) -> float:
        """Return completed calls a second."""
        return self._drained.value(now_ms) * 1_000 / DRAIN_WINDOW_MS

    def retry_after_ms(self, queued: int, now_ms: int) -> int:
        """Return the time to work off queued and recently refused calls, jittered."""
        base_ms = self._base_ms(queued, now_ms)
        return round(base_ms * self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER))

    def _base_ms(self, queued: int, now_ms: int) -> float:
        if not self._has_drained:
            return UNMEASURED_RETRY_AFTER_MS
        backlog = 1 + queued + self._refused.value(now_ms)
        rate_per_ms = max(self.completion_rate_per_s(now_ms) / 1_000, 1e-6)
        return min(max(backlog / rate_per_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)


class ThresholdTracker:
    """Derives the threshold from the queue, with hysteresis.

    The threshold is in force from the first refusal for capacity until the queue is half empty.
    Without hysteresis it would open after each finished call and let a burst through.
    """

    def __init__(self) -> None:
        self._saturated = False

    def refused_for_capacity(self) -> None:
        """Record a refusal for capacity."""
        self._saturated = True

    def queue_changed(self, queued: int, capacity: int) -> None:
        """Lift the threshold once the queue is at most half full."""
        if queued <= capacity // 2:
            self._saturated = False

    def current(self, rank: Threshold) -> Threshold:
        """Return the threshold; ``rank`` is the lowest one that a full queue would admit."""
        return rank if self._saturated else ADMIT_ALL_THRESHOLD
