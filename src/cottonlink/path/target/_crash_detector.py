"""Finds out whether a target has crashed, and which requests may have crashed it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from attrs import evolve

from cottonlink.path.target._crash_guard import CrashGuard, call_fingerprints
from cottonlink.path.peers._frames import CallFrame
from cottonlink.path._log import EventLog
from cottonlink.path.target._target_pool import TargetPool

# A target that is unreachable within this time after runs ended without a response is taken to have
# crashed.
CRASH_WINDOW_MS = 1_500.0
# A new incarnation of the target that registers within this time after such runs shows the crash of
# the former one, if the target was back before its node could find it unreachable.
RESTART_WINDOW_MS = 5_000.0
UNANSWERED_RUN_LIMIT = 512
# Of a run with a longer body only the fingerprints are kept.
KEPT_BODY_BYTES = 1_024


class CrashListener(Protocol):
    """Learns of the crashes of a target."""

    def on_target_crashed(self, fingerprints: list[str]) -> None:
        """The target has crashed; the requests with ``fingerprints`` may have caused it."""


class CrashDetector:
    """Keeps the runs of one target that ended without a response, until they tell of a crash."""

    def __init__(
        self,
        pool: TargetPool,
        crash_guard: CrashGuard,
        listener: CrashListener,
        log: EventLog,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._pool = pool
        self._crash_guard = crash_guard
        self._listener = listener
        self._log = log
        self._loop = loop
        # With the time of their end; for those with a longer body the fingerprints.
        self._unanswered_runs: deque[tuple[float, CallFrame | tuple[str, ...]]] = deque(
            maxlen=UNANSWERED_RUN_LIMIT
        )
        self._is_checking_target = False
        self._has_loss_since_check = False
        # Fingerprints counted for the latest crash, and the number of connections opened until
        # then: no new connection succeeds before the target is back.
        self._counted_fingerprints: set[str] = set()
        self._opened_before_crash = 0

    def record(self, frame: CallFrame) -> None:
        """Note a run that has ended without a response."""
        now_ms = self._now_ms()
        runs = self._unanswered_runs
        while runs and now_ms - runs[0][0] > RESTART_WINDOW_MS:
            runs.popleft()
        is_long = len(frame.body) > KEPT_BODY_BYTES
        # Fingerprints don't depend on headers.
        run = call_fingerprints(frame) if is_long else evolve(frame, headers=())
        runs.append((now_ms, run))

    def check_target(self) -> None:
        """Find out whether a connection was lost because the target crashed.

        The next call may come only after the target has been started again.
        """
        self._has_loss_since_check = self._is_checking_target
        if self._is_checking_target:
            return
        self._is_checking_target = True
        self._pool.check_target(
            on_reachable=lambda: self._end_check("reachable"), on_failure=self._end_check
        )

    def detect(self) -> None:
        """Take recent runs for those that a crash ended, as the target is unreachable."""
        self._report(CRASH_WINDOW_MS)

    def detect_restart(self) -> None:
        """Take recent runs for those that a crash ended, as the target has started again."""
        self._report(RESTART_WINDOW_MS)

    def _end_check(self, result: str) -> None:
        self._is_checking_target = False
        self._log.event("target_checked", result=result, unanswered_runs=len(self._unanswered_runs))
        if result == "target_unreachable":
            self.detect()
        elif self._has_loss_since_check:
            # The target may have accepted the check's connection just before it crashed.
            self.check_target()

    def _report(self, window_ms: float) -> None:
        """Report the requests whose runs ended without a response within ``window_ms``.

        Copies of a request count once for a crash, also if their ends are noticed one after
        another.
        """
        now_ms = self._now_ms()
        runs = [run for ended_ms, run in self._unanswered_runs if now_ms - ended_ms <= window_ms]
        self._unanswered_runs.clear()
        if self._pool.opened_count != self._opened_before_crash:
            self._opened_before_crash = self._pool.opened_count
            self._counted_fingerprints.clear()
        frames = [run for run in runs if isinstance(run, CallFrame)]
        # A run with a body is no read that its target may just have answered.
        known = {f for run in runs if not isinstance(run, CallFrame) for f in run}
        fingerprints = (self._crash_guard.suspects(frames) | known) - self._counted_fingerprints
        if fingerprints:
            self._counted_fingerprints |= fingerprints
            self._listener.on_target_crashed(sorted(fingerprints))

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
