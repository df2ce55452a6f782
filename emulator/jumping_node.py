"""Runs a node whose clock a test can move, in place of ``python -m cottonlink.node``.

SIGUSR1 moves the wall clock forward by an hour. SIGUSR2 moves the monotonic clock forward by 310
s: the time that a node must be up before it grants retries (300 s) and a margin.
"""

from __future__ import annotations

import runpy
import signal
import time

from cottonlink._clock import SystemClock

WALL_JUMP_MS = 3_600_000
MONOTONIC_JUMP_MS = 310_000

_wall_lead_ms = 0
_monotonic_lead_ms = 0


def _jump_wall(*_: object) -> None:
    global _wall_lead_ms
    _wall_lead_ms += WALL_JUMP_MS


def _jump_monotonic(*_: object) -> None:
    global _monotonic_lead_ms
    _monotonic_lead_ms += MONOTONIC_JUMP_MS


def main() -> None:
    """Replace the readings of the system clock and run the node."""
    SystemClock.wall_ms = lambda self: time.time_ns() // 1_000_000 + _wall_lead_ms
    SystemClock.monotonic_ms = lambda self: time.monotonic_ns() // 1_000_000 + _monotonic_lead_ms
    signal.signal(signal.SIGUSR1, _jump_wall)
    signal.signal(signal.SIGUSR2, _jump_monotonic)
    runpy.run_module("cottonlink.node", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
