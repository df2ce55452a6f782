"""Long bodies: passed on while they arrive, as fast as their readers take them, and held once.

Guards against nodes that exceeded their memory with a few large bodies or slow readers
(docs/incidents/memory-of-long-bodies.md).
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
import unittest
from collections.abc import Callable
from unittest import mock

from cottonlink.path._body import LONG_BODY_BYTES
from cottonlink.path._body_stream import WINDOW_BYTES
from cottonlink.path.callers._caller_connection import WRITE_BUFFER_LIMIT_BYTES
from cottonlink.path.peers._frames import PingFrame, encode
from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.platform_fixtures import WAIT_TIMEOUT_S, Caller, FleetCase, Vm, request_bytes

READS = route_resource("reads", "shop.example", "/reads/", "browse", timeout_s=30)
BOOKINGS = route_resource(
    "bookings", "shop.example", "/bookings/", "booking", kind="unsafe", timeout_s=30, priority=0
)
LONG_BODY = random.Random(7).randbytes(6_000_000)
# A small window keeps most of a response on the side of its sender.
SMALL_BUFFER_BYTES = 16_384
OTHER_CALLS = 30


class LongBodyCase(FleetCase):
    """A VM whose target serves reads and one whose target takes bookings."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reads = await self.add_vm("browse", "i-1")
        self.booking = await self.add_vm("booking", "i-2")
        await self.store.put(
            "op/config", configuration(4, READS, BOOKINGS, max_body_bytes=8_000_000)
        )
        await self.wait_until_version(4)

    async def connect_slowly(self, vm: Vm) -> Caller:
        """Connect as a caller with a small window, which reads only when it is told to."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, vm.caller_address)
        reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
        self.addCleanup(writer.close)
        return Caller(reader, writer)


async def read_response(caller: Caller) -> tuple[bytes, bytes, bool]:
    """Return head and body of a response with a length, and whether it is whole."""
    head = await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    try:
        body = await asyncio.wait_for(caller.reader.readexactly(length), WAIT_TIMEOUT_S)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return head, getattr(error, "partial", b""), False
    return head, body, True


async def answer_long(
    target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
) -> bytes:
    """Answer reads of reports with LONG_BODY, other requests as usual."""
    return target.success_response(request, LONG_BODY if "report" in request.target else None)


def head_of(request: ReceivedRequest, *lines: str) -> bytes:
    """Return the head of a success with further header lines."""
    attempt = request.header("x-attempt-id")
    parts = ("HTTP/1.1 200 OK", f"X-Attempt-Id: {attempt}", "X-Server-Seal: s", *lines, "", "")
    return "\r\n".join(parts).encode()


class TestLongResponses(LongBodyCase):
    """Responses that are longer than a node holds."""

    async def test_slow_reader_holds_back_the_target(self) -> None:
        """Neither node may take more of a response than its window while the caller pauses."""
        for vm in self.vms:
            with self.subTest(service=vm.settings.service):
                self.reads.target.behaviour = answer_long
                caller = await self.connect_slowly(vm)
                caller.writer.write(request_bytes("/reads/report", remaining_ms=25_000))
                await self.wait_until(lambda vm=vm: held_bytes(vm) > WINDOW_BYTES // 2)
                await asyncio.sleep(0.3)
                for other in self.vms:
                    self.assertLess(held_bytes(other), 2 * WINDOW_BYTES + WRITE_BUFFER_LIMIT_BYTES)
                head, body, is_whole = await read_response(caller)
                self.assertIn(b"200", head.partition(b"\r\n")[0])
                self.assertTrue(is_whole)
                self.assertEqual(digest(body), digest(LONG_BODY))
                await self.wait_until(lambda: self.reads.node.dispatcher.is_idle)
                # The connection goes on.
                caller.writer.write(request_bytes("/reads/2", attempt="a2"))
                self.assertEqual((await caller.response()).body, b"i-1:/reads/2")
        self.assertEqual(self.booking.node.memory.total_bytes, 0)

    async def test_reader_that_stops_holds_up_no_other_call(self) -> None:
        """All calls between two nodes share a connection, and one caller may never read on."""
        self.reads.target.behaviour = answer_long
        for number in range(3):
            caller = await self.connect_slowly(self.booking)
            caller.writer.write(
                request_bytes("/reads/report", attempt=f"r{number}", remaining_ms=25_000)
            )
        await self.wait_until(lambda: held_bytes(self.booking) > 3 * WINDOW_BYTES // 2)
        caller = await self.connect(self.booking)
        for number in range(OTHER_CALLS):
            caller.writer.write(request_bytes(f"/reads/{number}", attempt=f"a{number}"))
            response = await caller.response()
            self.assertEqual((response.status, response.body), (200, b"i-1:/reads/%d" % number))

    async def test_long_response_of_unknown_length_is_passed_on(self) -> None:
        """In chunks, or until the end of the connection; a caller gets chunks in both cases."""

        async def chunked(
            _target: object, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes:
            chunk = b"%x\r\n%b\r\n" % (len(LONG_BODY), LONG_BODY)
            return head_of(request, "Transfer-Encoding: chunked") + chunk + b"0\r\n\r\n"

        async def unframed(
            _target: object, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(head_of(request) + LONG_BODY)
            await writer.drain()

        for behaviour in (chunked, unframed):
            for vm in self.vms:
                with self.subTest(behaviour=behaviour.__name__, service=vm.settings.service):
                    self.reads.target.behaviour = behaviour
                    caller = await self.connect(vm)
                    caller.writer.write(request_bytes("/reads/report", remaining_ms=25_000))
                    head = await caller.reader.readuntil(b"\r\n\r\n")
                    self.assertIn(b"Transfer-Encoding: chunked\r\n", head)
                    self.assertEqual(digest(await read_chunks(caller)), digest(LONG_BODY))

    async def test_long_response_that_ends_early_never_looks_complete(self) -> None:
        """Its head has been passed on, so that only the end of the connection can tell."""
        framings = {
            "length": ("Content-Length: 6000000", b""),
            "chunks": ("Transfer-Encoding: chunked", b"5b8d80\r\n"),
        }
        for name, (line, prefix) in framings.items():

            async def cut_short(
                _target: object,
                request: ReceivedRequest,
                writer: asyncio.StreamWriter,
                line: str = line,
                prefix: bytes = prefix,
            ) -> None:
                writer.write(head_of(request, line) + prefix + LONG_BODY[:3_000_000])
                await writer.drain()

            for vm in self.vms:
                with self.subTest(name=name, service=vm.settings.service):
                    self.reads.target.behaviour = cut_short
                    caller = await self.connect(vm)
                    caller.writer.write(
                        request_bytes("/reads/report", attempt="a1", remaining_ms=25_000)
                        + request_bytes("/reads/2", attempt="a2")
                    )
                    received = bytearray()
                    while data := await read_until_end(caller):
                        received += data
                    self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
                    self.assertNotIn(b"0\r\n\r\n", received[-16:])
                    self.assertLess(len(received), 3_100_000)
                    self.assertIn(
                        b'answers_cut_short_total{reason="response_cut_short"}',
                        vm.node.state.metrics.render(),
                    )

    async def test_target_stops_a_read_that_its_caller_has_left(self) -> None:
        """A target must not go on sending to nobody."""
        ended: list[bool] = []

        async def watch(
            target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(target.success_response(request, LONG_BODY))
            try:
                await writer.drain()
                while not writer.transport.is_closing():
                    await asyncio.sleep(0.01)
            finally:
                ended.append(True)

        for vm in self.vms:
            with self.subTest(service=vm.settings.service):
                ended.clear()
                self.reads.target.behaviour = watch
                caller = await self.connect_slowly(vm)
                caller.writer.write(request_bytes("/reads/report", remaining_ms=25_000))
                await self.wait_until(lambda vm=vm: held_bytes(vm) > 0)
                caller.writer.transport.abort()
                await self.wait_until(lambda: bool(ended))
                await self.wait_until(lambda: self.reads.node.dispatcher.is_idle)

    async def test_booking_runs_to_its_end_though_its_caller_has_left(self) -> None:
        """A run that may not be repeated isn't ended by its caller, nor by its long response."""
        whole: list[bool] = []

        async def watch(
            target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(target.success_response(request, LONG_BODY))
            await writer.drain()
            await self.wait_until(lambda: writer.transport.get_write_buffer_size() == 0)
            whole.append(not writer.transport.is_closing())

        self.booking.target.behaviour = watch
        for vm in self.vms:
            with self.subTest(service=vm.settings.service):
                whole.clear()
                caller = await self.connect_slowly(vm)
                caller.writer.write(
                    request_bytes("/bookings/1", method="POST", body=b"x", remaining_ms=25_000)
                )
                await self.wait_until(lambda vm=vm: held_bytes(vm) > 0)
                caller.writer.transport.abort()
                await self.wait_until(lambda: bool(whole))
                self.assertEqual(whole, [True])
                await self.wait_until(lambda: self.booking.node.dispatcher.is_idle)


class TestLongRequests(LongBodyCase):
    """Requests whose bodies need room."""

    async def upload(self, vm: Vm, *, in_chunks: bool = False, attempt: str = "a1") -> Caller:
        """Send a booking with a long body; return its caller."""
        caller = await self.connect(vm)
        if in_chunks:
            head = request_bytes(
                "/bookings/1",
                "Transfer-Encoding: chunked",
                method="POST",
                attempt=attempt,
                remaining_ms=20_000,
            )
            parts = range(0, len(LONG_BODY), 50_000)
            chunks = [LONG_BODY[start : start + 50_000] for start in parts]
            body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
            caller.writer.write(head + body + b"0\r\n\r\n")
        else:
            caller.writer.write(
                request_bytes(
                    "/bookings/1",
                    method="POST",
                    body=LONG_BODY,
                    attempt=attempt,
                    remaining_ms=20_000,
                )
            )
        return caller

    async def test_long_body_reaches_its_target_unchanged(self) -> None:
        """By length and in chunks, at the node next to the target and at another one."""
        for vm in self.vms:
            for in_chunks in (False, True):
                with self.subTest(service=vm.settings.service, in_chunks=in_chunks):
                    caller = await self.upload(vm, in_chunks=in_chunks)
                    self.assertEqual((await caller.response()).status, 200)
                    run = self.booking.target.runs.pop()
                    self.assertEqual(digest(run.body), digest(LONG_BODY))
                    caller.close()
        await self.wait_until(lambda: all(vm.node.memory.total_bytes == 0 for vm in self.vms))

    async def test_body_without_room_waits_and_is_refused_unrun(self) -> None:
        """At the node where it comes in, and at the one next to its target."""
        self.booking.target.answer_gate.clear()
        for full in self.vms:
            with self.subTest(full=full.settings.service):
                full.node.memory.limit_bytes = len(LONG_BODY) + 1_000
                other = await self.upload(self.reads, attempt="first")
                await self.wait_until(lambda: len(self.booking.target.runs) == 1)
                refused = await self.upload(self.reads, attempt="second")
                response = await refused.response()
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers["retry-after"]), 0)
                self.assertEqual(len(self.booking.target.runs), 1)
                # Requests without a long body aren't held up.
                read = await self.call(self.booking, "/reads/1")
                self.assertEqual(read.status, 200)
                self.booking.target.answer_gate.set()
                self.assertEqual((await other.response()).status, 200)
                self.booking.target.answer_gate.clear()
                self.booking.target.runs.clear()
                full.node.memory.limit_bytes = 100_000_000
        rendered = self.reads.node.state.metrics.render()
        self.assertIn(b'requests_refused_total{reason="memory_full"} 2', rendered)

    async def test_peer_that_stops_sending_a_body_keeps_no_room(self) -> None:
        """A frozen node would hold it at the one next to the target until it wakes."""
        self.booking.node.memory.limit_bytes = len(LONG_BODY) + 1_000
        caller = await self.connect(self.reads)
        # Neither the body nor the end of its call arrives.
        is_frozen = mock.patch("cottonlink.path.peers._peer_links.RequestBodySender.grant")
        is_silent = mock.patch("cottonlink.path.peers._peer_links._Connection.cancel")
        with is_frozen, is_silent:
            request = request_bytes("/bookings/1", method="POST", body=LONG_BODY, remaining_ms=400)
            caller.writer.write(request)
            await self.wait_until(lambda: self.booking.node.memory.total_bytes > 0)
            self.assertIn((await caller.response()).status, (503, 504))
        await self.wait_until(lambda: self.booking.node.memory.total_bytes == 0)
        self.assertEqual(self.booking.target.runs, [])

    async def test_waiting_body_is_read_once_another_has_left(self) -> None:
        """Two bodies that don't fit together are served one after the other."""
        self.reads.node.memory.limit_bytes = len(LONG_BODY) + 1_000
        callers = [await self.upload(self.reads, attempt=f"a{number}") for number in range(2)]
        statuses = [(await caller.response()).status for caller in callers]
        self.assertEqual(statuses, [200, 200])

    async def test_caller_is_asked_for_its_body_when_there_is_room(self) -> None:
        """With ``Expect: 100-continue`` a body that would have to wait isn't even sent."""
        self.reads.node.memory.limit_bytes = len(LONG_BODY) + 1_000
        held = self.reads.node.memory.take("test", 2_000)
        caller = await self.connect(self.reads)
        request = request_bytes(
            "/bookings/1", "Expect: 100-continue", method="POST", body=LONG_BODY
        )
        head = request[: -len(LONG_BODY)]
        caller.writer.write(head)
        await asyncio.sleep(0.1)
        self.assertEqual(len(caller.reader._buffer), 0)
        del held
        interim = await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        self.assertEqual(interim, b"HTTP/1.1 100 Continue\r\n\r\n")
        caller.writer.write(LONG_BODY)
        self.assertEqual((await caller.response()).status, 200)

    async def test_slow_readers_beyond_the_memory_are_refused_least_important_first(self) -> None:
        """What slow readers hold can't wait for room, so new requests are refused instead."""
        memory = self.reads.node.memory
        held = memory.take("test", memory.limit_bytes + 1)
        response = await self.call(self.reads, "/reads/1")
        self.assertEqual((response.status, "retry-after" in response.headers), (503, True))
        booking = await self.call(self.reads, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(booking.status, 200)
        del held
        self.assertEqual((await self.call(self.reads, "/reads/1")).status, 200)


class TestEarlierBuilds(LongBodyCase):
    """Nodes of which one doesn't know the frames for long bodies."""

    async def test_peer_of_an_earlier_build_gets_and_sends_whole_bodies(self) -> None:
        """Fleets are replaced node by node."""
        self.reads.target.behaviour = answer_long
        earlier_server = mock.patch("cottonlink.path.peers._peer_server.TAKES_PIECES", -1)
        earlier_client = mock.patch("cottonlink.path.peers._peer_links.TAKES_PIECES", 0)
        for name, patch in {"server": earlier_server, "client": earlier_client}.items():
            with self.subTest(earlier=name), patch:
                self.close_links()
                caller = await self.connect(self.booking)
                caller.writer.write(request_bytes("/reads/report", remaining_ms=20_000))
                _, body, _ = await read_response(caller)
                self.assertEqual(digest(body), digest(LONG_BODY))
                response = await self.call(
                    self.reads,
                    "/bookings/1",
                    method="POST",
                    body=LONG_BODY,
                    remaining_ms=20_000,
                )
                self.assertEqual(response.status, 200)
                self.assertEqual(digest(self.booking.target.runs.pop().body), digest(LONG_BODY))

    def close_links(self) -> None:
        """Close all links, which are opened again by the next call."""
        for vm in self.vms:
            for link in vm.node.state.peer_links.all():
                for connection in list(link._connections):
                    connection.transport.abort()

    async def test_long_call_waits_for_what_its_peer_knows(self) -> None:
        """A link that has just been opened must not carry a long body in one frame."""
        sent: list[object] = []
        with mock.patch(
            "cottonlink.path.peers._peer_links.encode", side_effect=record_frames(sent)
        ):
            self.close_links()
            response = await self.call(
                self.reads, "/bookings/1", method="POST", body=LONG_BODY, remaining_ms=20_000
            )
        self.assertEqual(response.status, 200)
        self.assertIsInstance(sent[0], PingFrame)
        self.assertLess(max(len(getattr(f, "body", b"")) for f in sent), LONG_BODY_BYTES)


def record_frames(sent: list[object]) -> Callable[[object], bytes]:
    """Return ``encode``, which appends the frames to ``sent``."""

    def record(frame: object) -> bytes:
        sent.append(frame)
        return encode(frame)

    return record


def held_bytes(vm: Vm) -> int:
    """Return what a node has written to callers and peers that the kernel hasn't taken yet."""
    node = vm.node
    connections = [*node._caller_connections, *node._peer_connections]
    return sum(connection.buffered_bytes for connection in connections)


def digest(body: bytes) -> str:
    """Return a hash, in place of a body in a message."""
    return f"{len(body)}:{hashlib.sha256(body).hexdigest()}"


async def read_until_end(caller: Caller) -> bytes:
    """Return the next bytes, or none at the end of the connection."""
    try:
        return await asyncio.wait_for(caller.reader.read(65_536), WAIT_TIMEOUT_S)
    except ConnectionError:
        return b""


async def read_chunks(caller: Caller) -> bytes:
    """Return a body in chunks."""
    body = bytearray()
    while True:
        line = await asyncio.wait_for(caller.reader.readuntil(b"\r\n"), WAIT_TIMEOUT_S)
        length = int(line, 16)
        body += (await caller.reader.readexactly(length + 2))[:-2]
        if length == 0:
            return bytes(body)


del LongBodyCase, FleetCase


if __name__ == "__main__":
    unittest.main()
