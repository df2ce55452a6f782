"""Responses of faulty targets that belong to another request, or end too early.

Guards against a booking that was told another booking's answer, or ran twice since bytes of a
faulty target were taken for its refusal (docs/incidents/answers-of-other-requests.md).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import threading
import unittest
from collections.abc import Iterator
from types import SimpleNamespace
from unittest import mock

from attrs import frozen

from cottonlink._clock import SystemClock
from cottonlink.node._pool import Connection, ExchangeError, OutgoingRequest
from cottonlink.path import HttpResponse
from cottonlink.path._body_stream import BodyStream
from cottonlink.path._http_client import ExchangeFailed, HttpConnection, SkippedResponse
from cottonlink.path._model import Answered, Outcome, OutcomeUnknown
from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import (
    EndFrame,
    LongAnswerFrame,
    OutcomeFrame,
    PieceFrame,
    encode,
)
from cottonlink.path.peers._peer_links import PeerLink, PeerLinkListener, _Connection
from tests.platform_fixtures import TurnLoop

EARLIER, OWN = b"a1", b"a2"
STRAYS = {
    "success of an earlier request": (200, EARLIER, b""),
    "success without an id": (200, None, b""),
    "refusal of an earlier request": (503, EARLIER, b"X-Not-Executed: 1\r\n"),
    "refusal without an id": (503, None, b"X-Not-Executed: 1\r\n"),
    "429 without an id": (429, None, b"X-Not-Executed: 1\r\n"),
    "421 of an earlier request": (421, EARLIER, b"X-Instance-Id: i-9\r\n"),
    "421 without an id": (421, None, b"X-Instance-Id: i-9\r\n"),
    "error of an earlier request": (500, EARLIER, b""),
    "error without an id": (500, None, b""),
}
FRAMINGS = ("length", "chunks", "end of the connection")
METHODS = (b"GET", b"POST", b"HEAD")
# Keeps a failing test from hanging.
TIMEOUT_MS = 10_000
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def response(
    status: int,
    response_id: bytes | None,
    body: bytes,
    framing: str = "length",
    headers: bytes = b"",
    *,
    is_head: bool = False,
) -> bytes:
    """Return a serialized response."""
    head = b"HTTP/1.1 %d Status\r\n%b" % (status, headers)
    if response_id is not None:
        head += b"X-Attempt-Id: %b\r\n" % response_id
    if framing == "length":
        head += b"Content-Length: %d\r\n" % len(body)
    elif framing == "chunks":
        head += b"Transfer-Encoding: chunked\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return head + b"\r\n" + (b"" if is_head else body)


class Server:
    """The other side of one connection, and what the node makes of its bytes."""

    def __init__(
        self, *, is_pooled: bool, method: bytes = b"GET", takes_streams: bool = False
    ) -> None:
        self.results: list[HttpResponse | ExchangeFailed] = []
        self.skipped: list[SkippedResponse] = []
        self.loop = TurnLoop()
        self._takes_streams = takes_streams
        self.connection = HttpConnection(b"x-attempt-id", self.loop, on_skipped=self.skipped.append)
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_extra_info.return_value = None
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.abort.side_effect = self.end
        self.connection.connection_made(self.transport)
        if is_pooled:
            self.request(EARLIER, b"GET")
            self.send(response(200, EARLIER, b"earlier"))
            (answer,) = self.results
            assert answer.body == b"earlier" and self.connection.is_reusable
            self.results.clear()
        self.request(OWN, method)

    def request(self, request_id: bytes, method: bytes) -> None:
        """Let the node send a request."""
        self.connection.send(
            b"request",
            self.results.append,
            is_head=method == b"HEAD",
            expected_id=request_id,
            takes_streams=self._takes_streams,
        )

    def send(self, data: bytes) -> None:
        """Send bytes to the node, unless the connection has ended."""
        if self.connection.is_open:
            self.connection.data_received(data)
            self.loop.run()

    def end(self) -> None:
        """End the connection."""
        if not self.connection.is_open:
            return
        if not self.transport.abort.called:
            self.connection.eof_received()
        self.transport.is_closing.return_value = True
        self.connection.connection_lost(None)


@frozen
class Cell:
    """A stray response during a request."""

    stray: str
    framing: str
    method: bytes
    is_pooled: bool
    has_interim: bool

    def bytes(self) -> bytes:
        """Return what the server sends before the request's own response."""
        status, response_id, headers = STRAYS[self.stray]
        data = response(status, response_id, b"stray", self.framing, headers)
        return (INTERIM if self.has_interim else b"") + data

    @property
    def is_credible(self) -> bool:
        """Whether the stray can't be told from the request's own response.

        The first response on a connection may lack the id if it is a failure.
        """
        status, response_id, _ = STRAYS[self.stray]
        return not self.is_pooled and response_id is None and status >= 300


def cells() -> Iterator[Cell]:
    """Yield all cells of the table."""
    flags = (True, False)
    for values in itertools.product(STRAYS, FRAMINGS, METHODS, flags, flags):
        yield Cell(*values)


