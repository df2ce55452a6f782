"""Quarantine of requests that crash targets, by fingerprint.

All requests in flight at a crash are suspect; a fingerprint in flight at a second crash while it is
suspect is refused. The suspicion level counts this: 1 is suspect, 2 the first quarantine, 3 the
second one, and so on. Levels spread between nodes together with their age. For a while after a
level has ended, a node ignores reports of it; otherwise nodes that learn of it late would pass old
reports around for ever. Times are monotonic milliseconds of the node.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash
from attrs import define, frozen

SUSPECT_MS = 60_000
FIRST_QUARANTINE_MS = 60_000
LONGEST_QUARANTINE_MS = 3_600_000
ENTRY_LIMIT = 1_024

# A report of a level that ended less than this long ago is taken to be old. It covers several hops
# between nodes of up to 10 s each. A longer time would hide a new crash at another node.
HOLD_OFF_MS = 60_000
# A quarantine that begins within this time after the end of the last one is a recurrence and lasts
# longer.
RECURRENCE_WINDOW_MS = 3_600_000
_HIGHEST_LEVEL = 8


@frozen
class QuarantineDecision:
    """The level of a fingerprint that was in flight at a crash, as sent to other nodes.

    ``refused`` is whether requests with this fingerprint are refused from now on.
    """

    fingerprint: str
    level: int
    refused: bool


@frozen
class SuspicionReport:
    """A level in force, and for how long it has been in force at the node that reports it."""

    level: int
    age_ms: int


@define
class _Entry:
    """``level`` is the highest one known; it is in force until ``until_ms``.

    After a quarantine the fingerprint remains suspect until ``suspect_until_ms``.
    """

    level: int
    until_ms: int
    suspect_until_ms: int

    def level_in_force(self, now_ms: int) -> int:
        if now_ms < self.until_ms:
            return self.level
        return 1 if now_ms < self.suspect_until_ms else 0


class Quarantine:
    """Suspect and refused fingerprints known to one node."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_crash(
        self, in_flight_fingerprints: Iterable[str], now_ms: int
    ) -> tuple[QuarantineDecision, ...]:
        """Record a crash of the target with these requests in flight; return their new levels."""
        unique = [*dict.fromkeys(in_flight_fingerprints)][:ENTRY_LIMIT]
        levels = {f: _next_level(self._entries.get(f), now_ms) for f in unique}
        for fingerprint, level in levels.items():
            self._set_level(fingerprint, level, now_ms, now_ms)
        self._trim(now_ms)
        return tuple(QuarantineDecision(f, level, level >= 2) for f, level in levels.items())

    def record_completion(self, fingerprint: str, now_ms: int) -> None:
        """Clear a suspect that ran to its end. A quarantine stays in force."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.level_in_force(now_ms) == 1:
            entry.until_ms = min(entry.until_ms, now_ms)
            entry.suspect_until_ms = now_ms

    def suspicion_level(self, fingerprint: str, now_ms: int) -> int:
        """Return the level in force: 0 is not suspect, 1 suspect, 2 or more refused."""
        entry = self._entries.get(fingerprint)
        return entry.level_in_force(now_ms) if entry else 0

    def report(self, fingerprint: str, now_ms: int) -> SuspicionReport | None:
        """Return what to report to other nodes, or None if ``fingerprint`` is not suspect."""
        level = self.suspicion_level(fingerprint, now_ms)
        if level == 0:
            return None
        entry = self._entries[fingerprint]
        until_ms = entry.suspect_until_ms if level == 1 else entry.until_ms
        return SuspicionReport(level, now_ms - until_ms + _duration_ms(level))

    def refused(self, now_ms: int) -> dict[str, SuspicionReport]:
        """Return what to report of each fingerprint that is refused now."""
        return {f: self.report(f, now_ms) for f in self._entries if self.is_refused(f, now_ms)}

    def remaining_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return for how long requests with this fingerprint are still refused."""
        if not self.is_refused(fingerprint, now_ms):
            return 0
        return self._entries[fingerprint].until_ms - now_ms

    def is_refused(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether requests with this fingerprint must not run."""
        return self.suspicion_level(fingerprint, now_ms) >= 2

    def learn(self, fingerprint: str, reported_level: int, now_ms: int, age_ms: int = 0) -> None:
        """Apply a level reported by another node, if it is higher than the one known here.

        ``age_ms`` is for how long the level has been in force there. Without it, a report that
        passes through several nodes would last longer at each.
        """
        level = min(reported_level, _HIGHEST_LEVEL)
        entry = self._entries.get(fingerprint)
        known_level = _known_level(entry, now_ms) if entry else 0
        started_ms = now_ms - age_ms
        if level > known_level and now_ms < started_ms + _duration_ms(level):
            self._set_level(fingerprint, level, started_ms, now_ms)
            self._trim(now_ms)

    def _set_level(self, fingerprint: str, level: int, started_ms: int, now_ms: int) -> None:
        entry = self._entries.get(fingerprint)
        until_ms = started_ms + _duration_ms(level)
        if level >= 2:
            self._entries[fingerprint] = _Entry(level, until_ms, until_ms + SUSPECT_MS)
        elif entry is not None and now_ms < entry.suspect_until_ms + RECURRENCE_WINDOW_MS:
            entry.suspect_until_ms = until_ms
        else:
            self._entries[fingerprint] = _Entry(level, until_ms, until_ms)

    def _trim(self, now_ms: int) -> None:
        excess = len(self._entries) - ENTRY_LIMIT
        if excess <= 0:
            return
        order = {
            f: (e.level_in_force(now_ms), e.suspect_until_ms) for f, e in self._entries.items()
        }
        for fingerprint in heapq.nsmallest(excess, order, key=order.__getitem__):
            del self._entries[fingerprint]


def make_quarantine() -> Quarantine:
    """Return an empty quarantine, as for a node that starts."""
    return Quarantine()


def request_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the hash by which all nodes recognize equal requests."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _next_level(entry: _Entry | None, now_ms: int) -> int:
    level_in_force = entry.level_in_force(now_ms) if entry else 0
    if level_in_force == 0:
        return 1
    if level_in_force >= 2:
        return level_in_force  # an equal request was already running when the quarantine began
    return min(entry.level + 1, _HIGHEST_LEVEL)


def _known_level(entry: _Entry, now_ms: int) -> int:
    if entry.level >= 2 and now_ms < entry.until_ms + SUSPECT_MS + HOLD_OFF_MS:
        return entry.level
    return 1 if now_ms < entry.suspect_until_ms + HOLD_OFF_MS else 0


def _duration_ms(level: int) -> int:
    if level == 1:
        return SUSPECT_MS
    return min(FIRST_QUARANTINE_MS * 2 ** (level - 2), LONGEST_QUARANTINE_MS)
