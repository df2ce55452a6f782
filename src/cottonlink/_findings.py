"""What a check of a configuration finds, whatever the format of the configuration is.

This module imports nothing of the formats, so that a node which shares their checks doesn't load
the parsers of all of them.
"""

from __future__ import annotations

import enum

from attrs import frozen


class Severity(enum.StrEnum):
    """``ERROR`` is what a node refuses or leaves out; ``WARNING`` has an effect but is doubtful."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Finding:
    """One fault, at ``path`` in the document.

    ``rule`` is a stable name. ``line`` is None where the document has no lines.
    """

    severity: Severity
    rule: str
    path: str
    message: str
    expected: str = ""
    found: str = ""
    line: int | None = None


@frozen
class Change:
    """A difference from the version in force. ``touches`` tells whose traffic it affects."""

    subject: str
    name: str
    text: str
    touches: str = ""


@frozen
class Report:
    """Result of a check. ``version`` is None if it can't be read.

    ``changes`` is None if there was no version to compare with.
    """

    document_format: str
    version: int | None
    counts: dict[str, int]
    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] | None = None

    def count(self, severity: Severity) -> int:
        """Return the number of findings of ``severity``."""
        return sum(finding.severity is severity for finding in self.findings)


def make_warning(rule: str, path: str, message: str) -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, rule, path, message)


def make_field_error(
    rule: str, path: str, expected: str, found: str, *, subject: str = "", line: int | None = None
) -> Finding:
    """Return the error of a field that holds something else than ``expected``."""
    message = f"{subject}expected {expected}, got {found}"
    return Finding(Severity.ERROR, rule, path, message, expected, found, line)


def list_version_faults(version: int | None, in_force: int | None) -> list[Finding]:
    """Return an error if ``version`` isn't above the one in force, as nodes would ignore it."""
    if version is None or in_force is None or version > in_force:
        return []
    expected = f"a version above {in_force}, which is in force"
    return [make_field_error("version-not-newer", "version", expected, str(version))]
