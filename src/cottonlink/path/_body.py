"""Bodies of requests and responses."""

from __future__ import annotations

from cottonlink.overload import Hold
from cottonlink.path._body_stream import BodyStream

# A response with a longer body is passed on while it arrives; a request with one needs room.
LONG_BODY_BYTES = 128 * 1024


class HeldBody(bytearray):
    """A long body, whose room is given back with its memory."""

    def __init__(self, hold: Hold) -> None:
        super().__init__()
        self.hold = hold


# A body that came in one piece stays that piece; others are held in one growing buffer.
WholeBody = bytes | bytearray
Body = WholeBody | BodyStream


class BodyBuffer:
    """The body of one message, held once whatever the size of its pieces.

    A list of pieces would take the memory of an object for each of them, many times the length of
    a body that comes in pieces of a few bytes.
    """

    def __init__(self) -> None:
        self._body: WholeBody = b""

    def __len__(self) -> int:
        return len(self._body)

    def append(self, piece: bytes) -> None:
        """Add the next piece."""
        if not self._body and not isinstance(self._body, HeldBody):
            self._body = piece
            return
        if not isinstance(self._body, bytearray):
            self._body = bytearray(self._body)
        self._body += piece

    def hold(self, hold: Hold) -> None:
        """Keep ``hold`` for as long as the body."""
        body = HeldBody(hold)
        body += self._body
        self._body = body

    def take(self) -> WholeBody:
        """Return the body, and begin an empty one."""
        body, self._body = self._body, b""
        return body
