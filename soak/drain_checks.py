"""Checks that no request reaches a target long after the store or a response said it leaves."""

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


def find_runs_after_notice(
    requests: Sequence[ObservedRequest],
    runs: Mapping[str, Sequence[Run]],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return requests that reached a target too late after a response said that it leaves.

    Each node is bound by the responses that it has passed on, in touch or not, until it restarts
    or stands still.
    """
    told_s: dict[tuple[int, int, int, int], float] = {}
    for request in requests:
        target = _answering_target(request, runs)
        first, last = request.incarnations
        if request.headers.get("server-leaving") == "1" and target is not None and first == last:
            key = (request.vm, last, *target)
            told_s[key] = min(request.ended_s, told_s.get(key, request.ended_s))
    problems = []
    for request in requests:
        for run in runs.get(request.request_id, ()):
            key = (request.vm, request.incarnations[0], run.vm, run.started_at_ms)
            since_s = told_s.get(key)
            if since_s is None or request.sent_s - since_s <= DRAIN_S:
                continue
            if not disturbances.is_frozen(request.vm, since_s, run.arrived_s):
                late_s = request.sent_s - since_s
                text = f"sent {late_s:.2f} s after a response, reached i-{run.vm}, which had left"
                problems.append(Violation("DRAIN", request, text))
    return problems


def _answering_target(
    request: ObservedRequest, runs: Mapping[str, Sequence[Run]]
) -> tuple[int, int] | None:
    """Return the VM and the start of the target that answered a request."""
    for run in runs.get(request.request_id, ()):
        if request.seal.startswith(f"i-{run.vm}."):
            return run.vm, run.started_at_ms
    return None
