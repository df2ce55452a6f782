"""Gates hold chosen connections of a relay at one byte, until a test decides how they go on."""

from __future__ import annotations

import enum
import threading

from attrs import define, field

HOLD_TIMEOUT_S = 30


class Direction(enum.StrEnum):
    """Which bytes a gate counts."""

    REQUEST = "request"
    ANSWER = "answer"


class Release(enum.StrEnum):
    """How a held connection goes on."""

    PASS = "pass"
    RESET = "reset"
    SILENT = "silent"
    TRUNCATE = "truncate"
    SLOW = "slow"
    DUPLICATE = "duplicate"


@define(eq=False)
class Gate:
    """Holds connections whose request contains ``marker``.

    Bytes are counted from the chunk that contains the marker, so earlier requests on the same
    connection don't matter. ``limit`` connections are held; later ones pass.
    """

    marker: bytes
    direction: Direction
    after_bytes: int = 0
    limit: int = 1
    held_count: int = field(default=0, init=False)
    _release: Release | None = field(default=None, init=False)
    _changed: threading.Condition = field(factory=threading.Condition, init=False)

    def claim(self) -> bool:
        """Whether one more connection is to be held."""
        with self._changed:
            if self.held_count >= self.limit:
                return False
            self.held_count += 1
            self._changed.notify_all()
            return True

    def wait_release(self) -> Release:
        """Block the connection until it is released."""
        with self._changed:
            self._changed.wait_for(lambda: self._release is not None, HOLD_TIMEOUT_S)
            return self._release or Release.PASS

    def wait_held(self, count: int, timeout_s: float = HOLD_TIMEOUT_S) -> bool:
        """Wait until ``count`` connections are held."""
        with self._changed:
            return self._changed.wait_for(lambda: self.held_count >= count, timeout_s)

    def release(self, how: Release = Release.PASS) -> None:
        """Let the held connections go on."""
        with self._changed:
            self._release = how
            self._changed.notify_all()
