"""Decides at the node of a target which calls run, wait or are refused.

Used when far more work arrives than the target can do. One request of a caller makes many calls, so
a nested call (a call that a running request makes) starts before any new request: refusing it would
waste all work already done for its request. New requests wait only briefly, by importance, and are
refused at once if the expected wait is longer than they may wait. A share of the target is reserved
for new requests, so that nested calls can't starve them.

While the target names a limit on its rate, jobs start only as fast as that allows. Slots are mostly
free then, so the share of new requests is one of the starts instead.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from typing import Any

from attrs import define, frozen

from cottonlink.overload._target_limit import TargetLimit, make_target_limit

# Share of the slots that is used: targets slow down close to their last slot, and need room for
# health checks and for connections that hold a slot while they open.
USABLE_SLOT_SHARE = 0.94
# With fewer slots all of them are used: one unused slot would cost more than the slowdown.
MIN_SLOTS_WITH_RESERVE = 5
# Share of the limit that new requests may always use while nested calls are waiting.
RESERVED_NEW_REQUEST_SHARE = 0.2
# Share of the limit left free for more important requests, times the rank of the new request.
RESERVE_PER_RANK = 0.03
# Weight of a start in the moving average of the share of new requests among them.
START_SHARE_WEIGHT = 0.1
# Weight of a new service time in its moving average.
SERVICE_TIME_WEIGHT = 0.05
# Expected service time until one has been measured.
INITIAL_SERVICE_MS = 100.0
# Half-life of past load in the pressure. It spans several service times of the shortest calls, and
# is shorter than the period in which nodes react to pressure.
PRESSURE_HALF_LIFE_MS = 40.0
# Queued jobs per usable slot above which the least important one is refused.
MAX_QUEUED_PER_SLOT = 4
# Part of its latency objective that a new request may wait for a slot. After a longer wait a prompt
# refusal would have been better for its caller.
MAX_WAIT_OBJECTIVE_SHARE = 0.15
# The same for requests of rank 0, for which an answer matters more than a prompt refusal.
TOP_RANK_MAX_WAIT_OBJECTIVE_SHARE = 0.3
# Part of the time to its deadline that any job may wait, so that it can still run.
MAX_WAIT_REMAINING_SHARE = 0.6
# Multiple of its latency objective that a nested call may wait. It binds only where the sender
# asks for a short wait by a smaller objective.
NESTED_CALL_MAX_WAIT_OBJECTIVES = 3.0

NESTED_CALL_TIER = 0
NEW_REQUEST_TIER = 1

# Reason of a refusal because the target limits its rate.
RATE_LIMITED = "rate_limited"


@frozen(eq=False)
class Job:
    """A call that needs a slot of the target, and how long it may wait for one (``max_wait_ms``).

    ``tier`` is NESTED_CALL_TIER for a call that a running request makes and NEW_REQUEST_TIER for a
    new request. Among new requests the lowest ``rank`` starts first.
    """

    key: Any
    tier: int
    rank: int
    max_wait_ms: float


@frozen
class Refusal:
    """A job that won't run, a stable code of the reason, and the time after which to retry."""

    job: Job
    reason: str
    retry_after_ms: float


@define(eq=False)
class _QueuedJob:
    job: Job
    expires_at_ms: float
    is_removed: bool = False


