"""The requests that reached targets."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from attrs import define


@define
class Run:
    """A request that reached the target of a VM.

    ``started_at_ms`` tells the incarnations of the target apart. ``is_broken_off`` tells that the
    target ended it without an answer.
    """

    request_id: str
    vm: int
    service: str
    started_at_ms: int
    arrived_s: float
    ended_s: float | None = None
    # How late the event loop of the targets was at most within a second before the arrival.
    lag_s: float = 0.0
    is_broken_off: bool = False
    # Of the request as the target received it.
    body_bytes: int = 0
    is_body_padding: bool = True
    # The values of X-Tenant, and all names and values of headers.
    organisations: tuple[str, ...] = ()
    received_head: str = ""


def group_by_request(runs: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the runs of each request, by its id."""
    by_request = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run)
    return dict(by_request)
