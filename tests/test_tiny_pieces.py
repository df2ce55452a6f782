"""Bodies that come in pieces of a few bytes take no more memory than their length.

Guards against a node that holds an object for each piece, and was ended for its memory by one
answer in chunks of 5 bytes (docs/incidents/answer-in-tiny-chunks.md).
"""

from __future__ import annotations

import asyncio
import socket
import threading
import tracemalloc
import unittest
from collections.abc import Callable
from functools import partial
from unittest import mock

from cottonlink._clock import SystemClock
from cottonlink.node._pool import Connection, OutgoingRequest
from cottonlink.path._http_client import HttpConnection
from cottonlink.path.callers._caller_connection import CallerConnection
from tests.platform_fixtures import TurnLoop, caller_handler

BODY_BYTES = 2_000_000
# A growing buffer is copied at times, and allocates ahead.
PEAK_LIMIT_BYTES = 2.5 * BODY_BYTES
READ_BYTES = 64 * 1024
CHUNK = b"5\r\nbytes\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST_HEAD = b"POST /a/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b"bytes" * (BODY_BYTES // 5)
CHUNKED_BODIES = {
    "chunks": CHUNK * (BODY_BYTES // 5) + b"0\r\n\r\n",
    "trailers": b"%x\r\n%b\r\n0\r\n" % (BODY_BYTES, BODY) + b"a:\r\n" * (BODY_BYTES // 8) + b"\r\n",
}


def peak_bytes(action: Callable[[], None]) -> int:
    """Return the most memory that is allocated at a time while ``action`` runs."""
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def feed(protocol: asyncio.Protocol, loop: TurnLoop, data: bytes) -> None:
    """Feed ``data`` in pieces as they are read from a socket."""
    for start in range(0, len(data), READ_BYTES):
        protocol.data_received(data[start : start + READ_BYTES])
        loop.run()


def make_transport() -> mock.Mock:
    """Return a stand-in for an open transport."""
    transport = mock.Mock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    transport.get_extra_info.return_value = None
    transport.get_write_buffer_size.return_value = 0
    return transport


class TestTinyPieces(unittest.TestCase):
    """A long body in chunks of 5 bytes, from a target and from a caller."""

    def test_response_in_tiny_chunks_takes_the_memory_of_its_bytes(self) -> None:
        """One faulty target must not end the node next to it."""
        for name, chunks in CHUNKED_BODIES.items():
            with self.subTest(name=name):
                results, loop = [], TurnLoop()
                connection = HttpConnection(b"x-attempt-id", loop)
                connection.connection_made(make_transport())
                connection.send(b"GET / HTTP/1.1\r\n\r\n", results.append, expected_id=b"a1")
                data = RESPONSE_HEAD + chunks
                peak = peak_bytes(partial(feed, connection, loop, data))
                self.assertLess(peak, PEAK_LIMIT_BYTES)
                self.assertEqual((results[0].status, results[0].body), (200, BODY))
                self.assertNotIn(b"a", dict(results[0].headers))

    def test_request_in_tiny_chunks_takes_the_memory_of_its_bytes(self) -> None:
        """One caller must not end the node that it calls."""
        for name, chunks in CHUNKED_BODIES.items():
            with self.subTest(name=name):
                requests, loop = [], TurnLoop()

                def parse(*parts: object, requests: list = requests) -> None:
                    requests.append(parts)

                connection = CallerConnection(caller_handler(loop, parse_request=parse))
                connection.connection_made(make_transport())
                data = REQUEST_HEAD + chunks
                peak = peak_bytes(partial(feed, connection, loop, data))
                self.assertLess(peak, PEAK_LIMIT_BYTES)
                # The head is parsed before its body, too.
                _, _, headers, body = requests[-1]
                self.assertEqual(body, BODY)
                self.assertNotIn(b"a", dict(headers))


class TestTinyPiecesOnTheThreadedPath(unittest.TestCase):
    """The same answer on the path of the product's own interface."""

    def test_response_in_tiny_chunks_takes_the_memory_of_its_bytes(self) -> None:
        """One faulty target must not end the node next to it."""
        body_bytes = BODY_BYTES // 8
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(READ_BYTES)
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                connection.sendall(head + CHUNK * (body_bytes // 5) + b"0\r\n\r\n")

        server = threading.Thread(target=answer, daemon=True)
        server.start()
        clock = SystemClock()
        host, port = listener.getsockname()
        connection = Connection(f"{host}:{port}", clock)
        connection.connect(5_000)
        self.addCleanup(connection.close)
        request = OutgoingRequest("GET", "/", (), b"")
        answers: list = []
        deadline_ms = clock.monotonic_ms() + 60_000

        def read() -> None:
            answers.append(connection.exchange(request, deadline_ms, BODY_BYTES))

        # The interpreter of the server's side holds the answer once, too.
        wire_bytes = len(CHUNK) * body_bytes // 5
        self.assertLess(peak_bytes(read), 2 * wire_bytes + 2.5 * body_bytes)
        self.assertEqual(len(answers[0].body), body_bytes)
        server.join(5)


if __name__ == "__main__":
    unittest.main()
