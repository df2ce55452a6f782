"""Decides at the node of a target which calls run, wait or are refused.

Used when far more work arrives than the target can do. One request of a caller makes many calls, so
a nested call (a call that a running request makes) starts before any new request: refusing it would
waste all work already done for its request. New requests wait only briefly, by importance, and are
refused at once if the expected wait is longer than they may wait. A share of the target is reserved
for new requests, so that nested calls can't starve them.

New requests of one rank start in turn by organisation. The one with most requests in the queue is
the first that has some refused. Requests without an organisation count as those of one more.

While the target names a limit on its rate, jobs start only as fast as that allows. Slots are mostly
free then, so the share of new requests is one of the starts instead.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import defaultdict
from typing import Any

from attrs import frozen

from cottonlink.organisations import FairQueue, make_fair_queue
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
    new request. Among new requests the lowest ``rank`` starts first, and among those of one rank
    that of the ``organisation`` whose turn it is.
    """

    key: Any
    tier: int
    rank: int
    max_wait_ms: float
    organisation: str = ""


@frozen
class Refusal:
    """A job that won't run, a stable code of the reason, and the time after which to retry."""

    job: Job
    reason: str
    retry_after_ms: float


@frozen(eq=False)
class _QueuedJob:
    job: Job
    expires_at_ms: float


class _TierQueue:
    """The queued jobs of one tier by rank; ``active_ranks`` are those with jobs, lowest first.

    Jobs of one rank start by arrival unless organisations take turns.
    """

    def __init__(self, *, takes_turns: bool) -> None:
        self._takes_turns = takes_turns
        self.ranks: defaultdict[int, FairQueue] = defaultdict(make_fair_queue)
        self.active_ranks: list[int] = []

    def push(self, queued_job: _QueuedJob) -> None:
        job = queued_job.job
        queue = self.ranks[job.rank]
        if queue.size == 0:
            insort(self.active_ranks, job.rank)
        queue.push(job.organisation if self._takes_turns else "", job.key, queued_job)

    def remove(self, job: Job) -> None:
        queue = self.ranks[job.rank]
        queue.remove(job.organisation if self._takes_turns else "", job.key)
        if queue.size == 0:
            self.active_ranks.remove(job.rank)

    def head(self) -> _QueuedJob | None:
        return self.ranks[self.active_ranks[0]].first() if self.active_ranks else None

    def count_ahead(self, job: Job, queued: int | None) -> int:
        """Return how many jobs start before ``job``.

        ``queued`` of them are of its organisation, all that are queued if None.
        """
        organisation = job.organisation if self._takes_turns else ""
        ahead = 0
        for rank in self.active_ranks:
            if rank > job.rank:
                break
            queue = self.ranks[rank]
            ahead += queue.size if rank < job.rank else queue.count_ahead(organisation, queued)
        return ahead


class TargetQueue:
    """Admission control of one target: its running jobs and a bounded priority queue."""

    def __init__(self, slots: int, rate_limit: TargetLimit) -> None:
        self._rate_limit = rate_limit
        self._is_rate_limited = False
        self._new_start_share = 0.0
        self._running: dict[Any, tuple[Job, float]] = {}
        self._running_new_count = 0
        self._queued: dict[Any, _QueuedJob] = {}
        self._tiers = (_TierQueue(takes_turns=False), _TierQueue(takes_turns=True))
        self._queued_nested_count = 0
        # Whether any job has named its organisation; without, jobs take no turns.
        self._has_organisations = False
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

        A job that neither starts nor is refused is queued. Besides ``job`` itself, the least
        important job of a full queue may be refused, and one of the organisation with most jobs of
        the same rank whose wait gets too long behind ``job``.
        """
        self._advance(now_ms)
        self._rate_limit.record_arrival(now_ms)
        if job.organisation:
            self._has_organisations = True
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
        self._tiers[job.tier].push(queued_job)
        self._queued_nested_count += job.tier == NESTED_CALL_TIER
        refused = self._evict(now_ms)
        if not refused and job.tier == NEW_REQUEST_TIER and self._has_organisations:
            refused = self._refuse_overtaken(job, now_ms)
        return False, refused

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
        job = queued_job.job
        self._tiers[job.tier].remove(job)
        self._queued_nested_count -= job.tier == NESTED_CALL_TIER
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
        active_ranks = self._tiers[NEW_REQUEST_TIER].active_ranks
        return bool(active_ranks) and active_ranks[0] <= job.rank

    def _is_new_request_share_free(self) -> bool:
        if self._is_rate_limited:
            return self._new_start_share < RESERVED_NEW_REQUEST_SHARE
        return self._running_new_count < RESERVED_NEW_REQUEST_SHARE * self.limit

    def _estimated_wait_ms(self, job: Job, now_ms: float, queued: int | None = None) -> float:
        """Return the expected wait of a job behind ``queued`` ones of its organisation, or all."""
        ahead = self._tiers[job.tier].count_ahead(job, queued)
        # New requests within their reserved share start before queued nested calls.
        if job.tier == NEW_REQUEST_TIER and not self._is_new_request_share_free():
            ahead += self._queued_nested_count
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
        nested = self._tiers[NESTED_CALL_TIER].head()
        new = self._tiers[NEW_REQUEST_TIER].head()
        first, second = (new, nested) if self._is_new_request_share_free() else (nested, new)
        for queued_job in (first, second):
            if queued_job is not None and self._has_free_slot(queued_job.job):
                return queued_job.job if self._rate_limit.take(now_ms) else None
        return None

    def _start(self, job: Job, now_ms: float) -> None:
        self._running[job.key] = (job, now_ms)
        is_new = job.tier == NEW_REQUEST_TIER
        self._running_new_count += is_new
        if is_new and self._has_organisations:
            self._tiers[NEW_REQUEST_TIER].ranks[job.rank].record_served(job.organisation)
        self._new_start_share += START_SHARE_WEIGHT * (is_new - self._new_start_share)

    def _evict(self, now_ms: float) -> tuple[Refusal, ...]:
        if len(self._queued) <= MAX_QUEUED_PER_SLOT * self.limit:
            return ()
        tier = self._tiers[NEW_REQUEST_TIER]
        if not tier.active_ranks:
            tier = self._tiers[NESTED_CALL_TIER]
        queue = tier.ranks[tier.active_ranks[-1]]
        worst = max(queue.entries_of(queue.largest()), key=lambda w: w.expires_at_ms)
        return (self._refuse(worst.job, "queue_full", now_ms),)

    def _refuse_overtaken(self, job: Job, now_ms: float) -> tuple[Refusal, ...]:
        """Refuse the last job of the organisation with most, if ``job`` delays it for too long."""
        queue = self._tiers[job.tier].ranks[job.rank]
        if queue.organisation_count < 2:
            return ()
        largest = queue.largest()
        last = queue.last_of(largest)
        if last.job is job:
            return ()
        ahead = len(queue.entries_of(largest)) - 1
        if self._estimated_wait_ms(last.job, now_ms, ahead) <= last.expires_at_ms - now_ms:
            return ()
        return (self._refuse(last.job, self._wait_reason("queue_wait"), now_ms),)


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
