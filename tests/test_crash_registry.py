"""Tests of how crashes at several nodes are counted, and of the frame that reports them."""

from __future__ import annotations

import unittest

import msgpack

from cottonlink.overload import (
    CrashNotice,
    CrashRegistry,
    QuarantineReport,
    ReportedLevel,
    make_crash_registry,
    make_quarantine,
    make_recent_answers,
    report_of_crash,
)
from cottonlink.overload._crash_registry import KNOWN_CRASH_LIMIT
from cottonlink.overload._quarantine import SUSPECT_MS
from cottonlink.overload._recent_answers import PERIOD_ENTRY_LIMIT, PERIOD_MS
from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import QuarantineFrame, encode


class TestCrashRegistry(unittest.TestCase):
    """Which crashes count at a node that hears of them from others."""

    def setUp(self) -> None:
        self.registries = {
            name: make_crash_registry(f"{name}-1", make_quarantine()) for name in "abc"
        }

    def crash(self, name: str, now_ms: int = 0) -> QuarantineReport:
        """Crash the target of a node that runs ``f``; return the report for the others."""
        return report_of_crash(self.registries[name].record_own_crash(["f"], now_ms))

    def is_refused(self, registry: CrashRegistry, now_ms: int = 1) -> bool:
        return registry.quarantine.is_refused("f", now_ms)

    def test_crashes_of_different_nodes_add_up(self) -> None:
        """Copies of one request that crash targets at once must be refused everywhere after it."""
        reports = [self.crash(name) for name in self.registries]
        for registry in self.registries.values():
            for report in reports:
                registry.learn(report, 1)
            self.assertTrue(self.is_refused(registry))

    def test_doubled_notice_counts_once(self) -> None:
        """One crash whose notice comes on several links must not start a quarantine."""
        report = self.crash("a")
        for registry in self.registries.values():
            for _ in range(3):
                registry.learn(report, 1)
            self.assertFalse(self.is_refused(registry))

    def test_old_notice_has_no_effect(self) -> None:
        """A notice that was held up for as long as a suspect lasts must not make one again."""
        report = QuarantineReport(crashes=(CrashNotice("a-1/1", SUSPECT_MS, ("f",)),))
        self.assertEqual(self.registries["b"].learn(report, SUSPECT_MS), ())

    def test_levels_of_an_earlier_version_count(self) -> None:
        """In a fleet that is being updated, a suspect of a former version must be one here."""
        registry = self.registries["a"]
        registry.learn(QuarantineReport((ReportedLevel("f", 1),)), 0)
        self.crash("a", 1)
        self.assertTrue(self.is_refused(registry, 2))

    def test_suspect_cleared_at_another_node_starts_anew(self) -> None:
        """A harmless request that ran well after a crash must survive a second, unrelated crash."""
        b, c = self.registries["b"], self.registries["c"]
        report = self.crash("a")
        b.learn(report, 1)
        c.learn(report, 1)
        b.record_completion("f", 2)
        c.learn(b.take_cleared(), 3)
        self.assertIsNone(b.take_cleared())
        self.crash("c", 4)
        self.assertFalse(self.is_refused(c, 5))

    def test_crash_is_repeated_until_its_requests_are_cleared(self) -> None:
        """A node that connects late must hear of a crash, without requests that ran well since."""
        a = self.registries["a"]
        a.record_own_crash(["f", "g"], 0)
        a.record_completion("g", 1)
        self.assertEqual(a.summary(10).crashes, (CrashNotice("a-1/1", 10, ("f",)),))
        a.record_completion("f", 11)
        self.assertIsNone(a.summary(12))

    def test_crash_is_not_repeated_once_its_requests_are_no_longer_suspect(self) -> None:
        """Nodes must not tell each other of a crash for ever."""
        self.crash("a")
        self.assertIsNotNone(self.registries["a"].summary(SUSPECT_MS - 1))
        self.assertIsNone(self.registries["a"].summary(SUSPECT_MS))

    def test_known_crashes_are_bounded(self) -> None:
        """Targets that go on crashing must not use up the memory of a node."""
        registry = self.registries["a"]
        for number in range(KNOWN_CRASH_LIMIT + 10):
            notice = CrashNotice(f"b-1/{number}", 0, ("f",))
            registry.learn(QuarantineReport(crashes=(notice,)), 0)
        self.assertEqual(len(registry._known_crash_ids), KNOWN_CRASH_LIMIT)


class TestRecentAnswers(unittest.TestCase):
    """Which reads count as answered a moment ago."""

    def test_read_that_begins_to_crash_targets_is_forgotten(self) -> None:
        """A read that was harmless until now must become suspect within two periods."""
        answers = make_recent_answers()
        answers.record("read", 500)
        self.assertTrue(answers.contains("read", PERIOD_MS))
        self.assertFalse(answers.contains("read", 2 * PERIOD_MS + 500))

    def test_memory_is_bounded(self) -> None:
        """Many different reads must not use up the memory of a node."""
        answers = make_recent_answers()
        for number in range(PERIOD_ENTRY_LIMIT + 10):
            answers.record(number, 0)
        self.assertTrue(answers.contains(0, 0))
        self.assertFalse(answers.contains(PERIOD_ENTRY_LIMIT, 0))


class TestQuarantineFrame(unittest.TestCase):
    """The frame between nodes of this version and of earlier ones."""

    def decode(self, data: bytes) -> QuarantineReport:
        (frame,) = FrameReader().feed(data)
        return frame.report

    def test_report_survives_the_wire(self) -> None:
        """No part of a report may be lost or moved to another field on its way."""
        levels = (ReportedLevel("f", 2, 30), ReportedLevel("g", 3, 40))
        report = QuarantineReport(levels, (CrashNotice("a-1/1", 20, ("f", "g")),), ("h",))
        self.assertEqual(self.decode(encode(QuarantineFrame(report))), report)

    def test_report_of_an_earlier_version_is_read(self) -> None:
        """In a fleet that is being updated, levels from nodes of the former version must count."""
        code = msgpack.unpackb(encode(QuarantineFrame(QuarantineReport())))[0]
        report = self.decode(msgpack.packb((code, (("f", 2),))))
        self.assertEqual(report, QuarantineReport((ReportedLevel("f", 2),)))


if __name__ == "__main__":
    unittest.main()
