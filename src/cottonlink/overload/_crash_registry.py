"""Crashes of targets that a node knows of, its own and those that other nodes report.

A caller sends a crashing request again and again, also several copies at once and to different
nodes. Their crashes must add up at every node, whichever notices are late, doubled or lost. Times
are monotonic milliseconds of the node.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import frozen

from cottonlink.overload._quarantine import SUSPECT_MS, Quarantine, QuarantineDecision

# Own crashes that are repeated to nodes that connect.
OWN_CRASH_LIMIT = 8
# Ids of crashes that are remembered, so that a doubled notice has no effect.
KNOWN_CRASH_LIMIT = 4_096


@frozen
class CrashNotice:
    """A crash of a target, as told to other nodes.

    ``fingerprints`` are those of the requests that were running at the target, ``age_ms`` is the
    time since the crash.
    """

    crash_id: str
    age_ms: int
    fingerprints: tuple[str, ...]


@frozen
class _OwnCrash:
    crash_id: str
    occurred_at_ms: int
    fingerprints: tuple[str, ...]


class CrashRegistry:
    """Counts each crash once in the node's quarantine.

    ``incarnation`` identifies this run of the node's process among those of all nodes.
    """

    def __init__(self, incarnation: str, quarantine: Quarantine) -> None:
        self._incarnation = incarnation
        self.quarantine = quarantine
        self._own_crashes: deque[_OwnCrash] = deque(maxlen=OWN_CRASH_LIMIT)
        self._own_crash_count = 0
        # A dict keeps the order in which ids were added, for dropping the oldest.
        self._known_crash_ids: dict[str, None] = {}
        self._cleared: dict[str, None] = {}

    def record_own_crash(
        self, fingerprints: Iterable[str], now_ms: int
    ) -> tuple[CrashNotice, tuple[QuarantineDecision, ...]]:
        """Count a crash of the node's own target; return the notice for other nodes."""
        self._own_crash_count += 1
        crash = _OwnCrash(
            f"{self._incarnation}/{self._own_crash_count}", now_ms, tuple(fingerprints)
        )
        self._own_crashes.append(crash)
        decisions = self.quarantine.record_crash(crash.fingerprints, now_ms)
        return CrashNotice(crash.crash_id, 0, crash.fingerprints), decisions

    def apply_notice(self, notice: CrashNotice, now_ms: int) -> tuple[QuarantineDecision, ...]:
        """Count a crash that another node reports, unless it is known already or too old."""
        is_own = notice.crash_id.rpartition("/")[0] == self._incarnation
        if is_own or notice.crash_id in self._known_crash_ids or notice.age_ms >= SUSPECT_MS:
            return ()
        self._known_crash_ids[notice.crash_id] = None
        if len(self._known_crash_ids) > KNOWN_CRASH_LIMIT:
            del self._known_crash_ids[next(iter(self._known_crash_ids))]
        return self.quarantine.record_crash(notice.fingerprints, now_ms)

    def own_notices(self, now_ms: int) -> tuple[CrashNotice, ...]:
        """Return notices of the own target's recent crashes, without requests cleared since."""
        notices = (
            CrashNotice(
                crash.crash_id,
                now_ms - crash.occurred_at_ms,
                tuple(f for f in crash.fingerprints if self.quarantine.suspicion_level(f, now_ms)),
            )
            for crash in self._own_crashes
            if now_ms - crash.occurred_at_ms < SUSPECT_MS
        )
        return tuple(notice for notice in notices if notice.fingerprints)

    def record_completion(self, fingerprint: str, now_ms: int) -> None:
        """Clear a suspect that ran to its end at the node's own target."""
        if self.quarantine.suspicion_level(fingerprint, now_ms) == 1:
            self._cleared[fingerprint] = None
            self.apply_cleared((fingerprint,), now_ms)

    def apply_cleared(self, fingerprints: Iterable[str], now_ms: int) -> None:
        """Clear suspects that ran to their end at the target of another node."""
        for fingerprint in fingerprints:
            self.quarantine.record_completion(fingerprint, now_ms)

    def take_cleared(self) -> tuple[str, ...]:
        """Return the suspects cleared here since the last call."""
        cleared, self._cleared = tuple(self._cleared), {}
        return cleared


def make_crash_registry(incarnation: str, quarantine: Quarantine) -> CrashRegistry:
    """Return a registry that knows of no crash."""
    return CrashRegistry(incarnation, quarantine)
