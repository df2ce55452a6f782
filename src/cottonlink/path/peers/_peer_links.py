"""Outgoing connections to other nodes, each shared by all calls to that node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from cottonlink.errors import CottonlinkError
from cottonlink.path._body import LONG_BODY_BYTES
from cottonlink.path._body_stream import BodyStream
from cottonlink.path._connection_end import unsent_bytes
from cottonlink.path._model import Load, NotRun, Outcome, OutcomeUnknown
from cottonlink.path._sockets import PEER_BUFFER_LIMIT_BYTES, enable_dead_peer_detection
from cottonlink.path.peers._frame_input import FrameInput
from cottonlink.path.peers._frames import (
    ANSWERS_QUESTIONS,
    SENDS_PIECES,
    TAKES_PIECES,
    CallFrame,
    CancelFrame,
    CreditFrame,
    EndFrame,
    LeavingFrame,
    LongAnswerFrame,
    LongCallFrame,
    OutcomeFrame,
    PieceFrame,
    PingFrame,
    PongFrame,
    encode,
)
from cottonlink.path.peers._long_bodies import CreditCounter, RequestBodySender

Address = tuple[str, int]

# Time-out of opening a connection to a node.
CONNECT_TIMEOUT_S = 0.5
# A peer that sends nothing for this time while calls are pending is sent a ping.
PING_AFTER_MS = 300.0
# When nothing arrives for this time after the ping, new calls use a new connection and pending
# calls that are repeatable end with an unknown outcome, so that they can be retried.
SUSPECT_AFTER_MS = 900.0
# When nothing arrives for this time after the ping, the connection is closed and all its pending
# calls end with an unknown outcome. Longer than a process waits for a processor on a busy VM.
DEAD_AFTER_MS = 2_600.0
# Time after a failed connection attempt until a call may start the next one.
CONNECT_RETRY_DELAY_MS = 250.0
# A lost connection is reopened after this delay even without a call, since a restarted node may
# need a snapshot of the store from its peers. The delay doubles with each failure to the maximum.
MIN_REOPEN_DELAY_MS = 400.0
MAX_REOPEN_DELAY_MS = 3_200.0


class PeerLinkListener:
    """Receives the events of links to other nodes. All methods run in the event loop."""

    def on_link_leaving(self, address: Address, *, takes_calls: bool) -> None:
        """The node at ``address`` is shutting down."""

    def on_link_opened(self, address: Address) -> None:
        """A connection to the node at ``address`` was opened."""

    def on_link_load(self, address: Address, load: Load) -> None:
        """The node at ``address`` reported the load of its target."""

    def on_link_frame(self, address: Address, frame: Any) -> None:
        """The node at ``address`` sent a frame that doesn't belong to a call."""

    def on_link_state(self, address: Address, state: str, detail: str) -> None:
        """A link is ``open``, ``full``, ``silent``, ``lost`` or ``unreachable``."""


@define(eq=False)
class _PendingCall:
    on_outcome: Callable[[Outcome], None]
    is_repeatable: bool


