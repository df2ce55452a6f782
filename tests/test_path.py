"""The data path of nodes in this process, over TCP, with a fake target."""

from __future__ import annotations

import unittest

from cottonlink._clock import ManualClock
from cottonlink.node._pool import ANSWERED_LATELY_MS, OutgoingRequest, Pool
from tests.node_fixtures import FakeTarget, Fleet, start_fleet


class PathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet: Fleet = start_fleet("a", "b")
        self.addCleanup(self.fleet.stop)
        self.target = self.fleet.targets["b"]

    def test_body(self) -> None:
        """Guards against changed bodies, forwarded hop-by-hop headers and a foreign Host."""
        body = bytes(range(256)) * 300
        headers = {"Connection": "X-Hop", "X-Hop": "1", "X-Kept": "2", "Cottonlink-Depth": "9"}
        reply = self.fleet.call("a", "PUT", "/desk/a%2Fb?q=%20", body=body, headers=headers)
        self.assertEqual((reply.status, reply.body), (200, body))
        self.assertEqual(reply.headers["cottonlink-executed"], "yes")
        self.assertNotIn("keep-alive", reply.headers)
        (seen,) = self.target.seen
        self.assertEqual((seen.path, seen.headers["x-kept"]), ("/a%2Fb?q=%20", "2"))
        self.assertEqual(seen.headers["host"], self.target.address)
        self.assertEqual(seen.headers["cottonlink-depth"], "0")
        self.assertNotIn("x-hop", seen.headers)

    def test_permit(self) -> None:
        """Guards against a booking that runs without a permit, twice, or without its answer."""
        key = {"Idempotency-Key": "k"}
        first = self.fleet.call("a", "POST", "/desk/book", body=b"chair", headers=key)
        self.assertEqual((first.status, self.target.seen), (428, []))
        key["Cottonlink-Permit"] = first.headers["cottonlink-permit"]
        replies = [
            self.fleet.call("a", "POST", "/desk/book", body=b"chair", headers=key) for _ in range(2)
        ]
        self.assertEqual([(r.status, r.body) for r in replies], [(200, b"chair")] * 2)
        self.assertEqual(len(self.target.seen), 1)


class PoolTest(unittest.TestCase):
    def test_take(self) -> None:
        """Guards against bookings on connections that may have gone silent, and old connections."""
        target = FakeTarget()
        self.addCleanup(target.stop)
        clock = ManualClock()
        pool = Pool(target.address, clock, 60_000)

        def exchange() -> None:
            connection = pool.take()
            self.addCleanup(connection.close)
            if connection.is_new:
                connection.connect(1_000)
            request = OutgoingRequest("GET", "/", (), b"")
            connection.exchange(request, clock.monotonic_ms() + 10_000, 1_000)
            pool.give_back(connection)

        def take(**options: bool) -> bool:
            connection = pool.take(**options)
            pool.give_back(connection)
            return connection.is_new

        exchange()
        self.assertFalse(take(answered_lately=True))
        clock.advance_ms(ANSWERED_LATELY_MS + 1)
        self.assertFalse(take())
        self.assertTrue(take(answered_lately=True))
        exchange()
        clock.advance_ms(60_001)
        self.assertTrue(take())
        exchange()
        self.assertEqual((pool.discard(), take()), (1, True))
