"""A TCP relay that injects faults between a node and its peers, target, callers or platform."""

from __future__ import annotations

import contextlib
import enum
import re
import socket
import struct
import threading
import time
from collections.abc import Callable

from attrs import define, field, frozen

from emulator.addresses import split_address
from emulator.gates import Direction, Gate, ReleaseMode

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5
LENGTH_PATTERN = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
# Closing a socket with a linger time of 0 sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SLOW_CHUNK_BYTES = 1_024
SLOW_PAUSE_S = 0.01


class Fault(enum.StrEnum):
    """What a relay does to connections.

    ``SILENT_REQUEST`` drops all bytes in both directions; ``SILENT_ANSWER`` only withholds answers
    until the faults are cleared. ``TRUNCATE_ANSWER`` closes the connection with FIN, ``RESET_*``
    with RST.
    """

    NONE = "none"
    REFUSE = "refuse"
    RESET_ON_ACCEPT = "reset_on_accept"
    RESET_IN_REQUEST = "reset_in_request"
    RESET_IN_ANSWER = "reset_in_answer"
    SILENT_REQUEST = "silent_request"
    SILENT_ANSWER = "silent_answer"
    TRUNCATE_ANSWER = "truncate_answer"
    DELAY_ANSWER = "delay_answer"
    DUPLICATE_ANSWER = "duplicate_answer"


@frozen
class InjectedFault:
    """A fault and its parameters.

    ``after_bytes`` bytes of the request or the answer are forwarded before the fault takes effect.
    ``delay_ms`` is how long ``DELAY_ANSWER`` holds back each chunk.
    """

    fault: Fault = Fault.NONE
    after_bytes: int = 0
    delay_ms: int = 0


DROP_ALL = InjectedFault(Fault.SILENT_REQUEST)


