"""Finds the log lines about one request, and other events of the nodes around that time."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any

# Events this long before and after the lines about a request may explain them.
CONTEXT_WINDOW_S = 3.0
# Events about requests have this prefix. Those of other requests are left out; all other events
# report a change of a node's state.
_REQUEST_EVENT_PREFIX = "request_"


def explain_in_logs(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events about a request, and changes of state around them, in order of time.

    ``lines`` come from any number of nodes; text before the first brace is ignored, as are lines
    without a JSON object. The result is empty if no line has the request's id.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    request_events = [event for event in events if event.get("request_id") == request_id]
    if not request_events:
        return []
    times = [_time(event) for event in request_events]
    first = min(times) - timedelta(seconds=CONTEXT_WINDOW_S)
    last = max(times) + timedelta(seconds=CONTEXT_WINDOW_S)
    surrounding_events = [
        event
        for event in events
        if not event["event"].startswith(_REQUEST_EVENT_PREFIX) and first <= _time(event) <= last
    ]
    return sorted(request_events + surrounding_events, key=_time)


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
