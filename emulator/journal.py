"""Journal of the runs of a target: what ran, for which request, when, and how it ended.

The target prints each entry as one JSON line to the process that started it, where the journal
survives a crash of the target. Times are in monotonic milliseconds, which all processes on one VM
share.
"""

from __future__ import annotations

import enum
import json
import sys
import threading
import time
from typing import TextIO

from attrs import asdict, define, field


class RunOutcome(enum.StrEnum):
    """How a run ended. ``CRASHED`` is set by the process that started the target."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@define
class Run:
    """One run of a request. ``send_id`` is the id of the caller's send that caused it."""

    run_id: int
    target: str
    method: str
    path: str
    key: str
    root_id: str
    call: str
    send_id: str
    start_ms: int
    end_ms: int = 0
    outcome: RunOutcome = RunOutcome.RUNNING


def monotonic_ms() -> int:
    """Return monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


@define
class Journal:
    """Runs of one target process. Thread-safe."""

    target: str
    stream: TextIO = field(factory=lambda: sys.stdout)
    _runs: list[Run] = field(factory=list, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def start(
        self, *, method: str, path: str, key: str, root_id: str, call: str, send_id: str
    ) -> Run:
        """Record a run; call this before the run has any effect."""
        with self._lock:
            run = Run(
                run_id=len(self._runs),
                target=self.target,
                method=method,
                path=path,
                key=key,
                root_id=root_id,
                call=call,
                send_id=send_id,
                start_ms=monotonic_ms(),
            )
            self._runs.append(run)
            self._print(run)
        return run

    def end(self, run: Run, outcome: RunOutcome) -> None:
        """Record how ``run`` ended."""
        with self._lock:
            run.end_ms = monotonic_ms()
            run.outcome = outcome
            self._print(run)

    def runs(self) -> list[Run]:
        """Return all runs, oldest first."""
        with self._lock:
            return list(self._runs)

    def _print(self, run: Run) -> None:
        self.stream.write(json.dumps(asdict(run)) + "\n")
        self.stream.flush()


def parse_run(line: str) -> Run | None:
    """Return the run in a line of a journal, or None for any other output."""
    try:
        content = json.loads(line)
        return Run(**{**content, "outcome": RunOutcome(content["outcome"])})
    except (ValueError, TypeError, KeyError):
        return None
