"""Finds the running request that makes a call, by its id or by the deadline that they share.

A running request makes many calls, and refusing one of them wastes the whole request. Where ids
tell which request makes a call, its parent, they are compared. Otherwise the deadline may tell:
calls expire at the parent's deadline, which the target's node has passed on to the target, unless
they have a shorter one of their own. A wrong match costs little: a new request that happens to have
the same deadline is treated like a nested call.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import Any

# Largest difference between the deadlines of a call and its parent. It covers rounding to whole
# milliseconds in both directions, the time on the loopback and scheduling delays of the node.
TOLERANCE_MS = 8.0


class RunningRequests:
    """Requests that run at the local target, ordered by deadline."""

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, int]] = []
        self._parents: dict[int, Any] = {}
        # The latest run of each request, with its parent, by the id of the request.
        self._by_request_id: dict[bytes, tuple[int, Any]] = {}

    def add(self, run_id: int, deadline_ms: float, parent: Any, request_id: bytes = b"") -> None:
        """Add run ``run_id`` of a request; ``deadline_ms`` is the deadline passed to the target.

        ``find_parent`` returns ``parent`` for calls that this run makes.
        """
        insort(self._deadlines, (deadline_ms, run_id))
        self._parents[run_id] = parent
        if request_id:
            self._by_request_id[request_id] = (run_id, parent)

    def remove(self, run_id: int, deadline_ms: float, request_id: bytes = b"") -> None:
        """Remove a run that has left the target."""
        if self._by_request_id.get(request_id, (None, None))[0] == run_id:
            del self._by_request_id[request_id]
        if self._parents.pop(run_id, None) is not None:
            index = bisect_left(self._deadlines, (deadline_ms, run_id))
            if index < len(self._deadlines) and self._deadlines[index] == (deadline_ms, run_id):
                del self._deadlines[index]

    def find_parent(self, deadline_ms: float | None, parent_id: bytes | None = None) -> Any | None:
        """Return the parent of a call, or None if it is unknown.

        It is the request with the id ``parent_id``, if that one runs here, else the one with the
        closest deadline within TOLERANCE_MS of ``deadline_ms``.
        """
        by_id = None if parent_id is None else self._by_request_id.get(parent_id)
        if by_id is not None:
            return by_id[1]
        if deadline_ms is None:
            return None
        index = bisect_left(self._deadlines, (deadline_ms, -1))
        best: tuple[float, int] | None = None
        for neighbour in self._deadlines[max(0, index - 1) : index + 1]:
            distance_ms = abs(neighbour[0] - deadline_ms)
            if distance_ms <= TOLERANCE_MS and (best is None or distance_ms < best[0]):
                best = (distance_ms, neighbour[1])
        return self._parents[best[1]] if best else None


def make_running_requests() -> RunningRequests:
    """Return an empty set, as for a node that starts."""
    return RunningRequests()
