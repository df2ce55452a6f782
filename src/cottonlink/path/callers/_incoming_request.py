"""A caller's request while it arrives."""

from __future__ import annotations

from attrs import define, field

from cottonlink.overload import BODY_FACTOR, FIELD_BYTES, Hold
from cottonlink.path._body import BodyBuffer
from cottonlink.path._header_fields import PACKED_FIELDS, PackedFields, fields_bytes
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
    # Of the complete head.
    head_bytes: int = 0
    # Longest body, as the limits were when the head was complete.
    limit_bytes: int = 0
    hold: Hold | None = None
    # What is known of the request while its body arrives, None if the head is invalid.
    head: Request | None = None
    expects_continue: bool = False
    waits_for_room_since_ms: float | None = None
    packed: PackedFields | None = None

    def pack_fields(self) -> None:
        """Keep many header fields in one buffer until ``unpack_fields`` is called."""
        if len(self.headers) > PACKED_FIELDS:
            if self.packed is None:
                self.packed = PackedFields()
            self.packed.extend(self.headers)
            self.headers.clear()

    def unpack_fields(self) -> None:
        """Hold all header fields in ``headers``, if some of them are packed."""
        if self.packed is not None:
            self.headers[:0] = self.packed.unpack()
            self.packed = None

    def head_without_offer(self, method: bytes, version: str) -> bytes:
        """Return the head of the request without the protocols that it offers."""
        lines = [b"%b %b HTTP/%b" % (method, self.target, version.encode())]
        lines += [b"%b: %b" % header for header in self.headers if header[0].lower() != b"upgrade"]
        return b"\r\n".join([*lines, b"", b""])

    def held_bytes(self) -> int:
        """Return what the process needs for the request, besides the room of a long body."""
        held_bytes = fields_bytes(self.headers) + len(self.target)
        if self.head is not None:
            held_bytes += FIELD_BYTES * len(self.head.headers)
        if self.packed is not None:
            held_bytes += self.packed.held_bytes
        if self.hold is None:
            held_bytes += BODY_FACTOR * len(self.body)
        return held_bytes

    def has_waited(self, now_ms: float) -> bool:
        """Return whether the body has waited for room for too long."""
        if self.waits_for_room_since_ms is None:
            return False
        remaining_ms = self.head.remaining_ms if self.head is not None else None
        share_ms = ROOM_WAIT_MS if remaining_ms is None else remaining_ms * ROOM_WAIT_SHARE
        return now_ms - self.waits_for_room_since_ms >= min(share_ms, ROOM_WAIT_MS)
