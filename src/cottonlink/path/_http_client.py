"""Client connection to an HTTP/1.1 server, with one exchange at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import httptools
from attrs import define, frozen

from cottonlink._status import FINAL_STATUSES, is_valid_status
from cottonlink._value_class import value_class
from cottonlink.path._body import LONG_BODY_BYTES, Body, BodyBuffer, WholeBody
from cottonlink.path._body_stream import WINDOW_BYTES, BodyStream
from cottonlink.path._header_fields import PACKED_FIELDS, PackedFields
from cottonlink.path._http import OVERHEAD_LIMIT_BYTES, Headers
from cottonlink.path._paced_input import PARSED_BODY_BYTES, EventLoop, PacedInput
from cottonlink.path._sockets import enable_dead_peer_detection

# Longest body of a response.
RESPONSE_BODY_LIMIT_BYTES = 32 * 1024 * 1024
# Digits of a Content-Length that are read; more mean a length above any bound.
_LENGTH_DIGITS = 18
# Digits of an idle time-out in seconds that are read; more mean one above any use.
_TIMEOUT_DIGITS = 9
# Bytes of a long body that are passed on together, while more of it has arrived.
PASSED_ON_BYTES = 32 * 1024
# Responses from this HTTP status on are no successes.
FIRST_FAILURE_STATUS = 300
# Latest requests of a connection that are told from later copies of themselves.
REMEMBERED_IDS = 64


@value_class
class HttpResponse:
    """A response with its whole body, or with a long one that is still arriving."""

    status: int
    headers: Headers
    body: Body

    def header(self, name: bytes) -> bytes | None:
        """Return the first header with the lower-case ``name``, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@frozen
class ExchangeFailed:
    """No complete response came; ``was_sent`` tells whether any byte may have been sent."""

    reason: str
    was_sent: bool
    is_connection_lost: bool


ExchangeResult = HttpResponse | ExchangeFailed


@frozen
class SkippedResponse:
    """A response that wasn't proven to belong to the request with ``expected_id``."""

    status: int
    response_id: bytes | None
    expected_id: bytes | None


@define(eq=False)
class _Exchange:
    on_result: Callable[[ExchangeResult], None]
    is_head: bool
    expected_id: bytes | None
    takes_streams: bool


