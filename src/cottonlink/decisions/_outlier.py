"""Ejection of upstreams that can't be reached, and their readmission after a trial call."""

from __future__ import annotations

import random
from collections.abc import Iterable

from attrs import define, frozen

CONSECUTIVE_FAILURES_TO_EJECT = 3

# The first ejection is short, since a fast recovery matters more than a few failed attempts; each
# further ejection lasts twice as long.
BASE_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000

# An upstream whose ejection has expired is half-open: it gets one trial call at a time. If the
# result of a trial call never arrives, the next one may follow after this time.
TRIAL_TIMEOUT_MS = 1_000

# After this time without an ejection, the next one lasts BASE_EJECTION_MS again.
EJECTION_COUNT_RESET_MS = 60_000


@frozen
class Ejected:
    """The upstream gets no calls until ``until_ms``."""

    name: str
    until_ms: int


@frozen
class Readmitted:
    """The upstream answered its trial call and is in use again."""

    name: str


@define
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_since_ms: int | None = None
    ejected_until_ms: int = 0
    trial_until_ms: int = 0
    readmitted_ms: int = 0


def make_outlier_detector(rng: random.Random) -> OutlierDetector:
    """Return a detector that has no upstreams yet."""
    return OutlierDetector(rng)


class OutlierDetector:
    """Ejects upstreams after consecutive transport failures, never more than half of them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def set_upstreams(self, names: Iterable[str]) -> tuple[Readmitted, ...]:
        """Replace the upstreams; readmit those ejected longest if more than half are ejected."""
        self._health = {name: self._health.get(name, _Health()) for name in names}
        ejected = [name for name in self._health if self.is_ejected(name)]
        ejected.sort(key=lambda name: self._health[name].ejected_since_ms)
        surplus = ejected[: max(0, len(ejected) - self._max_ejected())]
        for name in surplus:
            self._health[name].ejected_since_ms = None
        return tuple(Readmitted(name) for name in surplus)

    def is_ejected(self, name: str) -> bool:
        """Return whether the upstream is ejected; a half-open one counts as ejected."""
        health = self._health.get(name)
        return health is not None and health.ejected_since_ms is not None

    def failures(self, name: str) -> int:
        """Return the number of consecutive transport failures."""
        health = self._health.get(name)
        return health.failures if health else 0

    def is_trial_due(self, name: str, now_ms: int) -> bool:
        """Return whether an ejected upstream is due for a trial call."""
        health = self._health.get(name)
        return (
            health is not None
            and health.ejected_since_ms is not None
            and now_ms >= health.ejected_until_ms
            and now_ms >= health.trial_until_ms
        )

    def begin_trial(self, name: str, now_ms: int) -> None:
        """Record that a trial call is being sent."""
        self._health[name].trial_until_ms = now_ms + TRIAL_TIMEOUT_MS

    def record_success(self, name: str, now_ms: int) -> tuple[Readmitted, ...]:
        """Record that the upstream answered, whatever the status."""
        health = self._health.get(name)
        if health is None:
            return ()
        health.failures = 0
        if health.ejected_since_ms is None:
            return ()
        health.ejected_since_ms = None
        health.readmitted_ms = now_ms
        return (Readmitted(name),)

    def record_failure(self, name: str, now_ms: int) -> tuple[Ejected, ...]:
        """Record a transport failure."""
        health = self._health.get(name)
        if health is None:
            return ()
        health.failures += 1
        if health.ejected_since_ms is not None:
            return self._failed_while_ejected(name, health, now_ms)
        if health.failures < CONSECUTIVE_FAILURES_TO_EJECT or not self._may_eject():
            return ()
        return self._eject(name, health, now_ms)

    def _failed_while_ejected(self, name: str, health: _Health, now_ms: int) -> tuple[Ejected, ...]:
        """Eject again after a failed trial call; ignore late results of earlier calls."""
        if now_ms < health.ejected_until_ms:
            return ()
        return self._eject(name, health, now_ms)

    def _eject(self, name: str, health: _Health, now_ms: int) -> tuple[Ejected, ...]:
        healthy_ms = now_ms - health.readmitted_ms
        if health.ejected_since_ms is None and healthy_ms > EJECTION_COUNT_RESET_MS:
            health.ejections = 0
        duration_ms = min(BASE_EJECTION_MS * 2**health.ejections, MAX_EJECTION_MS)
        health.ejections = min(health.ejections + 1, 16)
        if health.ejected_since_ms is None:
            health.ejected_since_ms = now_ms
        # Jitter keeps the nodes of a fleet from sending their trial calls all at once.
        health.ejected_until_ms = now_ms + round(duration_ms * self._rng.uniform(0.8, 1.2))
        health.trial_until_ms = 0
        return (Ejected(name, health.ejected_until_ms),)

    def _max_ejected(self) -> int:
        return len(self._health) // 2

    def _may_eject(self) -> bool:
        ejected = sum(health.ejected_since_ms is not None for health in self._health.values())
        return ejected + 1 <= self._max_ejected()
