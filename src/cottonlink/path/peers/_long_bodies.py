"""Long bodies between two nodes: in pieces, so that they hold up no other call on a connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from cottonlink.overload import Hold
from cottonlink.path._body import BodyBuffer, HeldBody, WholeBody
from cottonlink.path._body_stream import WINDOW_BYTES, BodyStream
from cottonlink.path.peers._frames import (
    PIECE_BYTES,
    CallFrame,
    CreditFrame,
    EndFrame,
    LongCallFrame,
    PieceFrame,
)

# Taken bytes that are granted again together.
CREDIT_BYTES = WINDOW_BYTES // 8
# Room that the body of a response of unknown length asks for at a time.
ROOM_STEP_BYTES = 1_000_000
# Longest wait for room of a call's body.
ROOM_WAIT_MS = 1_000.0

Send = Callable[[Any], None]


@define(eq=False)
class RequestBodySender:
    """Sends the body of a call, as much of it as the peer has granted."""

    _stream: int
    _body: memoryview
    _send: Send
    _sent_bytes: int = 0

    def grant(self, count: int) -> None:
        """Send ``count`` bytes more."""
        end = min(self._sent_bytes + count, len(self._body))
        while self._sent_bytes < end:
            piece = self._body[self._sent_bytes : min(end, self._sent_bytes + PIECE_BYTES)]
            self._sent_bytes += len(piece)
            self._send(PieceFrame(self._stream, piece))


@define(eq=False)
class RequestBodyReceiver:
    """Collects the body of a call that a peer sends, once there is room for it."""

    frame: LongCallFrame
    hold: Hold
    received_ms: float
    _send: Send
    _body: HeldBody = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._body = HeldBody(self.hold)
        self.hold.on_room = self._on_room
        if self.hold.request(self.frame.length):
            self._on_room()

    def is_late(self, now_ms: float) -> bool:
        """Return whether the call has waited too long for room, or for its body."""
        limit_ms = self.frame.call.remaining_ms if self.hold.is_granted else ROOM_WAIT_MS
        return now_ms - self.received_ms >= limit_ms

    def receive(self, data: bytes) -> bool:
        """Add the next bytes; return whether the body is complete."""
        self._body += data
        if len(self._body) < self.frame.length:
            self._send(CreditFrame(self.frame.call.stream, len(data)))
        return len(self._body) >= self.frame.length

    def call(self, now_ms: float) -> CallFrame:
        """Return the call with its body."""
        waited_ms = int(now_ms - self.received_ms)
        call = self.frame.call
        return evolve(call, body=self._body, remaining_ms=max(0, call.remaining_ms - waited_ms))

    def _on_room(self) -> None:
        # The hold lives as long as the body, and must not refer back to what holds it.
        self.hold.on_room = None
        self._send(CreditFrame(self.frame.call.stream, WINDOW_BYTES))


@define(eq=False)
class ResponseBodySender:
    """Sends the body of a response while it arrives; the peer's credits tell what it has taken."""

    _stream: int
    _send: Send
    _on_ended: Callable[[], None]

    def on_piece(self, piece: bytes) -> None:
        for start in range(0, len(piece), PIECE_BYTES):
            self._send(PieceFrame(self._stream, piece[start : start + PIECE_BYTES]))

    def on_end(self, *, is_whole: bool) -> None:
        self._send(EndFrame(self._stream, is_whole))
        self._on_ended()


@define(eq=False)
class ResponseBodyCollector:
    """Collects the body of a response for a peer that takes no pieces.

    ``on_collected`` gets it, or None if it was cut short.
    """

    _body: BodyStream
    _hold: Hold
    _on_collected: Callable[[WholeBody | None], None]
    _buffer: BodyBuffer = field(factory=BodyBuffer)
    _untaken_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        self._buffer.hold(self._hold)
        self._hold.on_room = self._take
        self._hold.request(self._body.length or ROOM_STEP_BYTES)

    def on_piece(self, piece: bytes) -> None:
        self._buffer.append(piece)
        self._untaken_bytes += len(piece)
        if self._hold.is_granted:
            self._take()

    def on_end(self, *, is_whole: bool) -> None:
        self._hold.withdraw()
        self._on_collected(self._buffer.take() if is_whole else None)

    def _take(self) -> None:
        if len(self._buffer) + WINDOW_BYTES > self._hold.count and self._body.length is None:
            self._hold.request(ROOM_STEP_BYTES)
        count, self._untaken_bytes = self._untaken_bytes, 0
        if count:
            self._body.take(count)


@define(eq=False)
class CreditCounter:
    """Grants a peer again what has been taken of a response's body that it sends."""

    _stream: int
    _send: Send
    _count: int = 0

    def add(self, count: int) -> None:
        """Note that ``count`` bytes have been taken."""
        self._count += count
        if self._count >= CREDIT_BYTES:
            self._send(CreditFrame(self._stream, self._count))
            self._count = 0
