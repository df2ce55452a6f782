"""Jittered exponential backoff of the readers of a shared service."""

from __future__ import annotations

import random

from attrs import define, field


@define
class Backoff:
    """Delay that doubles with each failure up to ``max_ms``; half of it is random.

    The random half spreads the readers of a service that returns after an outage.
    """

    first_ms: int
    max_ms: int
    _rng: random.Random = field(factory=random.Random)
    _failures: int = 0

    def reset(self) -> None:
        """Begin again with the first delay."""
        self._failures = 0

    def next_delay_ms(self) -> int:
        """Return the delay in ms before the next try."""
        # The exponent is bounded, since an outage can last for days.
        delay_ms = min(self.first_ms << min(self._failures, 20), self.max_ms)
        self._failures += 1
        return round(delay_ms * self._rng.uniform(0.5, 1.0))
