"""Adaptive concurrency limits and estimated service times."""

from __future__ import annotations

import enum
import math
from typing import Protocol

from attrs import define, field

# Range of the limit relative to the target's slots. The ceiling allows for calls that have finished
# at the target while their answers are on the way back. The floor keeps enough calls in flight to
# detect recovery.
CEILING_FACTOR = 1.25
FLOOR_FACTOR = 0.25

# A window closes only after both this time and this number of samples, so that a single slow call
# does not change the limit.
WINDOW_MS = 100
WINDOW_MIN_SAMPLES = 10

# The limit rises only if at least this share of it was in use; otherwise the samples say nothing
# about a higher limit.
MIN_UTILIZATION_TO_GROW = 0.8

SERVICE_TIME_GAIN = 0.1
# Without new samples an estimate halves in this time. Otherwise an estimate above the timeout of a
# kind of call would make all its calls be refused, and no new sample could correct it.
SERVICE_TIME_HALF_LIFE_MS = 1_000
MAX_KINDS = 256


class LimitAlgorithm(enum.StrEnum):
    """How the concurrency limit is adjusted."""

    FIXED = "fixed"
    AIMD = "aimd"
    GRADIENT = "gradient"


class ConcurrencyLimit(Protocol):
    """A limit on calls in progress between ``floor`` and ``ceiling``."""

    limit: int
    floor: int
    ceiling: int

    def observe(
        self, kind: str, latency_ms: float, in_flight: int, timed_out: bool, now_ms: int
    ) -> None:
        """Record the latency of one call; ``in_flight`` includes the call."""

    def resize(self, slots: int) -> None:
        """Change the number of slots of the target."""


def make_limit(algorithm: LimitAlgorithm, slots: int) -> ConcurrencyLimit:
    """Return a limit for a target with ``slots`` slots."""
    classes = {
        LimitAlgorithm.FIXED: FixedLimit,
        LimitAlgorithm.AIMD: AimdLimit,
        LimitAlgorithm.GRADIENT: GradientLimit,
    }
    return classes[algorithm](slots)


class FixedLimit:
    """A limit that equals the number of slots, whatever the latency."""

    def __init__(self, slots: int) -> None:
        self.resize(slots)

    def observe(
        self, kind: str, latency_ms: float, in_flight: int, timed_out: bool, now_ms: int
    ) -> None:
        """Ignore the sample."""

    def resize(self, slots: int) -> None:
        self.limit = self.floor = self.ceiling = max(1, slots)


@define
class _KindWindow:
    count: int = 0
    total_ms: float = 0.0


@define
class _Window:
    started_ms: int
    count: int = 0
    max_in_flight: int = 0
    timed_out: int = 0
    kinds: dict[str, _KindWindow] = field(factory=dict)

    def is_complete(self, now_ms: int) -> bool:
        return self.count >= WINDOW_MIN_SAMPLES and now_ms - self.started_ms >= WINDOW_MS


