"""Checks the guarantees of the nodes from what callers and targets observed."""

from __future__ import annotations

from collections import Counter

from soak.callers import ObservedRequest
from soak.fleet import SoakFleet

# Statuses that guarantee that the request has not run and will not run.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# After a fault, nodes reach each other and the store again within this time.
CONTACT_S = 3.0
# Targets that a request may crash later than that after its third crash.
MAX_LATER_CRASHES = 3


def find_violations(fleet: SoakFleet, requests: list[ObservedRequest]) -> list[str]:
    """Return a line for each guarantee that was violated at any time during the run."""
    runs = Counter(run.header("x-attempt-id") for vm in fleet.vms for run in vm.target.runs)
    sent_ids = {request.request_id for request in requests}
    problems = [
        f"{request_id}: ran at a target, but no caller sent it"
        for request_id in runs
        if request_id not in sent_ids
    ]
    for request in requests:
        problems += _check_request(request, runs[request.request_id])
    return problems


def _check_request(request: ObservedRequest, run_count: int) -> list[str]:
    name = f"{request.request_id} {request.path} ({request.status})"
    problems = []
    if request.is_booking and run_count > 1:
        problems.append(f"{name}: ran {run_count} times, expected at most once")
    if request.status in NOT_EXECUTED_STATUSES and request.is_booking and run_count:
        problems.append(f"{name}: ran despite a status that says it did not run")
    if request.status == 200:
        if not request.seal:
            problems.append(f"{name}: success without an X-Server-Seal header")
        if request.body.partition(b":")[2] != request.path.encode():
            problems.append(f"{name}: response body does not end with the path: {request.body!r}")
    return problems


def find_uncontained_crashes(crash_times_s: list[float]) -> list[str]:
    """Return a line if a request went on to crash targets although three had crashed before.

    The nodes have ``CONTACT_S`` after the third crash to tell each other.
    """
    if len(crash_times_s) < 3:
        return []
    allowed_until_s = sorted(crash_times_s)[2] + CONTACT_S
    later = sum(time_s > allowed_until_s for time_s in crash_times_s)
    if later <= MAX_LATER_CRASHES:
        return []
    return [
        f"a request crashed {len(crash_times_s)} targets,"
        f" {later} of them more than {CONTACT_S} s after the third"
    ]


def find_unserved(requests: list[ObservedRequest | None]) -> list[str]:
    """Return a line for each request sent after the faults that wasn't answered with status 200."""
    return [
        f"after the faults: {request.path if request else 'no connection'}"
        f" got {request.status if request else '-'}"
        for request in requests
        if request is None or request.status != 200
    ]
