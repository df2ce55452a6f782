"""What the node's process holds in RAM, beside what its accounts say."""

from __future__ import annotations

import resource
from pathlib import Path

from attrs import define

from cottonlink.path._log import EventLog
from cottonlink.path._metrics import PathMetrics

_BYTES_PER_MB = 1_000_000
_STATM = Path("/proc/self/statm")
# Shares of the limit between which the memory isn't reported again.
HIGH_SHARE = 0.8
LOW_SHARE = 0.7


def resident_bytes() -> int | None:
    """Return what the process holds in RAM, None if the system can't tell."""
    try:
        return int(_STATM.read_bytes().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return None


@define
class ProcessMemory:
    """Reports the memory of the process, and when it comes near its limit."""

    limit_bytes: float
    _log: EventLog
    _metrics: PathMetrics
    _is_high: bool = False

    def report(self, clients_bytes: int, bodies_bytes: int, connections: int) -> None:
        """Set the gauge; the arguments tell what the accounts know of."""
        held_bytes = resident_bytes()
        self._metrics.set_gauge("process_resident_bytes", held_bytes)
        if held_bytes is None:
            return
        share = held_bytes / self.limit_bytes
        if self._is_high and share < LOW_SHARE:
            self._is_high = False
        elif not self._is_high and share >= HIGH_SHARE:
            self._is_high = True
        else:
            return
        self._log.event(
            "process_memory_high" if self._is_high else "process_memory_normal",
            resident_bytes=held_bytes,
            limit_bytes=round(self.limit_bytes),
            clients_bytes=clients_bytes,
            bodies_bytes=bodies_bytes,
            connections=connections,
        )


def make_process_memory(memory_mb: float, log: EventLog, metrics: PathMetrics) -> ProcessMemory:
    """Return the report for a process that may hold ``memory_mb``."""
    return ProcessMemory(memory_mb * _BYTES_PER_MB, log, metrics)
