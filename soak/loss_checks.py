"""Checks that no request is lost around a planned stop of the node that took it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from soak.disturbances import Disturbances
from soak.fleet import ROUTE_TIMEOUT_S
from soak.observations import ObservedRequest, Violation
from soak.runs import Run
from soak.vm import GRACE_S, SoakVm, Stop

# A request that is not passed on may end with its connection within this time.
LOSS_SLACK_S = 0.2
# A stop counts until this time after the grace has passed.
AFTER_GRACE_S = 1.0
# Of a request sent up to this time after SIGTERM, a run may be cut in the last part of the grace.
LATE_RUN_SENT_S = 3.0
LATE_RUN_SHARE = 5 / 6
ENDED_BY_NODE = ("closed", "reset")


def find_losses(
    requests: Sequence[ObservedRequest],
    runs: Mapping[str, Sequence[Run]],
    vms: Sequence[SoakVm],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return requests that ended without a whole answer around a SIGTERM of their node."""
    problems = []
    for request in requests:
        stop = _find_stop(request, vms[request.vm].stops)
        if stop is None:
            continue
        own_runs = runs.get(request.request_id, ())
        text = _describe_loss(request, own_runs)
        if text and not _is_excused(request, stop, own_runs, vms, disturbances):
            when = f"{request.ended_s - stop.term_s:.2f} s after SIGTERM"
            problems.append(Violation("LOST", request, f"{text}, {when}"))
    return problems


def _find_stop(request: ObservedRequest, stops: Sequence[Stop]) -> Stop | None:
    return next(
        (
            stop
            for stop in stops
            if stop.incarnation == request.incarnations[0]
            and stop.term_s <= request.ended_s <= stop.term_s + GRACE_S + AFTER_GRACE_S
        ),
        None,
    )


def _describe_loss(request: ObservedRequest, runs: Sequence[Run]) -> str:
    """Return what was lost, or nothing if the request ended as it may."""
    if request.is_complete:
        is_own_failure = not request.seal and request.status >= 500
        return (
            f"ran, but its node answered {request.status} instead"
            if (runs and is_own_failure)
            else ""
        )
    if request.ending not in ENDED_BY_NODE:
        return ""
    if runs:
        received = f"{request.body_bytes} bytes of its answer"
        return f"ran, but its connection was {request.ending} after {received}"
    waited_s = request.duration_s - request.lag_s
    if waited_s > LOSS_SLACK_S and not request.is_behind:
        return f"connection {request.ending} without an answer after {request.duration_s:.2f} s"
    return ""


def _is_excused(
    request: ObservedRequest,
    stop: Stop,
    runs: Sequence[Run],
    vms: Sequence[SoakVm],
    disturbances: Disturbances,
) -> bool:
    if request.duration_s >= ROUTE_TIMEOUT_S:
        return True
    places = {request.vm, *(run.vm for run in runs)}
    if any(disturbances.is_disrupted(vm, request.sent_s, request.ended_s) for vm in places):
        return True
    return any(_is_run_excused(run, request, stop, vms[run.vm]) for run in runs)


def _is_run_excused(run: Run, request: ObservedRequest, stop: Stop, vm: SoakVm) -> bool:
    """Return whether the target broke off, or was at work until late in the grace."""
    stopped = any(run.arrived_s <= time_s <= request.ended_s for time_s in vm.target_stops_s)
    was_late = (
        request.sent_s <= stop.term_s + LATE_RUN_SENT_S
        and run.ended_s is not None
        and run.ended_s >= stop.term_s + LATE_RUN_SHARE * GRACE_S
    )
    return run.is_broken_off or stopped or was_late
