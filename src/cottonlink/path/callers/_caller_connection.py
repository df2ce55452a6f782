"""Server side of a caller's HTTP/1.1 connection, with pipelining and ordered responses."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools
from attrs import evolve

from cottonlink.overload import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    IDLE,
    LINGERING,
    SERVING,
    UNFINISHED,
    UNREAD,
    ConnectionCharge,
)
from cottonlink.path._body import LONG_BODY_BYTES
from cottonlink.path._body_stream import BodyStream
from cottonlink.path._connection_end import ConnectionEnd, Linger, unsent_bytes
from cottonlink.path._header_fields import PACKED_FIELDS, PackedFields, fields_bytes
from cottonlink.path._http import OVERHEAD_LIMIT_BYTES, Headers, response_bytes
from cottonlink.path._model import CallerLimits, Request
from cottonlink.path._paced_input import PARSED_BODY_BYTES, PARSED_BYTES, PacedInput
from cottonlink.path._sockets import (
    CALLER_UNACKNOWLEDGED_TIMEOUT_MS,
    enable_dead_peer_detection,
    peer_ip,
    unread_bytes,
)
from cottonlink.path.callers._exchange import CallerHandler, Exchange
from cottonlink.path.callers._incoming_request import IncomingRequest
from cottonlink.path.callers._response_stream import ResponseStream

# Bytes of unanswered requests of one connection, if there are several; then reading pauses, too.
REQUESTS_AHEAD_BYTES = 256 * 1024
# What the requests and responses of a connection need is charged at once above this, and else in
# the periodic sweep, so that ordinary requests don't pay for the account.
UNCHARGED_BYTES = 8_192
# A request in service, besides its head and body: its state here and on the link to its target.
REQUEST_BYTES = 3_000
# Bytes of responses that a slow caller may leave unread before nothing more is written, and reading
# of its requests pauses.
WRITE_BUFFER_LIMIT_BYTES = 256 * 1024
# Room that the body of a request in chunks asks for at a time.
ROOM_STEP_BYTES = 1_000_000
# What serving a request counts for beside the parser's events.
EVENTS_PER_MESSAGE = 64
# Time for which a new connection isn't idle: its first request may be on its way.
NEW_CONNECTION_MS = 1_000.0
# Ends for which the kernel isn't asked what is left of written responses, unless the node stops.
_ORDERLY_CAUSES = frozenset(("peer_closed", "answered", "rejected", "idle"))
_OWN_CAUSES = frozenset(("aborted", "stalled", "response_cut_short", "reclaimed"))


class CallerConnection(asyncio.Protocol):
    """HTTP/1.1 server protocol; pipelined requests are answered in their order."""

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._input = PacedInput(self._parse, handler.call_soon, self._set_input_paused)
        self._is_input_paused = False
        self._event_count = 0
        self._message: IncomingRequest | None = None
        self._message_started_ms = 0.0
        self._last_activity_ms = 0.0
        self._exchanges: deque[Exchange] = deque()
        self._is_new = True
        self._is_closing = False
        self._is_reading_paused = False
        self._is_writable = True
        self._is_rejecting = False
        self._is_starting_exchanges = False
        self._stream: ResponseStream | None = None
        # Set while a long response is written behind which the connection closes.
        self._is_last_response = False
        self._linger: Linger | None = None
        self._end_cause = ""
        self._unsent_bytes = 0
        self._unsent_when_idle_bytes = 0
        self._discarded_bytes = 0
        self._charge: ConnectionCharge | None = None
        # Of requests without a response.
        self._ahead_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT_BYTES)
        enable_dead_peer_detection(transport, CALLER_UNACKNOWLEDGED_TIMEOUT_MS)
        self._last_activity_ms = self._handler.now_ms()
        self._handler.on_caller_connected(self)
        address = peer_ip(transport)
        self._charge = self._handler.connections.open(self, address)
        if self._charge is None:
            self._is_closing = True
            transport.abort()

    def eof_received(self) -> None:
        self._note_end("peer_closed")
        self._unsent_bytes = self._transport.get_write_buffer_size()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._end_cause not in _OWN_CAUSES:
            if exc is None:
                # The transport has handed everything to the kernel.
                self._unsent_bytes = 0
            else:
                self._end_cause = type(exc).__name__
        end = self.describe_end()
        self._is_closing = True
        self._input.discard()
        self._drop_message()
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            # What serves it refers to it as well, so the garbage collector would free both late.
            cancel, exchange.cancel = exchange.cancel, None
            if cancel is not None:
                cancel()
        if self._charge is not None:
            self._handler.connections.close(self._charge)
        self._handler.on_caller_disconnected(self, end)

    def pause_writing(self) -> None:
        self._is_writable = False
        self._pause_or_resume_reading()

    def resume_writing(self) -> None:
        self._is_writable = True
        if self._stream is not None:
            self._stream.take()
        self.flush()
        self._pause_or_resume_reading()

    def data_received(self, data: bytes) -> None:
        self._input.feed(data)
        if self._message is not None or self._ahead_bytes > UNCHARGED_BYTES:
            self._update_charge()

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse the next bytes; return the number of parser events."""
        if self._is_closing or self._is_rejecting or self._is_last_response:
            self._discarded_bytes += len(data)
            return 0
        self._event_count = 0
        self._last_activity_ms = self._handler.now_ms()
        previous = self._message
        try:
            self._feed_parser(data)
        except httptools.HttpParserCallbackError as error:
            # The request is proper, and an earlier one in the same bytes may be on its way.
            self._handler.on_failure("caller_input", error.__context__ or error)
            self._reject(500)
            return self._event_count
        except httptools.HttpParserError:
            self._reject(400)
            return self._event_count
        message = self._message
        if message is not None:
            message.pack_fields()
            # The bytes in which a message began may belong to others before it.
            if message is previous:
                self._check_size(message, len(data))
        return self._event_count

    def _feed_parser(self, data: bytes | memoryview) -> None:
        """Feed the parser, which stops behind the head of a request that offers a protocol."""
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                (parsed_count,) = upgrade.args
                data = data[parsed_count:]
            message = self._message
            if message is None or self._is_rejecting or self._is_closing:
                return
            if self._parser.get_method() == b"CONNECT":
                # What follows isn't HTTP.
                self._reject(501)
                return
            self._decline_offer(message)

    def _decline_offer(self, message: IncomingRequest) -> None:
        """Parse the head of a request again without the protocol that it offers.

        The parser takes an offer for accepted, and the request for complete. Without the offer, the
        framing tells where the body ends (RFC 9110, section 7.8).
        """
        self._handler.on_offer_declined()
        head = message.head_without_offer(
            self._parser.get_method(), self._parser.get_http_version()
        )
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    def _check_size(self, message: IncomingRequest, count: int) -> None:
        """Reject a request of which too much has come besides its body."""
        message.received_bytes += count
        allowed_bytes = self._handler.caller_limits().header_bytes
        if message.is_head_complete:
            # A head, and the framing of chunks, which may be as long as the body.
            allowed_bytes += OVERHEAD_LIMIT_BYTES + 2 * len(message.body)
        if message.received_bytes > allowed_bytes:
            self._reject(431)

    # Callbacks of httptools.HttpRequestParser.
    def on_message_begin(self) -> None:
        self._event_count += EVENTS_PER_MESSAGE
        self._is_new = False
        self._message = IncomingRequest()
        self._message_started_ms = self._handler.now_ms()
        self._charge.progressed_ms = self._message_started_ms

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._event_count += 1
        # Trailers aren't passed on: each would be held as an object, and count as a header.
        if not self._message.is_head_complete:
            self._message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        message = self._message
        message.is_head_complete = True
        if message.packed is not None:
            message.unpack_fields()
        message.head_bytes = len(message.target) + sum(
            len(n) + len(v) + 4 for n, v in message.headers
        )
        limits = self._handler.caller_limits()
        if message.head_bytes > limits.header_bytes:
            self._reject(431)
            return
        if self._parser.should_upgrade():
            return
        length = 0
        for name, value in message.headers:
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif lower == b"expect" and value.lower() == b"100-continue":
                message.expects_continue = True
        message.limit_bytes = limits.body_bytes
        if length > limits.body_bytes:
            self._reject(413)
            return
        if length > LONG_BODY_BYTES:
            self._ask_for_room(message, length)
        if message.waits_for_room_since_ms is None:
            self._send_continue(message)

    def _ask_for_room(self, message: IncomingRequest, count: int) -> None:
        """Ask for room for the next bytes of a body, and wait if there is none."""
        if self._is_rejecting or self._is_closing or self._is_last_response:
            return
        if message.hold is None:
            message.head = self._handler.parse_request(
                self._parser.get_method(), message.target, tuple(message.headers), b""
            )
            message.hold = self._handler.hold_body(message.head)
            message.body.hold(message.hold)
            self._input.piece_bytes = PARSED_BODY_BYTES
        message.hold.on_room = self._on_room
        if not message.hold.request(count):
            message.waits_for_room_since_ms = self._handler.now_ms()
            self._pause_or_resume_reading()

    def _on_room(self) -> None:
        message = self._message
        if message is not None:
            message.waits_for_room_since_ms = None
            self._last_activity_ms = self._charge.progressed_ms = self._handler.now_ms()
            self._send_continue(message)
            self._pause_or_resume_reading()

    def _drop_message(self) -> None:
        """Drop a request that is still arriving."""
        message, self._message = self._message, None
        if message is not None and message.hold is not None:
            message.hold.withdraw()

    def _send_continue(self, message: IncomingRequest) -> None:
        if not message.expects_continue:
            return
        message.expects_continue = False
        if not self._exchanges and not self._is_rejecting and not self._is_closing:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._event_count += 1
        message = self._message
        if message is None or self._is_rejecting:
            return
        message.body.append(body)
        length = len(message.body)
        if length > message.limit_bytes:
            self._reject(413)
            return
        room = LONG_BODY_BYTES if message.hold is None else message.hold.count
        if length > room and message.waits_for_room_since_ms is None:
            # A body in chunks.
            self._ask_for_room(message, ROOM_STEP_BYTES)

    def on_message_complete(self) -> None:
        if self._message is not None and self._parser.should_upgrade():
            # _feed_parser goes on with it.
            return
        message, self._message = self._message, None
        self._input.piece_bytes = PARSED_BYTES
        # Behind a response that closes the connection in the same bytes, a request isn't read.
        if message is None or self._is_rejecting or self._is_closing or self._is_last_response:
            return
        if message.packed is not None:
            message.unpack_fields()
        if message.hold is not None:
            # It lives as long as the body, which this connection mustn't depend on.
            message.hold.withdraw()
        body = message.body.take()
        request = self._handler.parse_request(
            self._parser.get_method(),
            message.target,
            tuple(message.headers),
            body,
        )
        if request is None:
            self._reject(400)
            return
        exchange = Exchange(
            request,
            self,
            self._handler.now_ms(),
            is_last=not self._parser.should_keep_alive(),
            is_repeatable=self._handler.is_repeatable(request),
            takes_chunks=self._parser.get_http_version() != "1.0",
        )
        exchange.held_bytes = (
            REQUEST_BYTES + message.head_bytes + FIELD_BYTES * len(message.headers)
        )
        if message.hold is None:
            exchange.held_bytes += len(body)
        self._ahead_bytes += exchange.held_bytes
        exchange.is_charged = self._ahead_bytes > UNCHARGED_BYTES
        self._exchanges.append(exchange)
        self._start_exchanges()
        self._pause_or_resume_reading()

    def on_response(self, exchange: Exchange) -> None:
        """Write a response, or keep it until those before it are written."""
        is_first = bool(self._exchanges) and self._exchanges[0] is exchange
        if not is_first or not self._is_writable:
            self._keep_response(exchange)
        self.flush()

    def _keep_response(self, exchange: Exchange) -> None:
        """Hold a response that waits, and no longer all of its request."""
        self._ahead_bytes -= exchange.held_bytes
        exchange.held_bytes = 0
        exchange.request = evolve(exchange.request, target=b"", headers=(), body=b"")
        status, headers, body = exchange.response
        if len(headers) > PACKED_FIELDS:
            headers = PackedFields(headers)
            exchange.response = status, headers, body
            exchange.response_bytes = REQUEST_BYTES + headers.held_bytes
        else:
            exchange.response_bytes = REQUEST_BYTES + fields_bytes(headers)
        if not isinstance(body, BodyStream):
            exchange.response_bytes += len(body)

    def flush(self) -> None:
        """Write the responses that are ready, up to the first request that has none yet."""
        exchanges = self._exchanges
        is_charged = False
        while exchanges and self._is_writable and not self._is_closing and self._stream is None:
            exchange = exchanges[0]
            if exchange.response is None:
                break
            self._last_activity_ms = self._handler.now_ms()
            status, headers, body = exchange.response
            # Callers resend what follows a closing response, so none of it may have started.
            is_rest_unstarted = len(exchanges) == 1 or not any(
                e.is_started for e in exchanges if e is not exchange
            )
            close = exchange.is_last or (self._handler.is_shutting_down() and is_rest_unstarted)
            close = close or (self._is_rejecting and len(exchanges) == 1)
            if isinstance(body, BodyStream):
                self._is_last_response = close
                self._stream = ResponseStream(
                    self._transport,
                    body,
                    lambda: self._is_writable,
                    lambda is_whole, close=close: self._end_stream(is_whole, close),
                    exchange.takes_chunks,
                )
                self._stream.begin(status, headers, close=close)
                continue
            exchanges.popleft()
            self._ahead_bytes -= exchange.held_bytes
            is_charged = is_charged or exchange.is_charged or len(body) > UNCHARGED_BYTES
            is_head = exchange.request.method == b"HEAD"
            self._transport.write(
                response_bytes(status, headers, body, close=close, is_head=is_head)
            )
            if close:
                self._end("rejected" if self._is_rejecting else "answered")
                return
        self._start_exchanges()
        self._pause_or_resume_reading()
        if len(self._exchanges) > 1 or is_charged:
            self._update_charge()

    def _end_stream(self, is_whole: bool, close: bool) -> None:
        """Go on after a long response; cut off the connection if it isn't whole."""
        exchange = self._exchanges.popleft()
        self._ahead_bytes -= exchange.held_bytes
        exchange.cancel = self._stream = None
        self._last_activity_ms = self._handler.now_ms()
        if not is_whole:
            self._abort("response_cut_short")
        elif close:
            self._end("answered")
        else:
            self.flush()

    # Implements ChargedConnection.
    def held_bytes(self) -> int:
        return CONNECTION_BYTES + sum(self.held_by_kind())

    def held_by_kind(self) -> tuple[int, int, int]:
        """Return what the process needs for unfinished input, for requests and for responses."""
        message = self._message
        input_bytes = self._input.held_bytes + (message.held_bytes() if message is not None else 0)
        response_bytes = 0
        if self._stream is None:
            # The hold of a long response counts what is buffered of it.
            response_bytes = self._transport.get_write_buffer_size()
        for exchange in self._exchanges:
            response_bytes += exchange.response_bytes
        return input_bytes, self._ahead_bytes, response_bytes

    def held_body_bytes(self) -> int:
        if self._is_closing:
            return 0
        if self._stream is not None:
            return self._stream.held_bytes
        message = self._message
        if message is None or message.hold is None or self._must_wait:
            return 0
        # What waits to be read isn't missing.
        is_unread = self._input.unparsed_bytes or unread_bytes(self._transport)
        return 0 if is_unread else message.hold.count

    def progress_bytes(self) -> int:
        if self._stream is not None:
            return self._stream.taken_bytes
        return self._message.received_bytes if self._message is not None else 0

    def waits_for(self) -> str:
        if self._is_closing:
            return LINGERING
        if not self._is_writable or (self._exchanges and self._exchanges[0].response is not None):
            return UNREAD
        if self._message is not None:
            return UNFINISHED
        if self._exchanges or self._input.unparsed_bytes:
            return SERVING
        return UNREAD if self._transport.get_write_buffer_size() else IDLE

    def reclaim(self, *, is_urgent: bool) -> bool:
        state, message = self.waits_for(), self._message
        if state == UNFINISHED:
            if message.waits_for_room_since_ms is not None:
                self._reject(503, self._handler.refuse_body(message.head))
            else:
                # A request that the node keeps waiting isn't late.
                self._reject(503 if self._must_wait else 408)
            if not is_urgent or self._exchanges:
                return False
            self._transport.close()
        elif state == IDLE:
            self._close("idle")
        else:
            # What is in service may have run, so nothing is said of it.
            self._abort("reclaimed")
            self._is_closing = True
            self._drop_message()
            self._drop_input()
            self._drop_responses()
        return True

    def _drop_input(self) -> None:
        """Drop input that is never parsed."""
        self._discarded_bytes += self._input.unparsed_bytes
        self._input.discard()

    def _drop_responses(self) -> None:
        """Let go of responses that are never written: the connection ends a round later."""
        for exchange in self._exchanges:
            if exchange.response is not None and not isinstance(exchange.response[2], BodyStream):
                exchange.response = _DROPPED

    def refuse_unfinished(self, headers: Headers) -> bool:
        """Refuse a request that hasn't been read as a whole; return whether there is one."""
        if self._message is None or self._is_closing or self._is_rejecting:
            return False
        self._reject(503, headers)
        return True

    def _update_charge(self) -> None:
        if self._charge is not None:
            self._handler.connections.update(self._charge)

    def sweep(self, now_ms: float, limits: CallerLimits) -> None:
        """Close a connection that is idle or sends its request too slowly."""
        if self._is_closing:
            self._sweep_linger(now_ms)
            return
        message = self._message
        if message is not None and message.has_waited(now_ms):
            self._reject(503, self._handler.refuse_body(message.head))
        elif message is not None and self._must_wait:
            # Its caller may have sent all of it.
            self._message_started_ms = self._last_activity_ms = now_ms
        elif message is not None:
            if message.is_head_complete:
                is_late = now_ms - self._last_activity_ms > limits.idle_timeout_ms
            else:
                is_late = now_ms - self._message_started_ms > limits.header_timeout_ms
            if is_late:
                self._reject(408)
        elif not self._exchanges and now_ms - self._last_activity_ms > limits.idle_timeout_ms:
            self._close_idle(now_ms)

    def _close_idle(self, now_ms: float) -> None:
        """Close a connection that carried nothing for its idle time-out."""
        unsent = unsent_bytes(self._transport)
        if unsent == 0:
            if not unread_bytes(self._transport):
                self._close("idle")
        elif unsent != self._unsent_when_idle_bytes:
            # The caller still reads the last response.
            self._unsent_when_idle_bytes = unsent
            self._last_activity_ms = now_ms
        else:
            self._abort("stalled")

    def _sweep_linger(self, now_ms: float) -> None:
        """Close a connection whose peer has had enough time to read the last response."""
        if self._linger is None:
            return
        unsent = unsent_bytes(self._transport)
        if not self._linger.is_over(now_ms, unsent):
            return
        if unsent:
            self._abort("stalled")
        else:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection if nothing is in progress on it in either direction.

        A close resets the connection if a request has arrived by then, and discards what the caller
        hasn't read of its last response.
        """
        if self._is_closing or self._exchanges or self._message is not None:
            return
        if self._input.unparsed_bytes:
            return
        if self._is_new and self._handler.now_ms() - self._last_activity_ms < NEW_CONNECTION_MS:
            return
        if unsent_bytes(self._transport) == 0 and not unread_bytes(self._transport):
            self._close("idle")

    def close(self) -> None:
        """Abort the connection, including requests in progress."""
        if self._transport is not None:
            self._abort("aborted")

    @property
    def buffered_bytes(self) -> int:
        """Number of written bytes that the kernel hasn't taken."""
        return self._transport.get_write_buffer_size()

    def describe_end(self, cause: str = "") -> ConnectionEnd:
        """Return how the connection ended, or would end now for ``cause``."""
        cause = cause or self._end_cause or "peer_closed"
        unsent = self._unsent_bytes or self._transport.get_write_buffer_size()
        unread = 0
        if cause not in _ORDERLY_CAUSES or self._handler.is_shutting_down():
            unsent = max(unsent, unsent_bytes(self._transport))
            unread = self._input.unparsed_bytes + (unread_bytes(self._transport) or 0)
        return ConnectionEnd(
            cause,
            unsent,
            self._discarded_bytes + unread,
            tuple(e.request.request_id for e in self._exchanges),
            sum(e.is_started and e.response is None for e in self._exchanges),
        )

    def _start_exchanges(self) -> None:
        # Serving may respond at once, which calls this method again.
        if self._is_starting_exchanges:
            return
        self._is_starting_exchanges = True
        try:
            while (exchange := self._next_startable()) is not None:
                exchange.is_started = True
                try:
                    self._handler.serve(exchange)
                except Exception as error:
                    # It may have been sent.
                    exchange.is_last = True
                    self._handler.on_failure("serve", error)
                    exchange.respond(500, (), b"")
        finally:
            self._is_starting_exchanges = False

    def _next_startable(self) -> Exchange | None:
        if self._is_closing or self._is_last_response:
            return None
        for index, exchange in enumerate(self._exchanges):
            if not exchange.is_started:
                # A request that may run only once waits until it is the first: a response before
                # it could close the connection, and the caller would send it again.
                return exchange if index == 0 or exchange.is_repeatable else None
            if exchange.is_last or not exchange.is_repeatable:
                return None
        return None

    def _reject(self, status: int, headers: Headers = ()) -> None:
        """Respond with the error ``status`` after all earlier responses, and close."""
        self._drop_message()
        if self._is_rejecting or self._is_closing:
            return
        self._is_rejecting = True
        self._drop_input()
        self._handler.on_request_rejected(status)
        request = Request(b"", b"GET", b"", b"", b"", (), b"", None)
        exchange = Exchange(request, self, 0.0, is_last=True, is_started=True)
        self._exchanges.append(exchange)
        exchange.respond(status, headers, b"")

    def _note_end(self, cause: str) -> None:
        """Keep the first cause of the connection's end."""
        self._end_cause = self._end_cause or cause

    def _abort(self, cause: str) -> None:
        self._end_cause = cause
        if self._stream is not None:
            self._stream.cancel()
        self._unsent_bytes = unsent_bytes(self._transport)
        self._transport.abort()

    def _close(self, cause: str) -> None:
        """Close a connection on which nothing is in progress."""
        self._is_closing = True
        self._note_end(cause)
        self._transport.close()

    def _end(self, cause: str) -> None:
        """Close after the last response, once the caller has read it and closed its own side."""
        self._is_closing = True
        self._note_end(cause)
        self._drop_message()
        self._linger = Linger(self._handler.now_ms())
        self._drop_input()
        # What still comes is read and dropped, also if a request would have had to wait.
        self._input.set_held(False)
        self._transport.write_eof()
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _set_input_paused(self, is_paused: bool) -> None:
        self._is_input_paused = is_paused
        self._update_charge()
        self._pause_or_resume_reading()

    @property
    def _must_wait(self) -> bool:
        """Whether the node itself keeps the caller from sending more."""
        message = self._message
        return (
            len(self._exchanges) >= self._handler.connections.requests_ahead
            or (self._ahead_bytes >= REQUESTS_AHEAD_BYTES and len(self._exchanges) > 1)
            or not self._is_writable
            or (message is not None and message.waits_for_room_since_ms is not None)
        )

    def _pause_or_resume_reading(self) -> None:
        if self._transport is None or self._is_closing:
            return
        must_wait = self._must_wait
        if must_wait != self._input.is_held:
            self._input.set_held(must_wait)
        should_pause = must_wait or self._is_input_paused
        if should_pause and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        elif not should_pause and self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()


_DROPPED: tuple[int, Headers, bytes] = (0, (), b"")
