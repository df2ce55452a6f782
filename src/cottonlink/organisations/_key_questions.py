"""Decides what to do with a request whose API key isn't in the configuration.

A key that was just added may be in use before this node has the configuration that holds it, so
the request waits until the node's configuration is known to be newer than the request. Floods of
made-up keys must not make that wait expensive: few requests wait, and a key that was found unknown
a moment ago is refused at once.
"""

from __future__ import annotations

from collections import OrderedDict

# Requests of one node that wait at a time.
MAX_WAITING = 64
# Time for which a key that was unknown in a current configuration is refused without a question.
REFUSED_MS = 1_000.0
# Keys that are remembered as refused.
MAX_REFUSED = 1_024


class KeyQuestions:
    """Requests with unknown keys at one node."""

    def __init__(self) -> None:
        self._refused: OrderedDict[bytes, float] = OrderedDict()
        self._waiting_count = 0

    def is_refused(self, digest: bytes, now_ms: float) -> bool:
        """Return whether a key was found unknown a moment ago."""
        return now_ms - self._refused.get(digest, float("-inf")) < REFUSED_MS

    def begin_wait(self) -> bool:
        """Return whether another request may wait; each that does is ended by ``end_wait``."""
        if self._waiting_count >= MAX_WAITING:
            return False
        self._waiting_count += 1
        return True

    def end_wait(self) -> None:
        """Record that a request doesn't wait any longer."""
        self._waiting_count -= 1

    def record_unknown(self, digest: bytes, now_ms: float) -> None:
        """Record that a current configuration doesn't hold a key."""
        self._refused[digest] = now_ms
        self._refused.move_to_end(digest)
        if len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)


def make_key_questions() -> KeyQuestions:
    """Return the state of a node that has seen no unknown key."""
    return KeyQuestions()
