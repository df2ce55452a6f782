"""HTTP pages about the node itself: readiness and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cottonlink.path._body import WholeBody
from cottonlink.path._connection_end import ConnectionEnd
from cottonlink.path._http import Headers
from cottonlink.path._model import CallerLimits, Request
from cottonlink.path.callers._caller_connection import CallerConnection
from cottonlink.path.callers._exchange import Exchange

# No page needs a body; the node takes no room for one.
BODY_LIMIT_BYTES = 1_024

Page = Callable[[], tuple[int, bytes]]


class StatusServer:
    """Serves one page per path, and 404 for other paths."""

    def __init__(self, loop: asyncio.AbstractEventLoop, pages: dict[bytes, Page]) -> None:
        self._loop = loop
        self._pages = pages
        self._connections: set[CallerConnection] = set()

    def sweep(self) -> None:
        """Close connections that are idle, or whose peer doesn't close them."""
        now_ms = self.now_ms()
        limits = self.caller_limits()
        for connection in list(self._connections):
            connection.sweep(now_ms, limits)

    def now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def call_soon(self, callback: Callable[[], None]) -> None:
        self._loop.call_soon(callback)

    def caller_limits(self) -> CallerLimits:
        return CallerLimits(body_bytes=BODY_LIMIT_BYTES)

    def is_repeatable(self, request: Request) -> bool:
        return True

    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: WholeBody
    ) -> Request | None:
        return Request(b"", method, target, b"", b"", headers, body, None)

    def serve(self, exchange: Exchange) -> None:
        page = self._pages.get(exchange.request.path)
        status, body = page() if page is not None else (404, b"")
        exchange.respond(status, ((b"Content-Type", b"text/plain"),), body)

    def is_shutting_down(self) -> bool:
        return False

    def on_caller_connected(self, connection: CallerConnection) -> None:
        self._connections.add(connection)

    def on_caller_disconnected(self, connection: CallerConnection, end: ConnectionEnd) -> None:
        self._connections.discard(connection)
