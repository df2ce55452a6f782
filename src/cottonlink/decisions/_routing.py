"""Choice of an upstream for each call to one service."""

from __future__ import annotations

import random
from collections.abc import Iterable

from attrs import frozen

from cottonlink.decisions._lifecycle import NodeState
from cottonlink.decisions._outlier import Ejected, Readmitted, make_outlier_detector
from cottonlink.decisions._threshold import RetryAfterEstimator
from cottonlink.decisions._upstreams import (
    CallOutcome,
    RouteResult,
    UpstreamHint,
    UpstreamState,
    UpstreamView,
)
from cottonlink.policy import Upstream

# Fraction of the calls below the threshold that are sent anyway, to detect recovery.
PROBE_SHARE = 0.02

# Calls may go to other data centres if the upstream drawn in the own one has this occupancy.
SPILLOVER_OCCUPANCY = 0.8

# Retry-After value, before jitter, of a call that found no usable upstream.
UNREACHABLE_RETRY_MS = 1_000

OVERLOADED = "overloaded"
UNREACHABLE = "upstream_unreachable"


@frozen
class RouteRequest:
    """A call that needs an upstream; ``exclude`` holds the names of upstreams already tried."""

    importance: int
    position: int
    exclude: frozenset[str] = frozenset()


@frozen
class Choice:
    """The chosen upstream.

    ``probe`` marks a trial call to an ejected upstream, or a call below the threshold that is sent
    to detect recovery.
    """

    name: str
    probe: bool = False


@frozen
class NoUpstream:
    """No upstream takes the call; ``code`` is ``overloaded`` or ``upstream_unreachable``."""

    code: str
    retry_after_ms: int | None


def make_router(
    upstreams: Iterable[Upstream], own_data_centre: str, rng: random.Random, now_ms: int
) -> Router:
    """Return a router; the given upstreams get their full traffic at once, without slow start."""
    return Router(upstreams, own_data_centre, rng)


