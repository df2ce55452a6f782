"""Clocks: the system clock, and a manual clock for tests."""

from __future__ import annotations

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for everything that runs in a node."""

    def monotonic_ms(self) -> int:
        """Return monotonic time in milliseconds; it advances while the process is stopped, too."""

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds; used only for display and to order events."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Block the calling thread for ``duration_ms``."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def sleep_ms(self, duration_ms: float) -> None:
        time.sleep(duration_ms / 1000)


class ManualClock:
    """Clock for tests: time advances only when ``advance_ms`` is called."""

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self._now_ms = start_ms
        self._changed = threading.Condition()

    def monotonic_ms(self) -> int:
        return self._now_ms

    def wall_ms(self) -> int:
        return self._now_ms

    def sleep_ms(self, duration_ms: float) -> None:
        with self._changed:
            wake_ms = self._now_ms + duration_ms
            while self._now_ms < wake_ms:
                self._changed.wait()

    def advance_ms(self, duration_ms: int) -> None:
        """Advance time and wake the threads whose sleep has ended."""
        with self._changed:
            self._now_ms += duration_ms
            self._changed.notify_all()
