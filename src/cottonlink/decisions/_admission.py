"""Admission to one target: who runs, who waits, who is refused and who is cancelled."""

from __future__ import annotations

import enum
import random

from attrs import define, frozen

from cottonlink.decisions._limits import LimitAlgorithm, ServiceTimes, make_limit
from cottonlink.decisions._queue import Arrival, CallQueue, QueuedCall, QueueOrder, rank_key
from cottonlink.decisions._threshold import (
    ADMIT_ALL_THRESHOLD,
    RetryAfterEstimator,
    Threshold,
    ThresholdTracker,
)

# Calls that may wait for each slot. A full queue then holds about two service times of work.
QUEUE_CALLS_PER_SLOT = 2

# A queued call with less slack than this before its last possible start takes the slot of a less
# important call. It covers the interval between two calls of ``expire``.
URGENT_SLACK_MS = 100

OVERLOADED = "overloaded"
DEADLINE_EXCEEDED = "deadline_exceeded"
CANCELLED = "cancelled"


class Outcome(enum.StrEnum):
    """How a run ended."""

    OK = "ok"
    FAILED = "failed"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"


@frozen
class Start:
    """Hand the call to the target now."""

    call_id: str


@frozen
class Refuse:
    """Answer the call at once with ``code``; the target never sees it."""

    call_id: str
    code: str
    retry_after_ms: int | None


@frozen
class Cancel:
    """Stop a running call. It counts as running until ``finish``."""

    call_id: str


Decision = Start | Refuse | Cancel


@frozen
class Load:
    """Calls in flight at the target, the concurrency limit and the calls that wait."""

    in_flight: int
    limit: int
    queued: int


@define(eq=False)
class _Run:
    call: QueuedCall
    started_ms: int
    cancelled: bool = False

    @property
    def is_preemptible(self) -> bool:
        return self.call.arrival.repeatable and not self.cancelled


