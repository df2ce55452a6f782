"""A caller's request while it arrives."""

from __future__ import annotations

from attrs import define, field

from cottonlink.overload import Hold
from cottonlink.path._body import BodyBuffer
from cottonlink.path._model import Request

# Longest wait for room of a request's body, and the share of the time that its caller has left.
ROOM_WAIT_MS = 3_000.0
ROOM_WAIT_SHARE = 1 / 3


@define
class IncomingRequest:
    """A request of which not everything has arrived."""

    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: BodyBuffer = field(factory=BodyBuffer)
    # Of the pieces of input behind the one in which the message began.
    received_bytes: int = 0
    is_head_complete: bool = False
    # Longest body, as the limits were when the head was complete.
    limit_bytes: int = 0
    hold: Hold | None = None
    # What is known of the request while its body arrives, None if the head is invalid.
    head: Request | None = None
    expects_continue: bool = False
    waits_for_room_since_ms: float | None = None

    def has_waited(self, now_ms: float) -> bool:
        """Return whether the body has waited for room for too long."""
        if self.waits_for_room_since_ms is None:
            return False
        remaining_ms = self.head.remaining_ms if self.head is not None else None
        share_ms = ROOM_WAIT_MS if remaining_ms is None else remaining_ms * ROOM_WAIT_SHARE
        return now_ms - self.waits_for_room_since_ms >= min(share_ms, ROOM_WAIT_MS)
