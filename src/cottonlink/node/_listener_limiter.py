"""Limit on the calls in progress of a listener, with preemption by importance."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import define, field

from cottonlink.errors import CallError, Executed, Step
from cottonlink.policy._records import HIGHEST_IMPORTANCE

# Share of the limit that is open to calls of importance 0. It grows linearly to 1 at the highest
# importance.
MIN_SHARE = 0.5

# Range of the jittered Retry-After time of a call refused by a full listener.
FULL_RETRY_AFTER_MS = (500, 1_500)

# A preempted call still occupies its thread for a moment. The listener has only a few threads above
# its limit, and some of them must stay free to refuse calls.
MAX_PREEMPTED_CALLS = 8


@define(eq=False)
class InFlightCall:
    """A call in progress; ``preempt`` ends it early."""

    importance: int
    repeatable: bool
    preempt: Callable[[], None]


@define(eq=False)
class ListenerLimiter:
    """Calls in progress on one listener.

    Every method requires that the lock of NodeCore is held.
    """

    limit: int
    _in_flight: dict[int, InFlightCall] = field(factory=dict)
    _preempted: set[int] = field(factory=set)
    _last_entry_id: int = 0

    def __len__(self) -> int:
        return len(self._in_flight)

    def enter(self, call: InFlightCall) -> tuple[int, InFlightCall | None] | None:
        """Add a call; return its entry id and the call to preempt, or None if it does not fit.

        A call without room preempts the latest repeatable call of lower importance.
        """
        victim_id = None
        if len(self._in_flight) >= self.limit_for(call.importance):
            victim_id = self._find_victim(call.importance)
            if victim_id is None:
                return None
        self._last_entry_id += 1
        victim = None
        if victim_id is not None:
            victim = self._in_flight.pop(victim_id)
            self._preempted.add(victim_id)
        self._in_flight[self._last_entry_id] = call
        return self._last_entry_id, victim

    def leave(self, entry_id: int) -> None:
        """Remove a call that has ended, preempted or not."""
        self._in_flight.pop(entry_id, None)
        self._preempted.discard(entry_id)

    def limit_for(self, importance: int) -> int:
        """Return the number of calls in progress at which one of ``importance`` no longer fits."""
        share = MIN_SHARE + (1 - MIN_SHARE) * importance / HIGHEST_IMPORTANCE
        return max(1, int(self.limit * share))

    def _find_victim(self, importance: int) -> int | None:
        if len(self._preempted) >= MAX_PREEMPTED_CALLS:
            return None
        entry_ids = (
            entry_id
            for entry_id, call in self._in_flight.items()
            if call.repeatable and call.importance < importance
        )
        return max(entry_ids, default=None)


def make_listener_full_error(rng: random.Random, executed: Executed = Executed.NO) -> CallError:
    """Return the error of a call that a full listener refuses."""
    return CallError(
        "overloaded",
        "the listener has reached its limit of calls in progress for this importance",
        step=Step.ACCEPT,
        executed=executed,
        retry_after_ms=rng.randint(*FULL_RETRY_AFTER_MS),
    )
