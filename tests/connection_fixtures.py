"""Fixture: a connection to a target whose transport is a stand-in."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterable
from unittest import mock

from cottonlink.path._http_client import HttpConnection
from tests.platform_fixtures import TurnLoop

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
# Far above any bound; what is fed without an end of the connection counts as unbounded.
FED_LIMIT_BYTES = 64 * 1024 * 1024


class ConnectionCase(unittest.TestCase):
    """A connection to a target, whose transport is a stand-in."""

    def setUp(self) -> None:
        self.results: list[object] = []
        self.loop = TurnLoop()
        self.connection = HttpConnection(b"x-attempt-id", self.loop)
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_extra_info.return_value = None
        self.transport.get_write_buffer_size.return_value = 0
        self.connection.connection_made(self.transport)
        self.connection.send(b"GET / HTTP/1.1\r\n\r\n", self.results.append, expected_id=b"a1")

    def feed(self, pieces: Iterable[bytes]) -> int:
        """Feed pieces until the connection is aborted; return the number of bytes."""
        fed_bytes = 0
        for piece in pieces:
            self.connection.data_received(piece)
            self.loop.run()
            fed_bytes += len(piece)
            if self.transport.abort.called or fed_bytes > FED_LIMIT_BYTES:
                return fed_bytes
        return fed_bytes