class _Connection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self, link: PeerLink) -> None:
        self._link = link
        self._input = FrameInput(self._handle, self._on_error, link.call_soon)
        self.transport: asyncio.Transport | None = None
        self.pending: dict[int, _PendingCall] = {}
        # Bodies of calls that are sent, and of responses that arrive.
        self.request_bodies: dict[int, RequestBodySender] = {}
        self.response_bodies: dict[int, BodyStream] = {}
        # None until the peer has told whether it knows the frames for long bodies.
        self.takes_pieces: bool | None = None
        self.undecided: dict[int, CallFrame] = {}
        self.knows_questions = False
        self.last_received_ms = 0.0
        self.pinged_at_ms: float | None = None
        self.is_suspect = False
        self.is_open = False
        self.is_ending = False
        self.is_full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._input.open(transport)
        self.is_open = True
        self.last_received_ms = self._link.now_ms()
        transport.set_write_buffer_limits(high=PEER_BUFFER_LIMIT_BYTES)
        enable_dead_peer_detection(transport)

    def pause_writing(self) -> None:
        self.is_full = True
        self._link.report_state("full", "")

    def resume_writing(self) -> None:
        self.is_full = False

    def data_received(self, data: bytes) -> None:
        self.last_received_ms = self._link.now_ms()
        self.pinged_at_ms = None
        self._input.feed(data)

    def _handle(self, frame: Any) -> None:
        self._link.handle_frame(self, frame)

    def _on_error(self, error: CottonlinkError) -> None:
        self._link.report_state("lost", error.detail)

    @property
    def is_usable(self) -> bool:
        """Whether frames can be sent: writing to a closed transport may raise RuntimeError."""
        return self.is_open and not self.is_ending and not self.transport.is_closing()

    def send(self, frame: Any) -> None:
        """Send a frame, unless the connection is closing."""
        if self.is_usable:
            self.transport.write(encode(frame))

    def send_call(self, frame: CallFrame, pending: _PendingCall) -> None:
        """Send a call; a long body follows as the peer has room for it."""
        self.pending[frame.stream] = pending
        if len(frame.body) <= LONG_BODY_BYTES:
            self.send(frame)
        elif self.takes_pieces is None:
            self.undecided[frame.stream] = frame
        else:
            self._send_long(frame)

    def decide(self, *, takes_pieces: bool) -> None:
        """Send the long calls that wait for what the peer knows."""
        self.takes_pieces = takes_pieces
        undecided, self.undecided = self.undecided, {}
        for frame in undecided.values():
            self._send_long(frame)

    def _send_long(self, frame: CallFrame) -> None:
        if not self.takes_pieces:
            self.send(frame)
            return
        body = RequestBodySender(frame.stream, memoryview(frame.body), self.send)
        self.request_bodies[frame.stream] = body
        self.send(LongCallFrame(evolve(frame, body=b""), len(frame.body)))

    @property
    def is_busy(self) -> bool:
        """Whether any call is in progress."""
        return bool(self.pending or self.response_bodies)

    def cancel(self, stream: int) -> None:
        """Cancel a call of this connection; its outcome callback is not called."""
        is_known = self.pending.pop(stream, None) or self.response_bodies.pop(stream, None)
        self.request_bodies.pop(stream, None)
        is_sent = self.undecided.pop(stream, None) is None
        if is_known and is_sent:
            self.send(CancelFrame(stream))

    def receive_body(self, frame: LongAnswerFrame) -> None:
        """Return a response to its caller; its body follows."""
        stream = frame.stream
        pending = self.pending.pop(stream, None)
        self.request_bodies.pop(stream, None)
        if pending is None:
            return
        body = BodyStream(frame.length, CreditCounter(stream, self.send).add)
        body.on_cancelled = lambda: self.cancel(stream)
        self.response_bodies[stream] = body
        pending.on_outcome(evolve(frame.answer, body=body))

    def end(self) -> None:
        """End this side; the connection closes once the peer has read everything and closes it."""
        if self.is_usable:
            self.is_ending = True
            self.transport.write_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._input.close(handles_rest=True)
        self._link.handle_connection_lost(
            self, "connection_lost" if exc is None else type(exc).__name__
        )


