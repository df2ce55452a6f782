"""Checks the guarantees of the nodes from what callers and targets observed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from soak.disturbances import CONTACT_S
from soak.observations import ObservedRequest, Violation, expected_body
from soak.runs import Run

# Statuses that guarantee that the request has not run and will not run.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Final responses of a node that tell the caller that its request isn't proper; all requests here
# are.
DENIED_STATUSES = frozenset((400, 405, 411, 413, 414, 431))
# Statuses that a caller may get at the end (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
# Targets that a request may crash later than ``CONTACT_S`` after its third crash.
MAX_LATER_CRASHES = 3


def find_violations(
    requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]]
) -> list[Violation]:
    """Return requests for which a guarantee was violated at any time."""
    return [
        Violation(rule, request, text)
        for request in requests
        for rule, text in _check_request(request, runs.get(request.request_id, ()))
    ]


def find_unasked(
    requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    """Return a line for each request that ran although no caller sent it."""
    sent_ids = {request.request_id for request in requests}
    return [
        f"{request_id}: ran at a target, but no caller sent it"
        for request_id in runs
        if request_id not in sent_ids
    ]


def find_denied(requests: Sequence[ObservedRequest]) -> list[Violation]:
    """Return the proper requests that nodes have denied."""
    return [
        Violation("DENIED", request, f"a proper request was answered {request.status}")
        for request in requests
        if request.status in DENIED_STATUSES and not request.seal
    ]


def _check_request(request: ObservedRequest, runs: Sequence[Run]) -> list[tuple[str, str]]:
    problems = []
    if request.is_booking and len(runs) > 1:
        problems.append(("TWICE", f"ran {len(runs)} times, expected at most once"))
    if request.status in NOT_EXECUTED_STATUSES and request.is_booking and runs:
        problems.append(("REFUSED", "ran despite a status that says it did not run"))
    if any(run.body_bytes != request.sent_body_bytes or not run.is_body_padding for run in runs):
        problems.append(("UNASKED", f"ran with another body than {request.sent_body_bytes} bytes"))
    if request.ending.startswith("not a response"):
        problems.append(("MIXED", f"bytes that are {request.ending}"))
    if request.ending == "answered" and request.status not in FINAL_STATUSES:
        problems.append(("MIXED", f"a response with the status {request.status}"))
    if request.status == 200:
        if not request.seal:
            problems.append(("MIXED", "success without an X-Server-Seal header"))
        if not _is_whole_body(request, runs):
            problems.append(
                (
                    "MIXED",
                    f"success with {request.body_bytes} bytes, not the target's body:"
                    f" {request.body_start!r}, answer id {request.headers.get('x-attempt-id')}",
                )
            )
    return problems


def _is_whole_body(request: ObservedRequest, runs: Sequence[Run]) -> bool:
    expected = (expected_body(f"i-{run.vm}", request.path) for run in runs)
    return any(
        len(body) == request.body_bytes
        and body.startswith(request.body_start)
        and request.is_rest_padding
        for body in expected
    )


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
