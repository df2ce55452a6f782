"""Targets that have said in a response that they leave.

The store may tell of a leaving target late, or never. What the target itself has said holds for
good, whatever the store says later, but only for that start of it: one that starts again under the
same id knows nothing of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cottonlink.overload._target_start import TargetStart, target_start

# Leaving targets that are remembered. The oldest are forgotten first.
LEAVING_TARGET_LIMIT = 4_096


class LeavingTargets:
    """The leaving targets that one node knows of."""

    def __init__(self) -> None:
        self._times_ms: dict[TargetStart, float] = {}

    def learn(self, targets: Iterable[TargetStart], now_ms: float) -> list[TargetStart]:
        """Remember ``targets``; return those that were not known."""
        new = [target for target in targets if target not in self._times_ms]
        for target in new:
            self._times_ms[target] = now_ms
        while len(self._times_ms) > LEAVING_TARGET_LIMIT:
            del self._times_ms[next(iter(self._times_ms))]
        return new

    def is_leaving(self, upstream: Any) -> bool:
        """Return whether a ``path.Upstream`` is of a start that has said that it leaves."""
        return target_start(upstream) in self._times_ms

    def all(self) -> tuple[TargetStart, ...]:
        """Return all known leaving targets, the latest last."""
        return tuple(self._times_ms)

    def learned_since(self, time_ms: float) -> tuple[TargetStart, ...]:
        """Return the leaving targets that became known after a time."""
        return tuple(t for t, learned_ms in self._times_ms.items() if learned_ms > time_ms)


def make_leaving_targets() -> LeavingTargets:
    """Return a record that holds no targets yet."""
    return LeavingTargets()
