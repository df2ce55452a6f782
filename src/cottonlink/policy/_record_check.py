"""Checks a policy record before it is published."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from typing import Any

import yaml

from cottonlink._document_lines import Steps, find_innermost, find_lines, place_findings, split_path
from cottonlink._findings import (
    Change,
    Finding,
    Report,
    Severity,
    list_version_faults,
    make_warning,
)
from cottonlink.errors import PolicyError
from cottonlink.policy._diff import Difference, diff_policies
from cottonlink.policy._loading import load_policy
from cottonlink.policy._records import Policy

FORMAT = "policy"
_PROBLEM = re.compile(r"expected (?P<expected>.*), got (?P<found>.*)", re.DOTALL)


def check_record(text: str, in_force: str | None) -> Report:
    """Return the findings about a record, and its changes from the one in force if any.

    The rules for limits and unused entries need a record without faults.
    """
    find = find_lines if text.lstrip()[:1] == "{" else _find_yaml_lines
    try:
        policy = load_policy(text, max_problems=None)
    except PolicyError as error:
        findings = [_to_finding(problem, error.code) for problem in error.problems]
        is_readable = error.code not in ("policy_malformed", "policy_too_large")
        placed = place_findings(text, findings, find if is_readable else _find_nothing)
        return Report(FORMAT, None, {}, placed)
    findings = list(_list_warnings(policy))
    changes = None
    if in_force is not None:
        try:
            old = load_policy(in_force)
        except PolicyError as error:
            message = f"the version to compare with is invalid: {error.problems[0]}"
            findings.append(make_warning("in-force-invalid", "record", message))
        else:
            findings += list_version_faults(policy.version, old.version)
            changes = tuple(_list_changes(old, policy))
    counts = {"services": len(policy.services), "upstreams": len(policy.upstreams_by_name)}
    return Report(FORMAT, policy.version, counts, place_findings(text, findings, find), changes)


def _to_finding(problem: str, code: str) -> Finding:
    path, _, message = problem.partition(": ")
    parts = _PROBLEM.fullmatch(message)
    expected, found = parts.group("expected", "found") if parts else ("", "")
    # Messages of the YAML parser have several lines.
    text = " ".join(message.split())
    return Finding(Severity.ERROR, code.replace("_", "-"), path, text, expected, found)


def _list_warnings(policy: Policy) -> Iterator[Finding]:
    for index, service in enumerate(policy.services):
        path = f"services[{index}]"
        for part in ("upstreams", "kinds"):
            if not getattr(service, part):
                message = f"service {service.name!r} has no {part}: it gets no requests"
                yield make_warning(f"service-without-{part}", path, message)
        for number, upstream in enumerate(service.upstreams):
            if upstream.connections < upstream.slots:
                message = f"{upstream.connections} connections can't fill {upstream.slots} slots"
                yield make_warning(
                    "connections-below-slots", f"{path}.upstreams[{number}]", message
                )
    retry = policy.retry
    if retry.budget_per_request and not retry.upstream_ratio:
        message = "upstream_ratio 0 allows no retries, though budget_per_request does"
        yield make_warning("retries-contradict", "retry", message)


def _list_changes(old: Policy, new: Policy) -> Iterator[Change]:
    names = sorted(old.services_by_name.keys() | new.services_by_name.keys(), key=len, reverse=True)
    for difference in diff_policies(old, new):
        if difference.path == "version":
            continue
        prefix = f"{difference.path}."
        service = next((name for name in names if prefix.startswith(f"services.{name}.")), None)
        touches = f"requests to {service}" if service else "all requests"
        yield Change("record", difference.path, _describe_difference(difference), touches)


def _describe_difference(difference: Difference) -> str:
    old, new = difference.old, difference.new
    if old is None or new is None:
        return "added" if old is None else "removed"
    verb = "changed"
    if _is_number(old) and _is_number(new):
        verb = "lowered" if new < old else "raised"
    return f"{verb} from {old} to {new}"


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _find_nothing(_text: str, _paths: Iterable[str]) -> dict[str, int]:
    return {}


def _find_yaml_lines(text: str, paths: Iterable[str]) -> dict[str, int]:
    """Return the line of each of ``paths`` in YAML, as ``find_lines`` does for JSON."""
    lines: dict[Steps, int] = {}
    _collect_lines(yaml.compose(text, yaml.CSafeLoader), (), lines)
    return {path: lines[find_innermost(split_path(path), lines)] for path in paths}


def _collect_lines(node: yaml.Node, steps: Steps, lines: dict[Steps, int]) -> None:
    lines.setdefault(steps, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            lines[(*steps, key.value)] = key.start_mark.line + 1
            _collect_lines(value, (*steps, key.value), lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect_lines(value, (*steps, index), lines)
