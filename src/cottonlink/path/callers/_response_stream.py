"""Writes a long response to its caller while it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define

from cottonlink.path._body_stream import BodyStream
from cottonlink.path._http import Headers, stream_head_bytes


@define(eq=False)
class ResponseStream:
    """The response in progress on a caller's connection.

    ``is_writable`` tells whether the transport takes more, ``on_ended`` gets whether the response
    was written whole.
    """

    _transport: asyncio.Transport
    _body: BodyStream
    _is_writable: Callable[[], bool]
    _on_ended: Callable[[bool], None]
    _takes_chunks: bool
    _untaken_bytes: int = 0

    def begin(self, status: int, headers: Headers, *, close: bool) -> None:
        """Write the head, and the body as it comes."""
        if self._body.length is not None:
            framing = b"Content-Length: %d\r\n" % self._body.length
        else:
            framing = b"Transfer-Encoding: chunked\r\n" if self._is_chunked else b""
        self._transport.write(stream_head_bytes(status, headers, framing, close=close))
        self._body.open(self)

    def on_piece(self, piece: bytes) -> None:
        if self._transport.is_closing():
            # The caller has left; the connection's end cancels the body.
            return
        if self._is_chunked:
            self._transport.writelines((b"%x\r\n" % len(piece), piece, b"\r\n"))
        else:
            self._transport.write(piece)
        self._untaken_bytes += len(piece)
        if self._is_writable():
            self.take()

    def on_end(self, *, is_whole: bool) -> None:
        if is_whole and self._is_chunked:
            self._transport.write(b"0\r\n\r\n")
        self._on_ended(is_whole)

    def take(self) -> None:
        """Ask for more, as the transport takes it."""
        count, self._untaken_bytes = self._untaken_bytes, 0
        if count:
            self._body.take(count)

    @property
    def taken_bytes(self) -> int:
        """Number of bytes that the transport has taken."""
        return self._body.taken_bytes

    @property
    def held_bytes(self) -> int:
        """The room of the body."""
        return self._body.hold.count if self._body.hold is not None else 0

    def cancel(self) -> None:
        """Drop the rest, as the caller is gone."""
        self._body.cancel()

    @property
    def _is_chunked(self) -> bool:
        return self._body.length is None and self._takes_chunks
