"""Checks of the fields of a policy record, shared by all schemas."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from cottonlink._structuring import (
    check_address,
    check_bool,
    check_data_centre,
    check_integer,
    check_list,
    check_name,
    check_number,
    check_string,
    describe,
)
from cottonlink.policy._records import (
    HIGHEST_IMPORTANCE,
    LOWEST_IMPORTANCE,
    RequestKind,
    RetryPolicy,
    Upstream,
)

# Versions travel in JSON, where many readers hold integers above 2**53 only approximately.
HIGHEST_VERSION = 2**53 - 1

_MAX_SLOTS = 1_000_000
_MAX_TIMEOUT_MS = 3_600_000
_MAX_BUDGET = 100
_METHOD = re.compile(r"[A-Z]{1,20}", re.ASCII)


def check_method(value: Any) -> str:
    """Return ``value`` if it is an HTTP method in capitals, else raise ValueError."""
    if not _METHOD.fullmatch(check_string(value)):
        raise ValueError(f"expected an HTTP method in capitals, got {describe(value)}")
    return value


def check_path(value: Any) -> str:
    """Return ``value`` if it is a path that starts with a slash, else raise ValueError."""
    if not check_string(value).startswith("/") or len(value) > 1_000:
        raise ValueError(f"expected a path that starts with /, got {describe(value)}")
    return value


def check_methods(value: Any) -> tuple[str, ...]:
    """Return ``value`` as a tuple if it lists at least one HTTP method, else raise ValueError."""
    methods = check_list(check_method, max_count=20)(value)
    if not methods:
        raise ValueError("expected at least one method")
    return methods


check_version = check_integer(1, HIGHEST_VERSION)
check_importance = check_integer(LOWEST_IMPORTANCE, HIGHEST_IMPORTANCE)
check_timeout_ms = check_integer(1, _MAX_TIMEOUT_MS)
check_budget = check_integer(0, _MAX_BUDGET)

UPSTREAM_CHECKS = {
    "name": check_name,
    "data_centre": check_data_centre,
    "peer_address": check_address,
    "control_address": check_address,
    "slots": check_integer(1, _MAX_SLOTS),
}
KIND_CHECKS = {
    "name": check_name,
    "path": check_path,
    "importance": check_importance,
}
CHECKS = {
    Upstream: UPSTREAM_CHECKS | {"connections": check_integer(1, _MAX_SLOTS)},
    RequestKind: KIND_CHECKS
    | {"methods": check_methods, "repeatable": check_bool, "timeout_ms": check_timeout_ms},
    RetryPolicy: {"budget_per_request": check_budget, "upstream_ratio": check_number(0, 1)},
}


def list_duplicates(record: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the names and addresses that ``record`` uses twice, as ``path: fault``.

    Takes the record before it is structured and passes over entries of a wrong type, so that
    these faults are reported together with all others.
    """
    services = list(_entries(record, "services", ""))
    upstreams = [
        entry for path, service in services for entry in _entries(service, "upstreams", path)
    ]
    problems = _repeated(services, "name")
    for field_name in ("name", "peer_address", "control_address"):
        problems += _repeated(upstreams, field_name)
    for path, service in services:
        kinds = list(_entries(service, "kinds", path))
        problems += _repeated(kinds, "name")
        problems += _ambiguous(kinds)
    return tuple(problems)


def _entries(parent: Mapping, name: str, path: str) -> Iterator[tuple[str, Mapping]]:
    values = parent.get(name)
    for index, entry in enumerate(values if isinstance(values, list | tuple) else ()):
        if isinstance(entry, Mapping):
            yield f"{path}.{name}[{index}]".lstrip("."), entry


def _repeated(entries: list[tuple[str, Mapping]], name: str) -> list[str]:
    return _collisions(entries, lambda entry: [entry.get(name)], f"{name}")


def _ambiguous(kinds: list[tuple[str, Mapping]]) -> list[str]:
    """Two kinds with one method and path would be told apart by their order alone."""
    return _collisions(kinds, _routes, "method and path")


def _routes(kind: Mapping) -> list[str]:
    methods = kind.get("methods", [kind.get("method")])
    texts = methods if isinstance(methods, list | tuple) else []
    path = kind.get("path")
    return [f"{method} {path}" for method in dict.fromkeys(map(str, texts))]


def _collisions(
    entries: list[tuple[str, Mapping]], keys: Callable[[Mapping], list], what: str
) -> list[str]:
    first: dict[str, str] = {}
    problems = []
    for path, entry in entries:
        for key in keys(entry):
            if not isinstance(key, str):
                continue
            if key in first:
                problems.append(f"{path}: {what} {describe(key)} is used by {first[key]} already")
            first.setdefault(key, path)
    return problems
