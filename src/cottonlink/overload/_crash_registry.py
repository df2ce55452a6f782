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
class ReportedLevel:
    """A quarantine level that has been in force for ``age_ms`` at the node that reports it."""

    fingerprint: str
    level: int
    age_ms: int = 0


@frozen
class QuarantineReport:
    """What a node tells another of requests that crash targets.

    ``cleared`` lists fingerprints of suspects that ran to their end. Nodes of earlier versions
    report crashes only by the levels that result from them.
    """

    levels: tuple[ReportedLevel, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()
    cleared: tuple[str, ...] = ()


@frozen
class CountedCrash:
    """A crash that was not known before, and the levels that follow from it."""

    notice: CrashNotice
    decisions: tuple[QuarantineDecision, ...]


@frozen
class LearnedQuarantine:
    """A reported quarantine that was not known before."""

    reported: ReportedLevel
    known_level: int


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

    def record_own_crash(self, fingerprints: Iterable[str], now_ms: int) -> CountedCrash:
        """Count a crash of the node's own target."""
        self._own_crash_count += 1
        crash_id = f"{self._incarnation}/{self._own_crash_count}"
        crash = _OwnCrash(crash_id, now_ms, tuple(fingerprints))
        self._own_crashes.append(crash)
        decisions = self.quarantine.record_crash(crash.fingerprints, now_ms)
        return CountedCrash(CrashNotice(crash_id, 0, crash.fingerprints), decisions)

    def record_completion(self, fingerprint: str, now_ms: int) -> None:
        """Clear a suspect that ran to its end at the node's own target."""
        if self.quarantine.suspicion_level(fingerprint, now_ms) == 1:
            self._cleared[fingerprint] = None
            self.quarantine.record_completion(fingerprint, now_ms)

    def learn(
        self, report: QuarantineReport, now_ms: int
    ) -> tuple[CountedCrash | LearnedQuarantine, ...]:
        """Apply what another node reports; return what was not known before."""
        crashes = [self._count(notice, now_ms) for notice in report.crashes]
        for fingerprint in report.cleared:
            self.quarantine.record_completion(fingerprint, now_ms)
        # A report that has crashes counts its suspects by them.
        min_level = 2 if report.crashes else 1
        quarantines = [
            self._learn_level(reported, now_ms)
            for reported in report.levels
            if reported.level >= min_level
        ]
        return tuple(learned for learned in (*crashes, *quarantines) if learned is not None)

    def summary(self, now_ms: int) -> QuarantineReport | None:
        """Return what a node should know that may have missed reports; None if that is nothing."""
        if not len(self.quarantine):
            return None
        levels = tuple(
            ReportedLevel(fingerprint, report.level, report.age_ms)
            for fingerprint, report in self.quarantine.refused(now_ms).items()
        )
        crashes = self._own_notices(now_ms)
        return QuarantineReport(levels, crashes) if levels or crashes else None

    def take_cleared(self) -> QuarantineReport | None:
        """Return a report of the suspects cleared here since the last call, None without any."""
        cleared, self._cleared = tuple(self._cleared), {}
        return QuarantineReport(cleared=cleared) if cleared else None

    def _count(self, notice: CrashNotice, now_ms: int) -> CountedCrash | None:
        is_own = notice.crash_id.rpartition("/")[0] == self._incarnation
        if is_own or notice.crash_id in self._known_crash_ids or notice.age_ms >= SUSPECT_MS:
            return None
        self._known_crash_ids[notice.crash_id] = None
        if len(self._known_crash_ids) > KNOWN_CRASH_LIMIT:
            del self._known_crash_ids[next(iter(self._known_crash_ids))]
        return CountedCrash(notice, self.quarantine.record_crash(notice.fingerprints, now_ms))

    def _learn_level(self, reported: ReportedLevel, now_ms: int) -> LearnedQuarantine | None:
        known_level = self.quarantine.suspicion_level(reported.fingerprint, now_ms)
        self.quarantine.learn(reported.fingerprint, reported.level, now_ms, reported.age_ms)
        is_refused = self.quarantine.is_refused(reported.fingerprint, now_ms)
        is_new = known_level < 2 and is_refused
        return LearnedQuarantine(reported, known_level) if is_new else None

    def _own_notices(self, now_ms: int) -> tuple[CrashNotice, ...]:
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


def report_of_crash(crash: CountedCrash) -> QuarantineReport:
    """Return the report of a crash of the own target, with levels for nodes of earlier versions."""
    levels = tuple(ReportedLevel(d.fingerprint, d.level) for d in crash.decisions)
    return QuarantineReport(levels, (crash.notice,))


def make_crash_registry(incarnation: str, quarantine: Quarantine) -> CrashRegistry:
    """Return a registry that knows of no crash."""
    return CrashRegistry(incarnation, quarantine)
