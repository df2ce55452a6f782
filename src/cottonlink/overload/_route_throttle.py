"""Turns new requests away at the first node while requests of their route are wasted below.

Load pattern: a service deep in the call graph is overloaded. Requests that enter are run by their
own service and fail or come too late because of the calls below, which wastes the work of every
level. The share of wasted runs of a route says so at the node where the requests enter, without
knowledge of the call graph. Unimportant routes give way first.
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

    def accepted_share(self, route: str) -> float:
        """Return the share of a route's new requests that may enter, 0 to 1."""
        state = self._routes.get(route)
        return state.accepted_share if state else 1.0

    def _close_period(self, state: _RouteState, rank: int, now_ms: float) -> None:
        runs = state.useful + state.wasted
        if runs >= MIN_RUNS:
            waste = state.wasted / runs
            tolerated = FIRST_RANK_WASTE if rank == 0 else WASTE
            if waste > tolerated:
                cut = max(STRONGEST_CUT, 1.0 - (waste - tolerated))
                state.accepted_share = max(FLOOR, state.accepted_share * cut)
            else:
                state.accepted_share = min(1.0, state.accepted_share + GROWTH)
        else:
            state.accepted_share = min(1.0, state.accepted_share + GROWTH)
        state.period_started_ms = now_ms
        state.useful = state.wasted = 0


def make_route_throttle(rng: random.Random) -> RouteThrottle:
    """Return a throttle that admits everything until runs are wasted."""
    return RouteThrottle(rng)