class HttpConnection(asyncio.Protocol):
    """A connection that sends one request and reads one response at a time.

    A faulty server may send more than one response to a request, and the rest then arrives where
    the response to the next request is expected. So a response counts only with proof that it
    belongs to the request in progress; others are skipped.
    """

    def __init__(
        self,
        id_header: bytes | None,
        turns: EventLoop,
        on_closed: Callable[[HttpConnection], None] | None = None,
        *,
        body_limit_bytes: int = RESPONSE_BODY_LIMIT_BYTES,
        on_skipped: Callable[[SkippedResponse], None] | None = None,
    ) -> None:
        self._id_header = id_header
        self._body_limit_bytes = body_limit_bytes
        self._on_closed = on_closed
        self._on_skipped = on_skipped
        self._transport: asyncio.Transport | None = None
        self._exchange: _Exchange | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._input = PacedInput(self._parse, turns.call_soon, self._set_input_paused)
        self._input.piece_bytes = PARSED_BODY_BYTES
        self._is_input_paused = self._is_window_full = False
        self._event_count = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._packed: PackedFields | None = None
        self._body = BodyBuffer()
        self._stream: BodyStream | None = None
        self._untaken_bytes = 0
        self._status = 0
        # Whether a response came whose status isn't one, so that nothing behind it counts.
        self._is_status_invalid = False
        self._belongs = False
        self._is_complete = False
        self._has_body_framing = False
        self._is_head_complete = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._announced_bytes = 0
        self._keep_alive: bytes | None = None
        self._response_id: bytes | None = None
        self.is_open = False
        self.is_reusable = True
        self.idle_since_ms = 0.0
        # Hashes, as ids may be long.
        self._sent_ids: deque[int] = deque(maxlen=REMEMBERED_IDS)
        self.idle_timeout_ms: float | None = None
        self.exchange_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self.is_open = True
        enable_dead_peer_detection(transport)

    def send(
        self,
        data: bytes,
        on_result: Callable[[ExchangeResult], None],
        *,
        body: WholeBody = b"",
        is_head: bool = False,
        expected_id: bytes | None = None,
        takes_streams: bool = False,
    ) -> None:
        """Send a request; ``on_result`` is called once, unless ``abort`` or ``close`` comes first.

        If the connection is lost or closing already, that is at once and nothing is sent. ``data``
        ends with the head or holds all of the request; ``body`` is sent behind it.
        ``expected_id`` is the id of the request, which servers echo. Without it the connection must
        be a new one. With ``takes_streams``, a long body is passed on while it arrives, and the
        exchange ends with it.
        """
        if not self.can_send:
            on_result(ExchangeFailed("connection_lost", was_sent=False, is_connection_lost=True))
            return
        self._exchange = _Exchange(on_result, is_head, expected_id, takes_streams)
        if expected_id is not None:
            self._sent_ids.append(hash(expected_id))
        self.exchange_count += 1
        self._reset_parser()
        if len(body) > LONG_BODY_BYTES:
            # Without a copy of the body.
            self._transport.writelines((data, body))
        else:
            self._transport.write(data + body)

    def has_sent(self, request_id: bytes) -> bool:
        """Return whether a request with this id was sent before, or may have been.

        A copy of its response may still come, which can't be told from the response to the next.
        """
        return hash(request_id) in self._sent_ids

    @property
    def can_send(self) -> bool:
        """Whether a request would be sent: a closing transport discards what is written to it.

        The server's end of the connection closes the transport a round of the event loop before
        ``connection_lost`` is called.
        """
        return self.is_open and not self._transport.is_closing()

    def abort(self) -> None:
        """Close at once; an exchange in progress gets no result."""
        self._end_exchange()
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after written data has been sent; an exchange in progress gets no result."""
        self._end_exchange()
        self.is_reusable = False
        if self._transport is not None:
            self._transport.close()

    def _on_taken(self, count: int) -> None:
        """Read on once the reader of a long body has taken enough of it."""
        self._untaken_bytes -= count
        if self._is_window_full and self._untaken_bytes <= WINDOW_BYTES // 2:
            self._is_window_full = False
            self._input.set_held(False)
            self._resume_reading()

    def _wait_for_reader(self) -> None:
        self._is_window_full = True
        self._input.set_held(True)
        if not self._is_input_paused and not self._transport.is_closing():
            self._transport.pause_reading()

    def _set_input_paused(self, is_paused: bool) -> None:
        self._is_input_paused = is_paused
        if not is_paused:
            self._resume_reading()
        elif not self._is_window_full and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        is_paused = self._is_input_paused or self._is_window_full
        if not is_paused and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self._exchange is None:
            # Bytes that no request asked for: what follows can't be matched to a request reliably.
            self.is_reusable = False
            self._transport.abort()
            return
        self._input.feed(data)

    def _parse(self, data: bytes | memoryview) -> int | None:
        """Parse the next bytes of a response; return the number of parser events.

        That is None if no more input is wanted: the response is complete or has failed.
        """
        if self._exchange is None:
            return None
        self._event_count = 0
        if not self._parse_piece(data):
            return None
        if not self._is_complete:
            self._stream_if_long()
            return None if self._exchange is None else self._event_count
        if self._stream is not None:
            self._pass_on()
        if self._input.unparsed_bytes:
            self.is_reusable = False
        if self._exchange is not None:
            self._deliver()
        return None

    def _parse_piece(self, data: bytes | memoryview) -> bool:
        """Parse the next bytes of a response; return False if it has failed."""
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            self._fail("internal_error")
            return False
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Also a response that switches to another protocol, which no request has offered.
            if not self._is_complete:
                self._fail("bad_answer")
                return False
            self.is_reusable = False
        if self._is_status_invalid:
            self._fail("bad_answer")
            return False
        if len(self._headers) > PACKED_FIELDS and not self._is_complete:
            self._pack_headers()
        overhead_bytes = self._received_bytes - self._body_bytes
        if not self._is_complete and overhead_bytes > OVERHEAD_LIMIT_BYTES + self._body_bytes:
            self._fail("answer_head_too_large")
            return False
        announced_bytes = 0 if self._exchange.is_head else self._announced_bytes
        if max(self._body_bytes, announced_bytes) > self._body_limit_bytes:
            self._fail("answer_body_too_large")
            return False
        return True

    def _pack_headers(self) -> None:
        """Keep many header fields in one buffer until the response is delivered."""
        if self._packed is None:
            self._packed = PackedFields()
        self._packed.extend(self._headers)
        self._headers.clear()

    def _take_headers(self) -> Headers:
        """Return all header fields of the response."""
        return tuple(self._headers) if self._packed is None else (*self._packed, *self._headers)

    def _stream_if_long(self) -> None:
        """Return a response with a long body that is still arriving, and pass on what there is."""
        if self._stream is None:
            is_long = max(len(self._body), self._announced_bytes) > LONG_BODY_BYTES
            if not (is_long and self._exchange.takes_streams and self._belongs):
                return
            self._stream = BodyStream(self._announced_bytes or None, self._on_taken)
            self._untaken_bytes = 0
            response = HttpResponse(self._status, self._take_headers(), self._stream)
            self._exchange.on_result(response)
        if self._stream is not None:
            self._pass_on()

    def _pass_on(self) -> None:
        """Pass on what has arrived of a long body, many small pieces as one."""
        count = len(self._body)
        is_last = self._is_complete or not self._input.unparsed_bytes
        if count == 0 or (count < PASSED_ON_BYTES and not is_last):
            return
        self._untaken_bytes += count
        self._stream.push(bytes(self._body.take()))
        if self._untaken_bytes >= WINDOW_BYTES and not self._is_window_full:
            self._wait_for_reader()

    def eof_received(self) -> bool:
        is_unframed = self._is_head_complete and not self._has_body_framing
        if self._exchange is not None and is_unframed and self._belongs:
            # The end of the connection ends a response that has no length.
            self._is_complete = True
            self.is_reusable = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self.is_reusable = False
        if self._exchange is not None:
            self._fail("connection_lost", is_connection_lost=True)
        if self._on_closed is not None:
            self._on_closed(self)

    # Callbacks of httptools.HttpResponseParser.
    def on_header(self, name: bytes, value: bytes) -> None:
        self._event_count += 1
        # Trailers aren't passed on: each would be held as an object, and count as a header.
        if self._is_complete or self._is_head_complete:
            return
        self._headers.append((name, value))
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_body_framing = True
            if lower == b"content-length" and value.isdigit():
                self._announced_bytes = int(value[:_LENGTH_DIGITS])
        elif lower == b"keep-alive":
            self._keep_alive = value
        elif lower == self._id_header and self._response_id is None:
            self._response_id = value

    def on_headers_complete(self) -> None:
        if self._is_complete or self._is_status_invalid:
            return
        # The parser goes on to what follows in the same bytes.
        self._status = self._parser.get_status_code()
        if not is_valid_status(self._status):
            self._is_status_invalid = True
            return
        self._is_head_complete = True
        self._belongs = self._is_proven()
        is_final = self._status in FINAL_STATUSES
        if not self._belongs and is_final and self._on_skipped is not None:
            expected_id = self._exchange.expected_id
            self._on_skipped(SkippedResponse(self._status, self._response_id, expected_id))
        if self._exchange.is_head and self._belongs:
            # No body follows the length in a response to HEAD, which the parser doesn't know.
            self._is_complete = True
            self.is_reusable = False

    def on_body(self, body: bytes) -> None:
        self._event_count += 1
        self._body_bytes += len(body)
        if self._belongs and not self._is_complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        if self._is_complete:
            self.is_reusable = False
            return
        if self._is_status_invalid:
            return
        if self._status not in FINAL_STATUSES or not self._belongs:
            if self._status in FINAL_STATUSES:
                self.is_reusable = False
            self._begin_response()
            return
        self._is_complete = True
        if not self._parser.should_keep_alive():
            self.is_reusable = False

    def on_message_begin(self) -> None:
        self._event_count += 1
        if self._is_complete:
            # A second response follows in the same bytes.
            self.is_reusable = False

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._is_complete = self._is_status_invalid = False
        self._received_bytes = self._body_bytes = 0
        self._begin_response()

    def _begin_response(self) -> None:
        """Forget what is known of a response before the next one."""
        self._headers, self._packed, self._body = [], None, BodyBuffer()
        self._has_body_framing = self._is_head_complete = self._belongs = False
        self._announced_bytes = 0
        self._keep_alive = self._response_id = None

    def _is_proven(self) -> bool:
        """Return whether the response belongs to the request in progress.

        Its id proves that. A refusal or an error without an id can be believed only on a connection
        that has carried no other request, a success not at all.
        """
        if self._id_header is None:
            return True
        is_first = self.exchange_count == 1
        expected_id = self._exchange.expected_id
        if expected_id is None:
            return is_first
        if self._response_id is None:
            return is_first and self._status >= FIRST_FAILURE_STATUS
        return self._response_id == expected_id

    def _deliver(self) -> None:
        if self._keep_alive is not None:
            self.idle_timeout_ms = _keep_alive_timeout_ms(self._keep_alive)
        if self._id_header is not None and self._response_id is None:
            # Nothing would tell later copies of this response from the next one.
            self.is_reusable = False
        if self._transport.get_write_buffer_size() > 0:
            # The response came before the request was sent: the server still expects its rest.
            self.is_reusable = False
        stream = self._stream
        if stream is not None:
            self._end_exchange()
            stream.end(is_whole=True)
            return
        response = HttpResponse(self._status, self._take_headers(), self._body.take())
        self._end_exchange().on_result(response)

    def _end_exchange(self) -> _Exchange | None:
        """Return the exchange in progress, which ends; the connection is read on."""
        exchange, self._exchange = self._exchange, None
        # The parser refers to this connection, so the garbage collector would free it late.
        self._headers, self._packed, self._body = [], None, BodyBuffer()
        self._stream = None
        self._input.discard()
        self._input.set_held(False)
        if self._is_window_full:
            self._is_window_full = False
            self._resume_reading()
        return exchange

    def _fail(self, reason: str, *, is_connection_lost: bool = False) -> None:
        stream = self._stream
        exchange = self._end_exchange()
        self.is_reusable = False
        if self._transport is not None and self.is_open:
            self._transport.abort()
        if stream is not None:
            stream.end(is_whole=False)
        elif exchange is not None:
            exchange.on_result(ExchangeFailed(reason, True, is_connection_lost))


def _keep_alive_timeout_ms(value: bytes) -> float | None:
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.strip().isdigit():
            return int(number.strip()[:_TIMEOUT_DIGITS]) * 1000.0
    return None
