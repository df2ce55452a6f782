"""Parses the input of a connection in turns, so that a flood of it holds up no other connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

# Input is parsed in pieces of this size, and the bounds on it are checked after each. A piece may
# hold many short requests, or a part of one long body.
PARSED_BYTES = 4_096
PARSED_BODY_BYTES = 16_384
# Parser events of one turn; the rest of the input waits for the next one. An event takes one or two
# microseconds.
EVENTS_PER_TURN = 2_048
# After this number of events nothing more is read in this round: the event loop would go on reading
# a connection that is filled as fast as it is read.
EVENTS_PER_ROUND = 1_024
# Bytes that count as an event there.
BYTES_PER_EVENT = 128


# Connections that go on in one round of the event loop.
TURNS_PER_ROUND = 4

# An empty part of some input would keep all of it.
_NOTHING = memoryview(b"")

Callback = Callable[[], None]


class EventLoop(Protocol):
    """The part of an event loop that turns need."""

    def call_soon(self, callback: Callback) -> object:
        """Run ``callback`` in the next round."""


class Turns:
    """Lets the connections of one node go on in turn, a few in each round of the event loop."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._waiting: deque[Callback] = deque()
        self._is_round_due = False

    def call_soon(self, callback: Callback) -> None:
        """Run ``callback`` when its turn comes."""
        self._waiting.append(callback)
        self._schedule_round()

    def _schedule_round(self) -> None:
        if self._waiting and not self._is_round_due:
            self._is_round_due = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_round_due = False
        try:
            for _ in range(min(TURNS_PER_ROUND, len(self._waiting))):
                self._waiting.popleft()()
        finally:
            self._schedule_round()


class PacedInput:
    """The input of one connection, parsed in pieces of ``piece_bytes``.

    ``parse`` parses a piece and returns the number of parser events, or None if no more input is
    wanted. ``call_soon`` runs a callback in a later round of the event loop. ``set_paused`` is
    called with True when the connection mustn't be read, and with False when it may be.
    """

    def __init__(
        self,
        parse: Callable[[bytes], int | None],
        call_soon: Callable[[Callback], object],
        set_paused: Callable[[bool], None],
    ) -> None:
        self.piece_bytes = PARSED_BYTES
        self._parse = parse
        self._call_soon = call_soon
        self._set_paused = set_paused
        self._rest = _NOTHING
        self._is_paused = False
        self.is_held = False
        self._is_turn_due = False

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that haven't been parsed yet."""
        return len(self._rest)

    @property
    def held_bytes(self) -> int:
        """Length of the input of which a part hasn't been parsed yet."""
        return len(self._rest.obj) if self._rest else 0

    def feed(self, data: bytes) -> None:
        """Parse input, as much of it as one turn allows."""
        if self._rest:
            # The transport had read on before it was paused.
            self._rest = memoryview(bytes(self._rest) + data)
        elif len(data) > self.piece_bytes or self._is_paused or self.is_held:
            self._take_turn(memoryview(data))
        else:
            # Most input is a single short piece.
            self._end_turn(self._parse(data) or 0, len(data))

    def discard(self) -> None:
        """Drop what hasn't been parsed."""
        self._rest = _NOTHING

    def set_held(self, is_held: bool) -> None:
        """Parse nothing more until this is called with False."""
        self.is_held = is_held
        if not is_held and self._rest:
            self._schedule_turn()

    def _take_turn(self, data: memoryview) -> None:
        self._rest = data
        event_count = 0
        byte_count = len(data)
        while self._rest and event_count < EVENTS_PER_TURN and not self.is_held:
            piece = self._rest[: self.piece_bytes]
            self._rest = self._rest[len(piece) :]
            events = self._parse(piece)
            if events is None:
                self.discard()
                break
            event_count += events
        self._rest = self._rest or _NOTHING
        self._end_turn(event_count, byte_count - len(self._rest))

    def _end_turn(self, event_count: int, byte_count: int) -> None:
        is_tired = event_count + byte_count // BYTES_PER_EVENT >= EVENTS_PER_ROUND
        if is_tired or (self._rest and not self.is_held):
            self._schedule_turn()
        is_paused = is_tired or bool(self._rest)
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            self._set_paused(is_paused)

    def _schedule_turn(self) -> None:
        if not self._is_turn_due:
            self._is_turn_due = True
            self._call_soon(self._take_next_turn)

    def _take_next_turn(self) -> None:
        self._is_turn_due = False
        self._take_turn(self._rest)
