"""Turns new requests away at the first node while a service below them is overloaded.

Load pattern: a service deep in the call graph is overloaded. Requests that enter are run by their
own service and fail or come too late because of the calls below, which wastes the work of every
level and fills the slots of services that have room. Each target's node tells the pressure at its
target and at those that it calls, so that it reaches the nodes where requests enter, without
knowledge of the call graph. The share of wasted runs says the same of what no pressure shows.
Unimportant routes give way first.
"""

from __future__ import annotations

import random

from attrs import define

PERIOD_MS = 500.0
# Runs in a period below which its result says little.
MIN_RUNS = 4
# Share of wasted runs that is accepted from the most important rank, and from all others.
FIRST_RANK_WASTE = 0.5
WASTE = 0.15
# Pressure that is accepted from the most important rank, and from all others: work at and before a
# target, in multiples of what it runs at a time. At 1.5 a call waits half of its own run time.
FIRST_RANK_PRESSURE = 3.0
PRESSURE = 1.5
# Fastest reduction and steady growth of the accepted share, per period.
STRONGEST_CUT = 0.7
GROWTH = 0.12
# The accepted share never falls below this: some requests must show that the load is gone.
FLOOR = 0.25


@define
class _RouteState:
    accepted_share: float = 1.0
    period_started_ms: float = 0.0
    useful: int = 0
    wasted: int = 0
    credit: float = 0.0
    pressure_sum: float = 0.0
    pressure_count: int = 0


class RouteThrottle:
    """The accepted share of each route at one node."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._routes: dict[str, _RouteState] = {}

    def admits(self, route: str, now_ms: float) -> bool:
        """Return whether a new request of ``route`` may enter."""
        state = self._routes.get(route)
        if state is None or state.accepted_share >= 1.0:
            return True
        state.credit = min(state.credit + state.accepted_share, 2.0)
        if state.credit < 1.0:
            return False
        state.credit -= 1.0
        return True

    def finished(self, route: str, rank: int, *, is_useful: bool, now_ms: float) -> None:
        """A request of ``route`` was run; a failed or late answer isn't useful."""
        state = self._routes.get(route)
        if state is None:
            state = self._routes[route] = _RouteState(period_started_ms=now_ms)
        state.useful += is_useful
        state.wasted += not is_useful
        if now_ms - state.period_started_ms >= PERIOD_MS:
            self._close_period(state, rank, now_ms)

    def pressed(self, route: str, rank: int, pressure: float, now_ms: float) -> None:
        """A target that runs ``route`` told the pressure at it and below it."""
        state = self._routes.get(route)
        if state is None:
            state = self._routes[route] = _RouteState(period_started_ms=now_ms)
        state.pressure_sum += pressure
        state.pressure_count += 1
        if now_ms - state.period_started_ms >= PERIOD_MS:
            self._close_period(state, rank, now_ms)

    def accepted_share(self, route: str) -> float:
        """Return the share of a route's new requests that may enter, 0 to 1."""
        state = self._routes.get(route)
        return state.accepted_share if state else 1.0

    def _close_period(self, state: _RouteState, rank: int, now_ms: float) -> None:
        keep = min(_share_by_waste(state, rank), _share_by_pressure(state, rank))
        if keep < 1.0:
            keep = max(STRONGEST_CUT, keep)
            state.accepted_share = max(FLOOR, state.accepted_share * keep)
        else:
            state.accepted_share = min(1.0, state.accepted_share + GROWTH)
        state.period_started_ms = now_ms
        state.useful = state.wasted = 0
        state.pressure_sum, state.pressure_count = 0.0, 0


def _share_by_waste(state: _RouteState, rank: int) -> float:
    runs = state.useful + state.wasted
    if runs < MIN_RUNS:
        return 1.0
    tolerated = FIRST_RANK_WASTE if rank == 0 else WASTE
    return min(1.0, 1.0 - (state.wasted / runs - tolerated))


def _share_by_pressure(state: _RouteState, rank: int) -> float:
    if state.pressure_count == 0:
        return 1.0
    tolerated = FIRST_RANK_PRESSURE if rank == 0 else PRESSURE
    pressure = state.pressure_sum / state.pressure_count
    return min(1.0, tolerated / pressure) if pressure > 0 else 1.0


def make_route_throttle(rng: random.Random) -> RouteThrottle:
    """Return a throttle that admits everything until runs are wasted."""
    return RouteThrottle(rng)
