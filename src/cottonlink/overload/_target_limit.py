"""The limit that a target in need names in its responses: requests per second from all nodes.

It holds for as long as responses name it. A response without one ends it, and so does a time
without any response: a limit that lets no request through would otherwise never end.
"""

from __future__ import annotations

import math

from attrs import frozen

# A limit that no response has named for this time has ended.
LAPSE_MS = 10_000.0
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
        self._reported_per_s: float | None = None
        self._named_since_ms = 0.0
        self._named_at_ms = 0.0
        self._held_back = 0

    def observe(self, limit_per_s: float | None, now_ms: float) -> TargetLimitChange | None:
        """Apply the limit that a response names, or None; return the change to report, if any."""
        self._limit_per_s = limit_per_s
        if limit_per_s is not None:
            self._named_at_ms = now_ms
        return self._report(now_ms)

    def reset(self, now_ms: float) -> TargetLimitChange | None:
        """Forget the limit, as for a new start of the target; return the change to report."""
        return self.observe(None, now_ms)

    def lapse(self, now_ms: float) -> TargetLimitChange | None:
        """End a limit that wasn't named for ``LAPSE_MS``; return the change to report, if any."""
        if self._limit_per_s is None or now_ms - self._named_at_ms < LAPSE_MS:
            return None
        return self.observe(None, now_ms)

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
