"""Checks that no request is lost around a planned stop of the node that took it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from soak.disturbances import Disturbances
from soak.fleet import ROUTE_TIMEOUT_S
from soak.observations import ObservedRequest, Violation
from soak.runs import Run
from soak.vm import SoakVm, Stop

# A request that is not passed on may end with its connection within this time.
LOSS_SLACK_S = 0.2
# A stop counts until this time after the grace has passed.
AFTER_GRACE_S = 1.0
# Of a request sent up to this time after SIGTERM, a run may be cut in the last part of the grace.
LATE_RUN_SENT_S = 3.0
LATE_RUN_SHARE = 5 / 6
# Kept connections that nodes in touch may close at any time though a request ran.
MAX_CLOSED_UNANSWERED = 3
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


def find_closed_unanswered(
    requests: Sequence[ObservedRequest],
    runs: Mapping[str, Sequence[Run]],
    vms: Sequence[SoakVm],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return requests that ran and whose kept connections a node in touch closed unanswered.

    A few may be; beyond ``MAX_CLOSED_UNANSWERED`` all are returned.
    """
    used_connections: set[int] = set()
    problems = []
    for request in requests:
        is_kept = request.connection_id in used_connections
        used_connections.add(request.connection_id)
        own_runs = runs.get(request.request_id, ())
        if (
            is_kept
            and own_runs
            and request.ending in ENDED_BY_NODE
            and request.duration_s < ROUTE_TIMEOUT_S
            and disturbances.is_in_touch(request.vm, request.sent_s, request.ended_s)
            and not any(_is_unsound(run, request, vms, disturbances) for run in own_runs)
        ):
            text = f"ran, but its node in touch {request.ending} its connection"
            problems.append(Violation("LOST", request, text))
    return problems if len(problems) > MAX_CLOSED_UNANSWERED else []


def _is_unsound(
    run: Run, request: ObservedRequest, vms: Sequence[SoakVm], disturbances: Disturbances
) -> bool:
    """Return whether the target broke off, or its node was disrupted."""
    return _has_broken_off(run, request, vms[run.vm]) or disturbances.is_disrupted(
        run.vm, request.sent_s, request.ended_s
    )


def _find_stop(request: ObservedRequest, stops: Sequence[Stop]) -> Stop | None:
    return next(
        (
            stop
            for stop in stops
            if stop.incarnation == request.incarnations[0]
            and stop.term_s <= request.ended_s <= stop.term_s + stop.grace_s + AFTER_GRACE_S
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
    was_late = (
        request.sent_s <= stop.term_s + LATE_RUN_SENT_S
        and run.ended_s is not None
        and run.ended_s >= stop.term_s + LATE_RUN_SHARE * stop.grace_s
    )
    return _has_broken_off(run, request, vm) or was_late


def _has_broken_off(run: Run, request: ObservedRequest, vm: SoakVm) -> bool:
    return run.is_broken_off or any(
        run.arrived_s <= time_s <= request.ended_s for time_s in vm.target_stops_s
    )
