"""Renders a time line as text."""

from __future__ import annotations

import datetime

from cottonlink.observe._events import Event, HybridTime
from cottonlink.observe._timeline import Explanation, Timeline


def format_wall_time(time: HybridTime) -> str:
    """Return the UTC time of day as ``HH:MM:SS.mmm``."""
    moment = datetime.datetime.fromtimestamp(time.wall_ms / 1000, tz=datetime.UTC)
    return moment.strftime("%H:%M:%S.") + f"{time.wall_ms % 1000:03d}"


def describe_event(event: Event) -> str:
    """Return the fields of ``event`` that are set, without its time and node."""
    parts = [event.kind.value]
    if event.service:
        parts.append(f"service={event.service}")
    if event.peer:
        parts.append(f"peer={event.peer}")
    if event.code:
        parts.append(f"code={event.code}")
    parts.extend(f"{name}={value}" for name, value in event.details.items())
    return " ".join(parts)


def render_text(timeline: Timeline) -> str:
    """Return one line per event: time, node, request and what happened."""
    width = max((len(event.node) for event in timeline.events), default=0)
    lines = [
        f"{format_wall_time(event.time)}  {event.node:<{width}}  "
        f"{event.request_id[:8]:<8}  {describe_event(event)}"
        for event in timeline.events
    ]
    lines.extend(f"no events from {node}: it did not answer" for node in timeline.missing_nodes)
    return "\n".join(lines)


def render_explanation(explanation: Explanation) -> str:
    """Return the outcome of a request, the event that decided it, and all events of the request."""
    if not explanation.found:
        return f"request {explanation.request_id}: no node holds an event of it"
    outcome = explanation.code or "answered by its target"
    lines = [f"request {explanation.request_id}: {outcome}"]
    if explanation.executed:
        lines.append(f"executed: {explanation.executed}")
    cause = explanation.deciding_event
    if cause:
        lines.append(f"decided at {cause.node}: {describe_event(cause)}")
    lines.append(render_text(explanation.timeline))
    return "\n".join(lines)
