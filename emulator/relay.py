"""A TCP relay that injects faults between a node and its peers or its target."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
from collections.abc import Callable

from attrs import define, field, frozen

from emulator.addresses import split_address

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5
# Closing a socket with a linger time of 0 sends a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Fault(enum.StrEnum):
    """What a relay does to connections."""

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
class FaultSpec:
    """A fault and the byte or time at which it strikes.

    ``after_bytes`` counts bytes of the request or the answer that still pass. ``limit`` is the
    number of connections it strikes; later ones pass. Zero stands for all.
    """

    fault: Fault = Fault.NONE
    after_bytes: int = 0
    delay_ms: int = 0
    limit: int = 0


def reset(connection: socket.socket) -> None:
    """Close ``connection`` with a reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    _shut(connection)


def _shut(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


@define(eq=False)
class _Link:
    """One relayed connection. ``spec`` is replaced when a fault strikes open connections."""

    near: socket.socket
    far: socket.socket
    spec: FaultSpec
    source: str = ""
    thawed: threading.Event = field(factory=threading.Event)
    closed: threading.Event = field(factory=threading.Event)

    def close(self, *, with_reset: bool = False) -> None:
        self.closed.set()
        self.thawed.set()
        for connection in (self.near, self.far):
            if with_reset:
                reset(connection)
            else:
                _shut(connection)


class Relay:
    """Relays ``listen`` to ``upstream``; both are ``ip:port``.

    ``identify`` maps the address of a connecting socket to the name of its process, for cuts
    between sets of nodes. Its result is asked for once for each connection.
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
        self._spec = FaultSpec()
        self._cut_sources: frozenset[str] = frozenset()
        self._links: list[_Link] = []
        self._struck_count = 0
        self._server: socket.socket | None = None
        self._open_server()

    @property
    def struck_count(self) -> int:
        """Number of connections that met the present fault."""
        return self._struck_count

    def inject(self, spec: FaultSpec, *, on_open: bool = False) -> None:
        """Apply ``spec`` to new connections, and with ``on_open`` to those that are open."""
        with self._lock:
            self._spec = spec
            self._struck_count = 0
            links = list(self._links)
        if spec.fault is Fault.REFUSE:
            self._close_server()
        if not on_open:
            return
        for link in links:
            link.spec = spec
            if spec.fault in (Fault.REFUSE, Fault.RESET_ON_ACCEPT):
                link.close(with_reset=True)

    def freeze_open(self) -> None:
        """Make all open connections silent for good, while new ones work."""
        with self._lock:
            links = list(self._links)
        for link in links:
            link.spec = FaultSpec(Fault.SILENT_REQUEST)

    def cut(self, sources: frozenset[str]) -> None:
        """Drop everything from and to the named processes; an empty set ends the cut."""
        with self._lock:
            self._cut_sources = sources
            links = list(self._links)
        for link in links:
            link.spec = self._spec
            if link.source in sources:
                link.spec = FaultSpec(Fault.SILENT_REQUEST)

    def heal(self) -> None:
        """End all faults; held answers go on, silent connections are closed."""
        self.inject(FaultSpec())
        with self._lock:
            self._cut_sources = frozenset()
            links = list(self._links)
        for link in links:
            if link.spec.fault is Fault.SILENT_REQUEST:
                link.close(with_reset=True)
            link.spec = FaultSpec()
            link.thawed.set()
        if self._server is None:
            self._open_server()

    def close(self) -> None:
        """Stop relaying and close all connections."""
        self._close_server()
        with self._lock:
            links = list(self._links)
        for link in links:
            link.close()

    def _open_server(self) -> None:
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(split_address(self._listen))
        server.listen(256)
        self._server = server
        threading.Thread(target=self._accept, args=(server,), daemon=True).start()

    def _close_server(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            _shut(server)

    def _accept(self, server: socket.socket) -> None:
        while True:
            try:
                near, address = server.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(near, address), daemon=True).start()

    def _relay(self, near: socket.socket, address: tuple[str, int]) -> None:
        source = self._identify(address)
        spec = self._spec_for(source)
        if spec.fault is Fault.RESET_ON_ACCEPT:
            reset(near)
            return
        try:
            far = socket.create_connection(split_address(self._upstream), CONNECT_TIMEOUT_S)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        for connection in (near, far):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = _Link(near, far, spec, source)
        with self._lock:
            self._links.append(link)
        backward = threading.Thread(target=self._pump_answers, args=(link,), daemon=True)
        backward.start()
        self._pump_requests(link)
        backward.join()
        with self._lock:
            self._links.remove(link)

    def _spec_for(self, source: str) -> FaultSpec:
        with self._lock:
            if source and source in self._cut_sources:
                return FaultSpec(Fault.SILENT_REQUEST)
            if self._spec.fault is Fault.NONE:
                return self._spec
            if self._spec.limit and self._struck_count >= self._spec.limit:
                return FaultSpec()
            self._struck_count += 1
            return self._spec

    def _pump_requests(self, link: _Link) -> None:
        passed_bytes = 0
        while chunk := _receive(link.near):
            if link.spec.fault is Fault.SILENT_REQUEST:
                continue
            if link.spec.fault is Fault.RESET_IN_REQUEST:
                chunk = chunk[: max(0, link.spec.after_bytes - passed_bytes)]
            _send(link.far, chunk)
            passed_bytes += len(chunk)
            if self._strikes(link, Fault.RESET_IN_REQUEST, passed_bytes):
                link.close(with_reset=True)
                return
        link.close()

    def _pump_answers(self, link: _Link) -> None:
        passed_bytes = 0
        while chunk := _receive(link.far):
            fault = link.spec.fault
            if fault is Fault.SILENT_REQUEST:
                continue
            if fault is Fault.SILENT_ANSWER:
                link.thawed.wait()
            if fault is Fault.DELAY_ANSWER:
                link.closed.wait(link.spec.delay_ms / 1000)
            if fault in (Fault.TRUNCATE_ANSWER, Fault.RESET_IN_ANSWER):
                chunk = chunk[: max(0, link.spec.after_bytes - passed_bytes)]
            _send(link.near, chunk * 2 if fault is Fault.DUPLICATE_ANSWER else chunk)
            passed_bytes += len(chunk)
            if self._strikes(link, Fault.RESET_IN_ANSWER, passed_bytes):
                link.close(with_reset=True)
                return
            if self._strikes(link, Fault.TRUNCATE_ANSWER, passed_bytes):
                break
        link.close()

    def _strikes(self, link: _Link, fault: Fault, passed_bytes: int) -> bool:
        return link.spec.fault is fault and passed_bytes >= link.spec.after_bytes


def _receive(connection: socket.socket) -> bytes:
    try:
        return connection.recv(CHUNK_BYTES)
    except OSError:
        return b""


def _send(connection: socket.socket, chunk: bytes) -> None:
    with contextlib.suppress(OSError):
        connection.sendall(chunk)