class _AdaptiveLimit:
    """Collects samples into windows and compares each kind of call with its own baseline.

    Kinds of calls differ in cost. With one baseline for all of them, a change of the mix (reads are
    shed, slower bookings remain) would look like a slow-down.
    """

    # Fraction of the difference by which a baseline moves in each window, towards a lower and
    # towards a higher mean latency.
    gain_down = 0.2
    gain_up = 0.005

    def __init__(self, slots: int) -> None:
        self._window: _Window | None = None
        self._baseline_ms: dict[str, float] = {}
        self._limit = float(max(1, slots))
        self.resize(slots)

    def resize(self, slots: int) -> None:
        self.ceiling = max(1, math.ceil(slots * CEILING_FACTOR))
        self.floor = max(1, math.floor(slots * FLOOR_FACTOR))
        self._set_limit(self._limit)

    def observe(
        self, kind: str, latency_ms: float, in_flight: int, timed_out: bool, now_ms: int
    ) -> None:
        window = self._window
        if window is None or now_ms < window.started_ms:
            window = self._window = _Window(now_ms)
        self._add_sample(window, kind, latency_ms)
        window.max_in_flight = max(window.max_in_flight, in_flight)
        window.timed_out += timed_out
        if window.is_complete(now_ms):
            self._window = None
            latency_ratio = self._update_baselines(window)
            is_utilized = window.max_in_flight >= MIN_UTILIZATION_TO_GROW * self.limit
            self._set_limit(self._next_limit(latency_ratio, is_utilized, window.timed_out > 0))

    def _add_sample(self, window: _Window, kind: str, latency_ms: float) -> None:
        window.count += 1
        if kind not in self._baseline_ms and len(self._baseline_ms) >= MAX_KINDS:
            return
        sums = window.kinds.setdefault(kind, _KindWindow())
        sums.count += 1
        sums.total_ms += latency_ms

    def _update_baselines(self, window: _Window) -> float:
        """Return the ratio of measured to expected latency and update the baselines."""
        expected_ms = 0.0
        measured_ms = 0.0
        for kind, sums in window.kinds.items():
            mean_ms = sums.total_ms / sums.count
            baseline_ms = self._baseline_ms.get(kind, mean_ms)
            expected_ms += baseline_ms * sums.count
            measured_ms += sums.total_ms
            gain = self.gain_down if mean_ms < baseline_ms else self.gain_up
            gain *= min(1.0, sums.count / WINDOW_MIN_SAMPLES)
            self._baseline_ms[kind] = baseline_ms + gain * (mean_ms - baseline_ms)
        return measured_ms / expected_ms if expected_ms > 0 else 1.0

    def _set_limit(self, limit: float) -> None:
        self._limit = min(max(limit, float(self.floor)), float(self.ceiling))
        self.limit = int(self._limit)

    def _next_limit(self, latency_ratio: float, is_utilized: bool, timed_out: bool) -> float:
        raise NotImplementedError


class AimdLimit(_AdaptiveLimit):
    """Additive increase while latency is near its baseline, else multiplicative decrease."""

    tolerance = 2.0
    decrease = 0.9

    def _next_limit(self, latency_ratio: float, is_utilized: bool, timed_out: bool) -> float:
        if latency_ratio > self.tolerance or timed_out:
            return self._limit * self.decrease
        return self._limit + 1 if is_utilized else self._limit


class GradientLimit(_AdaptiveLimit):
    """Scales the limit by the ratio of long-term to short-term latency."""

    gain_down = 0.05
    gain_up = 0.02
    tolerance = 1.5
    smoothing = 0.2

    def _next_limit(self, latency_ratio: float, is_utilized: bool, timed_out: bool) -> float:
        gradient = min(1.0, max(0.5, self.tolerance / max(latency_ratio, 1e-9)))
        headroom = math.sqrt(self._limit) if is_utilized else 0.0
        desired = self._limit * gradient + headroom
        return self._limit + self.smoothing * (desired - self._limit)


@define
class _ServiceTime:
    mean_ms: float
    updated_ms: int


class ServiceTimes:
    """Moving average of the service time of each kind of call, which decays without samples."""

    def __init__(self) -> None:
        self._times: dict[str, _ServiceTime] = {}

    def observe(self, kind: str, latency_ms: float, now_ms: int) -> None:
        """Record the latency of one call."""
        time = self._times.get(kind)
        if time is not None:
            estimate_ms = self.estimate_ms(kind, now_ms)
            time.mean_ms = estimate_ms + SERVICE_TIME_GAIN * (latency_ms - estimate_ms)
            time.updated_ms = max(now_ms, time.updated_ms)
        elif len(self._times) < MAX_KINDS:
            self._times[kind] = _ServiceTime(latency_ms, now_ms)

    def estimate_ms(self, kind: str, now_ms: int) -> float:
        """Return the expected service time in ms, 0 for a kind without samples."""
        time = self._times.get(kind)
        if time is None:
            return 0.0
        age_ms = max(0, now_ms - time.updated_ms)
        return time.mean_ms * 0.5 ** (age_ms / SERVICE_TIME_HALF_LIFE_MS)
