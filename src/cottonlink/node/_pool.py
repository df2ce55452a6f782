"""HTTP connections to peers and to the local target, and pools of them."""

from __future__ import annotations

import contextlib
import http.client
import io
import socket
import threading

from attrs import define, field, frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util.request import SKIP_HEADER
from urllib3.util.wait import wait_for_read

from cottonlink._clock import Clock
from cottonlink._headers import Headers
from cottonlink._problem import HttpResponse
from cottonlink._status import FINAL_STATUSES
from cottonlink.errors import Step

# The kernel resends a lost SYN after one second; trying another upstream is faster.
CONNECT_TIMEOUT_MS = 500
# Longest wait for the next part of an answer's body.
BODY_PROGRESS_TIMEOUT_MS = 1_000
# A connection that answered within this time is as reliable as a new one (design page, 4.5).
RECENT_ANSWER_MS = 1_000
MAX_IDLE_CONNECTIONS = 64
READ_SIZE_BYTES = 65_536
BODILESS_STATUSES = (204, 304)


@frozen
class OutgoingRequest:
    """A request to send. ``path`` starts with a slash and includes the query."""

    method: str
    path: str
    headers: Headers
    body: bytes


class ExchangeError(Exception):
    """An exchange failed.

    ``sent`` is True if the peer may have received any byte of the request, ``timed_out`` if the
    deadline or a timeout passed, ``refused`` if no process listens at the address.
    """

    def __init__(
        self,
        step: Step,
        detail: str,
        *,
        sent: bool,
        timed_out: bool = False,
        refused: bool = False,
    ) -> None:
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.detail = detail
        self.sent = sent
        self.timed_out = timed_out
        self.refused = refused


class _CompleteLineReader(io.BufferedReader):
    """Reads lines, and raises IncompleteRead for one that the end of the connection cuts off.

    The standard library takes such a line of a head, of a chunk's size or of a trailer for the last
    one, and what has arrived by then for the whole answer.
    """

    _has_read_line = False

    def readline(self, size: int | None = -1) -> bytes:
        line = super().readline(size)
        is_cut = not line.endswith(b"\n") and len(line) != size
        if is_cut and (line or self._has_read_line):
            raise http.client.IncompleteRead(line)
        self._has_read_line = True
        return line


class _Response(http.client.HTTPResponse):
    """Response whose lines must be complete."""

    def __init__(self, sock: socket.socket, *args: object, **options: object) -> None:
        super().__init__(sock, *args, **options)
        self.fp = _CompleteLineReader(self.fp.detach())


class _FastHeaderConnection(HTTPConnection):
    """Connection that writes request headers without the checks of the base class.

    Names and values come from messages that were parsed already; only a line break could break
    the framing.
    """

    response_class = _Response

    def putheader(self, header: str, *values: str) -> None:
        if values == (SKIP_HEADER,):
            return
        line = f"{header}: {', '.join(values)}"
        if "\r" in line or "\n" in line:
            raise ValueError(f"line break in header {header!r}")
        self._output(line.encode("latin-1"))


