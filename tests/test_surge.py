"""Replays a surge that enters at 12 to 740 nodes and overloads a service below them."""

from __future__ import annotations

import random
import unittest

from bench.throttle_model import SurgeModel, SurgeShape


class TestSurge(unittest.TestCase):
    """What the limits of all nodes add up to, however few requests each of them sees."""

    def test_fleet_of_any_size_serves_what_the_service_can(self) -> None:
        """Guards against limits that let in too much, or come back late, in a large fleet.

        At 740 nodes each sees 2 requests a second.
        """
        for node_count in (12, 200, 740):
            with self.subTest(node_count=node_count):
                model = SurgeModel(SurgeShape(node_count, 52, 4, load=1.3), random.Random(4))
                model.run(22_500)
                served_per_s = model.served_per_s(range(6, 15))
                self.assertGreaterEqual(served_per_s, 0.85 * model.capacity_per_s)
                self.assertGreaterEqual(model.share("served", range(6, 15), rank=0), 0.85)
                self.assertGreaterEqual(model.share("served", range(19, 21)), 0.9)
