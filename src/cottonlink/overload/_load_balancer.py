"""Load balancing: chooses the upstream of a call from its measured latency, failures and load.

The upstreams of one service differ in speed, some are cold, slow or failing, and each node sends
only a part of the load. A node keeps calls inside its data centre while the upstreams there answer
well within the latency objective, and sends them to another data centre before any is refused.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Collection, Iterable
from typing import Any

from attrs import Factory, define, frozen

from cottonlink.overload._start_pace import SiblingLevels
from cottonlink.overload._target_queue import usable_slots

# Cost of an upstream in another data centre, on the scale of (latency / objective) squared: it is
# chosen once the latency of local upstreams exceeds about half of the objective.
REMOTE_PENALTY = 0.3
# Cost of a failure rate of 1 on the same scale; a failed call is of no use.
FAILURE_PENALTY = 2.0
# Weight of a new result in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.15
# Without calls a failure rate halves in this time, so that a recovered upstream is tried again.
FAILURE_HALF_LIFE_MS = 2_000.0
# Weight of a new latency in its moving average.
LATENCY_WEIGHT = 0.1
# Utilization above which load adds to the cost: targets slow down when nearly full.
BUSY_UTILIZATION = 0.8
# Older load reports are ignored.
LOAD_MAX_AGE_MS = 1_000.0
# Assumed latency of a cold upstream without measurements, as a multiple of the average latency of
# the other candidates.
COLD_LATENCY_FACTOR = 2.0
# Number of upstreams compared for one call. A larger sample would make all nodes choose the same
# upstream.
SAMPLE_SIZE = 4
# Time within which a node that shuts down has ended and its successor has started.
NODE_SHUTDOWN_MS = 6_000.0
# Time from the last call that a node accepts to the start of its successor.
NODE_RESTART_MS = 1_000.0
# A target that limits its rate and has refused calls is tried again after this time at the latest,
# so that the end of its need is noticed.
MAX_FULL_MS = 1_000.0
# Nodes of the fleet, on average, that send a call to a new upstream before others would choose it:
# enough to learn soon whether it answers, and few enough not to fill it in a large fleet.
FIRST_CALLERS = 3.0
# Each of them does so after a random delay of up to this.
FIRST_CALL_JITTER_MS = 2_500.0
# Siblings of a target from which its usual run times are taken.
MAX_SIBLINGS = 32
# A new sibling that has reported no load, as this node doesn't call it, counts as warm afterwards.
NEW_WITHOUT_LOAD_MS = 15_000.0


@frozen
class Patience:
    """How long a call may wait at a target, and its importance there as in a ``Job``."""

    tier: int
    rank: int
    max_wait_ms: float


@frozen
class Fullness:
    """There is no room for calls of some importance until a moment, recorded ``for_ms`` before."""

    until_ms: float
    for_ms: float


@define(eq=False)
class UpstreamState:
    """What one node knows of one upstream.

    ``upstream`` is a ``path.Upstream`` and ``load`` the latest ``path.Load`` that its node
    reported. ``is_new`` holds from the start of a target, if this node learnt of it, until a load
    without a reduced limit is reported. ``first_call_draw``, from 0 to 1, decides whether this node
    is among the first callers. ``latency_ms`` holds the moving average of the latency by route, and
    ``full`` the calls for which there is no room, by importance (tier and rank).
    """

    upstream: Any
    first_call_after_ms: float
    first_call_draw: float
    warm_at_ms: float
    is_local: bool
    is_new: bool
    known_since_ms: float
    load: Any = None
    load_reported_at_ms: float = 0.0
    sent_since_load: int = 0
    outstanding: int = 0
    was_called: bool = False
    failure_rate: float = 0.0
    failure_rate_updated_at_ms: float = 0.0
    unavailable_until_ms: float = 0.0
    leaving_until_ms: float = 0.0
    consecutive_unreachable_count: int = 0
    latency_ms: dict[str, float] = Factory(dict)
    full: dict[tuple[int, int], Fullness] = Factory(dict)

    def full_for_ms(self, patience: Patience, now_ms: float) -> float:
        """Return the time until there is room for a call, 0 if it may wait for that long.

        Where there is no room for calls of some importance, there is none for less important ones.
        """
        importance = (patience.tier, patience.rank)
        times_ms = [f.until_ms - now_ms for key, f in self.full.items() if key <= importance]
        wait_ms = max(times_ms, default=0.0)
        return wait_ms if wait_ms > patience.max_wait_ms else 0.0

    def utilization(self, now_ms: float) -> float:
        """Return the running and queued calls as a share of the target's limit."""
        calls = self.outstanding
        limit = max(1, self.upstream.slots)
        if self.load is not None:
            limit = max(1, self.load.limit)
            if now_ms - self.load_reported_at_ms < LOAD_MAX_AGE_MS:
                calls = max(calls, self.load.running + self.load.queued + self.sent_since_load)
        return calls / limit

    @property
    def is_limited(self) -> bool:
        """Whether its node has reported a limit below that of a target in its usual state."""
        return self.load is not None and self.load.limit < usable_slots(self.upstream.slots)

    def is_warm(self, now_ms: float) -> bool:
        """Return whether it isn't starting, as far as is known."""
        if self.is_new and now_ms - self.known_since_ms < NEW_WITHOUT_LOAD_MS:
            return False
        return not self.is_limited

    def failure(self, now_ms: float) -> float:
        """Return the failure rate, 0 to 1, decayed since it was last updated."""
        age_ms = now_ms - self.failure_rate_updated_at_ms
        return self.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)


