"""What is known of a run that makes nested calls, and how many calls such a run takes.

A run fails if one of its calls does, and the work of the others is lost with it. The number of
calls that a run still needs tells what a retry of the present one is worth, and the way in which a
call failed tells whether the run's own failure says anything about its target.
"""

from __future__ import annotations

from attrs import define

from cottonlink.overload._retry_budget import UNKNOWN_CALLS_LEFT

# Weight of a new run in the moving average of the calls that a run makes.
CALL_COUNT_WEIGHT = 0.1


@define(eq=False)
class ParentRun:
    """A run at the local target, and the nested calls that it has made so far.

    ``rank`` is the importance that its calls inherit, as they do its ``organisation``, ``is_retry``
    whether the run repeats another.
    ``turned_away_call_count`` counts the calls that the service called has refused or failed.
    """

    rank: int
    is_retry: bool
    route: str
    organisation: str = ""
    answered_call_count: int = 0
    turned_away_call_count: int = 0


class CallCounts:
    """The average number of nested calls of a successful run, by route."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def record_success(self, run: ParentRun) -> None:
        """Record that a run ended well, after all the calls that it needed."""
        count = run.answered_call_count
        average = self._averages.get(run.route, count)
        self._averages[run.route] = average + CALL_COUNT_WEIGHT * (count - average)

    def calls_left(self, run: ParentRun | None) -> int:
        """Return how many calls a run needs to end well, the one in progress included.

        Without a run, the call is the caller's own request, which is the only one. Until a run of
        a route has ended well, the result is UNKNOWN_CALLS_LEFT.
        """
        if run is None:
            return 1
        average = self._averages.get(run.route)
        if average is None:
            return UNKNOWN_CALLS_LEFT
        return max(1, round(average) - run.answered_call_count)


def make_call_counts() -> CallCounts:
    """Return counts that have seen no runs."""
    return CallCounts()
