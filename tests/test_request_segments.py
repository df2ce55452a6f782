"""Requests are read alike however the network cuts them.

Guards against a node that refused proper pipelined requests with 431, as it added up their heads
when each segment ended inside one (docs/incidents/pipelined-requests-431.md).
"""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from cottonlink.path._model import CallerLimits
from cottonlink.path.callers._caller_connection import CallerConnection
from cottonlink.path.callers._exchange import Exchange
from tests.platform_fixtures import TurnLoop, caller_handler

SEED_COUNT = 60
SEGMENT_BYTES = 1_460


def make_request(rng: random.Random, number: int) -> bytes:
    """Return a proper request of one of the forms that callers send."""
    padding = b"p" * rng.choice((0, 20, 400, 9_000))
    head = b"POST /a/%d HTTP/1.1\r\nHost: shop.example\r\nX-Padding: %b\r\n" % (number, padding)
    body = rng.randbytes(rng.choice((0, 1, 700, 30_000)))
    form = rng.randrange(4)
    if form == 0:
        return b"GET /a/%d HTTP/1.1\r\nHost: shop.example\r\nX-Padding: %b\r\n\r\n" % (
            number,
            padding,
        )
    if form == 1:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if form == 2:
        return head + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    chunk_bytes = rng.choice((5, 64, 4_000))
    starts = range(0, len(body), chunk_bytes)
    parts = [body[start : start + chunk_bytes] for start in starts]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\nX-Trailer: t\r\n\r\n"


class Reader:
    """Reads the requests of one connection, and answers each at once if it ``answers``."""

    def __init__(self, *, answers: bool = True) -> None:
        self.requests: list[tuple] = []
        self.exchanges: list[Exchange] = []
        self.failures: list[tuple[str, Exception]] = []
        self._answers = answers
        self.loop = TurnLoop()
        self.written: list[bytes] = []
        handler = caller_handler(
            self.loop,
            parse_request=self._parse_request,
            serve=self._serve,
            on_failure=lambda part, error: self.failures.append((part, error)),
        )
        self.connection = CallerConnection(handler)
        transport = mock.Mock(spec=asyncio.Transport)
        transport.get_extra_info.return_value = None
        transport.get_write_buffer_size.return_value = 0
        transport.write.side_effect = self.written.append
        self.connection.connection_made(transport)

    def _parse_request(self, method: bytes, *parts: object) -> SimpleNamespace:
        self.requests.append((method, *parts))
        return SimpleNamespace(method=method)

    def _serve(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        if self._answers:
            exchange.respond(200, (), b"")

    def read(self, segments: list[bytes]) -> list[tuple]:
        """Return the requests in ``segments``."""
        for segment in segments:
            self.connection.data_received(segment)
            self.loop.run()
        return self.requests

    @property
    def statuses(self) -> list[bytes]:
        """The status of each final response."""
        statuses = [data.split(b" ", 2)[1] for data in self.written]
        return [status for status in statuses if status != b"100"]


def cut(rng: random.Random, data: bytes) -> list[bytes]:
    """Cut ``data`` into segments of random lengths, some of a single byte."""
    segments: list[bytes] = []
    start = 0
    while start < len(data):
        length = rng.choice((1, 2, 17, SEGMENT_BYTES, 20_000))
        segments.append(data[start : start + length])
        start += length
    return segments


class TestSegments(unittest.TestCase):
    """The same bytes in one piece and in many."""

    def test_segments_make_no_difference(self) -> None:
        """Requests, their bodies and the responses must not depend on the network."""
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                data = b"".join(make_request(rng, number) for number in range(12))
                whole, parts = Reader(), Reader()
                expected = whole.read([data])
                self.assertEqual(parts.read(cut(rng, data)), expected)
                self.assertEqual(len(expected), 12)
                self.assertEqual(whole.statuses, [b"200"] * 12)
                self.assertEqual(parts.statuses, [b"200"] * 12)

    def test_pipelined_requests_in_full_segments_are_all_served(self) -> None:
        """Reads of about 100 bytes, one behind the other, of which no segment ends with one."""
        read = b"GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Padding: %b\r\n\r\n" % (b"p" * 40)
        data = read * 2_000
        segments = range(0, len(data), SEGMENT_BYTES)
        reader = Reader()
        reader.read([data[start : start + SEGMENT_BYTES] for start in segments])
        self.assertEqual(reader.statuses, [b"200"] * 2_000)


class TestHeldRequests(unittest.TestCase):
    """Requests that the node itself doesn't read on."""

    def test_request_behind_many_others_is_not_late(self) -> None:
        """Its caller has sent all of it, and must not be told that it was too slow."""
        now_ms = 0.0
        reader = Reader(answers=False)
        reader.connection._handler.now_ms = lambda: now_ms
        data = b"GET /a/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n" * 200
        reader.read([data])
        self.assertLess(len(reader.exchanges), 200)
        for now_ms in range(0, 60_000, 500):
            reader.connection.sweep(now_ms, CallerLimits())
        while len(reader.statuses) < 200:
            reader.exchanges[len(reader.statuses)].respond(200, (), b"")
            reader.loop.run()
        self.assertEqual(reader.statuses, [b"200"] * 200)


if __name__ == "__main__":
    unittest.main()
