"""Fingerprints of requests that were in flight when a target crashed.

A fingerprint is suspect after one crash and refused after two. A level of suspicion spreads
between nodes: 1 is a suspect, 2 a first quarantine, 3 a second one, and so on. A node takes in
only levels above those it has known, so that old news can't circulate for ever. Times are
monotonic milliseconds of the node.
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

# A level stays known for this long after its end, so that a repeat is recognized and news of it
# that is still on the way is not taken for a new crash.
HISTORY_MS = 3_600_000
_HIGHEST_LEVEL = 8


@frozen
class Verdict:
    """What a crash means for a fingerprint that was in flight. ``level`` goes to other nodes."""

    fingerprint: str
    level: int
    refused: bool


@define
class _Entry:
    """``level`` is the highest one known; it is in force until ``until_ms``.

    A quarantine is followed by a time as suspect, until ``suspect_until_ms``.
    """

    level: int
    until_ms: int
    suspect_until_ms: int

    def in_force(self, now_ms: int) -> int:
        if now_ms < self.until_ms:
            return self.level
        return 1 if now_ms < self.suspect_until_ms else 0


class Quarantine:
    """Suspect and refused fingerprints known to one node."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def crashed(self, in_flight_fingerprints: Iterable[str], now_ms: int) -> tuple[Verdict, ...]:
        """Record a crash of the target with these requests in flight."""
        unique = dict.fromkeys(in_flight_fingerprints)
        self._make_room(sum(f not in self._entries for f in unique), now_ms)
        return tuple(self._raise_level(fingerprint, now_ms) for fingerprint in unique)

    def completed(self, fingerprint: str, now_ms: int) -> None:
        """Clear a suspect that ran to its end. A quarantine stays in force."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.in_force(now_ms) == 1:
            entry.until_ms = min(entry.until_ms, now_ms)
            entry.suspect_until_ms = now_ms

    def suspicion(self, fingerprint: str, now_ms: int) -> int:
        """Return the level in force: 0 is unsuspected, 1 suspect, 2 or more refused."""
        entry = self._entries.get(fingerprint)
        return entry.in_force(now_ms) if entry else 0

    def is_refused(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether requests with this fingerprint must not run."""
        return self.suspicion(fingerprint, now_ms) >= 2

    def learn(self, fingerprint: str, crashes: int, now_ms: int) -> None:
        """Take in a level known to another node, unless it is no news here."""
        entry = self._entries.get(fingerprint)
        known = entry.level if entry and not self._is_forgotten(entry, now_ms) else 0
        level = min(crashes, _HIGHEST_LEVEL)
        if level <= known:
            return
        if entry is None:
            self._make_room(1, now_ms)
        self._entries[fingerprint] = _make_entry(level, now_ms)

    def _raise_level(self, fingerprint: str, now_ms: int) -> Verdict:
        entry = self._entries.get(fingerprint)
        level = self._next_level(entry, now_ms)
        if level == 1 and entry and not self._is_forgotten(entry, now_ms):
            entry.suspect_until_ms = now_ms + SUSPECT_MS
        else:
            self._entries[fingerprint] = _make_entry(level, now_ms)
        return Verdict(fingerprint, level, level >= 2)

    def _next_level(self, entry: _Entry | None, now_ms: int) -> int:
        if entry is None:
            return 1
        in_force = entry.in_force(now_ms)
        if in_force == 0:
            return 1
        if in_force >= 2:
            return in_force  # a copy that was running when the quarantine began
        return min(entry.level + 1, _HIGHEST_LEVEL)

    def _is_forgotten(self, entry: _Entry, now_ms: int) -> bool:
        return now_ms >= entry.suspect_until_ms + HISTORY_MS

    def _make_room(self, count: int, now_ms: int) -> None:
        excess = len(self._entries) + count - ENTRY_LIMIT
        if excess <= 0:
            return
        order = {f: (e.in_force(now_ms), e.suspect_until_ms) for f, e in self._entries.items()}
        for fingerprint in heapq.nsmallest(excess, order, key=order.__getitem__):
            del self._entries[fingerprint]


def make_quarantine() -> Quarantine:
    """Return the empty quarantine of a starting node."""
    return Quarantine()


def request_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the hash that identifies equal requests at every node."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _make_entry(level: int, now_ms: int) -> _Entry:
    if level == 1:
        return _Entry(1, now_ms + SUSPECT_MS, now_ms + SUSPECT_MS)
    quarantine_ms = min(FIRST_QUARANTINE_MS * 2 ** (level - 2), LONGEST_QUARANTINE_MS)
    until_ms = now_ms + quarantine_ms
    return _Entry(level, until_ms, until_ms + SUSPECT_MS)
