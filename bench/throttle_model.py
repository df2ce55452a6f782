"""Discrete-event model of a surge that enters at many nodes and overloads a service below.

A request runs at its own service and then makes calls to the overloaded one, one after another; it
fails with the first that is refused. Nodes limit what enters by the pressure that comes back with
the responses. Times are in milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable

from attrs import Factory, define, frozen

from cottonlink.overload import (
    NESTED_CALL_TIER,
    Job,
    TargetQueue,
    make_route_throttle,
    make_target_queue,
)

OWN_RUN_MS = 160.0
CALL_MS = 46.0
CALLS = 4
CALL_MAX_WAIT_MS = 420.0
# Targets that a call may be placed on are compared by their load, as nodes do by trying.
PLACEMENT_SAMPLE = 4
# Weight of a call's pressure in what the node that makes it reports.
PRESSURE_WEIGHT = 0.3


@frozen
class SurgeShape:
    """Nodes at which requests enter, and the targets of the service below them.

    ``load`` is what arrives, as a part of the capacity, until ``surge_ms``; ``calm_load`` follows.
    A quarter of the requests is of rank 0.
    """

    node_count: int
    target_count: int
    slots: int
    load: float
    calm_load: float = 0.6
    surge_ms: float = 15_000.0


@define
class SecondCounts:
    """Requests by rank that entered in one second: all, admitted, and answered."""

    asked: Counter = Factory(Counter)
    admitted: Counter = Factory(Counter)
    served: Counter = Factory(Counter)


@define(eq=False)
class Request:
    """One request and the calls that it still has to make."""

    rank: int
    node: int
    entered_ms: float
    calls_left: int = CALLS
    pressure: float = 0.0


class SurgeModel:
    """Plays one surge."""

    def __init__(self, shape: SurgeShape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._targets: list[TargetQueue] = [
            make_target_queue(shape.slots) for _ in range(shape.target_count)
        ]
        self.throttles = [
            make_route_throttle(lambda _change: None) for _ in range(shape.node_count)
        ]
        self.seconds: dict[int, SecondCounts] = defaultdict(SecondCounts)

    @property
    def capacity_per_s(self) -> float:
        """Requests that all targets can serve in a second."""
        slots = sum(queue.limit for queue in self._targets)
        return slots * 1000.0 / (CALL_MS * CALLS)

    def run(self, duration_ms: float) -> None:
        """Play the model for ``duration_ms``."""
        self._schedule_arrival(0.0)
        self._at(20.0, self._expire)
        now_ms = 0.0
        while now_ms < duration_ms:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)

    def share(self, counts: str, seconds: range, rank: int | None = None) -> float:
        """Return the part of the requests of some seconds that were ``served`` or ``admitted``."""
        total = sum(self._sum(self.seconds[s].asked, rank) for s in seconds)
        return sum(self._sum(getattr(self.seconds[s], counts), rank) for s in seconds) / total

    def served_per_s(self, seconds: range) -> float:
        """Return how many requests of each of some seconds were served, on average."""
        return sum(self.seconds[s].served.total() for s in seconds) / len(seconds)

    @staticmethod
    def _sum(counts: Counter, rank: int | None) -> int:
        return counts.total() if rank is None else counts[rank]

    def _at(self, at_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _schedule_arrival(self, now_ms: float) -> None:
        shape = self._shape
        load = shape.load if now_ms < shape.surge_ms else shape.calm_load
        delay_ms = self._rng.expovariate(load * self.capacity_per_s / 1000.0)
        self._at(now_ms + delay_ms, self._arrive)

    def _arrive(self, now_ms: float) -> None:
        self._schedule_arrival(now_ms)
        rank = 0 if self._rng.random() < 0.25 else 2
        request = Request(rank, self._rng.randrange(self._shape.node_count), now_ms)
        counts = self.seconds[int(now_ms // 1000)]
        counts.asked[rank] += 1
        if not self.throttles[request.node].admits(f"route-{rank}", rank, now_ms):
            return
        counts.admitted[rank] += 1
        run_ms = OWN_RUN_MS * self._rng.uniform(0.5, 1.5)
        self._at(now_ms + run_ms, lambda ms: self._call(request, ms))

    def _call(self, request: Request, now_ms: float) -> None:
        sample = self._rng.sample(self._targets, min(PLACEMENT_SAMPLE, len(self._targets)))
        queue = min(sample, key=lambda q: (q.running_count + q.queued_count) / q.limit)
        is_started, refused = queue.offer(
            Job((request, queue), NESTED_CALL_TIER, request.rank, CALL_MAX_WAIT_MS), now_ms
        )
        pressure = queue.pressure(now_ms)
        request.pressure += PRESSURE_WEIGHT * (pressure - request.pressure)
        if request.calls_left == CALLS:
            request.pressure = pressure
        for refusal in refused:
            self._report(refusal.job.key[0], now_ms)
        if is_started:
            self._start(request, queue, now_ms)

    def _start(self, request: Request, queue: TargetQueue, now_ms: float) -> None:
        run_ms = self._rng.lognormvariate(-0.125, 0.5) * CALL_MS
        self._at(now_ms + run_ms, lambda ms: self._finish(request, queue, ms))

    def _finish(self, request: Request, queue: TargetQueue, now_ms: float) -> None:
        for job in queue.finish((request, queue), now_ms):
            self._start(job.key[0], queue, now_ms)
        request.calls_left -= 1
        if request.calls_left:
            self._call(request, now_ms)
            return
        self.seconds[int(request.entered_ms // 1000)].served[request.rank] += 1
        self._report(request, now_ms)

    def _report(self, request: Request, now_ms: float) -> None:
        throttle = self.throttles[request.node]
        route = f"route-{request.rank}"
        throttle.record_pressure(route, request.rank, request.pressure, now_ms)
        if request.calls_left == 0:
            latency_ms = now_ms - request.entered_ms
            throttle.record_answer(
                route, request.rank, latency_ms, is_useful=latency_ms < 1_500.0, now_ms=now_ms
            )

    def _expire(self, now_ms: float) -> None:
        self._at(now_ms + 20.0, self._expire)
        for queue in self._targets:
            for refusal in queue.expire(now_ms):
                self._report(refusal.job.key[0], now_ms)
