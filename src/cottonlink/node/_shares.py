"""Shares of a listener's calls in progress, by importance."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import define, field

from cottonlink.errors import CallError, Executed, Step
from cottonlink.policy._records import HIGHEST_IMPORTANCE

BASE_SHARE = 0.5

# Range of the jittered time after which a caller may come back.
FULL_RETRY_MS = (500, 1_500)

# Calls that were preempted still hold their threads for a moment. The listener has this many
# threads above its cap, some of which must stay free to refuse calls.
PREEMPTION_LIMIT = 8


@define(eq=False)
class Occupant:
    """A call in progress; ``preempt`` ends it."""

    importance: int
    repeatable: bool
    preempt: Callable[[], None]


@define(eq=False)
class ListenerShares:
    """Calls in progress on one listener. The caller holds the lock of NodeCore."""

    limit: int
    _occupants: dict[int, Occupant] = field(factory=dict)
    _preempted: set[int] = field(factory=set)
    _last_number: int = 0

    def __len__(self) -> int:
        return len(self._occupants)

    def enter(self, occupant: Occupant) -> tuple[int, Occupant | None] | None:
        """Take a place; return its number and the call to preempt, or None if full."""
        victim_number = None
        if len(self._occupants) >= self.allowed(occupant.importance):
            victim_number = self._find_victim(occupant.importance)
            if victim_number is None:
                return None
        self._last_number += 1
        victim = None
        if victim_number is not None:
            victim = self._occupants.pop(victim_number)
            self._preempted.add(victim_number)
        self._occupants[self._last_number] = occupant
        return self._last_number, victim

    def leave(self, number: int) -> None:
        """Give a place back."""
        self._occupants.pop(number, None)
        self._preempted.discard(number)

    def allowed(self, importance: int) -> int:
        """Return how many calls may be in progress for one of ``importance`` to enter."""
        share = BASE_SHARE + (1 - BASE_SHARE) * importance / HIGHEST_IMPORTANCE
        return max(1, int(self.limit * share))

    def _find_victim(self, importance: int) -> int | None:
        if len(self._preempted) >= PREEMPTION_LIMIT:
            return None
        numbers = (
            number
            for number, other in self._occupants.items()
            if other.repeatable and other.importance < importance
        )
        return max(numbers, default=None)


def listener_full(rng: random.Random, executed: Executed = Executed.NO) -> CallError:
    """Return the refusal of a call that found its share full."""
    return CallError(
        "overloaded",
        "the calls in progress fill the listener's share for this importance",
        step=Step.ACCEPT,
        executed=executed,
        retry_after_ms=rng.randint(*FULL_RETRY_MS),
    )
