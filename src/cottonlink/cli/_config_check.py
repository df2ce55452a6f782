"""The command that checks a configuration before it is sent."""

from __future__ import annotations

import contextlib
import gc
import sys
from collections.abc import Iterator
from typing import Any

import attrs
import click
import orjson

from cottonlink._findings import Finding, Report, Severity, make_field_error
from cottonlink.cli._files import read_text
from cottonlink.cli._output import reports_errors
from cottonlink.errors import CottonlinkError, Step

EXIT_ERRORS = 1
EXIT_WARNINGS = 2
# EX_USAGE of sysexits.h; click's own status for it is that of warnings here.
EXIT_USAGE = 64
DEFAULT_MEMORY_MB = 200.0
READ_TIMEOUT_S = 5.0
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
_NOT_FOUND = 404
_COLOURS = {Severity.ERROR: "red", Severity.WARNING: "yellow"}


class _UsageStatus:
    """Gives faults of the command line the exit status for usage."""

    def make_context(self, *args: Any, **kwargs: Any) -> click.Context:
        try:
            return super().make_context(*args, **kwargs)
        except click.UsageError as error:
            error.exit_code = EXIT_USAGE
            raise

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except click.UsageError as error:
            error.exit_code = EXIT_USAGE
            raise


class _UsageCommand(_UsageStatus, click.Command):
    pass


class _UsageGroup(_UsageStatus, click.Group):
    command_class = _UsageCommand


@click.group("config", cls=_UsageGroup)
def config_group() -> None:
    """Check a configuration before it is sent."""


@config_group.command("check")
@click.argument("file", type=click.Path())
@click.option("--against", metavar="URL|FILE", help="The version in force; a URL is the store's.")
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
)
@click.option("--strict", is_flag=True, help=f"Exit with {EXIT_WARNINGS} if there are warnings.")
@click.option(
    "--memory-mb",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_MEMORY_MB,
    show_default=True,
    help="What the process of the smallest node may hold.",
)
@reports_errors
def check_config(
    file: str, against: str | None, output_format: str, strict: bool, memory_mb: float
) -> None:
    """Report all faults of FILE, a policy record or a configuration of the platform."""
    in_force = None if against is None else _read_in_force(against)
    with _paused_collector():
        report = _check(read_text(file), in_force, memory_mb)
    if output_format == "json":
        click.echo(orjson.dumps(_to_json(report), option=orjson.OPT_INDENT_2))
    else:
        _print_text(report)
    if report.count(Severity.ERROR):
        sys.exit(EXIT_ERRORS)
    if strict and report.count(Severity.WARNING):
        sys.exit(EXIT_WARNINGS)


@contextlib.contextmanager
def _paused_collector() -> Iterator[None]:
    """Pause garbage collection: a check builds only what it reports, without cycles.

    With 10,000 entries, passes of the collector take a quarter of the time.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _check(text: str, in_force: str | None, memory_mb: float) -> Report:
    from cottonlink.platform import check_configuration, is_configuration

    is_of_platform = is_configuration(text)
    is_mixed = in_force is not None and is_configuration(in_force) != is_of_platform
    compared = None if is_mixed else in_force
    if is_of_platform:
        report = check_configuration(text, compared, memory_mb)
    else:
        from cottonlink.policy import check_record

        report = check_record(text, compared)
    if not is_mixed:
        return report
    expected = "the format of the version to compare with"
    fault = make_field_error("format-differs", "document", expected, report.document_format)
    return attrs.evolve(report, findings=(fault, *report.findings))


def _read_in_force(source: str) -> str | None:
    """Return the version in force; None if the store has none. Raises CottonlinkError."""
    if not source.startswith(("http://", "https://")):
        return read_text(source)
    import urllib3

    from cottonlink.platform import IN_FORCE_TARGET, decode_in_force

    is_store = urllib3.util.parse_url(source).path in (None, "", "/")
    url = source.rstrip("/") + IN_FORCE_TARGET if is_store else source
    body = _fetch(url)
    if body is None and is_store:
        click.echo("the store has no configuration yet", err=True)
        return None
    if body is None:
        raise _unreadable(url, "status 404")
    return decode_in_force(body) if is_store else body.decode("utf-8", "replace")


def _fetch(url: str) -> bytes | None:
    import urllib3

    try:
        with urllib3.PoolManager(retries=False, timeout=READ_TIMEOUT_S) as http:
            response = http.request("GET", url, preload_content=False)
            body = response.read(MAX_DOCUMENT_BYTES + 1)
            response.release_conn()
    except urllib3.exceptions.HTTPError as error:
        raise _unreadable(url, f"no answer ({type(error).__name__})") from error
    if response.status == _NOT_FOUND:
        return None
    if response.status != 200:
        raise _unreadable(url, f"status {response.status}")
    if len(body) > MAX_DOCUMENT_BYTES:
        raise _unreadable(url, f"more than {MAX_DOCUMENT_BYTES} bytes")
    return body


def _unreadable(url: str, detail: str) -> CottonlinkError:
    return CottonlinkError("in_force_unreadable", detail, step=Step.POLICY_READ, peer=url)


def _to_json(report: Report) -> dict[str, Any]:
    return {
        "format": report.document_format,
        "version": report.version,
        **report.counts,
        "errors": report.count(Severity.ERROR),
        "warnings": report.count(Severity.WARNING),
        "findings": [attrs.asdict(finding) for finding in report.findings],
        "changes": (
            None if report.changes is None else [attrs.asdict(change) for change in report.changes]
        ),
    }


def _print_text(report: Report) -> None:
    counts = "".join(f", {name}: {count}" for name, count in report.counts.items())
    lines = [f"{report.document_format}, version: {report.version}{counts}"]
    lines += map(_describe_finding, report.findings)
    if report.changes is not None:
        lines.append("changes:" if report.changes else "changes: none")
        for change in report.changes:
            touches = f" (touches {change.touches})" if change.touches else ""
            lines.append(f"  {f'{change.subject} {change.name}'.strip()}: {change.text}{touches}")
    error_count, warning_count = map(report.count, Severity)
    lines.append(f"errors: {error_count}, warnings: {warning_count}")
    # click removes colours where the output is no terminal.
    click.echo("\n".join(lines))


def _describe_finding(finding: Finding) -> str:
    severity = click.style(finding.severity.value, fg=_COLOURS[finding.severity])
    line = f" (line {finding.line})" if finding.line else ""
    return f"{severity} {finding.path}{line}: {finding.message} [{finding.rule}]"
