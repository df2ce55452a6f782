"""Policy records as the rest of the code uses them (schema 2).

Records of other schemas are upgraded to these classes; see ``cottonlink.policy.load_policy``.
"""

from __future__ import annotations

import functools

from attrs import field, frozen

MAX_CALL_DEPTH = 10
LOWEST_IMPORTANCE = 1
HIGHEST_IMPORTANCE = 9


@frozen
class Upstream:
    """A target and the node beside it. Addresses are ``ip:port``."""

    name: str
    data_centre: str
    peer_address: str
    control_address: str
    slots: int
    connections: int


@frozen
class RequestKind:
    """A kind of request to a service.

    ``path`` is a prefix of the path below the service. A request belongs to the kind with the
    longest matching prefix among those that list its method. ``importance`` runs from 1 to 9.
    """

    name: str
    methods: tuple[str, ...]
    path: str
    importance: int
    repeatable: bool
    timeout_ms: int


@frozen
class Service:
    """A service, its upstreams and its kinds of request."""

    name: str
    upstreams: tuple[Upstream, ...]
    kinds: tuple[RequestKind, ...]

    def match_kind(self, method: str, path: str) -> RequestKind | None:
        """Return the kind of a request, or None if the policy doesn't list it."""
        matches = (
            kind for kind in self.kinds if method in kind.methods and path.startswith(kind.path)
        )
        return max(matches, key=lambda kind: len(kind.path), default=None)

    def find_upstream(self, name: str) -> Upstream | None:
        """Return the upstream called ``name``, or None."""
        return next((upstream for upstream in self.upstreams if upstream.name == name), None)


@frozen
class RetryPolicy:
    """How much repeating is allowed.

    ``budget_per_request`` is the number of retries of one root request in the whole chain.
    ``upstream_ratio`` is the largest share of retries in the first attempts sent to an upstream.
    """

    budget_per_request: int = 3
    upstream_ratio: float = 0.1


@frozen(hash=False, eq=True)
class Policy:
    """One published policy record. ``version`` only rises.

    ``body`` is the record as it was published (zlib-compressed JSON) and ``digest`` its hash. Nodes
    pass on the published form, not their own reading of it, so that a node of another release
    can apply its own upgrade and all of them agree on the digest. Both are empty if the policy
    was made in the program; see ``encode_policy``.
    """

    version: int
    services: tuple[Service, ...] = ()
    retry: RetryPolicy = field(factory=RetryPolicy)
    digest: str = field(default="", eq=False, repr=False)
    body: bytes = field(default=b"", eq=False, repr=False)

    @functools.cached_property
    def services_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        return {up.name: up for service in self.services for up in service.upstreams}

    @functools.cached_property
    def service_by_upstream(self) -> dict[str, Service]:
        return {up.name: service for service in self.services for up in service.upstreams}
