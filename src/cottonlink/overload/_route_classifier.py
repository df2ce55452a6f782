"""Tells routes of nested calls from routes of callers outside, by where their requests come from.

A nested call is one that a running request makes. Under overload it must go before new requests,
but nothing on a call says what it is. Callers outside reach a route from the VMs of all services;
nested calls come from the VMs of the few services that make them. The target's node sees the
services that a route's requests come from, and reports the result to the nodes where they enter. A
wrong result affects only which requests go first, never correctness.
"""

from __future__ import annotations

from collections import Counter

from attrs import define, field

# With fewer requests a route is not classified.
MIN_REQUESTS = 20
# A service counts as an origin if it sends more than this share of a route's requests; a smaller
# share comes from calls that were misclassified.
MIN_ORIGIN_SHARE = 0.03
# All counts are halved at this number of requests, so that the result follows a route whose origins
# change.
HALVE_AT_REQUESTS = 400
# A route is nested if at most this share of all services are its origins.
MAX_NESTED_ORIGIN_SHARE = 0.5


@define
class _OriginCounts:
    counts: Counter = field(factory=Counter)
    total: int = 0


class RouteClassifier:
    """Counts the services that each route's requests come from, at their target's node."""

    def __init__(self) -> None:
        self._routes: dict[str, _OriginCounts] = {}
        self._service_count = 0

    def set_service_count(self, count: int) -> None:
        """Set the number of services in the fleet."""
        self._service_count = count

    def observe(self, route: str, service: str) -> None:
        """Count a request of ``route`` that came from a VM of ``service``."""
        origins = self._routes.setdefault(route, _OriginCounts())
        origins.counts[service] += 1
        origins.total += 1
        if origins.total >= HALVE_AT_REQUESTS:
            origins.counts = Counter({s: n // 2 for s, n in origins.counts.items() if n > 1})
            origins.total = sum(origins.counts.values())

    def is_nested(self, route: str) -> bool | None:
        """Return whether the requests of ``route`` are nested calls, or None if unknown."""
        origins = self._routes.get(route)
        if origins is None or origins.total < MIN_REQUESTS or self._service_count < 2:
            return None
        min_count = MIN_ORIGIN_SHARE * origins.total
        origin_count = sum(1 for count in origins.counts.values() if count > min_count)
        return origin_count <= MAX_NESTED_ORIGIN_SHARE * self._service_count


def make_route_classifier() -> RouteClassifier:
    """Return a classifier that has seen no requests."""
    return RouteClassifier()
