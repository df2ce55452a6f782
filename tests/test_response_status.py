"""Responses whose status HTTP doesn't define, on each path on which a status arrives.

Guards against a target's status 000 that reached the caller as an answer
(docs/incidents/status-that-is-none.md).
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import threading
import unittest

import msgpack

from cottonlink._clock import SystemClock
from cottonlink.node._pool import Connection, ExchangeError, OutgoingRequest
from cottonlink.path._http_client import ExchangeFailed
from cottonlink.path._model import Answered, OutcomeUnknown
from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import LongAnswerFrame, OutcomeFrame, encode
from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.connection_fixtures import ConnectionCase
from tests.platform_fixtures import FleetCase, Vm

# Not in the range of RFC 9110, section 15, or written with another number of digits.
INVALID_STATUSES = ("000", "001", "042", "099", "600", "700", "999")
UNREADABLE_STATUSES = (
    "0",
    "20",
    "2000",
    "-20",
    "+20",
    "2 0",
    "0x0",
    "2e2",
    "",
    "\u0662\u0660\u0660",
)
VALID_STATUSES = (200, 204, 226, 299, 302, 400, 404, 418, 451, 499, 500, 503, 511, 599)
FRAMINGS = ("length", "empty", "chunks", "end of the connection")
BODY = b"a body that is no answer"
CLOCK = SystemClock()


def response_bytes(status: str, framing: str, request_id: str = "a1") -> bytes:
    """Return a response that has everything but a proper status."""
    head = f"HTTP/1.1 {status} Odd\r\nX-Attempt-Id: {request_id}\r\nX-Server-Seal: s1\r\n".encode()
    return (
        head
        + {
            "length": b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
            "empty": b"Content-Length: 0\r\n\r\n",
            "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
            % (len(BODY), BODY),
            "end of the connection": b"\r\n" + BODY,
        }[framing]
    )


class TestStatusOfTargets(ConnectionCase):
    """The status line of a response of a target or of the store."""

    def receive(self, data: bytes, *, ends: bool) -> list[object]:
        """Return the results of a request to which ``data`` comes, and maybe the end."""
        self.setUp()
        self.feed((data,))
        if ends and self.connection.is_open and not self.results:
            self.connection.eof_received()
            self.connection.connection_lost(None)
        return self.results

    def test_invalid_status_is_no_response(self) -> None:
        """Whatever ends the response, the request has one result, and fails at once."""
        for status, framing in itertools.product(
            (*INVALID_STATUSES, *UNREADABLE_STATUSES), FRAMINGS
        ):
            for behind in (b"", response_bytes("200", "length")):
                with self.subTest(status=status, framing=framing, behind=behind[:12]):
                    data = response_bytes(status, framing) + behind
                    (result,) = self.receive(data, ends=framing == FRAMINGS[-1])
                    self.assertEqual(result, ExchangeFailed("bad_answer", True, False))
                    self.assertFalse(self.connection.is_reusable)

    def test_valid_status_is_returned(self) -> None:
        """Also one that no standard names."""
        for status, framing in itertools.product(VALID_STATUSES, FRAMINGS):
            with self.subTest(status=status, framing=framing):
                data = response_bytes(str(status), "empty" if status == 204 else framing)
                (result,) = self.receive(data, ends=True)
                self.assertEqual(result.status, status)

    def test_interim_response_is_skipped(self) -> None:
        """All from 100 to 199 but the switch to another protocol."""
        for status in (100, 102, 103, 110, 199):
            with self.subTest(status=status):
                interim = f"HTTP/1.1 {status} Wait\r\n\r\n".encode()
                (result,) = self.receive(interim * 2 + response_bytes("200", "length"), ends=False)
                self.assertEqual((result.status, bytes(result.body)), (200, BODY))

    def test_end_behind_an_interim_response_is_no_answer(self) -> None:
        """An interim response isn't a final one whose body the end of the connection ends."""
        for status in (100, 103, 199):
            with self.subTest(status=status):
                data = f"HTTP/1.1 {status} Wait\r\nX-Attempt-Id: a1\r\n\r\n".encode()
                (result,) = self.receive(data, ends=True)
                self.assertIsInstance(result, ExchangeFailed)


