"""Runs a node whose clocks a test can advance, in place of ``python -m cottonlink.node``.

SIGUSR1 advances the wall clock by an hour. SIGUSR2 advances the monotonic clock by 310 s, which is
longer than a node must be up before it grants retries (60 s) and before it is sure of the keys that
it owns (120 s).
"""

from __future__ import annotations

import signal
import sys

from cottonlink._clock import SystemClock
from cottonlink.node._process import run_node
from cottonlink.node._settings import load_settings

WALL_JUMP_MS = 3_600_000
MONOTONIC_JUMP_MS = 310_000


class AdjustableClock(SystemClock):
    """The system clock plus offsets that signals increase."""

    def __init__(self) -> None:
        self._wall_offset_ms = 0
        self._monotonic_offset_ms = 0
        signal.signal(signal.SIGUSR1, self._jump_wall)
        signal.signal(signal.SIGUSR2, self._jump_monotonic)

    def monotonic_ms(self) -> int:
        return super().monotonic_ms() + self._monotonic_offset_ms

    def wall_ms(self) -> int:
        return super().wall_ms() + self._wall_offset_ms

    def _jump_wall(self, *_: object) -> None:
        self._wall_offset_ms += WALL_JUMP_MS

    def _jump_monotonic(self, *_: object) -> None:
        self._monotonic_offset_ms += MONOTONIC_JUMP_MS


if __name__ == "__main__":
    sys.exit(run_node(load_settings(sys.argv[1]), AdjustableClock()))
