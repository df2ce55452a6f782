"""Divides the requests of a route among services in exact proportion to their weights.

Used to move a small part of a route's traffic to another service. Over few requests a random choice
deviates from the weights; smooth weighted round robin doesn't.
"""

from __future__ import annotations

import random
from collections.abc import Sequence


class TrafficSplit:
    """Smooth weighted round robin over the services of each route."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[str, tuple[tuple, list[float]]] = {}

    def choose(self, route: str, weights: Sequence[tuple[str, float]]) -> str:
        """Return the service for the next request of ``route``."""
        if len(weights) == 1:
            return weights[0][0]
        key = tuple(weights)
        known = self._states.get(route)
        if known is None or known[0] != key:
            # Random initial credits: with equal ones all nodes would choose the same service first.
            total = sum(weight for _, weight in key)
            known = (key, [self._rng.random() * total for _ in key])
            self._states[route] = known
        credits = known[1]
        for index, (_, weight) in enumerate(key):
            credits[index] += weight
        best = max(range(len(key)), key=credits.__getitem__)
        credits[best] -= sum(weight for _, weight in key)
        return key[best][0]


def make_traffic_split(rng: random.Random) -> TrafficSplit:
    """Return a split that has divided no requests yet."""
    return TrafficSplit(rng)
