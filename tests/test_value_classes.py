"""Values that each call constructs: immutable where tests run, and whole with a report."""

from __future__ import annotations

import subprocess
import sys
import unittest

import attrs

from cottonlink.path._model import (
    Answered,
    Load,
    NotRun,
    OutcomeUnknown,
    TargetReport,
    with_report,
)

_REPORT = TargetReport(Load(1, 2, 3, 4.0), True, False, 0.5, True)


class ValueClassTest(unittest.TestCase):
    def test_fields_cant_be_set(self) -> None:
        """Guards against code that changes a value which others hold."""
        with self.assertRaises(attrs.exceptions.FrozenInstanceError):
            _REPORT.pressure = 1.0

    def test_values_are_equal_and_hashable_under_optimization(self) -> None:
        """Guards against values that compare or hash by identity only where nodes are deployed."""
        code = (
            "from cottonlink.path._model import Load\n"
            "a, b = Load(1, 2, 3, 4.0), Load(1, 2, 3, 4.0)\n"
            "raise SystemExit(0 if a == b and hash(a) == hash(b) else 1)"
        )
        self.assertEqual(subprocess.run([sys.executable, "-OO", "-c", code]).returncode, 0)

    def test_report_leaves_all_other_fields(self) -> None:
        """Guards against a new field of an outcome that is lost where the report is added."""
        for outcome in (
            Answered(503, ((b"A", b"b"),), b"body"),
            NotRun("queue_wait", 12.5, True),
            OutcomeUnknown("peer_lost", True),
        ):
            with self.subTest(outcome=outcome):
                expected = outcome
                if not isinstance(outcome, OutcomeUnknown):
                    expected = attrs.evolve(outcome, report=_REPORT)
                self.assertEqual(with_report(outcome, _REPORT), expected)

    def test_report_test_covers_all_fields(self) -> None:
        """Guards against the test before overlooking a field that it gives no value."""
        self.assertEqual(
            {kind: len(attrs.fields(kind)) for kind in (Answered, NotRun)},
            {Answered: 4, NotRun: 4},
        )


if __name__ == "__main__":
    unittest.main()
