"""Replays the load of a service deep in the call graph that turns a part of its calls away.

Bookings and reads enter at random nodes, and each needs several calls to that service, one after
the other. A request fails with the first of its calls that stays refused.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter, deque
from collections.abc import Iterator

from attrs import Factory, define

from cottonlink.overload import ParentRun, RetryBudget, make_call_counts, make_retry_budget

RATIO = 0.2
WINDOW_MS = 10_000
# The service sheds from the second window on.
SHED_FROM_MS, SHED_UNTIL_MS = 10_000, 18_500
CALLS_PER_REQUEST = 4
MAX_SENDS = 4
BOOKING, READ = 0, 2


@define
class ReplayResult:
    """Requests by rank in the time in which the service sheds, and the times of all sends."""

    entered: Counter = Factory(Counter)
    served: Counter = Factory(Counter)
    first_sends_ms: list[float] = Factory(list)
    retries_ms: list[float] = Factory(list)

    def served_share(self, rank: int) -> float:
        """Return the part of the requests of ``rank`` that were served."""
        return self.served[rank] / self.entered[rank]

    def bound_use(self, allowance: float) -> Iterator[float]:
        """Yield the retries of all nodes in each window, as a part of what is allowed in it."""
        for end_ms in range(WINDOW_MS, SHED_UNTIL_MS + 1, 500):
            counts = [_count(self.first_sends_ms, end_ms - back) for back in (0, 5_000, 10_000)]
            yield _count(self.retries_ms, end_ms) / (RATIO * max(counts) + allowance)


def _count(times_ms: list[float], end_ms: float) -> int:
    return sum(end_ms - WINDOW_MS < time_ms <= end_ms for time_ms in times_ms)


@define
class Replay:
    """A fleet of ``node_count`` nodes at which ``requests_per_s`` enter, a quarter of bookings."""

    node_count: int
    requests_per_s: float
    allowance: float
    shed_share: float
    rng: random.Random

    def run(self) -> ReplayResult:
        budgets = [self._make_budget() for _ in range(self.node_count)]
        # The targets of the service that makes the calls, each with its own node.
        counts = [make_call_counts() for _ in budgets]
        result = ReplayResult()
        now_ms = 0.0
        while now_ms < SHED_UNTIL_MS:
            now_ms += self.rng.expovariate(self.requests_per_s / 1000.0)
            node = self.rng.randrange(self.node_count)
            run = ParentRun(BOOKING if self.rng.random() < 0.25 else READ, False, "lookup")
            is_served = all(
                self._call(budgets[node], counts[node], run, result, now_ms)
                for _ in range(CALLS_PER_REQUEST)
            )
            if is_served:
                counts[node].record_success(run)
            if now_ms >= SHED_FROM_MS:
                result.entered[run.rank] += 1
                result.served[run.rank] += is_served
        return result

    def _make_budget(self) -> RetryBudget:
        budget = make_retry_budget(RATIO, self.allowance, WINDOW_MS, self.rng)
        budget.set_node_count(self.node_count)
        return budget

    def _call(self, budget, counts, run, result, now_ms) -> bool:
        budget.record_first_send("files", now_ms)
        result.first_sends_ms.append(now_ms)
        for sends in range(1, MAX_SENDS + 1):
            is_shed = now_ms >= SHED_FROM_MS and self.rng.random() < self.shed_share
            if not is_shed:
                run.answered_call_count += 1
                return True
            calls_left = counts.calls_left(run)
            if sends == MAX_SENDS or not budget.allows(
                "files", now_ms, is_leaf=True, rank=run.rank, calls_left=calls_left
            ):
                return False
            budget.record_retry("files", now_ms, rank=run.rank)
            result.retries_ms.append(now_ms)
        return False


class TestSheddingService(unittest.TestCase):
    """Which of the retries that the whole fleet may make are used, and for what."""

    def replay(self, node_count: int, requests_per_s: float, allowance: float) -> ReplayResult:
        return Replay(node_count, requests_per_s, allowance, 0.55, random.Random(7)).run()

    def test_bookings_are_served_before_reads(self) -> None:
        """Guards against reads that use up the retries which would have saved bookings."""
        for node_count, requests_per_s in ((4, 100.0), (200, 400.0)):
            with self.subTest(node_count=node_count):
                result = self.replay(node_count, requests_per_s, 50)
                booking, read = result.served_share(BOOKING), result.served_share(READ)
                self.assertGreaterEqual(booking, 2 * read)

    def test_fleet_uses_the_bound_and_stays_within_it(self) -> None:
        """Guards against a large fleet without retries, as each node's part is less than one.

        All that the bound allows would be too much: runs that are retries make calls, too.
        """
        for node_count, requests_per_s in ((4, 100.0), (12, 100.0), (200, 100.0), (200, 400.0)):
            with self.subTest(node_count=node_count, requests_per_s=requests_per_s):
                uses = list(self.replay(node_count, requests_per_s, 50).bound_use(50))
                self.assertLessEqual(max(uses), 1.0)
                self.assertGreaterEqual(max(uses), 0.5)

    def test_last_calls_of_reads_are_retried_first(self) -> None:
        """Guards against retries for requests that would fail with one of their next calls."""
        budget = make_retry_budget(RATIO, 50, WINDOW_MS, random.Random(1))
        counts = make_call_counts()
        done = ParentRun(READ, False, "lookup", answered_call_count=CALLS_PER_REQUEST)
        counts.record_success(done)
        first = ParentRun(READ, False, "lookup")
        last = ParentRun(READ, False, "lookup", answered_call_count=CALLS_PER_REQUEST - 1)

        def allowed_retries(run: ParentRun) -> int:
            allowed = 0
            while budget.allows(
                "files", 0, is_leaf=True, rank=READ, calls_left=counts.calls_left(run)
            ):
                budget.record_retry("files", 0, rank=READ)
                allowed += 1
            return allowed

        self.assertGreater(allowed_retries(first), 0)
        self.assertGreater(allowed_retries(last), 0)
        self.assertEqual(allowed_retries(first), 0)


class TestRetriesOfRuns(unittest.TestCase):
    """Retries at several levels of the call graph."""

    def test_calls_of_retried_runs_leave_less_for_retries(self) -> None:
        """Guards against retries of four levels that add up beyond the bound at the lowest."""
        levels, ratio = 4, 0.2
        rng = random.Random(3)
        # Whether each of the runs at a level is, or belongs to, a retry.
        runs = deque([False] * 10_000)
        for level in range(levels):
            budget = make_retry_budget(ratio, 0, WINDOW_MS, rng)
            arrivals: deque[bool] = deque()
            for is_retry in runs:
                arrivals.append(is_retry)
                if is_retry:
                    budget.record_retry("s", 0)
                else:
                    budget.record_first_send("s", 0)
                if budget.allows("s", 0, is_leaf=level == levels - 1, rank=BOOKING, calls_left=1):
                    budget.record_retry("s", 0)
                    arrivals.append(True)
            runs = arrivals
        self.assertLessEqual(sum(runs), ratio * 10_000)