class TestStrayResponses(unittest.TestCase):
    """A response that belongs to no request, or to another one."""

    def test_stray_response_is_never_the_answer(self) -> None:
        """Whatever its framing, it must not end the request that is in progress."""
        for cell in cells():
            with self.subTest(cell=cell):
                server = Server(is_pooled=cell.is_pooled, method=cell.method)
                server.send(cell.bytes())
                if cell.framing == "end of the connection":
                    server.end()
                is_head = cell.method == b"HEAD"
                server.send(response(200, OWN, b"own", is_head=is_head))
                server.end()
                (result,) = server.results
                status, response_id, _ = STRAYS[cell.stray]
                skipped = [] if cell.is_credible else [SkippedResponse(status, response_id, OWN)]
                self.assertEqual(server.skipped, skipped)
                if cell.is_credible:
                    self.assertEqual(result.status, STRAYS[cell.stray][0])
                elif cell.framing == "end of the connection":
                    self.assertEqual(result, ExchangeFailed("connection_lost", True, True))
                elif not is_head:
                    self.assertEqual((result.status, result.body), (200, b"own"))
                elif isinstance(result, HttpResponse):
                    self.assertEqual((result.status, result.body), (200, b""))
                self.assertFalse(server.connection.is_reusable)

    def test_stray_response_between_requests_ends_the_connection(self) -> None:
        """What comes next on the connection can't be matched to a request any more."""
        for cell in cells():
            with self.subTest(cell=cell):
                server = Server(is_pooled=cell.is_pooled)
                server.send(response(200, OWN, b"own"))
                server.send(cell.bytes())
                (result,) = server.results
                self.assertEqual((result.status, result.body), (200, b"own"))
                self.assertFalse(server.connection.can_send)

    def test_stray_response_behind_the_answer_ends_the_connection(self) -> None:
        """The same in one segment with the answer."""
        for cell in cells():
            with self.subTest(cell=cell):
                server = Server(is_pooled=cell.is_pooled)
                server.send(response(200, OWN, b"own") + cell.bytes())
                (result,) = server.results
                self.assertEqual((result.status, result.body), (200, b"own"))
                self.assertFalse(server.connection.is_reusable)

    def test_stray_response_leaves_no_length_behind(self) -> None:
        """A long answer in chunks was passed on with the length of the response before it."""
        for is_cut in (False, True):
            with self.subTest(is_cut=is_cut):
                server = Server(is_pooled=True, takes_streams=True)
                server.send(response(200, EARLIER, b"stray"))
                own = response(200, OWN, bytes(300_000), "chunks")
                server.send(own[: 200_000 if is_cut else len(own)])
                (result,) = server.results
                self.assertIsNone(result.body.length)
                pieces: list[bytes] = []
                reader = mock.Mock()
                reader.on_piece.side_effect = pieces.append
                result.body.open(reader)
                result.body.take(200_000)
                server.loop.run()
                server.end()
                self.assertEqual(len(b"".join(pieces)) == 300_000, not is_cut)
                reader.on_end.assert_called_once_with(is_whole=not is_cut)

    def test_body_that_breaks_its_announced_length_is_not_whole(self) -> None:
        """Whatever a peer says of it, a caller was told the length."""
        for pieces in ((b"12345",), (b"1234567890", b"1"), (b"12345678901",)):
            with self.subTest(pieces=pieces):
                reader = mock.Mock()
                body = BodyStream(10, lambda _count: None)
                body.open(reader)
                for piece in pieces:
                    body.push(piece)
                body.end(is_whole=True)
                reader.on_end.assert_called_once_with(is_whole=False)
                passed_on = b"".join(call.args[0] for call in reader.on_piece.call_args_list)
                self.assertLessEqual(len(passed_on), 10)

    def test_own_refusal_is_believed(self) -> None:
        """A sound target that refuses a request must be asked no more, and another one at once."""
        for framing, method, is_pooled in itertools.product(FRAMINGS, METHODS, (True, False)):
            with self.subTest(framing=framing, method=method, is_pooled=is_pooled):
                server = Server(is_pooled=is_pooled, method=method)
                headers = b"X-Not-Executed: 1\r\n"
                is_head = method == b"HEAD"
                server.send(response(503, OWN, b"", framing, headers, is_head=is_head))
                server.end()
                (result,) = server.results
                self.assertEqual((result.status, result.header(b"x-not-executed")), (503, b"1"))

    def test_connection_of_a_server_without_ids_is_not_used_again(self) -> None:
        """Nothing would tell a late copy of its response from the response to the next request."""
        server = Server(is_pooled=False)
        server.send(response(503, None, b"", headers=b"X-Not-Executed: 1\r\n"))
        self.assertEqual(server.results[0].status, 503)
        self.assertFalse(server.connection.is_reusable)

    def test_trailers_prove_nothing(self) -> None:
        """An id, or a refusal, behind a body isn't in the head of its response."""
        for trailer in (b"X-Attempt-Id: a2\r\n", b"X-Not-Executed: 1\r\n"):
            with self.subTest(trailer=trailer):
                server = Server(is_pooled=True)
                chunked = response(200, EARLIER, b"stray", "chunks")
                server.send(chunked[:-2] + trailer + b"\r\n" + response(200, OWN, b"own"))
                (result,) = server.results
                self.assertEqual((result.body, result.header(b"x-not-executed")), (b"own", None))