class TestStatusInFrames(unittest.TestCase):
    """What an earlier build of a peer may send."""

    def test_invalid_status_costs_its_call_only(self) -> None:
        """Other calls share the connection, and this one may have run."""
        for status in INVALID_STATUSES:
            answer = Answered(int(status), (), BODY)
            for frame in (OutcomeFrame(7, answer), LongAnswerFrame(7, answer, 1_000_000)):
                (read,) = FrameReader().feed(encode(frame))
                self.assertEqual(read, OutcomeFrame(7, OutcomeUnknown("bad_answer")))

    def test_valid_status_is_read(self) -> None:
        """The same range as in responses of targets."""
        for status in VALID_STATUSES:
            (read,) = FrameReader().feed(encode(OutcomeFrame(7, Answered(status, (), BODY))))
            self.assertEqual(read.outcome.status, status)

    def test_status_of_another_type_ends_the_connection(self) -> None:
        """That is no frame of any build."""
        data = encode(OutcomeFrame(7, Answered(200, (), BODY)))
        fields = msgpack.unpackb(data, use_list=True, raw=False)
        for value in (-1, "200", None, 2.5, True, 2**63):
            fields[2] = value
            with self.subTest(value=value), self.assertRaises(Exception) as caught:
                list(FrameReader().feed(msgpack.packb(fields)))
            self.assertEqual(getattr(caught.exception, "code", None), "peer_frame_invalid")


class TestStatusOnTheThreadedPath(unittest.TestCase):
    """Responses that the project's own interface reads."""

    def test_invalid_status_is_an_error(self) -> None:
        """The request may have run, so nothing else may be said of it."""
        for status in (*INVALID_STATUSES, *UNREADABLE_STATUSES[:-1]):
            with self.subTest(status=status):
                connection = Connection(self.serve_once(response_bytes(status, "length")), CLOCK)
                connection.connect(1_000)
                self.addCleanup(connection.close)
                with self.assertRaises(ExchangeError) as caught:
                    deadline_ms = CLOCK.monotonic_ms() + 5_000
                    request = OutgoingRequest("POST", "/1", (), b"x")
                    connection.exchange(request, deadline_ms, 1_000)
                self.assertTrue(caught.exception.sent)

    def serve_once(self, data: bytes) -> str:
        """Return the address of a server that sends ``data`` to its first request."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            accepted, _ = listener.accept()
            with accepted:
                accepted.recv(65_536)
                accepted.sendall(data)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        return f"127.0.0.1:{listener.getsockname()[1]}"


class TestStatusAtNodes(FleetCase):
    """The same through nodes, beside the caller and at another VM."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near = await self.add_vm("browse", "i-1")
        self.far = await self.add_vm("shop", "i-2")
        routes = (
            route_resource("near", "shop.example", "/near/", "browse"),
            route_resource("far", "shop.example", "/far/", "shop"),
            route_resource("book-near", "shop.example", "/book/near/", "browse", kind="unsafe"),
            route_resource("book-far", "shop.example", "/book/far/", "shop", kind="unsafe"),
        )
        await self.store.put("op/config", configuration(4, *routes))
        await self.wait_until_version(4)

    def answer_with(self, vm: Vm, status: str, framing: str) -> None:
        """Let the target of a VM answer so, and close the connection where that ends a body."""

        async def answer(
            _target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bytes | None:
            request_id = request.header("x-attempt-id") or ""
            data = response_bytes(status, framing, request_id)
            if framing != FRAMINGS[-1]:
                return data
            writer.write(data)
            await writer.drain()
            return None

        vm.target.behaviour = answer

    async def test_caller_gets_no_invalid_status(self) -> None:
        """A 502 promises nothing, and a booking runs once."""
        for status, framing in itertools.product(INVALID_STATUSES, FRAMINGS):
            for vm, place in ((self.near, "near"), (self.far, "far")):
                self.answer_with(vm, status, framing)
                for method, path in (("GET", f"/{place}/1"), ("POST", f"/book/{place}/1")):
                    with self.subTest(status=status, framing=framing, path=path):
                        vm.target.runs.clear()
                        response = await self.call(self.near, path, method=method, body=b"x")
                        self.assertEqual(response.status, 502)
                        self.assertNotIn("x-server-seal", response.headers)
                        if method == "POST":
                            self.assertEqual(len(vm.target.runs), 1)

    async def test_invalid_status_of_one_target_costs_no_other_call(self) -> None:
        """Guards against the loss of all calls that share a connection between nodes."""
        self.far.target.answer_gate.clear()
        waiting = asyncio.ensure_future(self.call(self.near, "/far/2", attempt="waits"))
        await self.wait_until(lambda: len(self.far.target.runs) == 1)
        self.answer_with(self.far, "000", FRAMINGS[-1])
        failed = await self.call(self.near, "/book/far/1", method="POST", body=b"x")
        self.far.target.answer_gate.set()
        self.assertEqual((failed.status, (await waiting).status), (502, 200))


del ConnectionCase, FleetCase

if __name__ == "__main__":
    unittest.main()
