"""What operators see of a node: events and their time line, metrics, and logs."""

from cottonlink.observe._codec import events_from_json, events_to_json
from cottonlink.observe._events import Event, EventKind, EventLog, HybridTime, parse_hybrid_time
from cottonlink.observe._log_search import explain_in_logs
from cottonlink.observe._logs import configure_logs
from cottonlink.observe._metrics import LatencySummary, Metrics
from cottonlink.observe._report import render_html
from cottonlink.observe._text import render_explanation, render_text
from cottonlink.observe._timeline import Explanation, Timeline, explain_request, merge_events

__all__ = [
    "Event",
    "EventKind",
    "EventLog",
    "Explanation",
    "HybridTime",
    "LatencySummary",
    "Metrics",
    "Timeline",
    "configure_logs",
    "events_from_json",
    "events_to_json",
    "explain_in_logs",
    "explain_request",
    "merge_events",
    "parse_hybrid_time",
    "render_explanation",
    "render_html",
    "render_text",
]
