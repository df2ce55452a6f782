"""Replays starts of targets in a small fleet, and checks the decisions of their pace."""

from __future__ import annotations

import random
import unittest
from unittest.mock import MagicMock, Mock

from attrs import evolve

from bench.placement_model import FleetShape
from bench.start_model import StartModel
from cottonlink.overload import (
    NEW_REQUEST_TIER,
    Job,
    SiblingLevels,
    make_load_balancer,
    make_start_pace,
    make_target_queue,
)
from cottonlink.path import Upstream
from cottonlink.path._model import Load
from cottonlink.path.target._own_target import OwnTarget

SHAPE = FleetShape(60, 8, 60, 2, 32, 0.75)
START_MS = 5_000.0
# A target of speed 1, as most.
NUMBER = 1
FULL_LIMIT = 30
WARM = SiblingLevels(True, 100.0, {"r": 100.0})


def play(
    numbers: list[int], cold_ms: float, for_ms: float, *, is_per_call: bool = False
) -> StartModel:
    """Start targets again at START_MS, and play the fleet for ``for_ms`` from then on."""
    model = StartModel(SHAPE, random.Random(5), is_paced=True, is_per_call=is_per_call)
    model.restart(numbers, START_MS, cold_ms)
    model.run(START_MS + for_ms)
    return model


class TestStartInAFleet(unittest.TestCase):
    """What becomes of targets that start, with the calls of 60 nodes."""

    def assert_latency(self, model: StartModel, until_ms: float) -> None:
        ms = START_MS + 250.0
        while ms < START_MS + until_ms:
            self.assertLessEqual(model.ratio(NUMBER, ms, ms + 500.0), 1.5, f"at {ms} ms")
            ms += 250.0

    def assert_share(self, model: StartModel, from_ms: float, to_ms: float) -> None:
        share = model.share(NUMBER, START_MS + from_ms, START_MS + to_ms)
        self.assertGreaterEqual(share, 0.9)

    def test_warm_target_gets_its_share_within_seconds(self) -> None:
        """Guards against a target that is left idle although it isn't cold."""
        model = play([NUMBER], 0.0, 9_000.0)
        self.assert_share(model, 2_500.0, 9_000.0)

    def test_target_that_is_cold_for_a_second_is_not_flooded(self) -> None:
        """Guards against slow responses of a target that can do half of its work at first."""
        model = play([NUMBER], 1_000.0, 10_000.0)
        self.assert_latency(model, 4_000.0)
        self.assert_share(model, 3_500.0, 10_000.0)

    def test_target_that_is_cold_for_ten_seconds_is_not_flooded(self) -> None:
        """Guards against a ramp by time, whose end comes before the target is warm."""
        model = play([NUMBER], 10_000.0, 20_000.0)
        self.assert_latency(model, 12_000.0)
        self.assert_share(model, 13_500.0, 20_000.0)

    def test_few_calls_reach_a_target_that_is_slow_at_any_load(self) -> None:
        """Guards against slow responses where no limit would make them faster."""
        model = play([NUMBER], 10_000.0, 21_000.0, is_per_call=True)
        self.assertLessEqual(model.share(NUMBER, START_MS, START_MS + 10_000.0), 0.3)
        self.assert_share(model, 14_500.0, 21_000.0)

    def test_service_that_restarts_as_a_whole_serves_its_calls(self) -> None:
        """Guards against refused calls because no target has a warm sibling to compare with."""
        model = play(list(range(SHAPE.target_count)), 1_000.0, 5_000.0)
        in_drain = play(list(range(SHAPE.target_count)), 0.0, 0.0).counts()[1]
        asked, refused, _ = model.counts()
        self.assertLessEqual(refused - in_drain, 0.01 * asked)

    def test_fleet_without_starts_is_not_paced(self) -> None:
        """Guards against a limit on targets that slow down but haven't started again."""
        model = StartModel(SHAPE, random.Random(5), is_paced=True, is_per_call=False)
        model.set_cold(NUMBER, 3_000.0)
        model.run(4_000.0)
        self.assertFalse(any(node.pace.is_active for node in model.nodes))


