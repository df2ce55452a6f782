"""Tests of the sharing between organisations at targets, routes and in the retry budget."""

import heapq
import math
import random
import unittest
from collections import Counter
from unittest import mock

from cottonlink.organisations import make_fair_queue, make_fair_share
from cottonlink.organisations._fair_queue import MAX_SERVED
from cottonlink.organisations._fair_share import BUCKET_COUNT, MAX_TRACKED
from cottonlink.overload import (
    NESTED_CALL_TIER,
    NEW_REQUEST_TIER,
    Job,
    Refusal,
    _route_throttle,
    make_retry_budget,
    make_route_throttle,
    make_target_queue,
)

SMALL = [f"small-{number}" for number in range(30)]
MAX_WAIT_MS = 150.0


def arrivals(rates_per_s: dict[str, float], until_s: float, rng: random.Random):
    """Yield times in ms and organisations of requests that come at random, in order."""
    now_ms = 0.0
    names, total_per_s = list(rates_per_s), sum(rates_per_s.values())
    while (now_ms := now_ms + rng.expovariate(total_per_s / 1000.0)) < until_s * 1000.0:
        yield now_ms, rng.choices(names, list(rates_per_s.values()))[0]


def smallest_share(served: Counter, asked: Counter) -> float:
    """Return the smallest part of its requests that a small organisation has served."""
    return min(served[name] / asked[name] for name in SMALL)


class TestQueueTurns(unittest.TestCase):
    """Which organisation's requests run, wait or are refused at a target."""

    def setUp(self) -> None:
        self.queue = make_target_queue(4)
        for number in range(4):
            self.queue.offer(Job(number, NESTED_CALL_TIER, 0, 1_000), 0)
        self.queue.service_ms = 100.0

    def offer(self, key: str, wait_ms: float = 10**9, rank: int = 2) -> tuple[Refusal, ...]:
        """Offer a new request; its organisation is the first character of ``key``."""
        job = Job(key, NEW_REQUEST_TIER, rank, wait_ms, organisation=key[:1].strip())
        return self.queue.offer(job, 0)[1]

    def play(self, rates_per_s: dict[str, float], service_ms: float) -> tuple[Counter, Counter]:
        """Return how many requests come in 20 s, and how many run, by organisation."""
        rng, queue = random.Random(1), make_target_queue(10)
        running: list[tuple[float, int]] = []
        asked, served = Counter(), Counter()

        def start(job: Job, now_ms: float) -> None:
            heapq.heappush(running, (now_ms + rng.uniform(0.5, 1.5) * service_ms, job.key))
            served[job.organisation] += 1

        for key, (now_ms, name) in enumerate(arrivals(rates_per_s, 20, rng)):
            while running and running[0][0] <= now_ms:
                end_ms, ended = heapq.heappop(running)
                queue.expire(end_ms)
                for job in queue.finish(ended, end_ms):
                    start(job, end_ms)
            asked[name] += 1
            job = Job(key, NEW_REQUEST_TIER, 2, MAX_WAIT_MS, name)
            if queue.offer(job, now_ms)[0]:
                start(job, now_ms)
        return asked, served

    def test_small_organisations_run_beside_a_heavy_one(self) -> None:
        """Guards against small ones refused as a heavy one fills the queue, and unused slots."""
        for heavy in (80.0, 1_600.0):
            with self.subTest(heavy=heavy):
                # New requests of rank 2 may use 8 of 10 slots, which run 200 requests a second.
                asked, served = self.play({**dict.fromkeys(SMALL, 4.0), "heavy": heavy}, 40.0)
                self.assertGreater(smallest_share(served, asked), 0.98)
        self.assertGreater(served.total(), 0.98 * 20 * 200)

    def test_nobody_starves_if_all_ask_for_too_much(self) -> None:
        """Guards against an organisation that gets nothing, the heavy one included."""
        _, served = self.play({**dict.fromkeys(SMALL, 4.0), "heavy": 80.0}, 160.0)
        self.assertGreater(min(served.values()), 0.5 * served.total() / 31)
        self.assertLess(max(served.values()), 2.0 * served.total() / 31)

    def test_organisations_take_turns(self) -> None:
        """Guards against an order by arrival, or turns that change that of one organisation."""
        for key in ("a1", "a2", "a3", "b1", " 1", "b2"):
            self.offer(key)
        started = [job.key for number in range(4) for job in self.queue.finish(number, 1)]
        self.assertEqual(started, ["a1", "b1", " 1", "a2"])

    def test_nested_calls_and_ranks_go_before_turns(self) -> None:
        """Guards against turns that delay nested calls or more important requests."""
        self.queue.offer(Job("new", NEW_REQUEST_TIER, 0, 10**9, "a"), 0)
        self.queue.finish(0, 1)  # Starts it, so that new requests have their share.
        self.offer("b1", rank=2)
        self.offer("a1", rank=1)
        for key in ("n1", "n2"):
            self.queue.offer(Job(key, NESTED_CALL_TIER, 0, 10**9, "a"), 0)
        self.queue.offer(Job("n3", NESTED_CALL_TIER, 0, 10**9, "b"), 0)
        keys = (1, 2, 3, "new", "n1")
        started = [job.key for key in keys for job in self.queue.finish(key, 1)]
        self.assertEqual(started, ["n1", "n2", "n3", "a1", "b1"])

    def test_full_queue_refuses_one_of_the_organisation_with_most(self) -> None:
        """Guards against an eviction that hits who came last instead of who has most queued."""
        for number in range(15):
            self.offer(f"a{number}")
        self.assertEqual(self.offer("b0"), ())
        self.assertEqual([r.job.key for r in self.offer("b1")], ["a0"])

    def test_overtaken_request_is_refused_at_once(self) -> None:
        """Guards against a late refusal of a request that others push behind its longest wait."""
        for number in range(4):
            self.assertEqual(self.offer(f"a{number}", 110), ())
        self.assertEqual([r.job.key for r in self.offer("b0", 110)], ["a3"])

    def test_expected_wait_differs_by_organisation(self) -> None:
        """Guards against a Retry-After for a small organisation as long as for the heavy one."""
        for number in range(12):
            self.offer(f"a{number}")
        heavy, small = self.offer("a12", 1)[0], self.offer("b0", 1)[0]
        self.assertEqual((heavy.retry_after_ms, small.retry_after_ms), (325, 50))


