"""Replays the load of calls on targets with few slots, in fleets of 12 and 200 nodes."""

from __future__ import annotations

import random
import unittest

from bench.placement_model import LOOKUP, STATUS, FleetShape, PlacementModel, PlacementResult
from cottonlink.overload import NESTED_CALL_TIER, NEW_REQUEST_TIER, make_placement

SMALL = FleetShape(
    node_count=12, target_count=3, caller_count=3, data_centre_count=3, slots=16, load=0.6
)
LARGE = FleetShape(
    node_count=200, target_count=68, caller_count=26, data_centre_count=5, slots=4, load=0.6
)
DURATION_MS = 15_000
# What targets get differs by their speed, too: the fastest is 1.5 times as fast as the mean.
MAX_BUSIEST_TO_MEAN = 1.4 * 1.5


def play(shape: FleetShape, seed: int = 5) -> PlacementResult:
    return PlacementModel(shape, random.Random(seed)).run(DURATION_MS)


class TestPlacement(unittest.TestCase):
    """Where calls go if each node rarely calls each target."""

    def test_calls_find_room_in_a_fleet_of_any_size(self) -> None:
        """Guards against calls that wait or are refused at one target while others are idle.

        A node of the large fleet calls each target about once in 10 s.
        """
        for name, shape in (("small", SMALL), ("large", LARGE)):
            with self.subTest(fleet=name):
                result = play(shape)
                for kind in (LOOKUP, STATUS):
                    refused = result.refused[kind.route] / result.asked[kind.route]
                    self.assertLessEqual(refused, 0.01)
                self.assertGreaterEqual(result.in_time_share(LOOKUP.route), 0.97)
                self.assertLessEqual(result.refused_with_room, 0.001 * sum(result.asked.values()))
                self.assertLessEqual(result.busiest_to_mean, MAX_BUSIEST_TO_MEAN)

    def test_new_target_gets_calls_within_seconds_but_not_from_every_node(self) -> None:
        """Guards against 200 first calls at once to a new target, and against none at all."""
        for name, shape in (("small", SMALL), ("large", LARGE)):
            with self.subTest(fleet=name):
                model = PlacementModel(shape, random.Random(3))
                added = []
                model.schedule(5_000.0, lambda ms, m=model, a=added: a.append(m.add_target(ms)))
                result = model.run(9_000.0)
                (target,) = added
                first_ms = result.first_arrivals_ms[target.upstream.upstream_id]
                self.assertLessEqual(first_ms, 5_000.0 + 3_000.0)
                mean = sum(result.target_arrivals) / len(result.target_arrivals) * 4 / 9
                self.assertLessEqual(target.arrivals, 2.0 * mean)


class TestPlacementDecisions(unittest.TestCase):
    """The placements of one call."""

    def test_call_waits_once_several_targets_were_busy(self) -> None:
        """Guards against calls that are refused everywhere though they have time to wait."""
        placement = make_placement()
        waits = []
        while placement.may_place_again:
            waits.append(
                placement.wait_objective_ms(NEW_REQUEST_TIER, 1_000.0, is_known_busy=False)
            )
            placement.record_refusal("queue_wait", is_unreachable=False)
        self.assertEqual(waits, [200.0, 200.0, 200.0, 200.0, 1_000.0])

    def test_call_waits_at_once_if_the_best_target_is_known_to_be_busy(self) -> None:
        """Guards against refusals that cost time although the service is known to be full."""
        placement = make_placement()
        for tier in (NESTED_CALL_TIER, NEW_REQUEST_TIER):
            self.assertEqual(
                placement.wait_objective_ms(tier, 1_000.0, is_known_busy=True), 1_000.0
            )

    def test_unreachable_nodes_do_not_end_the_search(self) -> None:
        """Guards against requests refused since several nodes restart at once."""
        placement = make_placement()
        for _ in range(10):
            placement.record_refusal("node_leaving", is_unreachable=True)
        placement.record_refusal("queue_wait", is_unreachable=False)
        self.assertTrue(placement.may_place_again)
        self.assertFalse(placement.may_try_busy_again)