def close_with_reset(connection: socket.socket) -> None:
    """Close ``connection`` with RST."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    _close_socket(connection, socket.SHUT_RD)


def _close_socket(connection: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(how)
    connection.close()


@define(eq=False)
class _ConnectionPair:
    """The two sockets of one relayed connection, and the fault that applies to it.

    ``injected`` is replaced when a fault applies to open connections. ``gate`` is the gate whose
    ``marker`` the request contained; ``gated_bytes`` counts the bytes forwarded in the gate's
    direction since then, and ``gated_content`` holds them.
    """

    client: socket.socket
    upstream_socket: socket.socket
    injected: InjectedFault
    source: str = ""
    released: threading.Event = field(factory=threading.Event)
    closed: threading.Event = field(factory=threading.Event)
    gate: Gate | None = None
    marker: bytes = b""
    gated_bytes: int = 0
    gated_content: bytes = b""

    def close(self, *, with_reset: bool = False) -> None:
        self.closed.set()
        self.released.set()
        for connection in (self.client, self.upstream_socket):
            if with_reset:
                close_with_reset(connection)
            else:
                _close_socket(connection)


class Relay:
    """Relays connections from address ``listen`` to ``upstream``; both are ``ip:port``.

    ``identify`` maps the address of a connecting socket to the name of its process, which
    ``partition_from`` needs; it is called once for each connection.
    """

    def __init__(
        self,
        listen: str,
        upstream: str,
        identify: Callable[[tuple[str, int]], str] = lambda address: "",
    ) -> None:
        self._listen = listen
        self._upstream = upstream
        self._identify = identify
        self._lock = threading.Lock()
        self._injected = InjectedFault()
        self._partitioned_sources: frozenset[str] = frozenset()
        self._gate: Gate | None = None
        self._pairs: list[_ConnectionPair] = []
        self._listener: socket.socket | None = None
        self._start_listening()

    def set_gate(self, gate: Gate | None) -> None:
        """Hold connections at ``gate``; None removes the gate and releases what it holds."""
        previous, self._gate = self._gate, gate
        if previous is not None:
            previous.release()

    def inject(self, injected: InjectedFault, *, include_open: bool = False) -> None:
        """Apply a fault to new connections and, with ``include_open``, to those that are open."""
        with self._lock:
            self._injected = injected
            pairs = list(self._pairs)
        if injected.fault is Fault.REFUSE:
            self._stop_listening()
        if not include_open:
            return
        for pair in pairs:
            pair.injected = injected
            if injected.fault in (Fault.REFUSE, Fault.RESET_ON_ACCEPT):
                pair.close(with_reset=True)

    def silence_open_connections(self) -> None:
        """Drop all bytes on the open connections from now on; new connections work."""
        for pair in self._open_pairs():
            pair.injected = DROP_ALL

    def partition_from(self, sources: frozenset[str]) -> None:
        """Drop all bytes from and to the named processes; an empty set ends the partition."""
        with self._lock:
            self._partitioned_sources = sources
        for pair in self._open_pairs():
            pair.injected = DROP_ALL if pair.source in sources else self._injected

    def clear_faults(self) -> None:
        """End all faults; withheld answers are sent, silent connections are reset."""
        self.inject(InjectedFault())
        with self._lock:
            self._partitioned_sources = frozenset()
        for pair in self._open_pairs():
            if pair.injected.fault is Fault.SILENT_REQUEST:
                pair.close(with_reset=True)
            pair.injected = InjectedFault()
            pair.released.set()
        if self._listener is None:
            self._start_listening()

    def close(self) -> None:
        """Stop relaying and close all connections."""
        self.set_gate(None)
        self._stop_listening()
        for pair in self._open_pairs():
            pair.close()

    def _open_pairs(self) -> list[_ConnectionPair]:
        with self._lock:
            return list(self._pairs)

    def _start_listening(self) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(self._listen))
        listener.listen(256)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _stop_listening(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            _close_socket(listener)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, address = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(client, address), daemon=True).start()

    def _relay(self, client: socket.socket, address: tuple[str, int]) -> None:
        source = self._identify(address)
        injected = self._fault_for(source)
        if injected.fault is Fault.RESET_ON_ACCEPT:
            close_with_reset(client)
            return
        try:
            upstream_socket = socket.create_connection(
                split_address(self._upstream), CONNECT_TIMEOUT_S
            )
        except OSError:
            close_with_reset(client)
            return
        upstream_socket.settimeout(None)
        for connection in (client, upstream_socket):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _ConnectionPair(client, upstream_socket, injected, source)
        with self._lock:
            self._pairs.append(pair)
        answer_thread = threading.Thread(target=self._forward_answers, args=(pair,), daemon=True)
        answer_thread.start()
        self._forward_requests(pair)
        answer_thread.join()
        with self._lock:
            self._pairs.remove(pair)

    def _fault_for(self, source: str) -> InjectedFault:
        with self._lock:
            return DROP_ALL if source and source in self._partitioned_sources else self._injected

    def _forward_requests(self, pair: _ConnectionPair) -> None:
        passed_bytes = 0
        while chunk := _receive(pair.client):
            if pair.injected.fault is Fault.SILENT_REQUEST:
                continue
            self._match_gate(pair, chunk)
            if pair.injected.fault is Fault.RESET_IN_REQUEST:
                chunk = chunk[: max(0, pair.injected.after_bytes - passed_bytes)]
            if not self._forward(pair, pair.upstream_socket, chunk, Direction.REQUEST):
                return
            passed_bytes += len(chunk)
            if self._is_due(pair, Fault.RESET_IN_REQUEST, passed_bytes):
                pair.close(with_reset=True)
                return
        pair.close()

    def _forward_answers(self, pair: _ConnectionPair) -> None:
        passed_bytes = 0
        while chunk := _receive(pair.upstream_socket):
            fault = pair.injected.fault
            if fault is Fault.SILENT_REQUEST:
                continue
            if fault is Fault.SILENT_ANSWER:
                pair.released.wait()
            if fault is Fault.DELAY_ANSWER:
                pair.closed.wait(pair.injected.delay_ms / 1000)
            if fault in (Fault.TRUNCATE_ANSWER, Fault.RESET_IN_ANSWER):
                chunk = chunk[: max(0, pair.injected.after_bytes - passed_bytes)]
            if fault is Fault.DUPLICATE_ANSWER:
                chunk = _read_answer(pair.upstream_socket, chunk) * 2
            if not self._forward(pair, pair.client, chunk, Direction.ANSWER):
                return
            passed_bytes += len(chunk)
            if self._is_due(pair, Fault.RESET_IN_ANSWER, passed_bytes):
                pair.close(with_reset=True)
                return
            if self._is_due(pair, Fault.TRUNCATE_ANSWER, passed_bytes):
                break
        pair.close()

    def _is_due(self, pair: _ConnectionPair, fault: Fault, passed_bytes: int) -> bool:
        return pair.injected.fault is fault and passed_bytes >= pair.injected.after_bytes

    def _match_gate(self, pair: _ConnectionPair, chunk: bytes) -> None:
        """Assign the gate to ``pair`` if the request contains one of its markers."""
        gate = self._gate
        marker = gate.take_marker(chunk) if gate is not None else b""
        if marker:
            pair.gate = gate
            pair.marker = marker
            pair.gated_bytes = 0
            pair.gated_content = b""

    def _forward(
        self, pair: _ConnectionPair, to: socket.socket, chunk: bytes, direction: Direction
    ) -> bool:
        """Forward ``chunk``, after a hold if the gate requires it; return whether to continue."""
        gate = pair.gate
        if gate is None or gate.direction is not direction:
            _send(to, chunk)
            return True
        pair.gated_content += chunk
        remaining_bytes = gate.after_bytes - pair.gated_bytes
        pair.gated_bytes += len(chunk)
        if remaining_bytes < 0 or len(chunk) <= remaining_bytes:
            _send(to, chunk)
            return True
        _send(to, chunk[:remaining_bytes])
        return self._continue_after_hold(
            pair, to, chunk, remaining_bytes, gate.wait_release(pair.marker)
        )

    def _continue_after_hold(
        self,
        pair: _ConnectionPair,
        to: socket.socket,
        chunk: bytes,
        remaining_bytes: int,
        mode: ReleaseMode,
    ) -> bool:
        rest = chunk[remaining_bytes:]
        if mode is ReleaseMode.RESET:
            pair.close(with_reset=True)
            return False
        if mode is ReleaseMode.TRUNCATE:
            pair.close()
            return False
        if mode is ReleaseMode.SILENT:
            pair.injected = DROP_ALL
            return True
        if mode is ReleaseMode.SLOW:
            for start in range(0, len(rest), SLOW_CHUNK_BYTES):
                _send(to, rest[start : start + SLOW_CHUNK_BYTES])
                time.sleep(SLOW_PAUSE_S)
            return True
        _send(to, rest)
        if mode is ReleaseMode.DUPLICATE:
            self._send_duplicate(pair, to)
        return True

    def _send_duplicate(self, pair: _ConnectionPair, to: socket.socket) -> None:
        """Send the rest of the answer, then the complete answer a second time."""
        complete_answer = _read_answer(pair.upstream_socket, pair.gated_content)
        _send(to, complete_answer[len(pair.gated_content) :] + complete_answer)


def _receive(connection: socket.socket) -> bytes:
    try:
        return connection.recv(CHUNK_BYTES)
    except OSError:
        return b""


def _read_answer(connection: socket.socket, start: bytes) -> bytes:
    """Return the complete HTTP answer that begins with ``start``."""
    answer = start
    while not _is_complete(answer):
        chunk = _receive(connection)
        if not chunk:
            break
        answer += chunk
    return answer


def _is_complete(answer: bytes) -> bool:
    head, separator, body = answer.partition(b"\r\n\r\n")
    length = LENGTH_PATTERN.search(head)
    return bool(separator) and len(body) >= (int(length.group(1)) if length else 0)


def _send(connection: socket.socket, chunk: bytes) -> None:
    with contextlib.suppress(OSError):
        connection.sendall(chunk)