class Connection:
    """One TCP connection. ``abort`` may be called from any thread.

    ``sent_ms`` is when the request in progress was sent; ``answer_began`` is True once the head of
    its answer has arrived. ``generation`` is that of the pool when the connection was made.
    """

    def __init__(self, address: str, clock: Clock, generation: int = 0) -> None:
        host, _, port = address.rpartition(":")
        self._http = _FastHeaderConnection(host, int(port))
        self._clock = clock
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._aborted = False
        self.generation = generation
        self.created_ms = clock.monotonic_ms()
        self.answered_ms: int | None = None
        self.answer_began = False
        self.sent_ms: int | None = None

    def connect(self, timeout_ms: int) -> None:
        """Open the connection. Raises ExchangeError with ``sent`` False."""
        self._http.timeout = max(timeout_ms, 1) / 1000
        try:
            self._http.connect()
        except (HTTPError, OSError) as error:
            self._http.close()
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            raise ExchangeError(
                Step.CONNECT, _describe_error(error), sent=False, refused=refused
            ) from error
        with self._lock:
            self._socket = self._http.sock
            aborted = self._aborted
        if aborted:
            self.close()
            raise ExchangeError(Step.CONNECT, "aborted", sent=False)

    def abort(self) -> None:
        """Make the exchange in progress fail at once."""
        with self._lock:
            self._aborted = True
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, which must have no exchange in progress."""
        self._http.close()

    @property
    def is_new(self) -> bool:
        """Return whether the connection has yet to be opened."""
        return self._socket is None

    def closes_within(self, timeout_ms: int) -> bool:
        """Return whether the idle connection ends, or has data to read, within ``timeout_ms``."""
        return wait_for_read(self._socket, timeout=timeout_ms / 1000)

    @property
    def is_reusable(self) -> bool:
        """Return whether the last exchange left the connection usable for another one."""
        return not self._aborted and self._http.sock is not None

    @property
    def is_healthy(self) -> bool:
        """Return whether the idle connection is open and has no unexpected data to read."""
        return self._http.is_connected

    def exchange(
        self, request: OutgoingRequest, deadline_ms: int, answer_limit_bytes: int
    ) -> HttpResponse:
        """Send ``request`` and return the whole answer. Raises ExchangeError."""
        step = Step.SEND_HEAD
        self.answer_began = False
        try:
            self._send(request, deadline_ms)
            self.sent_ms = self._clock.monotonic_ms()
            step = Step.FIRST_BYTE
            self._http.timeout = self._remaining_s(deadline_ms)
            response = self._http.getresponse()
            self.answer_began = True
            step = Step.BODY
            body = self._read_body(request, response, deadline_ms, answer_limit_bytes)
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            self.close()
            timed_out = isinstance(error, TimeoutError) or "timed out" in str(error)
            if step is Step.FIRST_BYTE and not isinstance(error, OSError):
                step = Step.BODY  # bytes arrived, but they are not a valid response head
            raise ExchangeError(
                step, _describe_error(error), sent=True, timed_out=timed_out
            ) from error
        except ExchangeError:
            self.close()
            raise
        self.answered_ms = self._clock.monotonic_ms()
        self.sent_ms = None
        headers = tuple(response.headers.items())
        return HttpResponse(response.status, headers, body, response.reason or "")

    def _send(self, request: OutgoingRequest, deadline_ms: int) -> None:
        headers = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
        by_name = {name.lower(): name for name in headers}
        for name, value in request.headers:
            headers.pop(by_name.pop(name.lower(), ""), None)
            headers[name] = value
        self._http.timeout = self._remaining_s(deadline_ms)
        self._http.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def _read_body(self, request, response, deadline_ms: int, limit_bytes: int) -> bytes:
        if response.status not in FINAL_STATUSES:
            raise ExchangeError(
                Step.BODY,
                f"expected the status of a final response, got {response.status}",
                sent=True,
            )
        if not _is_delimited(request.method, response):
            raise ExchangeError(
                Step.BODY, "answer has neither Content-Length nor chunked encoding", sent=True
            )
        # One buffer, as a target may send its body in pieces of a few bytes.
        body = bytearray()
        while True:
            remaining_s = self._remaining_s(deadline_ms)
            self._set_timeout(min(remaining_s, BODY_PROGRESS_TIMEOUT_MS / 1000))
            part = response.read1(READ_SIZE_BYTES, decode_content=False)
            if not part:
                return bytes(body)
            body += part
            if len(body) > limit_bytes:
                raise ExchangeError(Step.BODY, "answer exceeds the size limit", sent=True)

    def _set_timeout(self, timeout_s: float) -> None:
        with contextlib.suppress(OSError):
            self._socket.settimeout(timeout_s)

    def _remaining_s(self, deadline_ms: int) -> float:
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise TimeoutError("timed out: deadline passed")
        return remaining_ms / 1000


def _is_delimited(method: str, response) -> bool:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return response.chunked or "content-length" in response.headers


def _describe_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


@define(eq=False)
class Pool:
    """Idle connections to one address, the most recently used first. Thread-safe."""

    address: str
    clock: Clock
    max_age_ms: int
    _idle: list[Connection] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)
    _generation: int = 0

    def acquire(self, *, answered_recently: bool = False) -> Connection:
        """Return an idle connection, or a new one that isn't connected yet.

        With ``answered_recently``, an idle connection is used only if it answered within
        ``RECENT_ANSWER_MS``, so that a non-repeatable request is not lost on a connection that has
        silently failed.
        """
        while (connection := self._pop()) is not None:
            if self._is_usable(connection, answered_recently):
                return connection
            connection.close()
        return Connection(self.address, self.clock, self._generation)

    def release(self, connection: Connection) -> None:
        """Keep ``connection`` for later calls if its last exchange ended cleanly, else close it."""
        with self._lock:
            is_current = connection.generation == self._generation
            if is_current and connection.is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def discard(self) -> int:
        """Close all idle connections, and those in use once they are released.

        Returns the number of idle ones.
        """
        with self._lock:
            self._generation += 1
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
        return len(idle)

    def expire(self) -> None:
        """Close the idle connections older than ``max_age_ms``, which the peer may close too."""
        oldest_ms = self.clock.monotonic_ms() - self.max_age_ms
        with self._lock:
            expired = [c for c in self._idle if c.created_ms < oldest_ms]
            self._idle = [c for c in self._idle if c.created_ms >= oldest_ms]
        for connection in expired:
            connection.close()

    def _pop(self) -> Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _is_usable(self, connection: Connection, answered_recently: bool) -> bool:
        now_ms = self.clock.monotonic_ms()
        if now_ms - connection.created_ms > self.max_age_ms:
            return False
        if answered_recently and now_ms - (connection.answered_ms or 0) > RECENT_ANSWER_MS:
            return False
        return connection.is_healthy


@define(eq=False)
class Pools:
    """One pool per address. Thread-safe."""

    clock: Clock
    max_age_ms: int
    _pools: dict[str, Pool] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def get(self, address: str) -> Pool:
        """Return the pool of ``address``."""
        with self._lock:
            if address not in self._pools:
                self._pools[address] = Pool(address, self.clock, self.max_age_ms)
            return self._pools[address]

    def discard_all(self) -> int:
        """Discard the connections of every pool, after the process was paused.

        Returns the number of idle ones.
        """
        with self._lock:
            pools = tuple(self._pools.values())
        return sum(pool.discard() for pool in pools)

    def expire(self, addresses: frozenset[str]) -> None:
        """Close connections that are too old, and all to addresses not in ``addresses``."""
        with self._lock:
            gone = [self._pools.pop(a) for a in self._pools.keys() - addresses]
            kept = tuple(self._pools.values())
        for pool in gone:
            pool.discard()
        for pool in kept:
            pool.expire()
