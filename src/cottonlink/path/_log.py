"""Structured log of a node on standard output: rate-limited, non-blocking JSON lines."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import orjson
import structlog

# Lines per second of each event. Failures are rare without an incident, and are what operators look
# for first.
FAILURE_LINES_PER_S = 20
ROUTINE_LINES_PER_S = 2
RATE_PERIOD_MS = 1_000.0
# Delay after which buffered lines are written together.
WRITE_DELAY_S = 0.1
# Bytes buffered for a slow reader; further lines are dropped and counted.
BUFFER_LIMIT_BYTES = 1 << 18

# Events of normal operation, many per second; all others report a failure or a change.
ROUTINE_EVENTS = frozenset(("request_answered",))


class EventLog:
    """Writes a limited number of lines per second of each event.

    The next line of an event after suppressed ones carries their number as ``left_out``.
    """

    def __init__(self, node: str, loop: asyncio.AbstractEventLoop, descriptor: int = 1) -> None:
        self._loop = loop
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._flush_handle: asyncio.TimerHandle | None = None
        self._line_counts: dict[str, int] = {}
        self._suppressed_counts: dict[str, int] = {}
        self._period_started_ms = 0.0
        self.dropped_lines = 0
        self._logger = structlog.wrap_logger(
            _BufferLogger(self),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                _JsonLine(node),
            ],
            wrapper_class=structlog.BoundLogger,
        )

    def event(self, name: str, **fields: Any) -> None:
        """Log one line, unless the event has reached its limit for this second."""
        now_ms = self._loop.time() * 1000.0
        if now_ms - self._period_started_ms >= RATE_PERIOD_MS:
            self._period_started_ms = now_ms
            self._line_counts.clear()
        count = self._line_counts.get(name, 0) + 1
        self._line_counts[name] = count
        if count > (ROUTINE_LINES_PER_S if name in ROUTINE_EVENTS else FAILURE_LINES_PER_S):
            self._suppressed_counts[name] = self._suppressed_counts.get(name, 0) + 1
            return
        left_out = self._suppressed_counts.pop(name, 0)
        if left_out:
            fields["left_out"] = left_out
        self._logger.info(name, **fields)

    def append(self, line: bytes) -> None:
        """Buffer a complete line."""
        if len(self._buffer) + len(line) > BUFFER_LIMIT_BYTES:
            self.dropped_lines += 1
            return
        self._buffer += line
        self._buffer += b"\n"
        if self._flush_handle is None:
            self._flush_handle = self._loop.call_later(WRITE_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        self._flush_handle = None
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone: the buffer is discarded and the node continues to serve.
            written = len(self._buffer)
            self.dropped_lines += 1
        del self._buffer[:written]
        if self._buffer:
            self._flush_handle = self._loop.call_later(WRITE_DELAY_S, self.flush)


class _BufferLogger:
    def __init__(self, log: EventLog) -> None:
        self._log = log

    def info(self, line: bytes) -> None:
        self._log.append(line)


class _JsonLine:
    def __init__(self, node: str) -> None:
        self._node = node

    def __call__(self, _logger: Any, _method: str, event: dict[str, Any]) -> str:
        event["node"] = self._node
        return orjson.dumps(event, default=_to_json_value)  # type: ignore[return-value]


def _to_json_value(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    return str(value)


def make_event_log(node: str, loop: asyncio.AbstractEventLoop, descriptor: int = 1) -> EventLog:
    """Return the log of a node; ``descriptor`` is set to non-blocking."""
    os.set_blocking(descriptor, False)
    return EventLog(node, loop, descriptor)