class TestRouteShares(unittest.TestCase):
    """How organisations share the limit of a route."""

    def play(
        self, node_count: int, limit_per_s: float, rates_per_s: dict[str, float], seconds: int = 40
    ) -> tuple[Counter, Counter]:
        """Return the requests and those admitted after 10 s, under a limit that stays as it is."""

        def keep_limit(state, *_: float) -> None:
            state.limit_per_s = limit_per_s / node_count

        rng = random.Random(2)
        nodes = [make_route_throttle(lambda _change: None) for _ in range(node_count)]
        asked, admitted = Counter(), Counter()
        with mock.patch.object(_route_throttle, "_update_limit", keep_limit):
            for now_ms, name in arrivals(rates_per_s, seconds, rng):
                is_admitted = rng.choice(nodes).admits("r", 2, now_ms, name)
                asked[name] += now_ms > 10_000
                admitted[name] += is_admitted and now_ms > 10_000
        return asked, admitted

    def test_small_organisations_are_admitted_beside_a_heavy_one(self) -> None:
        """Guards against small ones refused for a heavy one, and a total away from the limit."""
        for heavy in (20.0, 200.0):
            with self.subTest(heavy=heavy):
                asked, admitted = self.play(1, 40, {**dict.fromkeys(SMALL, 1.0), "heavy": heavy})
                self.assertGreater(smallest_share(admitted, asked), 0.97)
                self.assertAlmostEqual(admitted.total() / 30, 40, delta=2)

    def test_many_nodes_with_few_requests_each(self) -> None:
        """Guards against shares that show only at a node that sees many of each organisation."""
        asked, admitted = self.play(60, 80, {**dict.fromkeys(SMALL, 2.0), "heavy": 400.0})
        small = sum(admitted[name] for name in SMALL) / sum(asked[name] for name in SMALL)
        self.assertGreater(small, 0.8)
        self.assertGreater(smallest_share(admitted, asked), 0.65)
        # Without shares 18% of what it sends would be admitted.
        self.assertLess(admitted["heavy"] / asked["heavy"], 0.1)
        self.assertLess(admitted.total() / 30, 85)

    def test_unused_shares_go_to_the_others(self) -> None:
        """Guards against equal parts: 5 of 40 a second leave 17.5 for each of the others."""
        _, admitted = self.play(1, 40, {"a": 200.0, "b": 40.0, "c": 5.0})
        self.assertAlmostEqual(admitted["a"] / 30, 17.5, delta=1.5)
        self.assertAlmostEqual(admitted["b"] / 30, 17.5, delta=1.5)

    def test_nobody_starves_if_all_ask_for_too_much(self) -> None:
        """Guards against debts of small organisations that never leave a token to the heavy one."""
        _, admitted = self.play(1, 40, {**dict.fromkeys(SMALL, 3.0), "heavy": 60.0})
        self.assertGreater(min(admitted.values()), 0.6 * admitted.total() / 31)
        self.assertLess(max(admitted.values()), 1.6 * admitted.total() / 31)

    def test_debt_is_bounded(self) -> None:
        """Guards against new organisations that are all admitted, whatever the limit."""
        rates = {f"new-{number}": 0.05 for number in range(4_000)}
        _, admitted = self.play(1, 40, rates, 20)
        self.assertLess(admitted.total(), 40 * 10 + 40)

    def test_ranks_of_a_route_have_limits_of_their_own(self) -> None:
        """Guards against important requests limited at the pressure that others may not cause."""
        throttle = make_route_throttle(lambda _change: None)
        for number in range(144):
            rank = number % 2 * 2
            if throttle.admits("r", rank, number * 25.0, "a"):
                throttle.record_pressure("r", rank, 2.5, number * 25.0)
        self.assertEqual(throttle.accepted_share("r", 0), 1.0)
        self.assertLess(throttle.accepted_share("r", 2), 0.5)
        self.assertEqual(throttle.accepted_share("r"), throttle.accepted_share("r", 2))
        for number in range(4):
            throttle.admits("r", 0, 70_000 + number * 600.0)
        self.assertEqual(throttle.accepted_share("r"), 1.0)