class Router:
    """Chooses among the upstreams of one service, with the knowledge of one node."""

    def __init__(
        self, upstreams: Iterable[Upstream], own_data_centre: str, rng: random.Random
    ) -> None:
        self._own_data_centre = own_data_centre
        self._rng = rng
        self._states = {upstream.name: UpstreamState(upstream) for upstream in upstreams}
        self._outliers = make_outlier_detector(rng)
        self._outliers.set_upstreams(self._states)
        self._retry_after_estimator = RetryAfterEstimator(rng)

    def update(self, upstreams: Iterable[Upstream], now_ms: int) -> tuple[Readmitted, ...]:
        """Replace the upstreams; new ones and those with a new address begin a slow start."""
        states = {}
        for upstream in upstreams:
            state = self._states.get(upstream.name)
            if state is None or state.upstream.peer_address != upstream.peer_address:
                state = UpstreamState(upstream, warm_up_start_ms=now_ms)
            state.upstream = upstream
            states[upstream.name] = state
        self._states = states
        return self._refresh_outliers(now_ms)

    def choose(self, request: RouteRequest, now_ms: int) -> Choice | NoUpstream:
        """Return the upstream for a call, or the reason why none takes it."""
        self._end_expired_departures(now_ms)
        usable = self._usable(request, now_ms)
        trial = self._claim_trial(usable, now_ms)
        if trial is not None:
            return Choice(trial, probe=True)
        candidates = [name for name in usable if not self._outliers.is_ejected(name)]
        if not candidates:
            return NoUpstream(UNREACHABLE, self._jittered(UNREACHABLE_RETRY_MS))
        admitting = [name for name in candidates if self._admits(name, request, now_ms)]
        if admitting:
            return Choice(self._choose_by_data_centre(admitting, now_ms))
        if self._rng.random() < PROBE_SHARE:
            return Choice(self._choose_by_data_centre(candidates, now_ms), probe=True)
        self._retry_after_estimator.record_refused(now_ms)
        return NoUpstream(OVERLOADED, self._retry_after_estimator.retry_after_ms(0, now_ms))

    def started(self, name: str, now_ms: int) -> None:
        """Record that a call was sent to the upstream."""
        state = self._states.get(name)
        if state is not None:
            state.in_flight += 1

    def observe(self, result: RouteResult, now_ms: int) -> tuple[Ejected | Readmitted, ...]:
        """Record the result of a call for which ``started`` was called."""
        state = self._states.get(result.name)
        if state is None:
            return ()
        state.in_flight = max(0, state.in_flight - 1)
        state.update_from_report(result, now_ms)
        if result.outcome is CallOutcome.LEAVING or result.state is NodeState.LEAVING:
            state.announced_leaving_ms = now_ms
            return self._refresh_outliers(now_ms)
        if result.outcome in (CallOutcome.UNREACHABLE, CallOutcome.LOST):
            return self._outliers.record_failure(result.name, now_ms)
        return self._succeeded(result, state, now_ms)

    def hint(self, name: str, state: UpstreamHint, now_ms: int) -> tuple[Ejected | Readmitted, ...]:
        """Record a state that the platform reports for an upstream.

        It can lower the weight; only an upstream reported as leaving or draining gets no calls.
        """
        known = self._states.get(name)
        if known is None:
            return ()
        known.update_from_hint(UpstreamHint(state), now_ms)
        return self._refresh_outliers(now_ms)

    def snapshot(self, now_ms: int) -> tuple[UpstreamView, ...]:
        """Return the state of all upstreams."""
        return tuple(self._view(name, state, now_ms) for name, state in self._states.items())

    def _usable(self, request: RouteRequest, now_ms: int) -> list[str]:
        return [
            name
            for name, state in self._states.items()
            if name not in request.exclude and not state.is_leaving(now_ms)
        ]

    def _end_expired_departures(self, now_ms: int) -> None:
        """Use upstreams again, with a slow start, whose announcement of leaving has expired."""
        for state in self._states.values():
            if state.announced_leaving_ms is None or state.has_recent_announcement(now_ms):
                continue
            state.announced_leaving_ms = None
            state.warm_up_start_ms = now_ms
            self._refresh_outliers(now_ms)

    def _claim_trial(self, usable: list[str], now_ms: int) -> str | None:
        """Return an ejected upstream that is due for a trial call, and record the trial."""
        for name in usable:
            if self._outliers.is_trial_due(name, now_ms):
                self._outliers.begin_trial(name, now_ms)
                return name
        return None

    def _admits(self, name: str, request: RouteRequest, now_ms: int) -> bool:
        threshold = self._states[name].current_threshold(now_ms)
        return threshold.admits(request.importance, request.position)

    def _choose_by_data_centre(self, names: list[str], now_ms: int) -> str:
        """Choose in the own data centre, or among all upstreams while the own ones are loaded."""
        local = [
            name
            for name in names
            if self._states[name].upstream.data_centre == self._own_data_centre
        ]
        if not local:
            return self._choose_of_two(names, now_ms)
        chosen = self._choose_of_two(local, now_ms)
        if self._states[chosen].occupancy(now_ms) < SPILLOVER_OCCUPANCY or len(local) == len(names):
            return chosen
        return self._choose_of_two(names, now_ms)

    def _choose_of_two(self, names: list[str], now_ms: int) -> str:
        """Draw two upstreams by weight and return the less occupied one.

        The weight only sets how often an upstream is drawn. If the occupancy were also divided by
        it, an upstream with a low weight would get no calls at all while the others are idle.
        """
        if len(names) == 1:
            return names[0]
        weights = [self._weight(name, now_ms) for name in names]
        first = self._rng.choices(range(len(names)), weights)[0]
        rest = [index for index in range(len(names)) if index != first]
        second = self._rng.choices(rest, [weights[index] for index in rest])[0]
        return min(
            names[first],
            names[second],
            key=lambda name: self._states[name].occupancy(now_ms),
        )

    def _weight(self, name: str, now_ms: int) -> float:
        return self._states[name].weight(self._outliers.failures(name), now_ms)

    def _succeeded(
        self, result: RouteResult, state: UpstreamState, now_ms: int
    ) -> tuple[Ejected | Readmitted, ...]:
        if result.outcome is CallOutcome.ANSWERED:
            self._retry_after_estimator.record_completed(now_ms)
        readmitted = self._outliers.record_success(result.name, now_ms)
        if readmitted:
            state.warm_up_start_ms = now_ms
        return readmitted

    def _refresh_outliers(self, now_ms: int) -> tuple[Readmitted, ...]:
        """Limit the ejections by the number of upstreams that are not leaving."""
        staying = [name for name, state in self._states.items() if not state.is_leaving(now_ms)]
        return self._outliers.set_upstreams(staying)

    def _jittered(self, duration_ms: int) -> int:
        return round(duration_ms * self._rng.uniform(0.5, 1.5))

    def _view(self, name: str, state: UpstreamState, now_ms: int) -> UpstreamView:
        return UpstreamView(
            name=name,
            data_centre=state.upstream.data_centre,
            in_flight=state.in_flight,
            load=state.load,
            threshold=state.current_threshold(now_ms),
            weight=self._weight(name, now_ms),
            ejected=self._outliers.is_ejected(name),
            leaving=state.is_leaving(now_ms),
        )
