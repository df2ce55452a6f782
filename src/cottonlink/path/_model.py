"""Types of the call path: routes, limits, upstreams, requests and outcomes of calls.

The platform's adapter decodes what operators and targets publish into these types.
"""

from __future__ import annotations

from attrs import field, frozen

from cottonlink._value_class import value_class
from cottonlink.organisations import OrganisationDirectory
from cottonlink.path._body import Body, WholeBody


@frozen
class WeightedService:
    """A service that receives a share of a route's requests, in proportion to ``weight``."""

    service: str
    weight: float


@frozen
class Route:
    """How requests with one host and path prefix are handled.

    ``rank`` is the importance of the route; 0 is the highest. ``objective_ms`` is the latency
    objective, within which a response is of full use. ``upstream_limit`` is the largest number of
    upstreams that one attempt of a caller may reach. ``needs_key`` tells whether a request must
    carry the API key of an organisation, if the configuration has any.
    """

    name: str
    host: str
    prefix: bytes
    is_repeatable: bool
    timeout_ms: float
    objective_ms: float
    rank: int
    upstream_limit: int
    services: tuple[WeightedService, ...]
    needs_key: bool = True


@frozen
class HostRoutes:
    """The routes of one host by prefix, and the lengths of the prefixes, the longest first.

    A path is compared once for each length, however many slashes it has.
    """

    by_prefix: dict[bytes, Route]
    lengths: tuple[int, ...]

    def find(self, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        Prefixes end with ``/``.
        """
        for length in self.lengths:
            if path[length - 1 : length] == b"/":
                route = self.by_prefix.get(path[:length])
                if route is not None:
                    return route
        return None


def make_host_routes(by_prefix: dict[bytes, Route]) -> HostRoutes:
    """Return the routes of one host."""
    return HostRoutes(by_prefix, tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)))


@frozen
class CallerLimits:
    """Limits on the size of a caller's request, and time-outs of its connection."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@frozen
class Configuration:
    """One version of the operator's configuration; ``connection_limits`` is by service.

    ``organisations`` is None if requests need no API key. ``problems`` tells what was left out as
    invalid.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    connection_limits: dict[str, int]
    organisations: OrganisationDirectory | None = None
    problems: tuple[str, ...] = ()
    _hosts: dict[str, HostRoutes] = field(init=False, repr=False, eq=False)

    @_hosts.default
    def _index_routes(self) -> dict[str, HostRoutes]:
        by_host: dict[str, dict[bytes, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        return {host: make_host_routes(by_prefix) for host, by_prefix in by_host.items()}

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        routes = self._hosts.get(host)
        return None if routes is None else routes.find(path)


@frozen
class Upstream:
    """A target that registered itself.

    ``upstream_id`` identifies the registration; ``started_at_ms`` (Unix time) tells apart restarts
    under the same id. ``address`` is that of the target itself; its node listens on the same VM.
    ``slots`` is the number of calls that the target runs concurrently. ``sequence`` rises with each
    time that a target has written its registration, and is None if it isn't known.
    """

    upstream_id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool
    warmup_left_ms: float
    started_at_ms: int | None
    # Two registrations that differ only in it are equal.
    sequence: int | None = field(default=None, eq=False)

    @property
    def vm_ip(self) -> str:
        """IP address of the VM, shared by the target and its node."""
        return self.address[0]


@value_class
class Request:
    """A complete request of a caller.

    ``target`` is the path with its query and ``host_header`` the ``Host`` field, both as sent;
    ``host`` is the host name without a port, in lower case. ``remaining_ms`` is the time until the
    caller's deadline, counted from arrival, None if the caller set no deadline.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: bytes
    host_header: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: WholeBody
    remaining_ms: float | None

    @property
    def path(self) -> bytes:
        """The path of ``target``, without its query."""
        return self.target.partition(b"?")[0]


@value_class
class Load:
    """Load of a target, measured by the node next to it.

    ``limit`` is the number of calls that may run at a time, ``service_ms`` their average run time.
    """

    running: int
    queued: int
    limit: int
    service_ms: float


@value_class
class TargetReport:
    """What the node next to a target reports with each outcome.

    ``is_nested`` tells whether the route's requests are nested calls, which running requests make;
    None if unknown. ``makes_calls`` tells whether the target makes nested calls. ``pressure`` is
    the work at the target, running and queued, or at the targets that it calls if that is more, in
    multiples of what runs concurrently. ``is_failed_by_calls`` tells that the run failed since a
    service that it calls turned its calls away, and not by a fault of the target.
    """

    load: Load
    is_nested: bool | None
    makes_calls: bool
    pressure: float = 0.0
    is_failed_by_calls: bool = False


@value_class
class Answered:
    """A response of an upstream, with its whole body or with a long one that is still arriving."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: Body
    report: TargetReport | None = None


@value_class
class NotRun:
    """The request didn't run and won't; ``reason`` is a stable code.

    ``reached_target`` tells whether a target received it and refused.
    """

    reason: str
    retry_after_ms: float = 0.0
    reached_target: bool = False
    report: TargetReport | None = None


@value_class
class OutcomeUnknown:
    """The request may have run, and its response is lost; ``reason`` is a stable code."""

    reason: str
    target_crashed: bool = False


Outcome = Answered | NotRun | OutcomeUnknown


def with_report(outcome: Outcome, report: TargetReport) -> Outcome:
    """Return ``outcome`` with ``report``; an unknown outcome carries none and stays as it is."""
    if isinstance(outcome, Answered):
        return Answered(outcome.status, outcome.headers, outcome.body, report)
    if isinstance(outcome, NotRun):
        return NotRun(outcome.reason, outcome.retry_after_ms, outcome.reached_target, report)
    return outcome
