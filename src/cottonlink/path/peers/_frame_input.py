"""Handles the frames that arrive on a connection in turns, so that none holds up the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cottonlink.errors import CottonlinkError
from cottonlink.path.peers._frame_reader import FrameReader

# Frames that are handled in one turn.
FRAMES_PER_TURN = 64


class FrameInput:
    """The frames of one connection.

    ``handle`` is called with each, and ``on_error`` if the bytes are no frames. ``call_soon`` runs
    a callback in a later round of the event loop.
    """

    def __init__(
        self,
        handle: Callable[[Any], None],
        on_error: Callable[[CottonlinkError], None],
        call_soon: Callable[[Callable[[], None]], object],
    ) -> None:
        self._reader = FrameReader()
        self._handle = handle
        self._on_error = on_error
        self._call_soon = call_soon
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._is_closed = False

    def open(self, transport: asyncio.Transport) -> None:
        """Begin to read ``transport``, which is paused while frames wait for their turn."""
        self._transport = transport

    def feed(self, data: bytes) -> None:
        """Handle the frames of one turn; those that are left wait for the next."""
        try:
            for count, frame in enumerate(self._reader.feed(data), start=1):
                self._handle(frame)
                if count == FRAMES_PER_TURN:
                    self._set_paused(True)
                    self._call_soon(self._take_turn)
                    return
        except CottonlinkError as error:
            self._on_error(error)
            self._transport.abort()
            return
        self._set_paused(False)

    def close(self, *, handles_rest: bool) -> None:
        """End with the connection; frames that have arrived still count with ``handles_rest``."""
        self._is_closed = True
        if not handles_rest:
            return
        try:
            for frame in self._reader.feed(b""):
                self._handle(frame)
        except CottonlinkError as error:
            self._on_error(error)

    def _take_turn(self) -> None:
        if not self._is_closed:
            self.feed(b"")

    def _set_paused(self, is_paused: bool) -> None:
        if is_paused == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
