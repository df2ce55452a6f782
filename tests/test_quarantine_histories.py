"""Generated histories of requests that crash targets, and tests that their checks can fail."""

from __future__ import annotations

import unittest
from unittest import mock

from attrs import define
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cottonlink.decisions import Quarantine, SuspicionReport, make_quarantine, request_fingerprint
from cottonlink.overload import _quarantine as quarantine
from tests.histories import run_histories

NAMES = ("a", "b", "c")
CRASHING = ("crashing-1", "crashing-2")
FINGERPRINTS = (*CRASHING, "innocent-1", "innocent-2", "innocent-3")
ENTRY_LIMIT = len(FINGERPRINTS)
# Messages between nodes time out after this. HOLD_OFF_MS covers a few hops of this length.
MESSAGE_TIMEOUT_MS = 10_000


@define(eq=False)
class Message:
    target: str
    fingerprint: str
    report: SuspicionReport
    sent_ms: int


class QuarantineModel:
    """Nodes whose targets crash, and suspicion reports between them that are delayed or lost."""

    def __init__(self):
        self.now_ms = 1_000_000
        self.nodes: dict[str, Quarantine] = {name: make_quarantine() for name in NAMES}
        self.in_flight: dict[str, set[str]] = {name: set() for name in NAMES}
        self.refused_until_ms: dict[tuple[str, str], int] = {}
        self.messages: list[Message] = []

    def run(self, name, fingerprint):
        """Start a request if it is not refused and no other suspect runs on the target."""
        node = self.nodes[name]
        if node.is_refused(fingerprint, self.now_ms):
            return
        until_ms = self.refused_until_ms.get((name, fingerprint), 0)
        assert self.now_ms >= until_ms, "a quarantined request ran"
        suspects = [f for f in self.in_flight[name] if node.suspicion_level(f, self.now_ms)]
        if not (suspects and node.suspicion_level(fingerprint, self.now_ms)):
            self.in_flight[name].add(fingerprint)

    def complete(self, name, fingerprint):
        self.in_flight[name].remove(fingerprint)
        was_refused = self.nodes[name].is_refused(fingerprint, self.now_ms)
        self.nodes[name].record_completion(fingerprint, self.now_ms)
        is_suspect = self.nodes[name].suspicion_level(fingerprint, self.now_ms) > 0
        assert is_suspect == was_refused, "a completed suspect was not cleared"

    def crash(self, name):
        in_flight = sorted(self.in_flight[name])
        self.in_flight[name].clear()
        for decision in self.nodes[name].record_crash(in_flight, self.now_ms):
            if decision.refused:
                self._expect_refusal(name, decision.fingerprint)
            for other in NAMES:
                self._send(other, decision.fingerprint, SuspicionReport(decision.level, 0))

    def share(self, name, fingerprint):
        report = self.nodes[name].report(fingerprint, self.now_ms)
        for other in NAMES if report else ():
            self._send(other, fingerprint, report)

    def deliver(self, index):
        message = self.messages.pop(index)
        if self.now_ms - message.sent_ms > MESSAGE_TIMEOUT_MS:
            return
        report = message.report
        node = self.nodes[message.target]
        is_new = message.fingerprint not in node._entries
        node.learn(message.fingerprint, report.level, self.now_ms, report.age_ms)
        if report.level >= 2 and is_new:
            self._expect_refusal(message.target, message.fingerprint, report.age_ms)

    def restart(self, name):
        self.nodes[name] = make_quarantine()
        self.in_flight[name].clear()
        for fingerprint in FINGERPRINTS:
            self.refused_until_ms.pop((name, fingerprint), None)

    def settle(self):
        """Let suspicion end without new crashes, while reports of it go on circulating."""
        levels = [e.level for node in self.nodes.values() for e in node._entries.values()]
        levels.extend(message.report.level for message in self.messages)
        settling_ms = quarantine._duration_ms(max(levels, default=1)) + quarantine.SUSPECT_MS
        settling_ms += len(NAMES) * MESSAGE_TIMEOUT_MS + quarantine.SUSPECT_MS
        for _ in range(settling_ms // MESSAGE_TIMEOUT_MS):
            while self.messages:
                self.deliver(0)
            suspected_count = self._share_all()
            self.now_ms += MESSAGE_TIMEOUT_MS
        assert suspected_count == 0, "suspicion never ends"

    def _share_all(self):
        for name in NAMES:
            for fingerprint in FINGERPRINTS:
                self.share(name, fingerprint)
        return len(self.messages)

    def _send(self, target, fingerprint, report):
        self.messages.append(Message(target, fingerprint, report, self.now_ms))

    def _expect_refusal(self, name, fingerprint, age_ms=0):
        until_ms = self.now_ms + quarantine.FIRST_QUARANTINE_MS - age_ms
        if fingerprint in self.nodes[name]._entries:  # otherwise dropped because the table is full
            self.refused_until_ms[name, fingerprint] = until_ms


def check_bounds(model):
    for node in model.nodes.values():
        assert len(node) <= ENTRY_LIMIT, "too many entries"


class QuarantineMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.model = QuarantineModel()

    @rule(name=st.sampled_from(NAMES), fingerprints=st.sets(st.sampled_from(FINGERPRINTS)))
    def run(self, name, fingerprints):
        for fingerprint in sorted(fingerprints):
            self.model.run(name, fingerprint)

    @rule(name=st.sampled_from(NAMES))
    def crash_or_complete(self, name):
        in_flight = sorted(self.model.in_flight[name])
        if any(fingerprint in CRASHING for fingerprint in in_flight):
            self.model.crash(name)
        elif in_flight:
            self.model.complete(name, in_flight[0])

    @rule(name=st.sampled_from(NAMES), fingerprint=st.sampled_from(FINGERPRINTS))
    def share(self, name, fingerprint):
        self.model.share(name, fingerprint)

    @precondition(lambda self: self.model.messages)
    @rule(index=st.integers(0, 100), is_lost=st.booleans())
    def deliver(self, index, is_lost):
        index %= len(self.model.messages)
        if is_lost:
            self.model.messages.pop(index)
        else:
            self.model.deliver(index)

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([0, 1, 10, 30, 59, 60, 120]))
    def wait_or_restart(self, name, seconds):
        self.model.now_ms += seconds * 1_000
        if not seconds:
            self.model.restart(name)

    @invariant()
    def check_bounds(self):
        check_bounds(self.model)

    def teardown(self):
        if hasattr(self, "model"):
            self.model.settle()


