"""Runs the unit tests and lets exactly the tests listed in KNOWN-RED.txt fail.

A listed test that passes is an error too: its entry must then be removed.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def load_known_red(path: Path) -> frozenset[str]:
    """Return the test ids in ``path``: the first ``|``-separated field of each entry."""
    if not path.exists():
        return frozenset()
    lines = (line.strip() for line in path.read_text(encoding="utf-8").splitlines())
    return frozenset(line.split("|")[0].strip() for line in lines if line and line[0] != "#")


def base_test_id(test: unittest.TestCase) -> str:
    """Return the id of ``test``, or of its parent if ``test`` is a subtest."""
    return getattr(test, "test_case", test).id()


def main(argv: list[str]) -> int:
    """Run all tests, or those whose dotted names are in ``argv``; return the exit status."""
    loader = unittest.TestLoader()
    if argv:
        suite = loader.loadTestsFromNames(argv)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    known_red = load_known_red(KNOWN_RED_FILE)
    failed = {base_test_id(test) for test, _ in result.failures + result.errors}
    failed |= {base_test_id(test) for test in result.unexpectedSuccesses}
    allowed = failed & known_red
    repaired = known_red - failed if not argv else frozenset()
    for test_id in sorted(allowed):
        print(f"known red: {test_id}")
    for test_id in sorted(repaired):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    bad_count = len(failed - known_red) + len(repaired)
    passed_count = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed_count} passed, {bad_count} failed, {len(result.skipped)} skipped")
    return 1 if bad_count or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
