"""Tells in the words of operators what a new configuration changes."""

from __future__ import annotations

import math
from collections.abc import Iterator

from cottonlink._findings import Change
from cottonlink.organisations import Organisation, OrganisationDirectory
from cottonlink.path import CallerLimits, Configuration, Route

_ALL_CALLERS = "requests of all callers"
# Longest list of routes whose traffic a change touches.
_MAX_LISTED = 5


def list_changes(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return what differs from ``old`` to ``new``; keys are only counted."""
    return (
        *_list_route_changes(old, new),
        *_list_organisation_changes(old.organisations, new.organisations),
        *_list_service_changes(old, new),
        *_list_limit_changes(old.limits, new.limits),
    )


def _list_route_changes(old: Configuration, new: Configuration) -> Iterator[Change]:
    before = {str(route.name): route for route in old.routes}
    after = {str(route.name): route for route in new.routes}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            route = after[name]
            text = f"added for {_describe_place(route)}, to {_describe_services(route)}"
            yield Change("route", name, text)
        elif name not in after:
            route = before[name]
            text = f"removed; it went to {_describe_services(route)}"
            yield Change("route", name, text, f"requests of {_describe_place(route)}")
        else:
            yield from _compare_routes(name, before[name], after[name])


def _compare_routes(name: str, old: Route, new: Route) -> Iterator[Change]:
    touches = f"requests of {_describe_place(new)}"
    texts = []
    if _describe_place(old) != _describe_place(new):
        texts.append(f"moved from {_describe_place(old)} to {_describe_place(new)}")
    if old.services != new.services:
        texts.append(f"moved from {_describe_services(old)} to {_describe_services(new)}")
    texts += [
        _compare("timeout", old.timeout_ms / 1000.0, new.timeout_ms / 1000.0, " s"),
        _compare("latency objective", old.objective_ms / 1000.0, new.objective_ms / 1000.0, " s"),
        _compare("attempts", old.upstream_limit, new.upstream_limit),
        _compare_ranks(old.rank, new.rank),
    ]
    if old.is_repeatable != new.is_repeatable:
        texts.append(f"requests may {'now' if new.is_repeatable else 'no longer'} be sent again")
    if old.needs_key != new.needs_key:
        texts.append(f"requests {'now need a key' if new.needs_key else 'need no key any more'}")
    for text in filter(None, texts):
        yield Change("route", name, text, touches)


def _list_organisation_changes(
    old: OrganisationDirectory | None, new: OrganisationDirectory | None
) -> Iterator[Change]:
    if (old is None) != (new is None):
        text = "requests now need a key" if old is None else "requests need no key any more"
        yield Change("organisations", "", text, f"{_ALL_CALLERS}, except routes without keys")
    before = _by_name(old)
    after = _by_name(new)
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Change("organisation", name, f"added with {_count_keys(after[name][1])}")
            continue
        touches = f"requests of {name}"
        if name not in after:
            text = f"removed with {_count_keys(before[name][1])}"
            yield Change("organisation", name, text, touches)
            continue
        (old_one, old_digests), (new_one, new_digests) = before[name], after[name]
        if added := new_digests - old_digests:
            yield Change("organisation", name, f"{_count_keys(added)} added")
        if removed := old_digests - new_digests:
            text = f"{_count_keys(removed)} taken away, {len(new_digests)} left"
            yield Change("organisation", name, text, f"requests of {name} with those keys")
        for text in _compare_organisations(old_one, new_one):
            yield Change("organisation", name, text, touches)


def _compare_organisations(old: Organisation, new: Organisation) -> Iterator[str]:
    rates, bursts = (
        [getattr(one.quota, name) if one.quota else math.inf for one in (old, new)]
        for name in ("rate_per_s", "burst")
    )
    texts = [
        _compare("rate", *rates, "/s"),
        _compare("burst", *bursts),
        _compare_ranks(old.rank, new.rank),
    ]
    yield from filter(None, texts)


def _list_service_changes(old: Configuration, new: Configuration) -> Iterator[Change]:
    before, after = old.connection_limits, new.connection_limits
    places: dict[str, list[str]] = {}
    for route in new.routes:
        for entry in route.services:
            places.setdefault(entry.service, []).append(_describe_place(route))
    for service in sorted(before.keys() | after.keys(), key=str):
        limits = (limit_of.get(service, math.inf) for limit_of in (before, after))
        if text := _compare("connections to a target", *limits):
            yield Change("service", str(service), text, _describe_traffic(places.get(service, [])))


def _list_limit_changes(old: CallerLimits, new: CallerLimits) -> Iterator[Change]:
    for text in (
        _compare("size of a request's head", old.header_bytes, new.header_bytes, " bytes"),
        _compare("size of a request's body", old.body_bytes, new.body_bytes, " bytes"),
        _compare("time for a head", old.header_timeout_ms, new.header_timeout_ms, " ms"),
        _compare("time of an idle connection", old.idle_timeout_ms, new.idle_timeout_ms, " ms"),
    ):
        if text:
            yield Change("limits", "", text, _ALL_CALLERS)


def _compare(label: str, old: float, new: float, unit: str = "") -> str:
    if old == new:
        return ""
    verb = "lowered" if new < old else "raised"
    return f"{label} {verb} from {_describe_limit(old, unit)} to {_describe_limit(new, unit)}"


def _compare_ranks(old: int | None, new: int | None) -> str:
    # 0 is the most important, so lower and higher would be misread.
    names = ["that of the route" if rank is None else str(rank) for rank in (old, new)]
    return "" if old == new else f"priority changed from {names[0]} to {names[1]} (0 is highest)"


def _describe_limit(value: float, unit: str) -> str:
    return "no limit" if math.isinf(value) else f"{value:.15g}{unit}"


def _describe_place(route: Route) -> str:
    return route.host + route.prefix.decode()


def _describe_services(route: Route) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    return ", ".join(f"{entry.service} (weight {entry.weight:g})" for entry in route.services)


def _describe_traffic(places: list[str]) -> str:
    if not places:
        return "no route"
    more = f" and {len(places) - _MAX_LISTED} more" if len(places) > _MAX_LISTED else ""
    return f"requests of {', '.join(places[:_MAX_LISTED])}{more}"


def _by_name(
    directory: OrganisationDirectory | None,
) -> dict[str, tuple[Organisation, set[bytes]]]:
    if directory is None:
        return {}
    digests = directory.digests_by_name()
    return {one.name: (one, digests[one.name]) for one in directory.organisations}


def _count_keys(digests: set[bytes]) -> str:
    return "1 key" if len(digests) == 1 else f"{len(digests)} keys"