class QuarantineHistoriesTest(unittest.TestCase):
    def test_histories(self):
        """Guards against a quarantined request that runs and a suspicion that never ends."""
        with mock.patch.object(quarantine, "ENTRY_LIMIT", ENTRY_LIMIT):
            run_histories(QuarantineMachine)


class DisabledMechanismTest(unittest.TestCase):
    """Each test disables one mechanism and expects the model to notice."""

    def setUp(self):
        self.model = QuarantineModel()

    def _crash(self, name="a"):
        self.model.run(name, CRASHING[0])
        self.model.crash(name)

    def test_check_notices_missing_refusal(self):
        """Guards against a check that misses a node that doesn't refuse after two crashes."""
        self._crash()
        self._crash()
        with (
            mock.patch.object(Quarantine, "is_refused", lambda *args: False),
            self.assertRaisesRegex(AssertionError, "quarantined request ran"),
        ):
            self._crash()

    def test_check_notices_suspect_not_cleared(self):
        """Guards against a check that misses a node that doesn't clear a suspect."""
        self._crash()
        self.model.run("a", CRASHING[0])
        with (
            mock.patch.object(Quarantine, "record_completion", lambda *args: None),
            self.assertRaisesRegex(AssertionError, "not cleared"),
        ):
            self.model.complete("a", CRASHING[0])

    def test_check_notices_missing_hold_off(self):
        """Guards against a check that misses nodes that pass old reports around for ever."""
        self._crash()
        self.model.now_ms += MESSAGE_TIMEOUT_MS
        self.model.deliver(1)
        with (
            mock.patch.object(quarantine, "HOLD_OFF_MS", 0),
            self.assertRaisesRegex(AssertionError, "never ends"),
        ):
            self.model.settle()

    def test_check_notices_unbounded_table(self):
        """Guards against a check that misses a table that grows without bound."""
        self.model.nodes["a"].record_crash(map(str, range(ENTRY_LIMIT + 1)), 0)
        with self.assertRaisesRegex(AssertionError, "too many entries"):
            check_bounds(self.model)


class QuarantineTest(unittest.TestCase):
    def test_request_crashes_at_most_two_targets(self):
        """Guards against a request that crashes more than two targets while reports spread."""
        model = QuarantineModel()
        crash_count = 0
        for name in NAMES * 3:
            model.run(name, CRASHING[0])
            crash_count += bool(model.in_flight[name])
            model.crash(name)
            while model.messages:
                model.deliver(0)
        self.assertEqual(crash_count, 2)

    def test_copies_that_crash_targets_at_once_add_up(self):
        """Guards against copies of a request that crash as many targets again after their reports.

        The nodes of the threaded path report levels, of which the highest counts.
        """
        model = QuarantineModel()
        for _ in range(2):
            for name in NAMES:
                model.run(name, CRASHING[0])
            crash_count = sum(len(in_flight) for in_flight in model.in_flight.values())
            for name in NAMES:
                model.crash(name)
            while model.messages:
                model.deliver(0)
        self.assertEqual(crash_count, 0)

    def test_recurring_quarantine_doubles_up_to_the_maximum(self):
        """Guards against a quarantine that doesn't grow on a recurrence, or grows without bound."""
        node = make_quarantine()
        now_ms = 0
        durations_ms = []
        node.record_crash(["f"], now_ms)
        for _ in range(9):
            node.record_crash(["f"], now_ms)
            started_ms = now_ms
            while node.is_refused("f", now_ms):
                now_ms += 10_000
            durations_ms.append(now_ms - started_ms)
        expected_ms = [60_000 * 2**n for n in range(6)] + [quarantine.LONGEST_QUARANTINE_MS] * 3
        self.assertEqual(durations_ms, expected_ms)

    def test_full_table_keeps_quarantines(self):
        """Guards against unbounded state, and against suspects that displace a quarantine."""
        node = make_quarantine()
        node.learn("f", 2, 0)
        for start in range(0, 5_000, 500):
            node.record_crash(map(str, range(start, start + 500)), start)
            self.assertLessEqual(len(node), quarantine.ENTRY_LIMIT)
        self.assertTrue(node.is_refused("f", 5_000))

    def test_report_counts_its_age(self):
        """Guards against an old report that starts a whole new quarantine after a partition."""
        node = make_quarantine()
        node.learn("f", 2, 100_000, age_ms=60_000)
        self.assertFalse(node.is_refused("f", 100_000))
        node.learn("f", 2, 100_000, age_ms=59_999)
        self.assertTrue(node.is_refused("f", 100_000))
        self.assertFalse(node.is_refused("f", 100_001))

    def test_different_requests_have_different_fingerprints(self):
        """Guards against different requests with one fingerprint."""
        parts = [("s", "GET", "/a", b""), ("s", "GET", "/", b"a"), ("sG", "ET", "/a", b"")]
        self.assertEqual(len({request_fingerprint(*part) for part in parts}), 3)


if __name__ == "__main__":
    unittest.main()
