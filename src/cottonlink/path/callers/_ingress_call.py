"""State of one caller's request at the node that received it."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from cottonlink.organisations import Organisation
from cottonlink.overload import NESTED_CALL_TIER, ParentRun, Placement, make_placement
from cottonlink.path._http import Headers
from cottonlink.path._model import Answered, Configuration, Request, Route, Upstream
from cottonlink.path.callers._exchange import Exchange


@define(eq=False)
class IngressCall:
    """A caller's request from its arrival to its final response.

    ``reached_target_count`` counts the sends that a target received or may have received,
    ``reached_upstream_ids`` are the upstreams that they went to, and ``placement`` decides on the
    sends that end before any target receives them. ``configuration`` and ``organisation`` are those
    with which it was admitted; a nested call needs no key and has no organisation of its own, but
    that of ``maker``, the run that is known by its id to make it. ``token_taken_at_ms`` is when it
    took its latest token of a quota.
    ``cancel_send`` cancels the send in progress. ``fallback`` is the error response that is
    returned if a retry yields no response. ``has_unknown_outcome`` is set once a send may have run
    and its response was lost. ``deadline_number`` is that among the deadlines of calls, 0
    for a call without.
    """

    exchange: Exchange
    route: Route
    service: str
    parent: ParentRun | None
    tier: int
    received_ms: float
    deadline_ms: float
    headers: Headers
    configuration: Configuration
    maker: ParentRun | None = None
    organisation: Organisation | None = None
    tried_upstream_ids: set[str] = field(factory=set)
    reached_target_count: int = 0
    reached_upstream_ids: set[str] = field(factory=set)
    placement: Placement = field(factory=make_placement)
    sent_at_ms: float = 0.0
    upstream: Upstream | None = None
    cancel_send: Callable[[], None] | None = None
    deadline_number: int = 0
    fallback: Answered | None = None
    is_done: bool = False
    has_unknown_outcome: bool = False
    token_taken_at_ms: float = 0.0

    @property
    def request(self) -> Request:
        """The caller's request."""
        return self.exchange.request

    @property
    def is_call(self) -> bool:
        """Whether this is, or may be, a nested call: one that a running request makes."""
        return self.tier == NESTED_CALL_TIER

    @property
    def rank(self) -> int:
        """Importance, 0 being the highest; a call inherits that of the request that makes it.

        That of an organisation goes before its route's.
        """
        if self.parent is not None:
            return self.parent.rank
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    @property
    def organisation_name(self) -> str:
        """Whose request it is, empty if that isn't known; a call inherits it as well."""
        if self.organisation is not None:
            return self.organisation.name
        return self.maker.organisation if self.maker is not None else ""

    @property
    def has_quota(self) -> bool:
        """Whether it has taken a token of its organisation's quota."""
        return self.organisation is not None and self.organisation.quota is not None

    @property
    def has_reached_all_upstreams(self) -> bool:
        """Whether no further upstream may receive it than those that have."""
        return len(self.reached_upstream_ids) >= self.route.upstream_limit

    def record_reached_target(self) -> None:
        """Record that the target of ``upstream`` received the call, or may have received it."""
        self.reached_target_count += 1
        self.reached_upstream_ids.add(self.upstream.upstream_id)
