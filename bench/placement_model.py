"""Discrete-event model of the placement of calls: nodes, targets with slots, and delays.

It drives the decisions of the call path, which do no I/O. Two kinds of calls reach one service, as
on a fleet of screens: short nested calls, which the nodes of another service make, and long new
requests, which enter at all nodes. Times are in milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import Factory, define, field, frozen

from cottonlink.overload import (
    NESTED_CALL_TIER,
    NEW_REQUEST_TIER,
    Job,
    LoadBalancer,
    TargetQueue,
    allowed_wait_ms,
    make_load_balancer,
    make_placement,
    make_target_queue,
)
from cottonlink.path import Upstream
from cottonlink.path._model import Load

SERVICE = "screens"
LOCAL_DELAY_MS, REMOTE_DELAY_MS = 0.2, 0.5
EXPIRY_INTERVAL_MS = 20.0
SPEEDS = (0.5, 1.0, 1.0, 1.5)
# Work takes longer by this factor where it starts in one of the last slots.
FULL_SHARE, FULL_FACTOR = 0.95, 1.3


@frozen
class Kind:
    """A kind of calls; ``work_ms`` is the mean run time at a target of speed 1."""

    route: str
    tier: int
    rank: int
    objective_ms: float
    deadline_ms: float
    work_ms: float


LOOKUP = Kind("lookup", NESTED_CALL_TIER, 2, 319.0, 700.0, 46.0)
STATUS = Kind("status", NEW_REQUEST_TIER, 2, 2_305.0, 8_000.0, 731.0)


@frozen
class FleetShape:
    """Sizes of a fleet; ``caller_count`` nodes make the nested calls.

    ``load`` is the work that arrives, as a part of what all slots can do. Nested calls make up
    ``nested_share`` of it.
    """

    node_count: int
    target_count: int
    caller_count: int
    data_centre_count: int
    slots: int
    load: float
    nested_share: float = 0.62


@define(eq=False)
class Target:
    """One target and its queue."""

    upstream: Upstream
    speed: float
    queue: TargetQueue
    arrivals: int = 0
    is_expiring: bool = False


@define(eq=False)
class Call:
    """One call, from its arrival at a node to its end."""

    kind: Kind
    node: int
    work: float
    arrived_ms: float
    placement: Any = field(factory=make_placement)
    tried: set[str] = field(factory=set)
    target: Target | None = None
    sent_ms: float = 0.0


@define
class PlacementResult:
    """What became of the calls, by route."""

    asked: Counter = Factory(Counter)
    in_time: Counter = Factory(Counter)
    refused: Counter = Factory(Counter)
    placements: int = 0
    refused_with_room: int = 0
    target_arrivals: list[int] = Factory(list)
    first_arrivals_ms: dict[str, float] = Factory(dict)

    @property
    def busiest_to_mean(self) -> float:
        """Arrivals at the busiest target as a multiple of the mean."""
        return max(self.target_arrivals) * len(self.target_arrivals) / sum(self.target_arrivals)

    def in_time_share(self, route: str) -> float:
        """Return the part of the calls of ``route`` that were answered within their objective."""
        return self.in_time[route] / self.asked[route]


class PlacementModel:
    """A fleet that starts without any measurements."""

    def __init__(self, shape: FleetShape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = PlacementResult()
        self.targets = [self._make_target(n) for n in range(shape.target_count)]
        self._by_id = {t.upstream.upstream_id: t for t in self.targets}
        self.balancers = [self._make_balancer(n) for n in range(shape.node_count)]

    def run(self, duration_ms: float) -> PlacementResult:
        """Play the fleet for ``duration_ms``."""
        shape = self._shape
        capacity = shape.target_count * shape.slots * sum(SPEEDS) / len(SPEEDS)
        for kind, share in ((LOOKUP, shape.nested_share), (STATUS, 1.0 - shape.nested_share)):
            per_ms = shape.load * share * capacity / kind.work_ms
            node_count = shape.caller_count if kind is LOOKUP else shape.node_count
            self._at(0.0, lambda ms, k=kind, r=per_ms, n=node_count: self._arrive(k, r, n, ms))
        now_ms = 0.0
        while self._events and now_ms < duration_ms:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)
        self.result.target_arrivals = [target.arrivals for target in self.targets]
        return self.result

    def add_target(self, now_ms: float) -> Target:
        """Add a target that all nodes learn of at once."""
        target = self._make_target(len(self.targets))
        self.targets.append(target)
        self._by_id[target.upstream.upstream_id] = target
        for balancer in self.balancers:
            balancer.update([t.upstream for t in self.targets], now_ms)
        return target

    def schedule(self, at_ms: float, action: Callable[[float], None]) -> None:
        """Run ``action`` with the time at ``at_ms``."""
        self._at(at_ms, action)

    def _make_target(self, number: int) -> Target:
        shape = self._shape
        data_centre = f"dc-{number % shape.data_centre_count}"
        upstream = Upstream(
            f"t-{number}",
            SERVICE,
            (f"10.0.{number // 250}.{number % 250}", 80),
            data_centre,
            shape.slots,
            False,
            0.0,
            number,
        )
        speed = SPEEDS[(number + number // shape.data_centre_count) % len(SPEEDS)]
        return Target(upstream, speed, make_target_queue(shape.slots))

    def _make_balancer(self, number: int) -> LoadBalancer:
        data_centre = f"dc-{number % self._shape.data_centre_count}"
        balancer = make_load_balancer(data_centre, self._rng)
        balancer.set_node_count(self._shape.node_count)
        balancer.update([target.upstream for target in self.targets], 0.0)
        return balancer

    def _at(self, at_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _arrive(self, kind: Kind, per_ms: float, node_count: int, now_ms: float) -> None:
        next_ms = now_ms + self._rng.expovariate(per_ms)
        self._at(next_ms, lambda ms: self._arrive(kind, per_ms, node_count, ms))
        work = self._rng.lognormvariate(-0.125, 0.5) * kind.work_ms
        call = Call(kind, self._rng.randrange(node_count), work, now_ms)
        self.result.asked[kind.route] += 1
        self._place(call, now_ms)

    def _place(self, call: Call, now_ms: float) -> None:
        kind, balancer = call.kind, self.balancers[call.node]
        upstream = balancer.choose(SERVICE, kind.route, kind.objective_ms, call.tried, True, now_ms)
        if upstream is None:
            self._refuse(call)
            return
        call.tried.add(upstream.upstream_id)
        call.target = self._by_id[upstream.upstream_id]
        call.sent_ms = now_ms
        objective_ms = call.placement.wait_objective_ms(
            kind.tier,
            kind.objective_ms,
            is_known_busy=balancer.is_known_busy(upstream.upstream_id, now_ms),
        )
        balancer.record_send(upstream.upstream_id)
        self.result.placements += 1
        delay_ms = self._delay_ms(call)
        self._at(now_ms + delay_ms, lambda ms: self._offer(call, objective_ms, ms))

    def _delay_ms(self, call: Call) -> float:
        data_centre = f"dc-{call.node % self._shape.data_centre_count}"
        is_local = call.target.upstream.data_centre == data_centre
        return LOCAL_DELAY_MS if is_local else REMOTE_DELAY_MS

    def _offer(self, call: Call, objective_ms: float, now_ms: float) -> None:
        kind, target = call.kind, call.target
        remaining_ms = kind.deadline_ms - (now_ms - call.arrived_ms)
        wait_ms = allowed_wait_ms(kind.tier, kind.rank, objective_ms, remaining_ms)
        is_started, refused = target.queue.offer(Job(call, kind.tier, kind.rank, wait_ms), now_ms)
        self._deliver_refusals(target, refused, now_ms)
        if is_started:
            self._start(call, now_ms)
        elif target.queue.queued_count and not target.is_expiring:
            target.is_expiring = True
            self._at(now_ms + EXPIRY_INTERVAL_MS, lambda ms: self._expire(target, ms))

    def _expire(self, target: Target, now_ms: float) -> None:
        self._deliver_refusals(target, target.queue.expire(now_ms), now_ms)
        target.is_expiring = target.queue.queued_count > 0
        if target.is_expiring:
            self._at(now_ms + EXPIRY_INTERVAL_MS, lambda ms: self._expire(target, ms))

    def _start(self, call: Call, now_ms: float) -> None:
        target = call.target
        target.arrivals += 1
        self.result.first_arrivals_ms.setdefault(target.upstream.upstream_id, now_ms)
        is_full = target.queue.running_count >= FULL_SHARE * self._shape.slots
        run_ms = call.work / target.speed * (FULL_FACTOR if is_full else 1.0)
        self._at(now_ms + run_ms, lambda ms: self._finish(call, ms))

    def _finish(self, call: Call, now_ms: float) -> None:
        target = call.target
        for job in target.queue.finish(call, now_ms):
            self._start(job.key, now_ms)
        load = _load(target)
        self._at(now_ms + self._delay_ms(call), lambda ms: self._answer(call, load, ms))

    def _answer(self, call: Call, load: Load, now_ms: float) -> None:
        upstream_id = call.target.upstream.upstream_id
        balancer = self.balancers[call.node]
        balancer.update_load(upstream_id, load, now_ms)
        balancer.record_answer(upstream_id, call.kind.route, now_ms - call.sent_ms, now_ms)
        self.result.in_time[call.kind.route] += now_ms - call.arrived_ms <= call.kind.objective_ms

    def _deliver_refusals(self, target: Target, refusals: Any, now_ms: float) -> None:
        load = _load(target)
        for refusal in refusals:
            call, reason = refusal.job.key, refusal.reason
            self._at(
                now_ms + self._delay_ms(call),
                lambda ms, c=call, r=reason: self._on_refused(c, r, load, ms),
            )

    def _on_refused(self, call: Call, reason: str, load: Load, now_ms: float) -> None:
        upstream_id = call.target.upstream.upstream_id
        balancer = self.balancers[call.node]
        balancer.update_load(upstream_id, load, now_ms)
        balancer.record_inconclusive(upstream_id)
        call.placement.record_refusal(reason, is_unreachable=False)
        if not call.placement.may_place_again:
            self._refuse(call)
            return
        if call.placement.may_try_busy_again:
            call.tried.clear()
        self._place(call, now_ms)

    def _refuse(self, call: Call) -> None:
        self.result.refused[call.kind.route] += 1
        self.result.refused_with_room += any(
            t.queue.running_count < t.queue.limit and not t.queue.queued_count for t in self.targets
        )


def _load(target: Target) -> Load:
    queue = target.queue
    return Load(queue.running_count, queue.queued_count, queue.limit, queue.service_ms)
