"""Rules for configurations that nodes accept, but that don't have the effect that they suggest."""

from __future__ import annotations

import functools
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from cottonlink._findings import Finding, make_warning
from cottonlink.overload import memory_limit_bytes
from cottonlink.path import CallerLimits, Route
from cottonlink.platform._configuration_reader import (
    REPEATABLE_KINDS,
    Draft,
    Entry,
    OrganisationEntry,
    ServiceEntry,
)
from cottonlink.platform._fields import describe

_KINDS = (*REPEATABLE_KINDS, "unsafe")
# A burst is compared with what the rate allows in this time.
_BURST_S = 1.0


def list_warnings(draft: Draft, memory_mb: float) -> list[Finding]:
    """Return the warnings about the valid entries of a configuration."""
    warnings = [w for e in draft.entries for w in _check_record(e.record, e, memory_mb)]
    for rule in _DOCUMENT_RULES:
        warnings += rule(draft)
    return warnings


@functools.singledispatch
def _check_record(record: Any, entry: Entry, memory_mb: float) -> Iterator[Finding]:
    """Yield the warnings about one entry, whatever the others are."""
    known = ("routes", "services", "limits", "tenants")
    if entry.resource_type not in known:
        yield make_warning(
            "unknown-type",
            f"{entry.path}.resource_type",
            f"{describe(entry.resource_type)} is none of {', '.join(known)}: the entry is ignored",
        )


@_check_record.register
def _check_route(route: Route, entry: Entry, memory_mb: float) -> Iterator[Finding]:
    path, spec = f"{entry.path}.spec", entry.spec
    if not isinstance(route.name, str) or not route.name:
        yield make_warning(
            "route-without-name", f"{entry.path}.metadata.name", "expected the name of the route"
        )
    if not (route.prefix.startswith(b"/") and route.prefix.endswith(b"/")):
        message = "never matches: only prefixes that begin and end with / are compared"
        yield make_warning("prefix-never-matches", f"{path}.prefix", message)
    if ":" in route.host:
        message = "never matches: hosts are compared without a port"
        yield make_warning("host-never-matches", f"{path}.host", message)
    if spec["kind"] not in _KINDS:
        message = f"{describe(spec['kind'])} is none of {', '.join(_KINDS)}: taken for unsafe"
        yield make_warning("unknown-kind", f"{path}.kind", message)
    if not isinstance(spec.get("auth_exempt", False), bool):
        message = "expected true or false: requests need a key"
        yield make_warning("auth-exempt-not-boolean", f"{path}.auth_exempt", message)
    if "weighted_targets" in spec and not any(s.weight for s in route.services):
        message = f"every weight is 0: all requests go to {route.services[0].service!r}"
        yield make_warning("weight-zero-everywhere", f"{path}.weighted_targets", message)
    yield from _check_times(route, path, spec)


def _check_times(route: Route, path: str, spec: dict[str, Any]) -> Iterator[Finding]:
    timeout_s = spec["timeout_s"]
    if timeout_s == 0:
        yield make_warning("limit-of-zero", f"{path}.timeout_s", "0 leaves no time for an answer")
    if "target_latency_s" not in spec:
        return
    latency_s, attempts = spec["target_latency_s"], route.upstream_limit
    if timeout_s < latency_s:
        message = f"timeout_s {timeout_s:g} is below target_latency_s {latency_s:g}"
        yield make_warning("timeout-below-latency", f"{path}.timeout_s", message)
    elif attempts > 1 and attempts * latency_s > timeout_s:
        message = (
            f"{attempts} attempts of target_latency_s {latency_s:g} don't fit in timeout_s "
            f"{timeout_s:g}"
        )
        yield make_warning("attempts-exceed-timeout", f"{path}.max_attempts", message)


@_check_record.register
def _check_service(service: ServiceEntry, entry: Entry, memory_mb: float) -> Iterator[Finding]:
    if entry.spec.get("max_connections") is None:
        return
    limit = service.connection_limit
    if limit is None or limit < 1:
        message = "expected an integer of at least 1" + (": ignored" if limit is None else "")
        yield make_warning("connection-limit", f"{entry.path}.spec.max_connections", message)