class PeerLink:
    """Sends calls to the node at one address. Connections are opened on demand."""

    def __init__(
        self, address: Address, listener: PeerLinkListener, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.address = address
        self._listener = listener
        self._loop = loop
        self._current: _Connection | None = None
        self._connections: set[_Connection] = set()
        self._queued_calls: list[tuple[CallFrame, _PendingCall]] = []
        self._open_task: asyncio.Task | None = None
        self._retry_at_ms = 0.0
        self._queued_frame: Any = None
        self._reopen_delay_ms = MIN_REOPEN_DELAY_MS
        self._reopen_at_ms: float | None = None
        self._is_closed = False

    def now_ms(self) -> float:
        """Return the monotonic time of the event loop."""
        return self._loop.time() * 1000.0

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` in the next round of the event loop."""
        self._loop.call_soon(callback)

    def call(self, frame: CallFrame, on_outcome: Callable[[Outcome], None]) -> bool:
        """Send a call; return False if the peer is unreachable now and nothing was sent."""
        now_ms = self.now_ms()
        pending = _PendingCall(on_outcome, frame.is_repeatable)
        connection = self._current
        if connection is not None and connection.is_usable:
            connection.send_call(frame, pending)
            return True
        if self._is_closed or now_ms < self._retry_at_ms:
            return False
        self._queued_calls.append((frame, pending))
        if self._open_task is None:
            self._open_task = self._loop.create_task(self._open())
        return True

    def cancel(self, stream: int) -> None:
        """Cancel a call; its outcome callback is not called."""
        self._queued_calls = [entry for entry in self._queued_calls if entry[0].stream != stream]
        for connection in self._connections:
            connection.cancel(stream)

    def send(self, frame: Any) -> None:
        """Send a frame that doesn't belong to a call, if the peer is connected."""
        self.send_encoded(encode(frame))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded frame that doesn't belong to a call, if the peer is connected."""
        connection = self._current
        if connection is not None and connection.is_usable:
            connection.transport.write(data)

    def send_or_open(self, frame: Any) -> None:
        """Send a frame that doesn't belong to a call, opening a connection if there is none.

        The frame is dropped while a connection is being opened, or until the next attempt is due.
        """
        if self._current is not None and self._current.is_usable:
            self.send(frame)
        elif self._may_open() and self.now_ms() >= self._retry_at_ms:
            self._queued_frame = frame
            self._open_task = self._loop.create_task(self._open())

    @property
    def is_full(self) -> bool:
        """Whether so much waits to be sent that a call would come too late."""
        return self._current is not None and self._current.is_full

    @property
    def knows_questions(self) -> bool:
        """Whether the peer is connected and has told that it answers questions."""
        return self._current is not None and self._current.knows_questions

    def sweep(self) -> None:
        """Ping silent peers, drop those that don't reply, and reopen lost connections."""
        now_ms = self.now_ms()
        if self._reopen_at_ms is not None and now_ms >= self._reopen_at_ms:
            self._reopen_at_ms = None
            if self._current is None and self._may_open():
                self._open_task = self._loop.create_task(self._open())
        for connection in list(self._connections):
            if not connection.is_open or not connection.is_busy:
                continue
            if connection.pinged_at_ms is None:
                if now_ms - connection.last_received_ms >= PING_AFTER_MS:
                    connection.pinged_at_ms = now_ms
                    connection.send(PingFrame(0))
                continue
            silent_ms = now_ms - connection.pinged_at_ms
            if silent_ms >= DEAD_AFTER_MS:
                connection.transport.abort()
            elif silent_ms >= SUSPECT_AFTER_MS and not connection.is_suspect:
                self._suspect(connection)

    def close(self) -> None:
        """Close all connections; calls in progress get an unknown outcome."""
        self._stop_opening()
        for connection in list(self._connections):
            connection.transport.close()

    def end(self) -> None:
        """End this side of all connections, on which no call may be in progress."""
        self._stop_opening()
        for connection in self._connections:
            connection.end()

    @property
    def connection_count(self) -> int:
        """Number of connections that are not closed yet."""
        return len(self._connections)

    @property
    def buffered_bytes(self) -> int:
        """Number of written bytes that the kernel hasn't taken."""
        return sum(c.transport.get_write_buffer_size() for c in self._connections)

    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the peer hasn't acknowledged."""
        return sum(unsent_bytes(connection.transport) for connection in self._connections)

    def _may_open(self) -> bool:
        return self._open_task is None and not self._is_closed

    def _stop_opening(self) -> None:
        self._is_closed = True
        self._reopen_at_ms = None
        if self._open_task is not None:
            self._open_task.cancel()
        self._refuse_queued_calls()

    def _refuse_queued_calls(self) -> None:
        queued, self._queued_calls = self._queued_calls, []
        for _, pending in queued:
            pending.on_outcome(NotRun("peer_unreachable"))

    def is_idle(self) -> bool:
        """Return whether no call is in progress."""
        return not self.pending_count()

    def pending_count(self) -> int:
        """Return the number of calls in progress."""
        in_progress = sum(len(c.pending) + len(c.response_bodies) for c in self._connections)
        return len(self._queued_calls) + in_progress

    def report_state(self, state: str, detail: str) -> None:
        """Report a change of the link's state to the listener."""
        self._listener.on_link_state(self.address, state, detail)

    def handle_frame(self, connection: _Connection, frame: Any) -> None:
        """Handle a frame from the peer."""
        if isinstance(frame, OutcomeFrame):
            pending = connection.pending.pop(frame.stream, None)
            connection.request_bodies.pop(frame.stream, None)
            if pending is not None:
                pending.on_outcome(frame.outcome)
        elif isinstance(frame, LongAnswerFrame):
            connection.receive_body(frame)
        elif isinstance(frame, PieceFrame):
            body = connection.response_bodies.get(frame.stream)
            if body is not None:
                body.push(frame.data)
        elif isinstance(frame, EndFrame):
            body = connection.response_bodies.pop(frame.stream, None)
            if body is not None:
                body.end(is_whole=frame.is_whole)
        elif isinstance(frame, CreditFrame):
            sender = connection.request_bodies.get(frame.stream)
            if sender is not None:
                sender.grant(frame.count)
        elif isinstance(frame, PongFrame) and frame.number in (TAKES_PIECES, SENDS_PIECES):
            connection.decide(takes_pieces=frame.number == SENDS_PIECES)
        elif isinstance(frame, PongFrame) and frame.number == ANSWERS_QUESTIONS:
            connection.knows_questions = True
        elif isinstance(frame, PongFrame):
            self._listener.on_link_load(self.address, frame.load)
        elif isinstance(frame, LeavingFrame):
            self._listener.on_link_leaving(self.address, takes_calls=frame.takes_calls)
        else:
            self._listener.on_link_frame(self.address, frame)

    def handle_connection_lost(self, connection: _Connection, reason: str) -> None:
        """Remove a closed connection; its pending calls get an unknown outcome."""
        self._connections.discard(connection)
        if self._current is connection:
            self._current = None
        if not self._is_closed:
            self._reopen_at_ms = self.now_ms() + MIN_REOPEN_DELAY_MS
        self.report_state("lost", reason)
        pending, connection.pending = connection.pending, {}
        connection.request_bodies.clear()
        connection.undecided.clear()
        for entry in pending.values():
            entry.on_outcome(OutcomeUnknown("peer_lost"))
        bodies, connection.response_bodies = connection.response_bodies, {}
        for body in bodies.values():
            body.end(is_whole=False)

    async def _open(self) -> None:
        try:
            connecting = self._loop.create_connection(lambda: _Connection(self), *self.address)
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
            if not connection.is_open:
                # It was lost before this task resumed, and writing to it would fail.
                raise ConnectionResetError
        except Exception as error:
            # Whatever it is: the calls that wait for the connection must be told.
            self._open_task = None
            now_ms = self.now_ms()
            self._retry_at_ms = now_ms + CONNECT_RETRY_DELAY_MS
            self._reopen_at_ms = now_ms + self._reopen_delay_ms
            self._reopen_delay_ms = min(self._reopen_delay_ms * 2, MAX_REOPEN_DELAY_MS)
            self.report_state("unreachable", type(error).__name__)
            self._refuse_queued_calls()
            return
        self._open_task = None
        self._reopen_delay_ms = MIN_REOPEN_DELAY_MS
        self._connections.add(connection)
        self._current = connection
        self.report_state("open", "")
        connection.send(PingFrame(TAKES_PIECES))
        self._listener.on_link_opened(self.address)
        if self._queued_frame is not None:
            connection.send(self._queued_frame)
            self._queued_frame = None
        queued, self._queued_calls = self._queued_calls, []
        for frame, pending in queued:
            connection.send_call(frame, pending)

    def _suspect(self, connection: _Connection) -> None:
        """Stop using a silent connection, and end its repeatable calls so that they are retried."""
        connection.is_suspect = True
        if self._current is connection:
            self._current = None
        self.report_state("silent", "")
        for stream, entry in list(connection.pending.items()):
            if entry.is_repeatable:
                del connection.pending[stream]
                connection.request_bodies.pop(stream, None)
                connection.undecided.pop(stream, None)
                entry.on_outcome(OutcomeUnknown("peer_silent"))


class PeerLinks:
    """The links of a node, by address of the peer."""

    def __init__(self, listener: PeerLinkListener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener = listener
        self._loop = loop
        self._links: dict[Address, PeerLink] = {}

    def link(self, address: Address) -> PeerLink:
        """Return the link to the node at ``address``, created if there is none."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(address, self._listener, self._loop)
        return link

    def all(self) -> list[PeerLink]:
        """Return all links."""
        return list(self._links.values())

    def keep_only(self, addresses: set[Address]) -> None:
        """Close the idle links whose address is not among ``addresses``."""
        for address in [a for a in self._links if a not in addresses]:
            if self._links[address].is_idle():
                self._links.pop(address).close()

    def pending_count(self) -> int:
        """Return the number of calls in progress to all nodes."""
        return sum(link.pending_count() for link in self._links.values())

    def sweep(self) -> None:
        """Check all links. To be called several times a second."""
        for link in self._links.values():
            link.sweep()
