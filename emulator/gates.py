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
    """Holds the first connection whose request contains each of ``markers``.

    Bytes are counted from the chunk that contains the marker, so earlier requests on the same
    connection don't matter. A later connection with the same marker passes.
    """

    markers: tuple[bytes, ...]
    direction: Direction
    after_bytes: int = 0
    held_count: int = field(default=0, init=False)
    _unclaimed: list[bytes] = field(init=False)
    _release: Release | None = field(default=None, init=False)
    _changed: threading.Condition = field(factory=threading.Condition, init=False)

    def __attrs_post_init__(self) -> None:
        self._unclaimed = list(self.markers)

    def claim(self, chunk: bytes) -> bool:
        """Whether a connection whose request has ``chunk`` is to be held."""
        with self._changed:
            found = next((marker for marker in self._unclaimed if marker in chunk), None)
            if found is None:
                return False
            self._unclaimed.remove(found)
            return True

    def wait_release(self) -> Release:
        """Block the connection until it is released."""
        with self._changed:
            self.held_count += 1
            self._changed.wait_for(lambda: self._release is not None, HOLD_TIMEOUT_S)
            return self._release or Release.PASS

    def release(self, how: Release = Release.PASS) -> None:
        """Let the held connections go on."""
        with self._changed:
            self._release = how
            self._changed.notify_all()
