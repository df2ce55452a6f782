"""Gates hold selected connections of a relay at a byte position until a test releases them."""

from __future__ import annotations

import enum
import threading

from attrs import define, field

HOLD_TIMEOUT_S = 30


class Direction(enum.StrEnum):
    """Direction of the bytes that a gate counts and holds."""

    REQUEST = "request"
    ANSWER = "answer"


class ReleaseMode(enum.StrEnum):
    """What the relay does with a held connection after its release."""

    PASS = "pass"
    RESET = "reset"
    SILENT = "silent"
    TRUNCATE = "truncate"
    SLOW = "slow"
    DUPLICATE = "duplicate"


@define(eq=False)
class Gate:
    """Holds, for each of its markers, the first connection whose request contains it.

    ``after_bytes`` bytes still pass, counted from the start of the chunk that contains the marker,
    so earlier requests on the same connection don't count. A later connection with the same marker
    is not held.
    """

    direction: Direction
    after_bytes: int = 0
    _pending_markers: list[bytes] = field(factory=list, init=False)
    _held_markers: set[bytes] = field(factory=set, init=False)
    _release: ReleaseMode | None = field(default=None, init=False)
    _changed: threading.Condition = field(factory=threading.Condition, init=False)

    def add_marker(self, marker: bytes) -> None:
        """Hold one connection whose request contains ``marker``."""
        with self._changed:
            self._pending_markers.append(marker)

    def take_marker(self, chunk: bytes) -> bytes:
        """Remove and return the marker that ``chunk`` contains; empty if it contains none."""
        with self._changed:
            found = next((marker for marker in self._pending_markers if marker in chunk), b"")
            if found:
                self._pending_markers.remove(found)
            return found

    def has_held(self, marker: bytes) -> bool:
        """Whether a connection with ``marker`` has reached the gate's position."""
        with self._changed:
            return marker in self._held_markers

    def wait_release(self, marker: bytes) -> ReleaseMode:
        """Block until the gate is released; pass without a release after ``HOLD_TIMEOUT_S``."""
        with self._changed:
            self._held_markers.add(marker)
            self._changed.wait_for(lambda: self._release is not None, HOLD_TIMEOUT_S)
            return self._release or ReleaseMode.PASS

    def release(self, mode: ReleaseMode = ReleaseMode.PASS) -> None:
        """Release held connections; those that reach the gate later get ``mode`` without a wait."""
        with self._changed:
            self._release = mode
            self._changed.notify_all()
