"""Checks that no request reaches a target long after the store knows that it drains."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from soak.disturbances import Disturbances
from soak.observations import ObservedRequest, Violation
from soak.runs import Run
from soak.store_writers import EntryWrite

DRAIN_S = 2.0


def find_late_runs(
    requests: Iterable[ObservedRequest],
    runs: Mapping[str, Sequence[Run]],
    entry_writes: Sequence[EntryWrite],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return requests that reached a draining target too late, sent by nodes in touch.

    Each counts from the first report of the target that the store acknowledged while stable.
    """
    draining_since_s: dict[tuple[str, int], float] = {}
    for write in entry_writes:
        if write.is_draining and disturbances.is_store_stable(write.acknowledged_s):
            key = (write.upstream_id, write.started_at_ms)
            draining_since_s.setdefault(key, write.acknowledged_s)
    problems = []
    for request in requests:
        for run in runs.get(request.request_id, ()):
            since_s = draining_since_s.get((f"i-{run.vm}", run.started_at_ms))
            if since_s is None:
                continue
            late_s = run.arrived_s - run.lag_s - since_s - DRAIN_S
            # The node that took the request and the one next to the target both choose.
            are_in_touch = all(
                disturbances.is_in_touch(vm, run.arrived_s) for vm in (request.vm, run.vm)
            )
            if late_s > 0 and are_in_touch:
                text = f"reached i-{run.vm} {late_s + DRAIN_S:.2f} s after it began to drain"
                problems.append(Violation("DRAIN", request, text))
    return problems
