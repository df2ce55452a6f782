"""Accepts calls from other nodes and passes them to the dispatcher of the target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from attrs import evolve

from cottonlink.errors import CottonlinkError
from cottonlink.overload import BODY_FACTOR, FIELD_BYTES, Hold, MemoryAccount
from cottonlink.path._body import HeldBody, WholeBody
from cottonlink.path._body_stream import WINDOW_BYTES, BodyStream
from cottonlink.path._connection_end import unsent_bytes
from cottonlink.path._model import Answered, Load, NotRun, Outcome, OutcomeUnknown
from cottonlink.path._sockets import PEER_BUFFER_LIMIT_BYTES, enable_dead_peer_detection
from cottonlink.path.peers._frame_input import FrameInput
from cottonlink.path.peers._frames import (
    ANSWERS_QUESTIONS,
    SENDS_PIECES,
    TAKES_PIECES,
    TAKES_QUESTIONS,
    CallFrame,
    CancelFrame,
    CreditFrame,
    CurrencyQuestionFrame,
    LeavingFrame,
    LongAnswerFrame,
    LongCallFrame,
    OutcomeFrame,
    PieceFrame,
    PingFrame,
    PongFrame,
    QuotaRequestFrame,
    encode,
)
from cottonlink.path.peers._long_bodies import (
    RequestBodyReceiver,
    ResponseBodyCollector,
    ResponseBodySender,
)

# Calls below this aren't charged: the memory that a node reserves covers them.
UNCHARGED_BYTES = 4_096


class CallDispatcher(Protocol):
    """Runs calls at the target next to this node."""

    def submit(self, frame: CallFrame, key: Any, on_outcome: Any, hold: Hold | None) -> None:
        """Run, queue or refuse a call; ``on_outcome`` gets its outcome once.

        ``hold`` is the room that the call takes for as long as it is held.
        """

    def cancel(self, key: Any) -> None:
        """Cancel a call whose caller is gone."""

    def load(self) -> Load:
        """Return the load of the target."""


class PeerConnectionHandler(Protocol):
    """Interface through which a peer's connection uses the node that serves it."""

    dispatcher: CallDispatcher
    memory: MemoryAccount

    def now_ms(self) -> float:
        """Return the monotonic time of the event loop."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` in a later round of the event loop, when its turn comes."""

    def on_peer_connected(self, connection: PeerConnection) -> None:
        """Called when another node has connected."""

    def on_peer_disconnected(self, connection: PeerConnection) -> None:
        """Called when the connection of another node is closed."""

    def on_peer_frame(self, frame: Any) -> None:
        """Called with a frame that doesn't belong to a call."""

    def answer_question(self, frame: Any) -> Any:
        """Return the answer to a question of another node."""

    def on_peer_error(self, error: CottonlinkError, address: Any) -> None:
        """Called if the peer at ``address`` has sent what is no frame; its connection ends."""