class TestRetryShares(unittest.TestCase):
    """How organisations share the retry budget of a node."""

    def play(self, node_count: int, failing: dict[str, float]) -> tuple[Counter, Counter]:
        """Return what is asked and allowed in 100 s if these shares of the first sends fail."""
        rng = random.Random(3)
        nodes = [make_retry_budget(0.2, 50, 10_000, rng) for _ in range(node_count)]
        for node in nodes:
            node.set_node_count(node_count)
        rates = {name: 20.0 if name in ("heavy", "") else 1.0 for name in failing}
        asked, allowed = Counter(), Counter()
        for now_ms, name in arrivals(rates, 100, rng):
            node = rng.choice(nodes)
            node.record_first_send("s", now_ms)
            if rng.random() < failing[name]:
                is_allowed = node.allows("s", now_ms, is_leaf=True, organisation=name)
                if is_allowed:
                    node.record_retry("s", now_ms, rank=1, organisation=name)
                asked[name] += 1
                allowed[name] += is_allowed
        return asked, allowed

    def test_failures_of_a_heavy_organisation_leave_retries_to_the_others(self) -> None:
        """Guards against one organisation's failures that spend the retries of all others."""
        asked, allowed = self.play(1, {**dict.fromkeys(SMALL, 0.1), "heavy": 1.0})
        small = sum(allowed[name] for name in SMALL) / sum(asked[name] for name in SMALL)
        self.assertGreater(small, 0.75)
        self.assertGreater(allowed["heavy"], 2 * max(allowed[name] for name in SMALL))

    def test_shares_at_few_nodes_and_many(self) -> None:
        """Guards against small budgets that always go to the organisation that asks first."""
        for node_count, most in ((1, 2.5), (10, 4.0), (60, 12.0)):
            with self.subTest(node_count=node_count):
                _, allowed = self.play(node_count, dict.fromkeys([*SMALL, "heavy"], 1.0))
                # Without shares it would get twenty times as many.
                small = sum(allowed[name] for name in SMALL) / len(SMALL)
                self.assertLess(allowed["heavy"], most * small)
                self.assertGreater(min(allowed.values()), 0)

    def test_single_organisation_may_use_all(self) -> None:
        """Guards against a share that is kept for organisations that don't ask."""
        for node_count in (1, 20):
            allowed = [self.play(node_count, {name: 1.0})[1][name] for name in ("", "heavy")]
            self.assertEqual(*allowed)


class TestBounds(unittest.TestCase):
    """What thousands of organisations make a node keep."""

    def test_counts_are_bounded_and_find_the_heavy_one(self) -> None:
        """Guards against memory that grows with organisations, and a heavy one lost in a bucket."""
        for count in (1_000, 10_000):
            with self.subTest(count=count):
                rng, shares = random.Random(4), make_fair_share()
                for number in range(100_000):
                    is_heavy = number % 50 == 0 and number > 50_000
                    name = "heavy" if is_heavy else f"small-{rng.randrange(count)}"
                    shares.record_asked(name, number * 0.5)
                    shares.record_given(name, number * 0.5)
                self.assertLessEqual(shares.size, MAX_TRACKED + BUCKET_COUNT)
                # It asks 40 times a second, which counts for 2.9 s.
                self.assertAlmostEqual(shares.given("heavy", 50_000), 115, delta=5)
                shares.record_asked("late", 200_000)
                shares.share(1.0, 200_000)
                self.assertEqual(shares.size, 1)

    def test_turns_are_bounded(self) -> None:
        """Guards against memory for each organisation that ever ran a request."""
        queue = make_fair_queue()
        for number in range(10_000):
            queue.push(f"o-{number}", number, number)
            queue.remove(f"o-{number}", number)
            queue.record_served(f"o-{number}")
        sizes = [len(value) for value in vars(queue).values() if hasattr(value, "__len__")]
        self.assertLessEqual(max(sizes), MAX_SERVED)

    def test_share_is_the_max_min_share(self) -> None:
        """Guards against a share that doesn't add up to the capacity, or limits who fits in."""
        shares = make_fair_share()
        for name, count in (("a", 1), ("b", 4), ("c", 10)):
            for _ in range(count):
                shares.record_asked(name, 0.0)
        self.assertEqual([shares.share(c, 0.0) for c in (1.5, 9.0, 11.0)], [0.5, 4.0, 6.0])
        self.assertEqual(shares.share(15.0, 0.0), math.inf)
