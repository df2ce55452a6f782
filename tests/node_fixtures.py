"""Nodes, targets and callers in one process, for the tests of the request path."""

from __future__ import annotations

import http.client
import json
import socket
import socketserver
import threading
import time
import unittest
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler

from attrs import define, evolve, field, frozen

from cottonlink.decisions import TargetState
from cottonlink.node._calls import CallState
from cottonlink.node._process import Node, make_node
from cottonlink.node._settings import Settings
from cottonlink.observe import Event, EventKind
from cottonlink.policy import Policy, RequestKind, RetryPolicy, Service, Upstream

# Ends a test that hangs; no result depends on it.
TIMEOUT_S = 20
TIMEOUT_MS = 15_000

READ = RequestKind("read", ("GET", "HEAD", "PUT"), "/", 3, True, TIMEOUT_MS)
BOOK = RequestKind("book", ("POST",), "/", 9, False, TIMEOUT_MS)


@frozen
class ReceivedRequest:
    """A request as the target received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@frozen
class Reply:
    """An answer of the target or of a caller's call."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def problem(self) -> dict:
        return json.loads(self.body)

    @property
    def code(self) -> str:
        return self.problem["code"]


class FakeTarget:
    """An HTTP server that answers by calling ``respond``; by default it echoes the body.

    ``cancelled`` are the Cottonlink-Call values of the runs that it was asked to stop.
    """

    def __init__(self) -> None:
        self.received: list[ReceivedRequest] = []
        self.cancelled: list[str] = []
        self.respond: Callable[[BaseHTTPRequestHandler, ReceivedRequest], None] = answer_echo
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle_one_request(self) -> None:
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                headers = {name.lower(): value for name, value in self.headers.items()}
                received = ReceivedRequest(
                    self.command, self.path, headers, self.rfile.read(length)
                )
                if received.path.startswith("/_cancel/"):
                    outer.cancelled.append(received.path.rpartition("/")[2])
                    send(self, 200, b"")
                    return
                outer.received.append(received)
                outer.respond(self, received)

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        for method in ("GET", "HEAD", "POST", "PUT"):
            setattr(Handler, f"do_{method}", Handler.serve)

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


def send(
    handler: BaseHTTPRequestHandler, status: int, body: bytes, length: int | None = None
) -> None:
    """Send an answer; ``length`` overrides the true length."""
    handler.send_response(status)
    handler.send_header("Content-Length", str(len(body) if length is None else length))
    handler.send_header("Keep-Alive", "timeout=5")
    handler.send_header("Cottonlink-Executed", "no")
    handler.end_headers()
    handler.wfile.write(body)


def answer_echo(handler: BaseHTTPRequestHandler, received: ReceivedRequest) -> None:
    """Answer with the body of the request."""
    send(handler, 200, received.body)


def answer_truncated(handler: BaseHTTPRequestHandler, received: ReceivedRequest) -> None:
    """Send fewer bytes than Content-Length announces, and close the connection."""
    send(handler, 200, b"half", length=100)
    handler.close_connection = True


def drop_connection(handler: BaseHTTPRequestHandler, received: ReceivedRequest) -> None:
    """Close the connection without an answer."""
    handler.close_connection = True


class FakeControlPlane:
    """Control plane without peers; records what the node announces."""

    def __init__(self, *_: object) -> None:
        self.state = self
        self.handlers = None
        self.crashes: list[tuple[str, int]] = []
        self.refreshes = 0

    def members(self) -> tuple:
        return ()

    def announce_crash(self, fingerprint: str, level: int) -> None:
        self.crashes.append((fingerprint, level))

    def refresh(self) -> None:
        self.refreshes += 1

    def start(self) -> None:
        """Do nothing."""

    stop = announce_leaving = start


@define
class Fleet:
    """Nodes in this process, each with one target.

    The first node is the upstream of the service ``front``, all others are those of ``desk``.
    """

    nodes: dict[str, Node] = field(factory=dict)
    targets: dict[str, FakeTarget] = field(factory=dict)
    policy: Policy | None = None

    def node(self, name: str) -> Node:
        return self.nodes[name]

    def call(self, node: str, method: str, path: str, **options: object) -> Reply:
        """Send one request to the caller listener of ``node``."""
        return call(self.nodes[node].caller_listener.address, method, path, **options)

    def events(self, node: str, kind: EventKind) -> list[Event]:
        """Return the events of ``kind`` that ``node`` has recorded."""
        return [e for e in self.nodes[node].core.events.events() if e.kind is kind]

    def change_upstream(self, name: str, **addresses: str) -> None:
        """Apply a new policy in which the upstream ``name`` of ``desk`` has ``addresses``."""
        front, desk = self.policy.services
        upstreams = tuple(
            evolve(up, **addresses) if up.name == name else up for up in desk.upstreams
        )
        services = (front, evolve(desk, upstreams=upstreams))
        self.policy = Policy(self.policy.version + 1, services, self.policy.retry)
        for node in self.nodes.values():
            node.core.apply_policy(self.policy)

    def book(self, node: str, path: str = "/desk/book", **headers: str) -> Reply:
        """Send a booking with idempotency key ``k``, and with a new permit unless one is given."""
        fields = {"Idempotency-Key": "k", **headers}
        if "Cottonlink-Permit" not in fields:
            fields["Cottonlink-Permit"] = self.permit(node, path, **headers)
        return self.call(node, "POST", path, body=b"chair", headers=fields)

    def permit(self, node: str, path: str = "/desk/book", **headers: str) -> str:
        """Return a permit for the idempotency key ``k``."""
        reply = self.call(node, "POST", path, headers={"Idempotency-Key": "k", **headers})
        return reply.headers["cottonlink-permit"]

    def stop(self) -> None:
        for node in self.nodes.values():
            node.stop()
        for target in self.targets.values():
            target.stop()