class TestCutResponses(unittest.TestCase):
    """A target that stops in the middle of a response, and closes."""

    def test_response_that_is_cut_is_not_delivered(self) -> None:
        """Its status alone, or a part of its body, must not look like a whole response."""
        for framing, prefix, is_pooled in itertools.product(
            FRAMINGS[:2], (b"", INTERIM, response(200, EARLIER, b"stray")), (True, False)
        ):
            data = prefix + response(200, OWN, b"whole", framing, b"Keep-Alive: timeout=9\r\n")
            for cut in range(len(data)):
                with self.subTest(framing=framing, prefix=prefix, is_pooled=is_pooled, cut=cut):
                    for middle in (0, cut // 2):
                        server = Server(is_pooled=is_pooled)
                        server.send(data[:middle])
                        server.send(data[middle:cut])
                        server.end()
                        self.assertEqual(
                            server.results, [ExchangeFailed("connection_lost", True, True)]
                        )

    def test_head_that_is_cut_ends_no_response_without_a_length(self) -> None:
        """The end of the connection ends a body, but not a head."""
        data = response(200, OWN, b"", "end of the connection")
        for cut in range(len(data)):
            with self.subTest(cut=cut):
                server = Server(is_pooled=False)
                server.send(data[:cut])
                server.end()
                self.assertEqual(server.results, [ExchangeFailed("connection_lost", True, True)])

    def test_frame_that_is_cut_is_no_outcome(self) -> None:
        """A node that is killed in the middle of a frame has answered nothing."""
        frame = OutcomeFrame(3, Answered(200, ((b"X-Server-Seal", b"s"),), b"whole"))
        data = encode(frame)
        for cut in range(len(data)):
            with self.subTest(cut=cut):
                self.assertEqual(list(FrameReader().feed(data[:cut])), [])
        self.assertEqual(list(FrameReader().feed(data)), [frame])

    def test_long_response_of_a_peer_that_is_killed_is_not_whole(self) -> None:
        """At any byte of its frames; the link has lost the call, or the rest of its body."""
        answer = Answered(200, ((b"X-Server-Seal", b"s"),), b"")
        frames = (
            LongAnswerFrame(3, answer, None),
            PieceFrame(3, b"who"),
            PieceFrame(3, b"le"),
            EndFrame(3, True),
        )
        data = b"".join(encode(frame) for frame in frames)
        for cut in range(len(data) + 1):
            with self.subTest(cut=cut):
                link = PeerLink(("127.0.0.1", 1), PeerLinkListener(), mock.Mock(time=lambda: 0.0))
                connection = _Connection(link)
                transport = mock.Mock(spec=asyncio.Transport)
                transport.get_extra_info.return_value = None
                connection.connection_made(transport)
                outcomes: list[Outcome] = []
                connection.pending[3] = SimpleNamespace(on_outcome=outcomes.append)
                connection.data_received(data[:cut])
                connection.connection_lost(ConnectionResetError())
                (outcome,) = outcomes
                if isinstance(outcome, OutcomeUnknown):
                    continue
                reader = mock.Mock()
                outcome.body.open(reader)
                reader.on_end.assert_called_once_with(is_whole=cut == len(data))

    def test_response_that_is_cut_is_an_error_on_the_threaded_path(self) -> None:
        """The standard library took a head that the connection's end had cut for a whole one."""
        responses = {
            "length": response(200, OWN, b"whole", "length", b"X-Other: b\r\n"),
            "no body": response(200, OWN, b"", "length", b"X-Other: b\r\n"),
            "chunks": response(200, OWN, b"whole", "chunks"),
            "204": response(204, OWN, b"", "none"),
        }
        clock = SystemClock()
        request = OutgoingRequest("GET", "/", (), b"")
        with CuttingServer() as server:
            for name, data in responses.items():
                for cut in range(len(data) + 1):
                    server.data = data[:cut]
                    connection = Connection(server.address, clock)
                    connection.connect(TIMEOUT_MS)
                    deadline_ms = clock.monotonic_ms() + TIMEOUT_MS
                    with self.subTest(name=name, cut=cut), contextlib.closing(connection):
                        if cut == len(data):
                            answer = connection.exchange(request, deadline_ms, 1_000)
                            self.assertIn(answer.body, (b"whole", b""))
                            continue
                        with self.assertRaises(ExchangeError) as caught:
                            connection.exchange(request, deadline_ms, 1_000)
                        self.assertTrue(caught.exception.sent)


class CuttingServer:
    """Answers each connection with ``data`` and closes it."""

    def __init__(self) -> None:
        self.data = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> CuttingServer:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with connection:
                    connection.recv(65_536)
                    connection.sendall(self.data)


if __name__ == "__main__":
    unittest.main()
