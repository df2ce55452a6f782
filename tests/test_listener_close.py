"""Ends of connections of the threaded path's listeners."""

from __future__ import annotations

import socket
import time
import unittest
from collections.abc import Callable
from unittest import mock

from cottonlink.node._listeners import LOOP_TIMEOUT_S, Listener, start_listener

BODY = bytes(24_000_000)
# A small window keeps most of a response on the side of its sender.
SMALL_BUFFER_BYTES = 16_384
TIMEOUT_S = 20.0


def start(app: Callable) -> Listener:
    """Start a listener for ``app`` on a free port."""
    return start_listener(
        app,
        "127.0.0.1:0",
        threads=2,
        connection_limit=10,
        body_limit_bytes=1_000,
        header_limit_bytes=1_000,
        name="test",
    )


class TestListenerStop(unittest.TestCase):
    """Stops of a listener."""

    def test_stop_while_the_server_ends(self) -> None:
        """Guards against a stop that fails as the server has closed its trigger already."""
        listener = start(lambda _environ, _start_response: [])
        stopping = listener._stopping
        set_stopping = stopping.set

        def set_and_wait() -> None:
            set_stopping()
            time.sleep(2 * LOOP_TIMEOUT_S)

        with mock.patch.object(stopping, "set", set_and_wait):
            listener.stop()
        listener.stop()


class TestListenerClose(unittest.TestCase):
    """Responses after which a listener closes the connection."""

    def test_input_behind_a_last_request_leaves_its_response_whole(self) -> None:
        """A close with unread input resets the connection, and cuts off the response."""

        def serve(_environ: dict, start_response: object) -> list[bytes]:
            start_response("200 OK", [("Content-Length", str(len(BODY)))])
            return [BODY]

        listener = start(serve)
        self.addCleanup(listener.stop)
        host, _, port = listener.address.rpartition(":")
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.settimeout(TIMEOUT_S)
        caller.connect((host, int(port)))
        caller.sendall(b"GET /1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n")
        time.sleep(0.5)
        caller.sendall(b"GET /2 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        received = 0
        try:
            while data := caller.recv(65_536):
                received += len(data)
        except ConnectionResetError:
            pass
        self.assertGreater(received, len(BODY))


if __name__ == "__main__":
    unittest.main()
