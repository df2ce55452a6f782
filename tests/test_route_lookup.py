"""The route of a request, by the longest prefix of its path.

Guards against paths made of slashes that held up a node until their clients left
(docs/incidents/paths-of-slashes.md).
"""

from __future__ import annotations

import random
import unittest
from collections import Counter

from cottonlink.path._model import (
    CallerLimits,
    Configuration,
    HostRoutes,
    Route,
    WeightedService,
    make_host_routes,
)

HOST = "shop.example"
SEED_COUNT = 200
# The longest path that the limit on heads allows.
LONGEST_PATH_BYTES = 16_000


def make_route(prefix: bytes) -> Route:
    """Return a route with a prefix."""
    name = prefix.decode()
    services = (WeightedService("s", 1.0),)
    return Route(name, HOST, prefix, True, 1_000.0, 500.0, 1, 1, services)


class CountingTable(dict):
    """A table of routes that counts what is looked up, and how long it is."""

    def __init__(self, routes: dict[bytes, Route]) -> None:
        super().__init__(routes)
        self.counts: Counter[str] = Counter()

    def get(self, key: bytes, default: object = None) -> object:
        self.counts["lookups"] += 1
        self.counts["bytes"] += len(key)
        return super().get(key, default)


def random_path(rng: random.Random) -> bytes:
    """Return a path with many slashes, often beside each other."""
    return b"/" + b"".join(rng.choice((b"/", b"//", b"a", b"ab/", b"b")) for _ in range(12))


class TestRouteLookup(unittest.TestCase):
    """The longest prefix, and what it costs to find it."""

    def test_longest_prefix_is_found(self) -> None:
        """Compared with a search through all prefixes."""
        for seed in range(SEED_COUNT):
            rng = random.Random(seed)
            prefixes = {random_path(rng)[: rng.randint(1, 9)] + b"/" for _ in range(8)}
            routes = tuple(make_route(prefix) for prefix in sorted(prefixes))
            configuration = Configuration(1, routes, CallerLimits(), {})
            for _ in range(20):
                path = random_path(rng)
                matching = [prefix for prefix in prefixes if path.startswith(prefix)]
                expected = max(matching, key=len, default=None)
                route = configuration.find_route(HOST, path)
                with self.subTest(seed=seed, path=path):
                    self.assertEqual(route and route.prefix, expected)
            self.assertIsNone(configuration.find_route("other.example", b"/a/"))

    def test_path_of_slashes_costs_no_more_than_another(self) -> None:
        """Each prefix length is looked up once at most, whatever the path."""
        by_prefix = {prefix: make_route(prefix) for prefix in (b"/a/", b"/b/", b"/longer/")}
        for path in (
            b"/" * LONGEST_PATH_BYTES,
            b"/a" + b"/" * LONGEST_PATH_BYTES,
            b"/c/" * (LONGEST_PATH_BYTES // 3),
            b"",
        ):
            routes = make_host_routes(by_prefix)
            table = CountingTable(by_prefix)
            HostRoutes(table, routes.lengths).find(path)
            self.assertLessEqual(table.counts["lookups"], 2)
            self.assertLessEqual(table.counts["bytes"], len(b"/a/") + len(b"/longer/"))


if __name__ == "__main__":
    unittest.main()
