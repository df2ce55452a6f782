"""Finds in the nodes' logs what happened to one request, and what happened around it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any

# Events this long before and after a request's own lines may explain them.
AROUND_S = 3.0
# Changes of what a node believes; request lines of other requests are left out.
_OTHER_REQUESTS = "request_"


def explain_in_logs(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the lines about a request and the changes around it, in order of time.

    ``lines`` come from any number of nodes. Lines that are no JSON objects are passed over. The
    result is empty if no line names the request.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    own = [event for event in events if event.get("request_id") == request_id]
    if not own:
        return []
    times = [_time(event) for event in own]
    first = min(times) - timedelta(seconds=AROUND_S)
    last = max(times) + timedelta(seconds=AROUND_S)
    around = [
        event
        for event in events
        if not event["event"].startswith(_OTHER_REQUESTS) and first <= _time(event) <= last
    ]
    return sorted(own + around, key=_time)


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
        _time(event)
        return event if isinstance(event["event"], str) else None
    except (ValueError, KeyError, TypeError):
        return None


def _time(event: dict[str, Any]) -> datetime:
    return datetime.fromisoformat(event["timestamp"])