class PeerConnection(asyncio.Protocol):
    """One incoming connection of another node."""

    def __init__(self, handler: PeerConnectionHandler) -> None:
        self._handler = handler
        self._input = FrameInput(self._handle, self._on_error, handler.call_soon)
        self._transport: asyncio.Transport | None = None
        self._streams: set[int] = set()
        # Bodies of calls that arrive, and of responses that are sent.
        self._request_bodies: dict[int, RequestBodyReceiver] = {}
        self._response_bodies: dict[int, BodyStream] = {}
        self._takes_pieces = False
        self._is_ending = self._is_full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._input.open(transport)
        transport.set_write_buffer_limits(high=PEER_BUFFER_LIMIT_BYTES)
        enable_dead_peer_detection(transport)
        self._handler.on_peer_connected(self)

    def pause_writing(self) -> None:
        self._is_full = True

    def resume_writing(self) -> None:
        self._is_full = False

    def connection_lost(self, exc: Exception | None) -> None:
        self._input.close(handles_rest=False)
        self._handler.on_peer_disconnected(self)
        for stream in list(self._streams):
            self._cancel(stream)

    def data_received(self, data: bytes) -> None:
        self._input.feed(data)

    def _on_error(self, error: CottonlinkError) -> None:
        self._handler.on_peer_error(error, self._transport.get_extra_info("peername"))

    def send_leaving(self, *, takes_calls: bool) -> None:
        """Tell the peer that this node is shutting down, and whether it still runs calls."""
        self.send(LeavingFrame(takes_calls))

    def send(self, frame: Any) -> None:
        """Send a frame, unless the connection is closing."""
        self.send_encoded(encode(frame))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded frame, unless the connection is closing."""
        if not self._is_ending and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Close the connection after the data that was written has been sent."""
        self._transport.close()

    def end(self) -> None:
        """End this side; the connection closes once the peer has read everything and closes it.

        Frames that arrive until then are read, since closing a connection with unread bytes would
        reset it, but calls among them get no outcome.
        """
        if not self._is_ending and not self._transport.is_closing():
            self._is_ending = True
            self._transport.write_eof()

    @property
    def buffered_bytes(self) -> int:
        """Number of written bytes that the kernel hasn't taken."""
        return self._transport.get_write_buffer_size()

    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the peer hasn't acknowledged."""
        return unsent_bytes(self._transport)

    def _handle(self, frame: Any) -> None:
        if self._is_ending:
            return
        if isinstance(frame, CallFrame):
            self._call(frame)
        elif isinstance(frame, LongCallFrame):
            self._receive_body(frame)
        elif isinstance(frame, PieceFrame):
            self._on_piece(frame)
        elif isinstance(frame, CreditFrame):
            body = self._response_bodies.get(frame.stream)
            if body is not None:
                body.take(frame.count)
        elif isinstance(frame, CancelFrame):
            self._cancel(frame.stream)
        elif isinstance(frame, PingFrame):
            self._on_ping(frame)
        elif isinstance(frame, CurrencyQuestionFrame | QuotaRequestFrame):
            answer = self._handler.answer_question(frame)
            if answer is not None:
                self.send(answer)
        else:
            self._handler.on_peer_frame(frame)

    def _on_ping(self, frame: PingFrame) -> None:
        number = frame.number
        if number == TAKES_PIECES:
            self._takes_pieces = True
            number = SENDS_PIECES
        elif number == TAKES_QUESTIONS:
            number = ANSWERS_QUESTIONS
        self.send(PongFrame(number, self._handler.dispatcher.load()))

    def _cancel(self, stream: int) -> None:
        """Drop a call whose caller is gone."""
        if stream not in self._streams:
            return
        self._streams.discard(stream)
        receiver = self._request_bodies.pop(stream, None)
        if receiver is not None:
            receiver.hold.withdraw()
            return
        body = self._response_bodies.pop(stream, None)
        if body is not None:
            body.cancel()
        else:
            self._handler.dispatcher.cancel((self, stream))

    def _receive_body(self, frame: LongCallFrame) -> None:
        stream = frame.call.stream
        self._streams.add(stream)
        if self._is_full:
            self._answer(stream, _LINK_FULL)
            return
        hold = self._handler.memory.open("peer_requests", frame.call.rank)
        self._request_bodies[stream] = RequestBodyReceiver(
            frame, hold, self._handler.now_ms(), self.send
        )

    def _on_piece(self, frame: PieceFrame) -> None:
        receiver = self._request_bodies.get(frame.stream)
        if receiver is not None and receiver.receive(frame.data):
            del self._request_bodies[frame.stream]
            self._call(receiver.call(self._handler.now_ms()))

    def sweep(self) -> None:
        """Refuse the calls whose bodies are late. To be called periodically."""
        if not self._request_bodies:
            return
        now_ms = self._handler.now_ms()
        for stream, receiver in list(self._request_bodies.items()):
            if receiver.is_late(now_ms):
                reason = "deadline" if receiver.hold.is_granted else "memory_full"
                receiver.hold.withdraw()
                del self._request_bodies[stream]
                self._answer(stream, NotRun(reason))

    def _call(self, frame: CallFrame) -> None:
        stream = frame.stream
        self._streams.add(stream)
        if self._is_full:
            self._answer(stream, _LINK_FULL)
            return
        hold, count = None, _held_bytes(frame)
        if count > UNCHARGED_BYTES:
            hold = self._handler.memory.take_if_room("peer_requests", count, frame.rank)
            if hold is None:
                self._answer(stream, NotRun("memory_full"))
                return
        self._handler.dispatcher.submit(
            frame, (self, stream), lambda outcome: self._answer(stream, outcome), hold
        )

    def _answer(self, stream: int, outcome: Outcome) -> None:
        """Send the outcome of a call, unless it was cancelled."""
        is_long = isinstance(outcome, Answered) and isinstance(outcome.body, BodyStream)
        if stream not in self._streams:
            if is_long:
                outcome.body.cancel()
        elif is_long:
            self._answer_long(stream, outcome, outcome.body)
        else:
            self._streams.discard(stream)
            self.send(OutcomeFrame(stream, outcome))

    def _answer_long(self, stream: int, answer: Answered, body: BodyStream) -> None:
        """Send a response whose body is still arriving."""
        self._response_bodies[stream] = body
        memory = self._handler.memory
        if self._takes_pieces:
            body.hold = memory.take("responses", WINDOW_BYTES)
            self.send(LongAnswerFrame(stream, evolve(answer, body=b""), body.length))
            body.open(ResponseBodySender(stream, self.send, lambda: self._end_long(stream)))
            return

        def send_whole(whole: WholeBody | None) -> None:
            self._end_long(stream)
            outcome = evolve(answer, body=whole) if whole is not None else _CUT_SHORT
            self.send(OutcomeFrame(stream, outcome))

        hold = memory.open("responses", 0)
        body.open(ResponseBodyCollector(body, hold, send_whole))

    def _end_long(self, stream: int) -> None:
        self._streams.discard(stream)
        self._response_bodies.pop(stream, None)


def _held_bytes(frame: CallFrame) -> int:
    """Return what the process needs for a call, besides the room of a long body."""
    size = sum(len(name) + len(value) for name, value in frame.headers)
    body_bytes = 0 if isinstance(frame.body, HeldBody) else BODY_FACTOR * len(frame.body)
    return FIELD_BYTES * len(frame.headers) + size + len(frame.target) + body_bytes


_LINK_FULL = NotRun("link_full")
_CUT_SHORT = OutcomeUnknown("connection_lost")
