"""A caller's connection to a node; requests may be sent before earlier ones are answered."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections import deque
from collections.abc import Iterator, Sequence

import httptools
from attrs import define, field

from soak.fleet import HOST
from soak.lag import LagMeter
from soak.observations import ObservedRequest
from soak.organisations import Credentials
from soak.vm import SoakVm

DEADLINE_MS = 3_000
# How long after the deadline a caller still waits for the response.
ANSWER_GRACE_S = 3.0
CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 65_536
# What one packet of a network carries.
SEGMENT_BYTES = 1_460
SEGMENT_PAUSE_S = 0.001
PROTOCOL_OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
_connection_ids: Iterator[int] = itertools.count(1)


@define(eq=False)
class ClientConnection:
    """Sends requests, and reads their responses in order.

    A caller that reads slowly waits for ``read_pause_s`` after each chunk.
    """

    vm: SoakVm
    lag_meter: LagMeter
    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter
    read_pause_s: float = 0.0
    credentials: Credentials | None = None
    # Whether a response has said that the node closes the connection.
    is_closing: bool = False
    is_open: bool = True
    _pending: deque[tuple[ObservedRequest, asyncio.Future]] = field(factory=deque)
    _id: int = field(factory=lambda: next(_connection_ids))
    _incarnation: int = field(init=False)
    _parser: httptools.HttpResponseParser = field(init=False)
    _read_task: asyncio.Task = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._incarnation = self.vm.incarnation
        self._parser = httptools.HttpResponseParser(self)
        self._read_task = asyncio.ensure_future(self._read())

    def send(self, observed: ObservedRequest) -> asyncio.Future:
        """Send a request; the future is done once it has ended, whether answered or not."""
        ended = self._add(observed)
        if self.is_open:
            self._writer.write(_serialize(observed))
        else:
            self._end_all("closed")
        return ended

    async def send_in_segments(self, requests: Sequence[ObservedRequest]) -> None:
        """Send requests behind each other, in pieces that arrive one by one, and wait for them."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ends = [self._add(observed) for observed in requests]
        data = b"".join(_serialize(observed) for observed in requests)
        for start in range(0, len(data), SEGMENT_BYTES):
            if not self.is_open or self.is_closing:
                break
            self._writer.write(data[start : start + SEGMENT_BYTES])
            await asyncio.sleep(SEGMENT_PAUSE_S)
        await asyncio.wait(ends, timeout=DEADLINE_MS / 1000 + ANSWER_GRACE_S)
        self._end_all("timeout" if self.is_open else "closed")
        self.close()

    async def exchange(self, observed: ObservedRequest) -> None:
        """Send a request and wait for its response; close the connection if it takes too long."""
        ended = self.send(observed)
        await asyncio.wait([ended], timeout=DEADLINE_MS / 1000 + ANSWER_GRACE_S)
        if not ended.done():
            self._end_all("timeout")
        # What follows a closing response ends with the connection, which the node closes.
        if not self.is_open or (self.is_closing and not self._pending):
            self.close()

    def close(self) -> None:
        """Close the connection; requests that are still unanswered end without a response."""
        self._end_all("abandoned")
        self._read_task.cancel()
        self._writer.close()

    # Callbacks of httptools.HttpResponseParser.
    def on_header(self, name: bytes, value: bytes) -> None:
        if self._pending:
            self._pending[0][0].headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        if self._pending:
            self._pending[0][0].add_body(body)

    def on_message_complete(self) -> None:
        if not self._pending:
            return
        observed, ended = self._pending.popleft()
        observed.status = self._parser.get_status_code()
        observed.seal = observed.headers.get("x-server-seal", "")
        if observed.headers.get("connection", "").lower() == "close":
            self.is_closing = True
        self._end(observed, ended, "answered")

    def _add(self, observed: ObservedRequest) -> asyncio.Future:
        ended = asyncio.get_running_loop().create_future()
        observed.vm, observed.connection_id = self.vm.number, self._id
        observed.is_behind = bool(self._pending)
        if self.credentials is not None:
            self.credentials.add_to(observed)
        self._pending.append((observed, ended))
        observed.sent_s = self.vm.now_s()
        return ended

    async def _read(self) -> None:
        ending = "closed"
        try:
            while data := await self._reader.read(CHUNK_BYTES):
                if self.is_closing and not self._pending:
                    continue
                self._parser.feed_data(data)
                if self.read_pause_s:
                    await asyncio.sleep(self.read_pause_s)
        except OSError:
            ending = "reset"
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            ending = f"not a response: {error}"
        self._end_all(ending)

    def _end_all(self, ending: str) -> None:
        self.is_open = False
        while self._pending:
            self._end(*self._pending.popleft(), ending)

    def _end(self, observed: ObservedRequest, ended: asyncio.Future, ending: str) -> None:
        observed.ending = ending
        observed.ended_s = self.vm.now_s()
        observed.lag_s = self.lag_meter.largest_since(observed.sent_s)
        observed.incarnations = (self._incarnation, self.vm.incarnation)
        if not ended.done():
            ended.set_result(None)


def _serialize(observed: ObservedRequest) -> bytes:
    """Return a request as it is sent."""
    body = b"x" * observed.sent_body_bytes
    framing = f"Content-Length: {len(body)}"
    if observed.sent_chunk_bytes:
        framing = "Transfer-Encoding: chunked"
        starts = range(0, len(body), observed.sent_chunk_bytes)
        parts = [body[start : start + observed.sent_chunk_bytes] for start in starts]
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    headers = "".join(f"{name}: {value}\r\n" for name, value in observed.sent_headers)
    if observed.offers_protocol:
        headers += PROTOCOL_OFFER
    head = (
        f"{'POST' if observed.is_booking else 'GET'} {observed.path} HTTP/1.1\r\n"
        f"Host: {HOST}\r\nX-Attempt-Id: {observed.request_id}\r\n"
        f"X-Request-Deadline-Ms: {DEADLINE_MS}\r\n{headers}{framing}\r\n\r\n"
    )
    return head.encode() + body


async def connect(
    vm: SoakVm,
    lag_meter: LagMeter,
    *,
    read_pause_s: float = 0.0,
    receive_buffer_bytes: int | None = None,
    credentials: Credentials | None = None,
) -> ClientConnection | None:
    """Connect to the node of a VM; return None if it can't be reached."""
    client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client.setblocking(False)
    if receive_buffer_bytes is not None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(client, vm.caller_address)
            reader, writer = await asyncio.open_connection(sock=client)
    except (OSError, TimeoutError):
        client.close()
        return None
    return ClientConnection(vm, lag_meter, reader, writer, read_pause_s, credentials)