class TestStartPace(unittest.TestCase):
    """The pace of one target, whose calls take a given time and come as fast as they may start."""

    def setUp(self) -> None:
        self.pace = make_start_pace()
        self.pace.resize(FULL_LIMIT)
        self.pace.update_siblings(WARM)
        self.now_ms = 0.0
        self.number = 0

    def answer(self, run_ms: float, rounds: int) -> None:
        for _ in range(rounds):
            started_ms = self.now_ms
            keys = list(range(self.number, self.number + (self.pace.limit() or FULL_LIMIT)))
            self.number = keys[-1] + 1
            for key in keys:
                self.pace.record_start(key, "r", len(keys), started_ms)
            self.now_ms += run_ms
            for key in keys:
                self.pace.record_answer(key, "r", started_ms, self.now_ms)

    def fail(self, count: int) -> None:
        for _ in range(count):
            self.number += 1
            self.pace.record_start(self.number, "r", 1, self.now_ms)
            self.pace.record_lost(self.number, self.now_ms)

    def test_limit_begins_low_grows_and_ends(self) -> None:
        """Guards against a flood at first, and a limit that never ends."""
        self.pace.begin(0.0)
        self.assertEqual(self.pace.limit(), 3)
        self.answer(100.0, 30)
        self.assertIsNone(self.pace.limit())
        self.assertLess(self.now_ms, 4_000.0)

    def test_target_that_is_slower_than_its_siblings_is_not_left_idle(self) -> None:
        """Guards against a stall: a lower limit doesn't make a slower machine faster."""
        self.pace.begin(0.0)
        self.answer(250.0, 20)
        self.assertLessEqual(self.pace.limit(), 6)
        self.answer(250.0, 100)
        self.assertIsNone(self.pace.limit())

    def test_target_is_compared_with_its_own_usual_time(self) -> None:
        """Guards against a slow start of each restart of a slower machine."""
        self.answer(200.0, 2)
        self.pace.begin(self.now_ms)
        self.answer(200.0, 30)
        self.assertIsNone(self.pace.limit())

    def test_refusals_shrink_the_limit(self) -> None:
        """Guards against growth while the target turns calls away."""
        self.pace.begin(0.0)
        self.answer(100.0, 6)
        before = self.pace.limit()
        for number in range(20):
            self.pace.record_start(("refused", number), "r", before, self.now_ms)
            self.pace.record_refusal(("refused", number), self.now_ms + 1.0)
        self.assertLess(self.pace.limit(), before)

    def test_target_that_goes_down_and_up_again_is_paced_each_time(self) -> None:
        """Guards against a flood at each return, and a limit that grows while it is down."""
        for _ in range(3):
            self.fail(50)
            self.assertEqual(self.pace.limit(), 3)
            self.now_ms += 10_000.0
            self.answer(100.0, 30)
            self.assertIsNone(self.pace.limit())

    def test_single_lost_calls_do_not_begin_a_pace(self) -> None:
        """Guards against a limit on a target that loses a call now and then."""
        for _ in range(20):
            self.fail(1)
            self.answer(100.0, 1)
        self.assertIsNone(self.pace.limit())

    def test_cancelled_calls_do_not_stop_the_growth(self) -> None:
        """Guards against a sample that waits for calls that will never end."""
        self.pace.begin(0.0)
        for number in range(3):
            self.pace.record_start(("gone", number), "r", 3, 0.0)
            self.pace.record_dropped(("gone", number))
        self.answer(100.0, 5)
        self.assertGreater(self.pace.limit(), 3)


class TestUseOfThePace(unittest.TestCase):
    """The queue, the load balancer and the node next to the target."""

    def test_queue_and_load_follow_the_pace(self) -> None:
        """Guards against calls above the limit, and other nodes that don't learn of it."""
        queue = make_target_queue(32)
        queue.pace(3)
        started = [queue.offer(Job(n, NEW_REQUEST_TIER, 0, 1_000.0), 0.0)[0] for n in range(5)]
        self.assertEqual(started, [True, True, True, False, False])
        self.assertEqual(queue.capacity(0.0), 3)
        self.assertFalse(queue.has_room(NEW_REQUEST_TIER, 0))
        queue.pace(None)
        self.assertEqual(queue.capacity(0.0), FULL_LIMIT)
        self.assertEqual(len(queue.start_due(1.0)), 2)

    def test_latencies_of_a_start_do_not_count_afterwards(self) -> None:
        """Guards against a warm target that stays idle because it has been measured cold."""
        balancer = make_load_balancer("a", random.Random(1), paces_starts=True)
        old, new = (Upstream(n, "s", (n, 80), "a", 32, False, 0.0, 1) for n in ("old", "new"))
        balancer.update([old], 0.0)
        balancer.update_load("old", Load(1, 0, FULL_LIMIT, 90.0), 0.0)
        balancer.record_answer("old", "r", 100.0, 0.0)
        balancer.update([old, new], 1.0)
        for _ in range(20):
            balancer.update_load("new", Load(1, 0, 3, 200.0), 2.0)
            balancer.record_answer("new", "r", 2_000.0, 2.0)
        levels = balancer.sibling_levels("old", 2.0)
        self.assertEqual(levels, SiblingLevels(False, None, {}))
        self.assertEqual(
            balancer.sibling_levels("new", 2.0), SiblingLevels(True, 90.0, {"r": 100.0})
        )
        balancer.update_load("new", Load(0, 0, FULL_LIMIT, 100.0), 2.0)
        balancer.update_load("old", Load(28, 0, FULL_LIMIT, 100.0), 2.0)
        chosen = balancer.choose("s", "r", 1_000.0, (), False, 2.0)
        self.assertEqual(chosen.upstream_id, "new")

    def test_node_paces_a_target_that_it_saw_start(self) -> None:
        """Guards against a pace after a restart of the node only, and none after a target's."""
        upstream = Upstream("t", "s", ("10.0.0.1", 80), "a", 32, False, 0.0, 1)
        balancer = make_load_balancer("a", random.Random(1), paces_starts=True)
        state = MagicMock(load_balancer=balancer, target_address=upstream.address)
        state.now_ms.return_value = 0.0
        state.crash_guard.has_entries = False
        state.crash_guard.suspects.return_value = set()
        target = OwnTarget(state, Mock(), Mock(), Mock(time=lambda: 0.0))
        steps = (
            ("first seen", [upstream], FULL_LIMIT),
            ("restarted", [evolve(upstream, started_at_ms=2)], FULL_LIMIT // 2),
        )
        for name, registered, limit in steps:
            with self.subTest(name):
                balancer.update(registered, 0.0)
                target.update(registered, takes_calls=True)
                self.assertEqual(target.dispatcher.load().limit, limit)
