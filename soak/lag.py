"""Measures how late the event loop of the soak is, which limits how exact its times are."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field

INTERVAL_S = 0.02
# The fault that delays the data of a node's links delays it by this time.
STALL_S = 0.15
# Longer than any request is observed.
KEPT_S = 15.0


@define
class LagMeter:
    """Samples the time by which a timer of the event loop is late."""

    now_s: Callable[[], float]
    on_stall: Callable[[float, float], None]
    _samples: deque[tuple[float, float]] = field(factory=deque)

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            due_s = self.now_s() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.add(self.now_s(), self.now_s() - due_s)

    def add(self, time_s: float, lag_s: float) -> None:
        """Record a sample; ``on_stall`` gets the start and the end of a long lag."""
        if lag_s >= STALL_S:
            self.on_stall(time_s - lag_s, time_s)
        self._samples.append((time_s, lag_s))
        while self._samples[0][0] < time_s - KEPT_S:
            self._samples.popleft()

    def largest_since(self, time_s: float) -> float:
        """Return the largest lag from ``time_s`` to now, or 0 without samples."""
        if not self._samples:
            return 0.0
        # The timer of the next sample may be late already.
        largest_s = max(0.0, self.now_s() - self._samples[-1][0] - INTERVAL_S)
        for sampled_s, lag_s in reversed(self._samples):
            if sampled_s < time_s:
                break
            largest_s = max(largest_s, lag_s)
        return largest_s