class _ImportanceCounts:
    """Number of preemptible runs of each importance."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}

    def add(self, importance: int, change: int) -> None:
        count = self._counts.get(importance, 0) + change
        if count:
            self._counts[importance] = count
        else:
            self._counts.pop(importance, None)

    def lowest(self) -> int | None:
        return min(self._counts, default=None)


def make_admission(
    slots: int,
    *,
    rng: random.Random,
    limit: LimitAlgorithm = LimitAlgorithm.GRADIENT,
    queue_order: QueueOrder = QueueOrder.HASH,
    queue_capacity: int | None = None,
) -> Admission:
    """Return the admission for a target with ``slots`` slots.

    ``queue_capacity`` defaults to two calls a slot.
    """
    return Admission(slots, rng, limit, queue_order, queue_capacity)


class Admission:
    """Decides on every call to one target.

    Each arrival gets exactly one ``Start`` or ``Refuse``. ``Cancel`` only follows a ``Start`` of a
    repeatable call. All methods that take ``now_ms`` are commands and return the decisions that
    they caused, in the order in which they apply.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        algorithm: LimitAlgorithm,
        order: QueueOrder,
        queue_capacity: int | None,
    ) -> None:
        self._limit = make_limit(algorithm, slots)
        self._order = order
        self._fixed_capacity = queue_capacity
        self._capacity = self._queue_capacity(slots)
        self._queue = CallQueue()
        self._running: dict[str, _Run] = {}
        self._running_suspects = 0
        self._preemptible_counts = _ImportanceCounts()
        self._service_times = ServiceTimes()
        self._advice = RetryAfterEstimator(rng)
        self._threshold = ThresholdTracker()
        self._serial = 0

    def arrive(self, arrival: Arrival, now_ms: int) -> tuple[Decision, ...]:
        """Admit, queue or refuse a call; without a decision on it, the call is queued.

        Raises ``ValueError`` if the call is already queued or running.
        """
        if arrival.call_id in self._running or arrival.call_id in self._queue:
            raise ValueError(f"call {arrival.call_id} has already arrived")
        if self._is_too_late(arrival, now_ms):
            return (Refuse(arrival.call_id, DEADLINE_EXCEEDED, None),)
        self._serial += 1
        key = rank_key(arrival, self._order, self._serial)
        self._queue.push(QueuedCall(key, arrival))
        return self._settle(now_ms)

    def finish(self, call_id: str, outcome: Outcome, now_ms: int) -> tuple[Decision, ...]:
        """End a run and start queued calls in its place."""
        run = self._running.get(call_id)
        if run is None:
            return ()
        self._measure(run, outcome, now_ms)
        if run.is_preemptible:
            self._preemptible_counts.add(run.call.arrival.importance, -1)
        del self._running[call_id]
        self._running_suspects -= run.call.arrival.suspect
        return self._settle(now_ms)

    def cancel(self, call_id: str, now_ms: int) -> tuple[Decision, ...]:
        """Drop a call whose caller or parent is gone; a non-repeatable run goes on."""
        if self._queue.remove(call_id) is not None:
            return (Refuse(call_id, CANCELLED, None), *self._settle(now_ms))
        run = self._running.get(call_id)
        if run is None or not run.is_preemptible:
            return ()
        return (self._cancel_run(run),)

    def expire(self, now_ms: int) -> tuple[Decision, ...]:
        """Refuse queued calls that are too late and start urgent ones in place of lesser calls."""
        decisions: list[Decision] = []
        for call in self._queue:
            if self._is_too_late(call.arrival, now_ms):
                self._queue.remove(call.arrival.call_id)
                decisions.append(self._refuse(call, DEADLINE_EXCEEDED, now_ms))
            elif self._is_too_late(call.arrival, now_ms + URGENT_SLACK_MS):
                decisions.extend(self._preempt_for(call, now_ms))
        decisions.extend(self._settle(now_ms))
        return tuple(decisions)

    def resize(self, slots: int, now_ms: int) -> tuple[Decision, ...]:
        """Change the number of slots; surplus queued calls are refused."""
        self._limit.resize(slots)
        self._capacity = self._queue_capacity(slots)
        return self._settle(now_ms)

    def load(self) -> Load:
        """Return the current load; cancelled runs count until they have finished."""
        return Load(len(self._running), self._limit.limit, len(self._queue))

    def threshold(self, now_ms: int) -> Threshold:
        """Return the rank below which calls would be refused now."""
        worst = self._queue.worst()
        if worst is None:
            return ADMIT_ALL_THRESHOLD
        arrival = worst.arrival
        position = arrival.position if self._order is QueueOrder.HASH else 0
        rank = Threshold(arrival.importance, position)
        lowest = self._preemptible_counts.lowest()
        if lowest is not None:
            # A call above the lowest preemptible run takes its slot instead of being refused.
            rank = min(rank, Threshold(lowest + 1, 0))
        return self._threshold.current(rank)

    def _queue_capacity(self, slots: int) -> int:
        if self._fixed_capacity is not None:
            return self._fixed_capacity
        return QUEUE_CALLS_PER_SLOT * max(1, slots)

    def _settle(self, now_ms: int) -> tuple[Decision, ...]:
        """Start queued calls while there is room, then shed calls above the queue's capacity."""
        decisions: list[Decision] = []
        while len(self._running) < self._limit.limit:
            started = self._start_best(now_ms)
            if not started:
                break
            decisions.extend(started)
        while len(self._queue) > self._capacity:
            decisions.extend(self._shed_one(now_ms))
        self._threshold.queue_changed(len(self._queue), self._capacity)
        return tuple(decisions)

    def _start_best(self, now_ms: int) -> tuple[Decision, ...]:
        """Start the first runnable call, or refuse it if it is too late; () without one."""
        call = self._queue.pop_best(allow_suspect=self._running_suspects == 0)
        if call is None:
            return ()
        if self._is_too_late(call.arrival, now_ms):
            return (self._refuse(call, DEADLINE_EXCEEDED, now_ms),)
        return (self._start(call, now_ms),)

    def _start(self, call: QueuedCall, now_ms: int) -> Start:
        self._running[call.arrival.call_id] = _Run(call, now_ms)
        self._running_suspects += call.arrival.suspect
        if call.arrival.repeatable:
            self._preemptible_counts.add(call.arrival.importance, 1)
        return Start(call.arrival.call_id)

    def _cancel_run(self, run: _Run) -> Cancel:
        self._preemptible_counts.add(run.call.arrival.importance, -1)
        run.cancelled = True
        return Cancel(run.call.arrival.call_id)

    def _shed_one(self, now_ms: int) -> tuple[Decision, ...]:
        """Remove one call from a queue that is too long.

        The last call in order is refused, unless a less important run can be cancelled; then the
        first call in order starts.
        """
        worst = self._queue.worst()
        victim = self._preemptible(worst.arrival.importance)
        if victim is not None and self._queue.has_runnable(
            allow_suspect=self._running_suspects == 0
        ):
            return self._start_in_place_of(victim, now_ms)
        self._queue.remove(worst.arrival.call_id)
        self._threshold.refused_for_capacity()
        return (self._refuse(worst, OVERLOADED, now_ms),)

    def _start_in_place_of(self, victim: _Run, now_ms: int) -> tuple[Decision, ...]:
        started = self._start_best(now_ms)
        if not any(isinstance(decision, Start) for decision in started):
            return started
        return (self._cancel_run(victim), *started)

    def _preempt_for(self, call: QueuedCall, now_ms: int) -> tuple[Decision, ...]:
        """Start an urgent call in place of a less important run, if there is one."""
        if call.arrival.suspect and self._running_suspects:
            return ()
        victim = self._preemptible(call.arrival.importance)
        if victim is None:
            return ()
        self._queue.remove(call.arrival.call_id)
        return (self._cancel_run(victim), self._start(call, now_ms))

    def _preemptible(self, importance: int) -> _Run | None:
        """Return the last repeatable run in order that is less important, or None."""
        lowest = self._preemptible_counts.lowest()
        if lowest is None or lowest >= importance:
            return None
        runs = (run for run in self._running.values() if run.is_preemptible)
        return min(runs, key=lambda run: run.call.key)

    def _refuse(self, call: QueuedCall, code: str, now_ms: int) -> Refuse:
        self._advice.record_refused(now_ms)
        retry_after_ms = self._advice.retry_after_ms(len(self._queue), now_ms)
        return Refuse(call.arrival.call_id, code, retry_after_ms)

    def _is_too_late(self, arrival: Arrival, now_ms: int) -> bool:
        remaining_ms = arrival.deadline_ms - now_ms
        needed_ms = self._service_times.estimate_ms(arrival.kind, now_ms)
        return remaining_ms <= 0 or remaining_ms < needed_ms

    def _measure(self, run: _Run, outcome: Outcome, now_ms: int) -> None:
        """Feed the latency of a run into the estimates; failures say nothing about latency."""
        if outcome in (Outcome.OK, Outcome.FAILED):
            self._advice.record_completed(now_ms)
        if outcome not in (Outcome.OK, Outcome.TIMED_OUT):
            return
        kind = run.call.arrival.kind
        latency_ms = max(0, now_ms - run.started_ms)
        timed_out = outcome is Outcome.TIMED_OUT
        self._service_times.observe(kind, latency_ms, now_ms)
        self._limit.observe(kind, latency_ms, len(self._running), timed_out, now_ms)
