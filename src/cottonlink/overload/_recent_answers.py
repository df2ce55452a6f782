"""Remembers which reads a target has answered a moment ago.

Several targets can fail at once, each while it runs the same popular read. A read that the target
has just answered is not what crashed it, and refusing it would outlast the failure.
"""

from __future__ import annotations

from collections.abc import Hashable

# An answer is remembered for one to two periods. A popular read comes several times in a period; a
# read that has begun to crash targets is suspect again soon after its last answer.
PERIOD_MS = 1_000
PERIOD_ENTRY_LIMIT = 4_096


class RecentAnswers:
    """Hashes of the reads answered in this period and in the one before: paths may be long."""

    def __init__(self) -> None:
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._period_started_ms = 0

    def record(self, key: Hashable, now_ms: int) -> None:
        """Remember an answer; the first ``PERIOD_ENTRY_LIMIT`` reads of a period are kept."""
        self._advance(now_ms)
        if len(self._current) < PERIOD_ENTRY_LIMIT:
            self._current.add(hash(key))

    def contains(self, key: Hashable, now_ms: int) -> bool:
        """Return whether a read with this key was answered in this period or the one before."""
        self._advance(now_ms)
        key_hash = hash(key)
        return key_hash in self._current or key_hash in self._previous

    def _advance(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._period_started_ms
        if elapsed_ms < PERIOD_MS:
            return
        self._previous = self._current if elapsed_ms < 2 * PERIOD_MS else set()
        self._current = set()
        self._period_started_ms = now_ms


def make_recent_answers() -> RecentAnswers:
    """Return an empty memory."""
    return RecentAnswers()
