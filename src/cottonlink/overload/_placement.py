"""Decides how long a call may wait at a target, and whether it may be placed at another one.

Used where targets have few slots and a node rarely calls each of them: it doesn't know which are
busy, and calls would wait or be refused at one target while others are idle. A call's first
placements therefore queue only where the wait is short. A refusal costs one round trip between
nodes, reaches no target, and tells the target's load. Once several targets have refused, the
service is busy as a whole, and the call waits where there is least to wait for.
"""

from __future__ import annotations

from attrs import define

from cottonlink.overload._target_queue import NESTED_CALL_TIER, RATE_LIMITED

# Placements of a call that queue only where the wait is short.
BRIEF_PLACEMENTS = 4
# Placements that nodes may refuse for their load before the caller gets a refusal.
MAX_REFUSED_PLACEMENTS = 5
# Part of the objective that bounds the wait in those placements: of a new request, and of a nested
# call, whose wait is bounded by a larger multiple.
BRIEF_NEW_REQUEST_SHARE = 0.2
BRIEF_NESTED_CALL_SHARE = 0.02
# Refusals that tell of a busy target.
_LOAD_REASONS = frozenset(("queue_wait", "queue_timeout", "queue_full"))


@define(eq=False)
class Placement:
    """The placements of one call that ended before a target received it.

    ``busy_count`` of the ``refused_count`` refusals told of a busy target. After the latest one,
    ``may_try_busy_again`` tells whether the targets that were too busy for a short wait may be
    asked again.
    """

    refused_count: int = 0
    busy_count: int = 0
    may_try_busy_again: bool = False

    def wait_objective_ms(self, tier: int, objective_ms: float, *, is_known_busy: bool) -> float:
        """Return the latency objective by which the target's node bounds the call's wait.

        ``is_known_busy`` is whether the best target that the sender knows of is busy.
        """
        if is_known_busy or self.busy_count >= BRIEF_PLACEMENTS:
            return objective_ms
        share = BRIEF_NESTED_CALL_SHARE if tier == NESTED_CALL_TIER else BRIEF_NEW_REQUEST_SHARE
        return share * objective_ms

    def record_refusal(self, reason: str, *, is_unreachable: bool) -> None:
        """Record that the call was refused with ``reason`` before a target received it.

        Unreachable targets, and those without room for now in their own limit on requests, say
        nothing about the others.
        """
        self.may_try_busy_again = False
        if is_unreachable or reason == RATE_LIMITED:
            return
        self.refused_count += 1
        if reason in _LOAD_REASONS:
            self.busy_count += 1
            self.may_try_busy_again = self.busy_count == BRIEF_PLACEMENTS

    @property
    def may_place_again(self) -> bool:
        """Whether another target may be asked."""
        return self.refused_count < MAX_REFUSED_PLACEMENTS


def make_placement() -> Placement:
    """Return the placement of a call that hasn't been sent."""
    return Placement()