class LoadBalancer:
    """The upstreams of all services, as one node sees them."""

    def __init__(self, data_centre: str, rng: random.Random, *, paces_starts: bool) -> None:
        self._data_centre = data_centre
        self._paces_starts = paces_starts
        self._rng = rng
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._node_count = 1

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes in the fleet, all of which call the same upstreams."""
        self._node_count = max(1, count)

    def update(self, upstreams: Iterable[Any], now_ms: float) -> None:
        """Replace the set of upstreams; measurements of upstreams that remain are kept."""
        states: dict[str, UpstreamState] = {}
        for upstream in upstreams:
            state = self._states.get(upstream.upstream_id)
            if state is None or not _is_same_instance(state.upstream, upstream):
                state = self._make_state(upstream, now_ms)
            state.upstream = upstream
            states[upstream.upstream_id] = state
        self._states = states
        self._by_service = {}
        for state in states.values():
            if not state.upstream.is_draining:
                self._by_service.setdefault(state.upstream.service, []).append(state)

    def choose(
        self,
        service: str,
        route: str,
        objective_ms: float,
        exclude: Collection[str],
        is_repeatable: bool,
        now_ms: float,
        patience: Patience | None = None,
        among: Collection[str] | None = None,
    ) -> Any | None:
        """Return the ``path.Upstream`` for a call, or None if none of ``service`` is available.

        ``exclude`` holds ids of upstreams that must not be chosen; with ``among``, only the ids in
        it may be. With ``patience``, nor are those that have no room for the call in the time for
        which it may wait. A repeatable call goes to an upstream that this node hasn't called yet,
        if the node is among its first callers and the call is due; any other call goes to the
        upstream with the lowest cost in a random sample.
        """
        states = [
            state
            for state in self._by_service.get(service, ())
            if state.unavailable_until_ms <= now_ms and state.upstream.upstream_id not in exclude
        ]
        if among is not None:
            states = [state for state in states if state.upstream.upstream_id in among]
        if patience is not None:
            states = [s for s in states if not (s.full and s.full_for_ms(patience, now_ms))]
        if not states:
            return None
        # Upstreams of nodes that shut down are used only if there are no others.
        staying = [state for state in states if state.leaving_until_ms <= now_ms]
        states = staying or states
        if is_repeatable:
            for state in states:
                if not state.was_called and self._is_first_call_due(state, now_ms):
                    return state.upstream
        if len(states) > SAMPLE_SIZE:
            states = self._sample(states)
        known = [s.latency_ms[route] for s in states if route in s.latency_ms]
        typical_ms = sum(known) / len(known) if known else 0.0
        best = min(states, key=lambda s: self._cost(s, route, objective_ms, typical_ms, now_ms))
        return best.upstream

    def full_for_ms(self, service: str, patience: Patience, now_ms: float) -> float | None:
        """Return when a target of ``service`` has room for a call, None if none is known as full.

        The time is in ms from now.
        """
        waits_ms = [
            state.full_for_ms(patience, now_ms)
            for state in self._by_service.get(service, ())
            if state.unavailable_until_ms <= now_ms
        ]
        return min((wait_ms for wait_ms in waits_ms if wait_ms > 0.0), default=None)

    def is_known_busy(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether an upstream has recently reported that all of its slots are in use."""
        state = self._states.get(upstream_id)
        if state is None or state.load is None:
            return False
        is_recent = now_ms - state.load_reported_at_ms < LOAD_MAX_AGE_MS
        return is_recent and state.utilization(now_ms) >= 1.0

    def mark_full(
        self, upstream_id: str, patience: Patience, wait_ms: float, now_ms: float
    ) -> None:
        """Record that a target that limits its rate has no room for a call until ``wait_ms``.

        The time doubles if the target refuses again right after it: others went first meanwhile.
        """
        state = self._states.get(upstream_id)
        if state is None:
            return
        importance = (patience.tier, patience.rank)
        previous = state.full.get(importance)
        if previous is not None and now_ms < previous.until_ms + previous.for_ms:
            wait_ms = max(wait_ms, 2.0 * previous.for_ms)
        wait_ms = min(wait_ms, MAX_FULL_MS)
        state.full[importance] = Fullness(now_ms + wait_ms, wait_ms)

    def record_send(self, upstream_id: str) -> None:
        """Record that a call was sent to an upstream."""
        state = self._states.get(upstream_id)
        if state is not None:
            state.outstanding += 1
            state.sent_since_load += 1
            state.was_called = True

    def record_answer(self, upstream_id: str, route: str, latency_ms: float, now_ms: float) -> None:
        """Record that an upstream ran and answered a call."""
        state = self._release_call(upstream_id)
        if state is None:
            return
        old_ms = state.latency_ms.get(route)
        if state.is_new and state.is_limited:
            # Latencies of a start don't tell what follows; until then its limit bounds the load.
            pass
        elif old_ms is None:
            state.latency_ms[route] = latency_ms
        else:
            state.latency_ms[route] = old_ms + LATENCY_WEIGHT * (latency_ms - old_ms)
        state.consecutive_unreachable_count = 0
        self._update_failure_rate(state, 0.0, now_ms)

    def record_failure(self, upstream_id: str, now_ms: float) -> None:
        """Record that an upstream failed a call or that its answer was lost."""
        state = self._release_call(upstream_id)
        if state is not None:
            self._update_failure_rate(state, 1.0, now_ms)

    def record_inconclusive(self, upstream_id: str) -> None:
        """Record the end of a call that says nothing about its upstream's health."""
        self._release_call(upstream_id)

    def mark_unreachable(self, upstream_id: str, now_ms: float) -> float:
        """Send no calls to an upstream that can't be reached; return for how long, in ms.

        The time grows exponentially with each failure since the upstream's last answer.
        """
        state = self._states.get(upstream_id)
        if state is None:
            return 0.0
        backoff_ms = min(200.0 * 2**state.consecutive_unreachable_count, 1_600.0)
        state.consecutive_unreachable_count = min(state.consecutive_unreachable_count + 1, 5)
        state.unavailable_until_ms = now_ms + backoff_ms
        return backoff_ms

    def mark_leaving(self, upstream_id: str, now_ms: float, *, takes_calls: bool) -> None:
        """Avoid an upstream whose node shuts down; the upstream itself may go on running.

        ``takes_calls`` is whether the node still accepts calls from other nodes.
        """
        state = self._states.get(upstream_id)
        if state is not None:
            state.leaving_until_ms = now_ms + NODE_SHUTDOWN_MS
            if not takes_calls:
                state.unavailable_until_ms = now_ms + NODE_RESTART_MS

    def mark_reachable(self, upstream_id: str) -> None:
        """Use an upstream again after a new connection to its node was opened."""
        state = self._states.get(upstream_id)
        if state is not None:
            state.leaving_until_ms = 0.0
            state.unavailable_until_ms = 0.0

    def update_load(self, upstream_id: str, load: Any, now_ms: float) -> None:
        """Store a load report of an upstream's node."""
        state = self._states.get(upstream_id)
        if state is not None and load is not None:
            state.load = load
            state.load_reported_at_ms = now_ms
            state.sent_since_load = 0
            state.is_new = state.is_new and state.is_limited

    def sibling_levels(self, upstream_id: str, now_ms: float) -> SiblingLevels:
        """Return the usual run times and latencies of the other targets of a target's service."""
        own = self._states.get(upstream_id)
        states = self._by_service.get(own.upstream.service, []) if own is not None else []
        if len(states) > MAX_SIBLINGS:
            states = self._rng.sample(states, MAX_SIBLINGS)
        warm = [state for state in states if state is not own and state.is_warm(now_ms)]
        services_ms = [state.load.service_ms for state in warm if state.load is not None]
        by_route: dict[str, list[float]] = {}
        for state in warm:
            for route, latency_ms in state.latency_ms.items():
                by_route.setdefault(route, []).append(latency_ms)
        return SiblingLevels(
            bool(warm),
            statistics.median(services_ms) if services_ms else None,
            {route: statistics.median(latencies) for route, latencies in by_route.items()},
        )

    def upstream(self, upstream_id: str) -> Any | None:
        """Return the known upstream with this id, or None."""
        state = self._states.get(upstream_id)
        return state.upstream if state else None

    def upstreams(self) -> list[Any]:
        """Return all known upstreams."""
        return [state.upstream for state in self._states.values()]

    def has_service(self, service: str) -> bool:
        """Return whether ``service`` has an upstream that isn't draining."""
        return bool(self._by_service.get(service))

    def view(self, now_ms: float) -> list[dict[str, Any]]:
        """Return this node's view of each upstream, for operators."""
        return [
            {
                "upstream": s.upstream.upstream_id,
                "service": s.upstream.service,
                "is_draining": s.upstream.is_draining,
                "utilization": round(s.utilization(now_ms), 3),
                "failure_rate": round(s.failure(now_ms), 3),
                "outstanding": s.outstanding,
            }
            for s in self._states.values()
        ]

    def _is_first_call_due(self, state: UpstreamState, now_ms: float) -> bool:
        is_first_caller = state.first_call_draw * self._node_count < FIRST_CALLERS
        return is_first_caller and now_ms >= state.first_call_after_ms

    def _make_state(self, upstream: Any, now_ms: float) -> UpstreamState:
        return UpstreamState(
            upstream=upstream,
            first_call_after_ms=now_ms + self._rng.random() * FIRST_CALL_JITTER_MS,
            first_call_draw=self._rng.random(),
            warm_at_ms=now_ms + upstream.warmup_left_ms,
            is_local=upstream.data_centre == self._data_centre,
            is_new=self._paces_starts and bool(self._states),
            known_since_ms=now_ms,
        )

    def _sample(self, states: list[UpstreamState]) -> list[UpstreamState]:
        local = [state for state in states if state.is_local]
        local_count = min(len(local), SAMPLE_SIZE - 1)
        local_sample = self._rng.sample(local, local_count)
        return local_sample + self._rng.sample(states, SAMPLE_SIZE - local_count)

    def _cost(
        self,
        state: UpstreamState,
        route: str,
        objective_ms: float,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        latency_ms = state.latency_ms.get(route)
        if latency_ms is None:
            latency_ms = typical_ms * (COLD_LATENCY_FACTOR if now_ms < state.warm_at_ms else 1.0)
        utilization = state.utilization(now_ms)
        if utilization > 1.0 and state.load is not None:
            latency_ms += (utilization - 1.0) * state.load.service_ms
        cost = (latency_ms / objective_ms) ** 2
        cost += FAILURE_PENALTY * state.failure(now_ms)
        cost += max(0.0, utilization - BUSY_UTILIZATION)
        if not state.is_local:
            cost += REMOTE_PENALTY
        return cost

    def _release_call(self, upstream_id: str) -> UpstreamState | None:
        state = self._states.get(upstream_id)
        if state is not None and state.outstanding > 0:
            state.outstanding -= 1
        return state

    def _update_failure_rate(self, state: UpstreamState, failure: float, now_ms: float) -> None:
        rate = state.failure(now_ms)
        state.failure_rate = rate + FAILURE_RATE_WEIGHT * (failure - rate)
        state.failure_rate_updated_at_ms = now_ms


def make_load_balancer(
    data_centre: str, rng: random.Random, *, paces_starts: bool = False
) -> LoadBalancer:
    """Return a load balancer that knows no upstreams yet.

    ``paces_starts`` tells whether the nodes next to targets limit those that have just started.
    """
    return LoadBalancer(data_centre, rng, paces_starts=paces_starts)


def _is_same_instance(old: Any, new: Any) -> bool:
    return old.started_at_ms == new.started_at_ms and old.address == new.address
