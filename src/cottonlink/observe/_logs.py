"""Logs as JSON lines, limited in rate so that an overload can't become a flood of log lines."""

from __future__ import annotations

import logging
import sys
import threading
from typing import TextIO

import structlog
from structlog.typing import EventDict, WrappedLogger

from cottonlink._clock import Clock, SystemClock

# Lines with the same message beyond this number in one period are counted and dropped.
MAX_LINES_PER_PERIOD = 20
RATE_LIMIT_PERIOD_MS = 1_000


class RateLimiter:
    """A structlog processor that drops repeated messages.

    The first line of the next period carries the number of dropped ones as ``suppressed``.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._period_start_ms = clock.monotonic_ms()
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def __call__(self, _logger: WrappedLogger, _method: str, event_dict: EventDict) -> EventDict:
        message = str(event_dict.get("event", ""))
        with self._lock:
            self._start_period()
            count = self._counts.get(message, 0) + 1
            self._counts[message] = count
            if count > MAX_LINES_PER_PERIOD:
                self._suppressed[message] = self._suppressed.get(message, 0) + 1
                raise structlog.DropEvent
            suppressed = self._suppressed.pop(message, 0)
        if suppressed:
            event_dict["suppressed"] = suppressed
        return event_dict

    def _start_period(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._period_start_ms >= RATE_LIMIT_PERIOD_MS:
            self._period_start_ms = now_ms
            self._counts.clear()


def configure_logs(
    node: str, level: str = "info", *, stream: TextIO | None = None, clock: Clock | None = None
) -> None:
    """Send all logs of the process to ``stream`` (stderr by default) as JSON lines."""
    level_number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            RateLimiter(clock or SystemClock()),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _NodeName(node),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    # waitress logs each backlog of its task queue as a warning, which floods under overload.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)


class _NodeName:
    def __init__(self, node: str) -> None:
        self._node = node

    def __call__(self, _logger: WrappedLogger, _method: str, event_dict: EventDict) -> EventDict:
        event_dict.setdefault("node", self._node)
        return event_dict
