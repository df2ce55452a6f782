"""Checks that no target gets more requests than the limit that it names in its responses."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from soak.disturbances import CONTACT_S, Disturbances
from soak.observations import ObservedRequest, Violation
from soak.runs import Run
from soak.vm import NamedLimit

WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5
# A node counts from this time after it has passed on a response that names the limit.
NOTICE_S = 0.5


def find_excess(
    requests: Sequence[ObservedRequest],
    runs: Mapping[str, Sequence[Run]],
    limits: Iterable[NamedLimit],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return the request that first exceeds each limit, summed over the nodes that were told."""
    problems = []
    for limit in limits:
        told_s = _tell_times(requests, runs, limit)
        counted = sorted(
            (run.arrived_s, request.request_id, request)
            for request in requests
            for run in runs.get(request.request_id, ())
            if _counts(request, run, limit, told_s, disturbances)
        )
        allowed = ALLOWED_SHARE * limit.limit_per_s * WINDOW_S + ALLOWED_EXTRA
        for first, (since_s, _, _) in enumerate(counted):
            window = [entry for entry in counted[first:] if entry[0] < since_s + WINDOW_S]
            if len(window) > allowed:
                text = f"i-{limit.vm} named {limit.limit_per_s:.1f} a second, got {len(window)}"
                problems.append(Violation("LIMIT", window[-1][2], f"{text} in {WINDOW_S:g} s"))
                break
    return problems


def _tell_times(
    requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]], limit: NamedLimit
) -> dict[tuple[int, int], float]:
    """Return when each incarnation of a node had passed on a response that names the limit."""
    told_s: dict[tuple[int, int], float] = {}
    for request in requests:
        first, last = request.incarnations
        is_told = request.seal.startswith(f"i-{limit.vm}.") and "server-limit" in request.headers
        if is_told and first == last and limit.start_s <= request.ended_s <= limit.end_s:
            key = (request.vm, last)
            told_s[key] = min(request.ended_s, told_s.get(key, request.ended_s))
    return told_s


def _counts(
    request: ObservedRequest,
    run: Run,
    limit: NamedLimit,
    told_s: Mapping[tuple[int, int], float],
    disturbances: Disturbances,
) -> bool:
    since_s = told_s.get((request.vm, request.incarnations[0]))
    return (
        run.vm == limit.vm
        and run.started_at_ms == limit.started_at_ms
        and limit.start_s + CONTACT_S <= run.arrived_s <= limit.end_s
        and since_s is not None
        and run.arrived_s >= since_s + NOTICE_S
        and not disturbances.is_disrupted(request.vm, since_s, run.arrived_s)
    )
