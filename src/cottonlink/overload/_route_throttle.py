"""Limits the rate of new requests at the node where they enter, by route.

Used when a service deep in the call graph is overloaded. Requests that enter are run by their own
service, but fail or finish too late because of nested calls. That wastes the work of every level
and fills the slots of services that have capacity. Each target's node reports the highest pressure
among its own target and the targets that it calls, so that the pressure reaches the nodes where
requests enter without any knowledge of the call graph. The share of wasted runs reveals overload
that doesn't show as pressure. Less important routes are limited first.

The limit is a rate and not a share of the arrivals: callers that retry at once multiply the
arrivals without adding capacity, and a rate limit stops having an effect as soon as the arrivals
fall below it.

Organisations share a limit max-min: the less of its fair share an organisation has had lately, the
deeper into debt the token bucket may go for it. Whoever has had its share waits until the debt is
paid, so that the total keeps to the limit.

A route whose requests differ in rank, as those of organisations with a priority do, has a limit for
each rank, as if each were a route of its own. With a single one, either the most important requests
would be refused at the low pressure that limits the others, or the others admitted up to the
pressure that only the most important may cause.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from attrs import define, frozen

from cottonlink.organisations import FairShare, make_fair_share

# Period in which requests are counted and after which the limit is updated.
PERIOD_MS = 500.0
# With fewer runs in a period the share of wasted runs is ignored as too uncertain.
MIN_RUNS = 4
# Tolerated share of wasted runs, for routes of rank 0 and for all others.
TOP_RANK_TOLERATED_WASTE = 0.5
TOLERATED_WASTE = 0.15
# Tolerated pressure, for routes of rank 0 and for all others: running and queued work as a multiple
# of what a target can run at the same time. At 1.5 a call waits half of its own run time.
TOP_RANK_TOLERATED_PRESSURE = 4.0
TOLERATED_PRESSURE = 1.5
# Smallest factor of a single cut of the limit.
MIN_CUT_FACTOR = 0.7
# A cut takes effect once the requests admitted before it have ended. The next cut waits for this
# multiple of the route's latency, and the limit stays until then.
CUT_INTERVAL_LATENCIES = 1.2
# Weight of a new latency in its moving average.
LATENCY_WEIGHT = 0.1
# A cut doesn't reduce the limit below this part of the goodput (requests answered in time per
# second): there is capacity for that many, and slightly fewer let the queues drain.
GOODPUT_SHARE = 0.85
# Growth factor of the limit in the first period after a cut, its increase with each further period,
# and its maximum.
INITIAL_GROWTH = 1.05
GROWTH_INCREASE = 0.05
MAX_GROWTH = 1.3
# If the pressure is below this part of the tolerated one, the overload is over and the limit grows
# by the factor LOW_PRESSURE_GROWTH.
LOW_PRESSURE_SHARE = 0.5
LOW_PRESSURE_GROWTH = 1.6
# Added to every limit per period. It makes the limits of routes under the same pressure converge
# and lets those of rarely used routes recover.
LIMIT_INCREASE_PER_S = 0.2
# Lowest limit: some requests must be admitted to detect that the overload is over.
MIN_LIMIT_PER_S = 0.5
# A limit is removed when it exceeds this multiple of the admitted rate.
REMOVAL_FACTOR = 4.0
# The first limit of a route, and the cut of a limit that the arrivals don't reach, start from this
# multiple of the admitted rate.
RATE_MARGIN = 1.2
# Weight of a period in the moving averages of the admitted rate and the goodput.
RATE_WEIGHT = 0.4
# Burst size of the token bucket in seconds at the limit, so that arrivals needn't be evenly spaced.
BURST_S = 0.3
# Largest debt of the token bucket in seconds at the limit, and its minimum in tokens. It covers the
# random arrivals of organisations below their fair share, of which a node may see one in seconds.
DEBT_S = 1.0
MIN_DEBT = 4.0
# Time without requests after which the limit of one rank is forgotten, if the route has others.
RANK_LIFETIME_MS = 60_000.0


@frozen
class LimitChange:
    """A new rate limit of a route, and the measurements behind it.

    Rates are requests per second; a limit of None means unlimited. ``pressure`` is the mean of the
    reports in the period, in multiples of what the targets can run at the same time, or None if
    there were none; ``wasted`` and ``runs`` count requests.
    """

    route: str
    rank: int
    limit_per_s: float | None
    previous_per_s: float | None
    admitted_per_s: float
    pressure: float | None
    wasted: int
    runs: int


@define
class _RouteState:
    route: str
    rank: int
    period_started_ms: float
    limit_per_s: float = math.inf
    growth: float = INITIAL_GROWTH
    next_cut_at_ms: float = 0.0
    latency_ms: float = 0.0
    goodput_per_s: float = 0.0
    admitted_per_s: float | None = None
    accepted_share: float = 1.0
    # Negative while the bucket is in debt.
    tokens: float = 1.0
    refilled_at_ms: float = 0.0
    # None until a request names its organisation.
    fair_share: FairShare | None = None
    arrived: int = 0
    admitted: int = 0
    useful: int = 0
    wasted: int = 0
    pressure_sum: float = 0.0
    pressure_count: int = 0


class RouteThrottle:
    """Token buckets for the new requests of each route and rank at one node."""

    def __init__(self, on_change: Callable[[LimitChange], None]) -> None:
        self._on_change = on_change
        # By route and rank.
        self._routes: dict[str, dict[int, _RouteState]] = {}

    def admits(self, route: str, rank: int, now_ms: float, organisation: str = "") -> bool:
        """Count a new request of ``route``; return whether it is admitted.

        Requests without an organisation count as those of one more, if others have one.
        """
        state = self._state(route, rank, now_ms)
        self._close_period(state, now_ms)
        state.arrived += 1
        if organisation and state.fair_share is None:
            state.fair_share = make_fair_share()
        fair_share = state.fair_share
        if fair_share is not None:
            fair_share.record_asked(organisation, now_ms)
        if state.limit_per_s < math.inf and not _take_token(state, organisation, now_ms):
            return False
        state.admitted += 1
        if fair_share is not None:
            fair_share.record_given(organisation, now_ms)
        return True

    def record_answer(
        self, route: str, rank: int, latency_ms: float, *, is_useful: bool, now_ms: float
    ) -> None:
        """Record that a request of ``route`` was run and answered.

        ``is_useful`` is False if the answer came too late to be of use.
        """
        state = self._state(route, rank, now_ms)
        state.latency_ms += LATENCY_WEIGHT * (latency_ms - state.latency_ms)
        state.useful += is_useful
        state.wasted += not is_useful
        self._close_period(state, now_ms)

    def record_failure(self, route: str, rank: int, now_ms: float) -> None:
        """Record that a request of ``route`` was run but timed out."""
        state = self._state(route, rank, now_ms)
        state.wasted += 1
        self._close_period(state, now_ms)

    def record_pressure(self, route: str, rank: int, pressure: float, now_ms: float) -> None:
        """Record the pressure that the node of a target of ``route`` reported."""
        state = self._state(route, rank, now_ms)
        state.pressure_sum += pressure
        state.pressure_count += 1
        self._close_period(state, now_ms)

    def accepted_share(self, route: str, rank: int | None = None) -> float:
        """Return the share of new requests admitted in the last period, 0 to 1.

        This is the share of the requests of ``rank``, or if it is None the smallest of all ranks.
        """
        states = self._routes.get(route, {})
        if rank is not None:
            return states[rank].accepted_share if rank in states else 1.0
        return min((state.accepted_share for state in states.values()), default=1.0)

    def _state(self, route: str, rank: int, now_ms: float) -> _RouteState:
        states = self._routes.get(route)
        if states is None:
            states = self._routes[route] = {}
        state = states.get(rank)
        if state is None:
            state = states[rank] = _RouteState(route, rank, now_ms)
        return state

    def _forget_unused_ranks(self, state: _RouteState, now_ms: float) -> None:
        """Drop the other ranks of a route that requests no longer have.

        Their limits and accepted shares would otherwise stay as they are for ever.
        """
        states = self._routes[state.route]
        for rank, other in list(states.items()):
            if other is not state and now_ms - other.period_started_ms > RANK_LIFETIME_MS:
                del states[rank]

    def _close_period(self, state: _RouteState, now_ms: float) -> None:
        elapsed_ms = now_ms - state.period_started_ms
        if elapsed_ms < PERIOD_MS:
            return
        self._forget_unused_ranks(state, now_ms)
        admitted_per_s = state.admitted * 1000.0 / elapsed_ms
        if state.admitted_per_s is None:
            state.admitted_per_s = admitted_per_s
        state.admitted_per_s += RATE_WEIGHT * (admitted_per_s - state.admitted_per_s)
        if state.arrived:
            state.accepted_share = state.admitted / state.arrived
        goodput_per_s = state.useful * 1000.0 / elapsed_ms
        state.goodput_per_s += RATE_WEIGHT * (goodput_per_s - state.goodput_per_s)
        previous_per_s = state.limit_per_s
        _update_limit(state, admitted_per_s, now_ms)
        if state.limit_per_s != previous_per_s:
            self._on_change(_make_change(state, previous_per_s))
        state.period_started_ms = now_ms
        state.arrived = state.admitted = state.useful = state.wasted = 0
        state.pressure_sum, state.pressure_count = 0.0, 0


def _take_token(state: _RouteState, organisation: str, now_ms: float) -> bool:
    burst = max(1.0, state.limit_per_s * BURST_S)
    refill = state.limit_per_s * (now_ms - state.refilled_at_ms) / 1000.0
    state.tokens = min(burst, state.tokens + refill)
    state.refilled_at_ms = now_ms
    if state.tokens < _required_tokens(state, burst, organisation, now_ms):
        return False
    state.tokens -= 1.0
    return True


def _required_tokens(state: _RouteState, burst: float, organisation: str, now_ms: float) -> float:
    """Return the tokens that must be in the bucket for a request of ``organisation``.

    They grow with the part of its fair share that it has had, from the largest debt at none of it
    to one token at all of it. Beyond its share they grow up to a full bucket at twice as much, so
    that what others leave unused goes to whoever has had least.
    """
    fair_share = state.fair_share
    if fair_share is None:
        return 1.0
    capacity = state.limit_per_s * fair_share.span_ms(now_ms) / 1000.0
    part = fair_share.given(organisation, now_ms) / fair_share.share(capacity, now_ms)
    if part >= 1.0:
        return min(burst, 1.0 + (burst - 1.0) * (part - 1.0))
    return 1.0 - max(MIN_DEBT, state.limit_per_s * DEBT_S) * (1.0 - part)


def _update_limit(state: _RouteState, last_admitted_per_s: float, now_ms: float) -> None:
    factor = min(_factor_by_waste(state), _factor_by_pressure(state))
    if factor < 1.0:
        state.growth = INITIAL_GROWTH
        if now_ms < state.next_cut_at_ms:
            return
        state.next_cut_at_ms = now_ms + CUT_INTERVAL_LATENCIES * state.latency_ms
        rate_per_s = max(last_admitted_per_s, state.admitted_per_s)
        base_per_s = min(state.limit_per_s, RATE_MARGIN * rate_per_s)
        limit_per_s = base_per_s * max(MIN_CUT_FACTOR, factor)
        limit_per_s = max(limit_per_s, min(base_per_s, GOODPUT_SHARE * state.goodput_per_s))
    else:
        growth = (
            LOW_PRESSURE_GROWTH if factor > 1.0 / LOW_PRESSURE_SHARE else min(factor, state.growth)
        )
        limit_per_s = state.limit_per_s * growth
        state.growth = min(MAX_GROWTH, state.growth + GROWTH_INCREASE)
    limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s + LIMIT_INCREASE_PER_S)
    is_removed = factor >= 1.0 and limit_per_s > REMOVAL_FACTOR * max(1.0, state.admitted_per_s)
    state.limit_per_s = math.inf if is_removed else limit_per_s


def _factor_by_waste(state: _RouteState) -> float:
    runs = state.useful + state.wasted
    tolerated = TOP_RANK_TOLERATED_WASTE if state.rank == 0 else TOLERATED_WASTE
    if runs < MIN_RUNS or state.wasted <= tolerated * runs:
        return math.inf
    return 1.0 - (state.wasted / runs - tolerated)


def _factor_by_pressure(state: _RouteState) -> float:
    if state.pressure_count == 0:
        return MAX_GROWTH
    tolerated = TOP_RANK_TOLERATED_PRESSURE if state.rank == 0 else TOLERATED_PRESSURE
    pressure = state.pressure_sum / state.pressure_count
    return tolerated / pressure if pressure > 0 else math.inf


def _make_change(state: _RouteState, previous_per_s: float) -> LimitChange:
    return LimitChange(
        route=state.route,
        rank=state.rank,
        limit_per_s=_none_if_unlimited(state.limit_per_s),
        previous_per_s=_none_if_unlimited(previous_per_s),
        admitted_per_s=state.admitted_per_s,
        pressure=state.pressure_sum / state.pressure_count if state.pressure_count else None,
        wasted=state.wasted,
        runs=state.useful + state.wasted,
    )


def _none_if_unlimited(value: float) -> float | None:
    return None if value == math.inf else value


def make_route_throttle(on_change: Callable[[LimitChange], None]) -> RouteThrottle:
    """Return a throttle without limits; ``on_change`` is called with each change of a limit."""
    return RouteThrottle(on_change)
