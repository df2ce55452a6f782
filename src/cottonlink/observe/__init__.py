"""Events, time line, metrics and logs."""

from cottonlink.observe._events import Event, EventKind, EventLog, HybridTime, parse_hybrid_time

__all__ = ["Event", "EventKind", "EventLog", "HybridTime", "parse_hybrid_time"]
