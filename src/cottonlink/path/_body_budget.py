"""Bounds what a node holds of response bodies, for each response and in all.

A body is held until it is complete, and then until the reader of the response has taken it, which
may read slowly. Above the bound the connections on which long bodies arrive aren't read until
others have left, so that their targets wait.
"""

from __future__ import annotations

from typing import Protocol

# Longest body of a response.
RESPONSE_BODY_LIMIT_BYTES = 32 * 1024 * 1024
# Bytes of bodies that a node holds, while they arrive and until they are sent on. A body is copied
# on its way, and a VM may have 200 MB.
HELD_LIMIT_BYTES = 48 * 1024 * 1024
# Shorter bodies are always read on.
SHORT_BODY_BYTES = 256 * 1024


class BodyReader(Protocol):
    """A connection on which a response arrives."""

    def pause_reading(self) -> None:
        """Read nothing until ``resume_reading``."""

    def resume_reading(self) -> None:
        """Read on."""


class BodyBudget:
    """The bodies that one node holds."""

    def __init__(self) -> None:
        # In the order in which the responses began.
        self._held_bytes: dict[BodyReader, int] = {}
        self._receiving_bytes = 0
        self._unsent_bytes = 0
        self._paused: set[BodyReader] = set()

    @property
    def held_bytes(self) -> int:
        """Bytes of bodies that are held, while they arrive and until they are sent on."""
        return self._receiving_bytes + self._unsent_bytes

    def take(self, reader: BodyReader, count: int) -> None:
        """Record that bytes of a body have arrived; pause the reader if there are too many."""
        self._held_bytes[reader] = self._held_bytes.get(reader, 0) + count
        self._receiving_bytes += count
        if self._must_wait(reader) and reader not in self._paused:
            self._paused.add(reader)
            reader.pause_reading()

    def release(self, reader: BodyReader, *, is_sent_on: bool) -> None:
        """Record the end of a response; ``is_sent_on`` tells whether its body is to be sent on."""
        held_bytes = self._held_bytes.pop(reader, 0)
        self._receiving_bytes -= held_bytes
        if is_sent_on:
            self._unsent_bytes += held_bytes
        if reader in self._paused:
            self._paused.discard(reader)
            reader.resume_reading()
        self._resume()

    def set_unsent(self, count: int) -> None:
        """Set the bytes of responses that wait for their readers. To be called periodically."""
        self._unsent_bytes = count
        self._resume()

    def _must_wait(self, reader: BodyReader) -> bool:
        if self._held_bytes[reader] <= SHORT_BODY_BYTES or self.held_bytes <= HELD_LIMIT_BYTES:
            return False
        # The response that began first is read on, or none of several would ever be complete.
        first = next(r for r, held in self._held_bytes.items() if held > SHORT_BODY_BYTES)
        return first is not reader or self._unsent_bytes > HELD_LIMIT_BYTES // 2

    def _resume(self) -> None:
        for reader in [r for r in self._held_bytes if r in self._paused]:
            if not self._must_wait(reader):
                self._paused.discard(reader)
                reader.resume_reading()


def make_body_budget() -> BodyBudget:
    """Return a budget of which nothing is used."""
    return BodyBudget()
