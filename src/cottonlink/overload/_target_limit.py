"""The limit that a target in need names in its responses: requests per second from all nodes.

All calls to a target pass the node next to it, so that node keeps the limit for the whole fleet, as
a token bucket. It holds for as long as responses name it. A response without one ends it, and so
does a time without any response: a limit that lets no request through would otherwise never end.
After its end the rate grows by degrees, since the target may be in need again at once.
"""

from __future__ import annotations

import math

from attrs import frozen

# A limit that no response has named for this time has ended.
LIMIT_LAPSE_MS = 10_000.0
# Burst size of the token bucket in seconds at the limit, so that arrivals needn't be evenly spaced.
BURST_S = 0.25
# Lowest rate: some calls must reach the target to show that its need is over.
MIN_RATE_PER_S = 0.5
# After the end of a limit the rate doubles in each RECOVERY_DOUBLING_MS until RECOVERY_MS are over.
RECOVERY_DOUBLING_MS = 400.0
RECOVERY_MS = 2_500.0
# Half-life of past arrivals in their rate.
ARRIVALS_HALF_LIFE_MS = 500.0
# Limits that differ by less than this share of the former one aren't reported as a change.
REPORTED_CHANGE_SHARE = 0.1


@frozen
class TargetLimitChange:
    """A limit that was named, changed or ended; a limit of None is none.

    ``named_for_ms`` is the time since responses began to name a limit, and ``held_back`` the number
    of calls that had to wait or were refused because of it in that time.
    """

    limit_per_s: float | None
    previous_per_s: float | None
    named_for_ms: float
    held_back: int


class TargetLimit:
    """The limit of one target at the node next to it."""

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        # The latest limit, from which the rate grows after its end.
        self._last_limit_per_s = 0.0
        self._ended_at_ms = float("-inf")
        self._tokens = 0.0
        self._refilled_at_ms = 0.0
        self._arrivals_per_s = 0.0
        self._arrived_at_ms = 0.0
        self._reported_per_s: float | None = None
        self._observed_at_ms = float("-inf")
        self._named_since_ms = 0.0
        self._named_at_ms = 0.0
        self._held_back = 0

    def observe(self, limit_per_s: float | None, now_ms: float) -> TargetLimitChange | None:
        """Apply the limit that a response names, or None; return the change to report, if any."""
        self._refill(now_ms)
        self._observed_at_ms = now_ms
        if limit_per_s is not None:
            self._named_at_ms = now_ms
            self._last_limit_per_s = limit_per_s
        elif self._limit_per_s is not None:
            self._ended_at_ms = now_ms
        self._limit_per_s = limit_per_s
        return self._report(now_ms)

    def adopt(self, limit_per_s: float, age_ms: float, now_ms: float) -> TargetLimitChange | None:
        """Apply a limit that another node was told of ``age_ms`` ago, unless a response came since.

        Return the change to report, if any.
        """
        named_at_ms = now_ms - age_ms
        if named_at_ms <= self._observed_at_ms or age_ms >= LIMIT_LAPSE_MS:
            return None
        change = self.observe(limit_per_s, now_ms)
        self._observed_at_ms = self._named_at_ms = named_at_ms
        return change

    def reset(self, now_ms: float) -> TargetLimitChange | None:
        """Forget the limit, as for a new start of the target; return the change to report."""
        change = self.observe(None, now_ms)
        self._ended_at_ms = float("-inf")
        return change

    def lapse(self, now_ms: float) -> TargetLimitChange | None:
        """End a limit that wasn't named for ``LIMIT_LAPSE_MS``; return the change to report."""
        if self._limit_per_s is None or now_ms - self._named_at_ms < LIMIT_LAPSE_MS:
            return None
        return self.observe(None, now_ms)

    def rate_per_s(self, now_ms: float) -> float:
        """Return the calls per second that may start now; infinite without a limit."""
        if self._limit_per_s is not None:
            return max(MIN_RATE_PER_S, self._limit_per_s)
        since_end_ms = now_ms - self._ended_at_ms
        if since_end_ms >= RECOVERY_MS:
            return math.inf
        growth = 2.0 ** (since_end_ms / RECOVERY_DOUBLING_MS)
        return max(MIN_RATE_PER_S, self._last_limit_per_s) * growth

    def take(self, now_ms: float) -> bool:
        """Start a call if the limit allows it; return whether it does."""
        if not self._refill(now_ms):
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_ms(self, calls: int, now_ms: float) -> float:
        """Return the time after which the limit lets this number of calls start."""
        if not self._refill(now_ms):
            return 0.0
        return max(0.0, calls - self._tokens) * 1000.0 / self.rate_per_s(now_ms)

    def record_arrival(self, now_ms: float) -> None:
        """Record a call for the target, whether it starts or not."""
        gained_per_s = math.log(2) / ARRIVALS_HALF_LIFE_MS * 1000.0
        self._arrivals_per_s = self._decayed_arrivals_per_s(now_ms) + gained_per_s
        self._arrived_at_ms = now_ms

    def pressure(self, now_ms: float) -> float:
        """Return the rate of arrivals in multiples of the limit, 0 without one."""
        return self._decayed_arrivals_per_s(now_ms) / self.rate_per_s(now_ms)

    def _decayed_arrivals_per_s(self, now_ms: float) -> float:
        age_ms = now_ms - self._arrived_at_ms
        return self._arrivals_per_s * 0.5 ** (age_ms / ARRIVALS_HALF_LIFE_MS)

    def count_held_back(self) -> None:
        """Count a call that has to wait or is refused because of the limit."""
        self._held_back += 1

    def _refill(self, now_ms: float) -> bool:
        """Update the tokens; return whether there is a limit."""
        rate_per_s = self.rate_per_s(now_ms)
        elapsed_s = (now_ms - self._refilled_at_ms) / 1000.0
        self._refilled_at_ms = now_ms
        if rate_per_s == math.inf:
            # A limit that is named next begins without a burst.
            self._tokens = 0.0
            return False
        burst = max(1.0, rate_per_s * BURST_S)
        self._tokens = min(burst, self._tokens + rate_per_s * elapsed_s)
        return True

    def _report(self, now_ms: float) -> TargetLimitChange | None:
        limit_per_s, previous_per_s = self._limit_per_s, self._reported_per_s
        if not _is_change(limit_per_s, previous_per_s):
            return None
        if previous_per_s is None:
            self._named_since_ms = now_ms
            self._held_back = 0
        self._reported_per_s = limit_per_s
        return TargetLimitChange(
            limit_per_s, previous_per_s, now_ms - self._named_since_ms, self._held_back
        )


def _is_change(limit_per_s: float | None, previous_per_s: float | None) -> bool:
    if limit_per_s is None or previous_per_s is None:
        return limit_per_s is not previous_per_s
    return not math.isclose(limit_per_s, previous_per_s, rel_tol=REPORTED_CHANGE_SHARE)


def make_target_limit() -> TargetLimit:
    """Return the limit of a target that has named none."""
    return TargetLimit()
