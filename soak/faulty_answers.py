"""Answers of a faulty target.

They are doubled, foreign, without an id, cut, in tiny chunks, without end, of no status, or a
switch to another protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from weakref import WeakKeyDictionary

from attrs import define, field

# Share of the requests that are answered in a faulty way.
FAULTY_SHARE = 0.3
# A stray response arrives so long after the request that is in progress.
STRAY_DELAY_S = 0.01
TINY_CHUNK_BYTES = 5
ENDLESS_PIECE = b"5\r\nbytes\r\n" * 2_000
ENDLESS_LINES = b"X-Endless: bytes\r\n" * 500
ENDLESS_LINE = b"a" * 10_000
ENDLESS_PAUSE_S = 0.002
INVALID_STATUSES = (b"000", b"042", b"099", b"600", b"999")
SWITCH = b"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Stand-in\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

Form = Callable[["FaultyAnswers", bytes, asyncio.StreamWriter], Awaitable[bytes | None]]


@define(eq=False)
class FaultyAnswers:
    """What one target sends on its connections while it is faulty."""

    _rng: random.Random
    is_active: bool = False
    # Bytes that are sent once the next request has arrived, and whether the connection then ends.
    _strays: WeakKeyDictionary[asyncio.StreamWriter, tuple[bytes, bool]] = field(
        factory=WeakKeyDictionary
    )

    async def answer(self, success: bytes, writer: asyncio.StreamWriter) -> bytes | None:
        """Return what to send for a request, or None if the connection is to be closed."""
        stray, ends_connection = self._strays.pop(writer, (b"", False))
        if stray:
            await asyncio.sleep(STRAY_DELAY_S)
            writer.write(stray)
            if ends_connection:
                return None
            await asyncio.sleep(STRAY_DELAY_S)
        if not self.is_active or self._rng.random() >= FAULTY_SHARE:
            return success
        return await self._rng.choice(FORMS)(self, success, writer)

    async def copy_late(self, success: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Send the answer once more when the next request is in progress."""
        self._strays[writer] = (success, False)
        return success

    async def copy_without_length(self, success: bytes, writer: asyncio.StreamWriter) -> bytes:
        """The same without a length, so that the end of the connection ends it."""
        head, _, body = success.partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        self._strays[writer] = (b"\r\n".join([*lines, b"", body]), True)
        return success

    async def refuse_without_id(self, success: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Send bytes in the form of a refusal when the next request is in progress."""
        self._strays[writer] = (REFUSAL, False)
        return success

    async def refuse_behind(self, success: bytes, _writer: asyncio.StreamWriter) -> bytes:
        """Send such bytes right behind the answer."""
        return success + REFUSAL

    async def cut(self, success: bytes, writer: asyncio.StreamWriter) -> None:
        """Stop anywhere in the head or body, and close."""
        writer.write(success[: self._rng.randrange(len(success))])

    async def chunk(self, success: bytes, _writer: asyncio.StreamWriter) -> bytes:
        """Send the answer whole, in tiny chunks and with a trailer."""
        head, _, body = success.partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        starts = range(0, len(body), TINY_CHUNK_BYTES)
        parts = [body[start : start + TINY_CHUNK_BYTES] for start in starts]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        framing = (b"Transfer-Encoding: chunked", b"", chunks + b"0\r\nX-Not-Executed: 1\r\n\r\n")
        return b"\r\n".join([*lines, *framing])

    async def never_end(self, success: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a body without end, until the connection is closed."""
        head, _, _ = success.partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        writer.write(b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""]))
        while not writer.transport.is_closing():
            writer.write(ENDLESS_PIECE)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def never_end_head(self, success: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a head without end, until the connection is closed: the target gives no answer."""
        writer.write(success.partition(b"\r\n\r\n")[0] + b"\r\n")
        piece = self._rng.choice((ENDLESS_LINES, ENDLESS_LINE))
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(ENDLESS_PAUSE_S)

    async def give_no_status(self, success: bytes, writer: asyncio.StreamWriter) -> None:
        """Send the answer with a status that HTTP doesn't define, up to the connection's end."""
        head, _, body = success.partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        lines[0] = b"HTTP/1.1 %b Odd" % self._rng.choice(INVALID_STATUSES)
        writer.write(b"\r\n".join([*lines, b"", body]))

    async def switch_protocol(self, success: bytes, _writer: asyncio.StreamWriter) -> bytes:
        """Send the answer behind a switch to a protocol that no request has offered."""
        return SWITCH + success


FORMS: tuple[Form, ...] = (
    FaultyAnswers.copy_late,
    FaultyAnswers.copy_without_length,
    FaultyAnswers.refuse_without_id,
    FaultyAnswers.refuse_behind,
    FaultyAnswers.cut,
    FaultyAnswers.chunk,
    FaultyAnswers.never_end,
    FaultyAnswers.never_end_head,
    FaultyAnswers.give_no_status,
    FaultyAnswers.switch_protocol,
)