def send_raw(address: str, request: bytes) -> bytes:
    """Send ``request`` and return all bytes received until the connection ends."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(request)
        parts = iter(lambda: connection.recv(65_536), b"")
        return b"".join(parts)


def call(
    address: str, method: str, path: str, *, body: bytes = b"", headers: dict | None = None
) -> Reply:
    """Send one request on a new connection and return the reply."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body=body or None, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, fields, content)
    finally:
        connection.close()


def start_fleet(*names: str, slots: int = 8, **overrides: object) -> Fleet:
    """Start one node per name with its target; the first serves ``front``, the others ``desk``."""
    fleet = Fleet()
    for name in names:
        fleet.targets[name] = FakeTarget()
        settings = make_settings(name, fleet.targets[name].address, overrides)
        fleet.nodes[name] = make_node(settings, make_control=FakeControlPlane)
        fleet.nodes[name].start()
    upstreams = {name: _make_upstream(name, node, slots) for name, node in fleet.nodes.items()}
    front = Service("front", (upstreams[names[0]],), (READ, BOOK))
    desk = Service("desk", tuple(upstreams[name] for name in names[1:]), (READ, BOOK))
    fleet.policy = Policy(1, (front, desk), RetryPolicy())
    for node in fleet.nodes.values():
        node.core.apply_policy(fleet.policy)
        node.core.update_target_state(TargetState.OK)
    return fleet


def make_settings(name: str, target_address: str, overrides: dict | None = None) -> Settings:
    """Return settings of a node that listens on free ports chosen by the system."""
    values = {
        "caller_limit": 16,
        "peer_limit": 16,
        "control_threads": 4,
        **(overrides or {}),
    }
    return Settings(
        node=name,
        data_centre="lalitpur",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        control_address="127.0.0.1:0",
        target_address=target_address,
        seed_control_addresses=(),
        config_service_address="127.0.0.1:9",
        vm_list_address="127.0.0.1:9",
        **values,
    )


def _make_upstream(name: str, node: Node, slots: int) -> Upstream:
    return Upstream(
        name,
        "lalitpur",
        node.peer_listener.address,
        node.control_listener.address,
        slots,
        connections=100,
    )


def wait_until(condition: Callable[[], object]) -> None:
    """Wait until ``condition`` is true; raise AssertionError after ``TIMEOUT_S``."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("the condition did not become true in time")
        time.sleep(0.005)


def wait_until_call_ids_complete(fleet: Fleet) -> None:
    """Wait until node ``b`` can tell that it never saw a call.

    A node can tell that only of calls younger than its record of call ids. ``w`` is an id that no
    call has.
    """
    owner = fleet.nodes["b"].core.owner
    age_ms = fleet.nodes["b"].settings.silence_check_ms
    wait_until(lambda: owner.call_states({"w": 2 * age_ms})["w"] is CallState.NEVER_SEEN)


class FleetTestCase(unittest.TestCase):
    """Runs each test with a fleet of nodes ``names``; ``target`` is that of node ``b``."""

    names = ("a", "b")
    settings: dict[str, object] = {}

    def setUp(self) -> None:
        self.fleet: Fleet = start_fleet(*self.names, **self.settings)
        self.addCleanup(self.fleet.stop)
        self.target = self.fleet.targets["b"]
        self.may_answer = threading.Event()
        self.addCleanup(self.may_answer.set)

    def answer_when_allowed(
        self, handler: BaseHTTPRequestHandler, received: ReceivedRequest
    ) -> None:
        """Echo the body once the test sets ``may_answer``."""
        self.may_answer.wait(TIMEOUT_S)
        answer_echo(handler, received)

    def start_call(self, *arguments: str, **options: object) -> tuple[threading.Thread, list]:
        """Send a call from another thread; return the thread and the list for its reply."""
        replies: list = []
        thread = threading.Thread(
            target=lambda: replies.append(self.fleet.call(*arguments, **options)), daemon=True
        )
        thread.start()
        return thread, replies
