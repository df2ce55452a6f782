"""A long body that is passed on while it arrives."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cottonlink.overload import Hold

# Bytes of a body that its source may send before its reader has taken them.
WINDOW_BYTES = 256 * 1024


class BodyReader(Protocol):
    """Takes a body that is passed on while it arrives."""

    def on_piece(self, piece: bytes) -> None:
        """Take the next bytes; ``BodyStream.take`` makes room for as many others."""

    def on_end(self, *, is_whole: bool) -> None:
        """Note the end of the body, which is cut short unless ``is_whole``."""


class BodyStream:
    """A long body on its way from its source to its reader.

    The source sends no more than WINDOW_BYTES that the reader hasn't taken; ``on_taken`` tells it
    of what is taken. What comes before the reader is known is kept. ``length`` is the length of the
    whole body, None if unknown. When the source ends it, ``on_done`` is called with whether it is
    whole; when the reader doesn't want it any longer, ``on_cancelled``. ``hold`` is the room that
    the stream takes.
    """

    def __init__(self, length: int | None, on_taken: Callable[[int], None]) -> None:
        self.length = length
        self.taken_bytes = 0
        self.on_done: Callable[[bool], None] | None = None
        self.on_cancelled: Callable[[], None] | None = None
        self.hold: Hold | None = None
        self._on_taken = on_taken
        self._reader: BodyReader | None = None
        self._early = bytearray()
        self._untaken_bytes = 0
        self._pushed_bytes = 0
        self._is_whole: bool | None = None
        # Cancelled by the reader, or given up by the node while a reader is still there.
        self._is_cancelled = self._is_given_up = False

    @property
    def is_reader_behind(self) -> bool:
        """Whether the reader hasn't taken all that has come."""
        return self._untaken_bytes > 0

    @property
    def has_ended(self) -> bool:
        """Whether the source has sent all that it will."""
        return self._is_whole is not None

    def open(self, reader: BodyReader) -> None:
        """Pass on to ``reader`` what has come, and all that comes."""
        self._reader = reader
        early, self._early = self._early, bytearray()
        if early:
            reader.on_piece(bytes(early))
        if self._is_whole is not None or self._is_given_up:
            self._end_reader(bool(self._is_whole) and not self._is_given_up)

    def push(self, piece: bytes) -> None:
        """Pass on the next bytes; bytes beyond the length end the body, which isn't whole then."""
        self._pushed_bytes += len(piece)
        if self.length is not None and self._pushed_bytes > self.length:
            self.end(is_whole=False)
            return
        if self._is_cancelled:
            # A source that goes on nonetheless must come to its end.
            self._on_taken(len(piece))
            return
        self._untaken_bytes += len(piece)
        if self._reader is None:
            self._early += piece
        else:
            self._reader.on_piece(piece)

    def end(self, *, is_whole: bool) -> None:
        """Pass on the end of the body."""
        if self._is_whole is not None:
            return
        is_whole = is_whole and self.length in (None, self._pushed_bytes)
        self._is_whole = is_whole
        on_done, self.on_done = self.on_done, None
        self.on_cancelled = None
        if on_done is not None:
            on_done(is_whole)
        self._end_reader(is_whole)

    def take(self, count: int) -> None:
        """Note that the reader has taken ``count`` bytes."""
        self.taken_bytes += count
        self._untaken_bytes -= count
        if not self.has_ended and not self._is_cancelled:
            self._on_taken(count)

    def cancel(self) -> None:
        """Drop the rest of the body, as its reader is gone."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        self._reader = self.hold = None
        self._early = bytearray()
        if self.has_ended:
            return
        if self.on_cancelled is not None:
            self.on_cancelled()
        if self._untaken_bytes:
            self._on_taken(self._untaken_bytes)

    def give_up(self) -> None:
        """End the body for its reader, to which it isn't whole, and drop the rest."""
        if self.has_ended or self._is_given_up:
            return
        self._is_given_up = True
        reader = self._reader
        self.cancel()
        if reader is not None:
            reader.on_end(is_whole=False)

    def _end_reader(self, is_whole: bool) -> None:
        """Tell the reader of the end; it refers to this stream, so it is let go then."""
        reader, self._reader = self._reader, None
        if reader is not None:
            self.hold = None
            reader.on_end(is_whole=is_whole)