class TargetQueue:
    """Admission control of one target: its running jobs and a bounded priority queue."""

    def __init__(self, slots: int, rate_limit: TargetLimit) -> None:
        self._rate_limit = rate_limit
        self._is_rate_limited = False
        self._new_start_share = 0.0
        self._running: dict[Any, tuple[Job, float]] = {}
        self._running_new_count = 0
        self._queued: dict[Any, _QueuedJob] = {}
        self._heaps: tuple[list, list] = ([], [])
        self._queued_nested_count = 0
        # By tier and rank.
        self._queued_counts: Counter[tuple[int, int]] = Counter()
        self._sequence = itertools.count()
        self.service_ms = INITIAL_SERVICE_MS
        self._pressure = 0.0
        self._pressure_at_ms = 0.0
        self._full_limit = 1
        self._paced_limit: int | None = None
        self.resize(slots)

    @property
    def running_count(self) -> int:
        """Number of jobs that run at the target."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._queued)

    @property
    def limit(self) -> int:
        """Number of jobs that may run at a time."""
        if self._paced_limit is None:
            return self._full_limit
        return min(self._full_limit, self._paced_limit)

    def capacity(self, now_ms: float) -> int:
        """Return the number of jobs that the target runs at a time, at most.

        While it limits its rate, that follows from the rate and the time that a job takes.
        """
        rate_per_s = self._rate_limit.rate_per_s(now_ms)
        if rate_per_s == math.inf:
            return self.limit
        return max(1, min(self.limit, round(rate_per_s * self.service_ms / 1000.0)))

    def has_room(self, tier: int, rank: int) -> bool:
        """Return whether a job of this importance would start at once."""
        job = Job(None, tier, rank, 0.0)
        return self._has_free_slot(job) and not self._must_wait_behind_queue(job)

    def resize(self, slots: int) -> None:
        """Set the number of slots, the jobs that the target can run at the same time."""
        self._full_limit = usable_slots(slots)

    def pace(self, limit: int | None) -> None:
        """Set the limit of a target that has just started or recovered; None ends it."""
        self._paced_limit = limit

    def offer(self, job: Job, now_ms: float) -> tuple[bool, tuple[Refusal, ...]]:
        """Start, queue or refuse ``job``; return whether it started, and all jobs refused.

        Only ``job`` itself, or the least important job of a full queue, is refused. A job that
        neither starts nor is refused is queued.
        """
        self._advance(now_ms)
        self._rate_limit.record_arrival(now_ms)
        may_start = self._has_free_slot(job) and not self._must_wait_behind_queue(job)
        if may_start and self._rate_limit.take(now_ms):
            self._start(job, now_ms)
            return True, ()
        if self._is_rate_limited:
            self._rate_limit.count_held_back()
        wait_ms = self._estimated_wait_ms(job, now_ms)
        if wait_ms > job.max_wait_ms:
            return False, (Refusal(job, self._wait_reason("queue_wait"), wait_ms),)
        queued_job = _QueuedJob(job, now_ms + job.max_wait_ms)
        self._queued[job.key] = queued_job
        self._adjust_queued_count(job, 1)
        heapq.heappush(self._heaps[job.tier], (job.rank, next(self._sequence), queued_job))
        return False, self._evict(now_ms)

    def finish(self, key: Any, now_ms: float, *, is_sample: bool = True) -> list[Job]:
        """Free the slot of a job that has left the target; return the jobs that start now.

        ``is_sample`` is whether the job's time at the target counts as a measured service time.
        """
        self._advance(now_ms)
        entry = self._running.pop(key, None)
        if entry is not None:
            job, started_ms = entry
            self._running_new_count -= job.tier == NEW_REQUEST_TIER
            if is_sample:
                self.service_ms += SERVICE_TIME_WEIGHT * (now_ms - started_ms - self.service_ms)
        return self._start_queued(now_ms)

    def start_due(self, now_ms: float) -> list[Job]:
        """Start and return the queued jobs that the limit on the rate has held back until now."""
        self._advance(now_ms)
        return self._start_queued(now_ms)

    def withdraw(self, key: Any) -> bool:
        """Remove a job from the queue; return whether it was queued."""
        queued_job = self._queued.pop(key, None)
        if queued_job is None:
            return False
        queued_job.is_removed = True
        self._adjust_queued_count(queued_job.job, -1)
        return True

    def expire(self, now_ms: float) -> list[Refusal]:
        """Refuse and return the queued jobs whose maximum wait has passed."""
        expired = [w.job for w in self._queued.values() if w.expires_at_ms <= now_ms]
        reason = self._wait_reason("queue_timeout")
        return [self._refuse(job, reason, now_ms) for job in expired]

    def clear(self, reason: str, now_ms: float) -> list[Refusal]:
        """Refuse and return all queued jobs."""
        return [self._refuse(w.job, reason, now_ms) for w in list(self._queued.values())]

    def pressure(self, now_ms: float) -> float:
        """Return the moving average of running and queued jobs, as a multiple of the limit."""
        self._advance(now_ms)
        return self._pressure

    def _advance(self, now_ms: float) -> None:
        self._is_rate_limited = self._rate_limit.rate_per_s(now_ms) < math.inf
        # Nodes throttle whole routes by the pressure, and one target that starts is no reason to.
        load = (len(self._running) + len(self._queued)) / self._full_limit
        keep = 0.5 ** ((now_ms - self._pressure_at_ms) / PRESSURE_HALF_LIFE_MS)
        self._pressure = load + keep * (self._pressure - load)
        self._pressure_at_ms = now_ms

    def _wait_reason(self, reason: str) -> str:
        return RATE_LIMITED if self._is_rate_limited else reason

    def _refuse(self, job: Job, reason: str, now_ms: float) -> Refusal:
        self.withdraw(job.key)
        return Refusal(job, reason, self._estimated_wait_ms(job, now_ms))

    def _adjust_queued_count(self, job: Job, change: int) -> None:
        self._queued_counts[job.tier, job.rank] += change
        if job.tier == NESTED_CALL_TIER:
            self._queued_nested_count += change

    def _has_free_slot(self, job: Job) -> bool:
        limit = self.limit
        if job.tier == NEW_REQUEST_TIER and not self._is_new_request_share_free():
            limit = max(1, round(self.limit * (1.0 - RESERVE_PER_RANK * job.rank)))
        return len(self._running) < limit

    def _must_wait_behind_queue(self, job: Job) -> bool:
        if job.tier == NESTED_CALL_TIER:
            return self._queued_nested_count > 0
        if self._queued_nested_count and not self._is_new_request_share_free():
            return True
        head = self._head(NEW_REQUEST_TIER)
        return head is not None and head.job.rank <= job.rank

    def _is_new_request_share_free(self) -> bool:
        if self._is_rate_limited:
            return self._new_start_share < RESERVED_NEW_REQUEST_SHARE
        return self._running_new_count < RESERVED_NEW_REQUEST_SHARE * self.limit

    def _estimated_wait_ms(self, job: Job, now_ms: float) -> float:
        # New requests within their reserved share start before queued nested calls.
        is_share_free = job.tier == NEW_REQUEST_TIER and self._is_new_request_share_free()
        tiers = (NEW_REQUEST_TIER,) if is_share_free else (NESTED_CALL_TIER, job.tier)
        ahead = sum(
            count
            for (tier, rank), count in self._queued_counts.items()
            if tier in tiers and (tier < job.tier or rank <= job.rank)
        )
        slot_wait_ms = (ahead + 1) * self.service_ms / self.limit
        return max(slot_wait_ms, self._rate_limit.wait_ms(ahead + 1, now_ms))

    def _start_queued(self, now_ms: float) -> list[Job]:
        started: list[Job] = []
        while (job := self._next_job(now_ms)) is not None:
            self.withdraw(job.key)
            self._start(job, now_ms)
            started.append(job)
        return started

    def _next_job(self, now_ms: float) -> Job | None:
        nested, new = self._head(NESTED_CALL_TIER), self._head(NEW_REQUEST_TIER)
        first, second = (new, nested) if self._is_new_request_share_free() else (nested, new)
        for queued_job in (first, second):
            if queued_job is not None and self._has_free_slot(queued_job.job):
                return queued_job.job if self._rate_limit.take(now_ms) else None
        return None

    def _head(self, tier: int) -> _QueuedJob | None:
        heap = self._heaps[tier]
        while heap and heap[0][2].is_removed:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _start(self, job: Job, now_ms: float) -> None:
        self._running[job.key] = (job, now_ms)
        is_new = job.tier == NEW_REQUEST_TIER
        self._running_new_count += is_new
        self._new_start_share += START_SHARE_WEIGHT * (is_new - self._new_start_share)

    def _evict(self, now_ms: float) -> tuple[Refusal, ...]:
        if len(self._queued) <= MAX_QUEUED_PER_SLOT * self.limit:
            return ()
        worst = max(self._queued.values(), key=lambda w: (w.job.tier, w.job.rank, w.expires_at_ms))
        return (self._refuse(worst.job, "queue_full", now_ms),)


def make_target_queue(slots: int, rate_limit: TargetLimit | None = None) -> TargetQueue:
    """Return an empty queue for a target with ``slots`` slots, and with no limit if None."""
    return TargetQueue(slots, make_target_limit() if rate_limit is None else rate_limit)


def usable_slots(slots: int) -> int:
    """Return the number of jobs that may run at a time at a target with ``slots`` slots."""
    if slots >= MIN_SLOTS_WITH_RESERVE:
        slots = int(slots * USABLE_SLOT_SHARE)
    return max(1, slots)


def allowed_wait_ms(tier: int, rank: int, objective_ms: float, remaining_ms: float) -> float:
    """Return how long a job may wait for a slot, in ms.

    ``objective_ms`` is the latency objective of its route, or a part of it where the wait should be
    short, and ``remaining_ms`` the time to its deadline.
    """
    if tier == NESTED_CALL_TIER:
        share = NESTED_CALL_MAX_WAIT_OBJECTIVES
        return min(share * objective_ms, MAX_WAIT_REMAINING_SHARE * remaining_ms)
    share = TOP_RANK_MAX_WAIT_OBJECTIVE_SHARE if rank == 0 else MAX_WAIT_OBJECTIVE_SHARE
    return min(share * objective_ms, MAX_WAIT_REMAINING_SHARE * remaining_ms)
