"""HTTP pages about the node itself: readiness and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cottonlink.overload import ConnectionAccount
from cottonlink.path._body import WholeBody
from cottonlink.path._connection_end import ConnectionEnd
from cottonlink.path._http import Headers
from cottonlink.path._model import CallerLimits, Request
from cottonlink.path.callers._caller_connection import CallerConnection
from cottonlink.path.callers._exchange import Exchange

# No page needs a body: a request with one is rejected once its head says so.
BODY_LIMIT_BYTES = 0
# Time for which a page is kept: rendering one takes about 1 ms, and clients may ask for thousands.
PAGE_AGE_MS = 20.0

Page = Callable[[], tuple[int, bytes]]


class StatusServer:
    """Serves one page per path, and 404 for other paths."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pages: dict[bytes, Page],
        connections: ConnectionAccount,
        call_soon: Callable[[Callable[[], None]], None],
        on_request_rejected: Callable[[int], None],
        on_failure: Callable[[str, BaseException], None],
    ) -> None:
        self.connections = connections
        self.on_request_rejected = on_request_rejected
        self.on_failure = on_failure
        self.call_soon = call_soon
        self._loop = loop
        self._pages = pages
        self._rendered: dict[bytes, tuple[float, tuple[int, bytes]]] = {}
        self.open_connections: set[CallerConnection] = set()

    def sweep(self) -> None:
        """Close connections that are idle, or whose peer doesn't close them."""
        now_ms = self.now_ms()
        limits = self.caller_limits()
        for connection in list(self.open_connections):
            connection.sweep(now_ms, limits)

    def now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def caller_limits(self) -> CallerLimits:
        return CallerLimits(body_bytes=BODY_LIMIT_BYTES)

    def is_repeatable(self, request: Request) -> bool:
        return True

    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: WholeBody
    ) -> Request | None:
        return Request(b"", method, target, b"", b"", headers, body, None)

    def serve(self, exchange: Exchange) -> None:
        status, body = self._render(exchange.request.path)
        exchange.respond(status, ((b"Content-Type", b"text/plain"),), body)

    def _render(self, path: bytes) -> tuple[int, bytes]:
        page = self._pages.get(path)
        if page is None:
            return 404, b""
        now_ms = self.now_ms()
        rendered_ms, response = self._rendered.get(path, (float("-inf"), (0, b"")))
        if now_ms - rendered_ms >= PAGE_AGE_MS:
            response = page()
            self._rendered[path] = now_ms, response
        return response

    def on_offer_declined(self) -> None:
        """Nothing else tells of requests for pages."""

    def is_shutting_down(self) -> bool:
        return False

    def on_caller_connected(self, connection: CallerConnection) -> None:
        self.open_connections.add(connection)

    def on_caller_disconnected(self, connection: CallerConnection, end: ConnectionEnd) -> None:
        self.open_connections.discard(connection)
