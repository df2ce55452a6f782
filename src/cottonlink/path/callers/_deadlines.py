"""Deadlines of many calls with one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any

# Entries of ended calls that are kept for each one in progress, beside a fixed number.
KEPT_ENTRIES_PER_CALL = 2
KEPT_ENTRIES = 256
# uvloop rounds the time of a timer to whole milliseconds, so it may run a moment too early.
TIMER_RESOLUTION_S = 0.001


class Deadlines:
    """Calls ``on_due`` with each call whose deadline has come.

    Most calls end long before it. A timer for each would be created and closed with it, which costs
    more than an entry in a heap that is dropped later.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_due: Callable[[Any], None]) -> None:
        self._loop = loop
        self._on_due = on_due
        self._numbers = itertools.count(1)
        self._heap: list[tuple[float, int]] = []
        # Calls in progress by number: the entry of one that has ended doesn't hold it.
        self._calls: dict[int, Any] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_s = 0.0

    def add(self, at_s: float, call: Any) -> int:
        """Add a call with its deadline in the time of the event loop; return its number."""
        number = next(self._numbers)
        self._calls[number] = call
        heapq.heappush(self._heap, (at_s, number))
        if self._timer is None or at_s < self._timer_at_s:
            self._set_timer()
        return number

    def remove(self, number: int) -> None:
        """Remove a call that has ended, if it is known."""
        self._calls.pop(number, None)
        if len(self._heap) > KEPT_ENTRIES + KEPT_ENTRIES_PER_CALL * len(self._calls):
            self._heap = [entry for entry in self._heap if entry[1] in self._calls]
            heapq.heapify(self._heap)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._heap:
            self._timer_at_s = self._heap[0][0]
            self._timer = self._loop.call_at(self._timer_at_s, self._run)

    def _run(self) -> None:
        self._timer = None
        due_s = self._loop.time() + TIMER_RESOLUTION_S
        while self._heap and (self._heap[0][0] <= due_s or self._heap[0][1] not in self._calls):
            _, number = heapq.heappop(self._heap)
            call = self._calls.pop(number, None)
            if call is not None:
                # An exception of one leaves the others alone.
                self._loop.call_soon(self._on_due, call)
        self._set_timer()
