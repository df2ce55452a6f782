"""Typed events and the bounded log that holds a node's latest ones."""

from __future__ import annotations

import collections
import enum
import threading

from attrs import field, frozen

from cottonlink._clock import Clock

EVENT_LOG_CAPACITY = 20_000

# A peer whose wall clock is further ahead than this is ignored. Otherwise one wrong clock would
# move the time line of the whole fleet into the future for good.
MAX_CLOCK_LEAD_MS = 60_000


class EventKind(enum.StrEnum):
    """What happened."""

    ACCEPTED = "accepted"
    FORWARDED = "forwarded"
    ADMITTED = "admitted"
    QUEUED = "queued"
    HANDED_OVER = "handed_over"
    COMPLETED = "completed"
    ANSWERED = "answered"
    REFUSED = "refused"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    RETRIED = "retried"
    REROUTED = "rerouted"
    RETRY_DENIED = "retry_denied"
    PERMIT_ISSUED = "permit_issued"
    REPLAYED = "replayed"
    EJECTED = "ejected"
    READMITTED = "readmitted"
    QUARANTINED = "quarantined"
    CRASH_SEEN = "crash_seen"
    POOL_DISCARDED = "pool_discarded"
    STATE_CHANGED = "state_changed"
    POLICY_ACCEPTED = "policy_accepted"
    POLICY_REJECTED = "policy_rejected"
    WATCHER_CHANGED = "watcher_changed"
    PAUSE_DETECTED = "pause_detected"


@frozen
class HybridTime:
    """Hybrid logical clock: wall time in ms and a counter that orders events within it."""

    wall_ms: int
    counter: int = 0

    def __str__(self) -> str:
        return f"{self.wall_ms}.{self.counter}"


def parse_hybrid_time(text: str) -> HybridTime | None:
    """Return the time written as ``wall_ms.counter``, or None if it is malformed."""
    wall, _, counter = text.partition(".")
    if not (wall.isascii() and wall.isdigit() and counter.isascii() and counter.isdigit()):
        return None
    return HybridTime(int(wall), int(counter))


@frozen
class Event:
    """One entry of the time line. ``details`` holds short name and value pairs."""

    time: HybridTime
    node: str
    sequence: int
    kind: EventKind
    request_id: str = ""
    call_id: str = ""
    service: str = ""
    peer: str = ""
    code: str = ""
    details: dict[str, str | int] = field(factory=dict)


class EventLog:
    """Ring of the latest events of one node, ordered by a hybrid logical clock.

    Thread-safe; the lock is held for one append.
    """

    def __init__(self, node: str, clock: Clock, capacity: int = EVENT_LOG_CAPACITY) -> None:
        self._node = node
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(maxlen=capacity)
        self._lock = threading.Lock()
        self._last = HybridTime(0)
        self._sequence = 0

    def record(
        self,
        kind: EventKind,
        *,
        request_id: str = "",
        call_id: str = "",
        service: str = "",
        peer: str = "",
        code: str = "",
        **details: str | int,
    ) -> HybridTime:
        """Append an event and return its time, which goes into messages caused by it."""
        with self._lock:
            self._last = self._next_time()
            self._sequence += 1
            self._events.append(
                Event(
                    time=self._last,
                    node=self._node,
                    sequence=self._sequence,
                    kind=kind,
                    request_id=request_id,
                    call_id=call_id,
                    service=service,
                    peer=peer,
                    code=code,
                    details=details,
                )
            )
            return self._last

    def observe_time(self, remote: HybridTime) -> None:
        """Take in the time of a received message, so that later events here sort after it."""
        if remote.wall_ms > self._clock.wall_ms() + MAX_CLOCK_LEAD_MS:
            return
        with self._lock:
            self._last = max(self._last, remote, key=lambda t: (t.wall_ms, t.counter))

    def now(self) -> HybridTime:
        """Return the current hybrid time without recording an event."""
        with self._lock:
            self._last = self._next_time()
            return self._last

    def events(
        self, *, request_id: str = "", service: str = "", after_sequence: int = 0
    ) -> tuple[Event, ...]:
        """Return the held events that match, oldest first."""
        with self._lock:
            held = tuple(self._events)
        return tuple(
            event
            for event in held
            if event.sequence > after_sequence
            and (not request_id or event.request_id == request_id)
            and (not service or event.service == service)
        )

    def _next_time(self) -> HybridTime:
        wall_ms = self._clock.wall_ms()
        if wall_ms > self._last.wall_ms:
            return HybridTime(wall_ms)
        return HybridTime(self._last.wall_ms, self._last.counter + 1)