@_check_record.register
def _check_limits(limits: CallerLimits, entry: Entry, memory_mb: float) -> Iterator[Finding]:
    path = f"{entry.path}.spec"
    room_bytes = memory_limit_bytes(memory_mb)
    if limits.body_bytes > room_bytes:
        message = (
            f"{limits.body_bytes} is above the {room_bytes} bytes of bodies that a node with "
            f"{memory_mb:g} MB holds at once"
        )
        yield make_warning("body-above-memory", f"{path}.max_body_bytes", message)
    if limits.header_bytes > limits.body_bytes:
        message = f"{limits.header_bytes} is above max_body_bytes {limits.body_bytes}"
        yield make_warning("header-above-body", f"{path}.max_header_bytes", message)
    if limits.header_bytes <= 0:
        yield make_warning("limit-of-zero", f"{path}.max_header_bytes", "refuses every request")
    for name in ("header_timeout_s", "idle_timeout_s"):
        if entry.spec.get(name) == 0:
            yield make_warning("limit-of-zero", f"{path}.{name}", "0 leaves no time for a request")


@_check_record.register
def _check_organisation(
    record: OrganisationEntry, entry: Entry, memory_mb: float
) -> Iterator[Finding]:
    path, subject = f"{entry.path}.spec", f"organisation {record.organisation.name!r}"
    repeated = len(record.digests) - len(set(record.digests))
    if repeated:
        message = f"{subject}: holds {repeated} of its keys more than once"
        yield make_warning("key-repeated", f"{path}.api_keys", message)
    quota = record.organisation.quota
    if quota is None:
        # Without a quota, the rate is 0, absent or invalid; the last is an error by itself.
        if entry.spec.get("burst") and not entry.spec.get("rate_per_s"):
            message = f"{subject}: without rate_per_s there is no quota, so burst has no effect"
            yield make_warning("burst-without-rate", f"{path}.burst", message)
        return
    needed = max(1.0, quota.rate_per_s * _BURST_S)
    if quota.burst < needed:
        message = (
            f"{subject}: burst {quota.burst:g} is below the {needed:g} requests that "
            f"{_BURST_S:g} s at rate_per_s {quota.rate_per_s:g} needs"
        )
        yield make_warning("burst-below-rate", f"{path}.burst", message)


def _find_shadowed_routes(draft: Draft) -> Iterator[Finding]:
    """Find routes that another one replaces: of one host and prefix, the last counts."""
    last: dict[tuple[str, bytes], Entry] = {}
    for entry, route in reversed(draft.records(Route)):
        winner = last.setdefault((route.host, route.prefix), entry)
        if winner is not entry:
            message = f"never matches: {winner.path} has the same host and prefix"
            yield make_warning("route-shadowed", entry.path, message)


def _find_repeated_entries(draft: Draft) -> Iterator[Finding]:
    """Find entries with the name of another; of services and limits, the last counts."""
    last: dict[tuple[str, str], str] = {}
    for record_type in (Route, ServiceEntry, CallerLimits):
        for entry, _ in reversed(draft.records(record_type)):
            # All entries with limits are about the same.
            name = "" if record_type is CallerLimits else entry.name
            if not isinstance(name, str) or (not name and record_type is not CallerLimits):
                continue
            other = last.setdefault((entry.resource_type, name), entry.path)
            if other != entry.path:
                # Routes of one name share their throttle and their place in weighted turns.
                effect = "has the same name" if record_type is Route else "replaces it"
                yield make_warning("entry-repeated", entry.path, f"{other} {effect}")


def _find_idle_services(draft: Draft) -> Iterator[Finding]:
    """Find services that get no requests. An invalid route might name them."""
    if draft.faults:
        return
    weights: Counter[str] = Counter()
    paths: dict[str, str] = {}
    for entry, route in draft.records(Route):
        for index, service in enumerate(route.services):
            is_single = len(route.services) == 1
            weights[service.service] += 1.0 if is_single else service.weight
            paths.setdefault(service.service, f"{entry.path}.spec.weighted_targets[{index}]")
        if not any(service.weight for service in route.services):
            # All requests go to the first one then; the route has a warning of its own.
            weights[route.services[0].service] += 1.0
    for service, path in paths.items():
        if not weights[service]:
            message = f"service {service!r} has weight 0 in every route that names it"
            yield make_warning("service-weight-zero", f"{path}.weight", message)
    for entry, _ in draft.records(ServiceEntry):
        if isinstance(entry.name, str) and entry.name not in paths:
            message = f"no route names the service {entry.name!r}"
            yield make_warning("service-unnamed", entry.path, message)
    if not draft.records(Route):
        message = "there are no routes: every request is answered with 404"
        yield make_warning("no-routes", "resources", message)


_DOCUMENT_RULES: tuple[Callable[[Draft], Iterator[Finding]], ...] = (
    _find_shadowed_routes,
    _find_repeated_entries,
    _find_idle_services,
)
