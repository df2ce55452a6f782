"""A caller's request until its response is written, and what a connection needs of its node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from attrs import define

from cottonlink.overload import ConnectionAccount, Hold
from cottonlink.path._body import Body, WholeBody
from cottonlink.path._body_stream import BodyStream
from cottonlink.path._connection_end import ConnectionEnd
from cottonlink.path._header_fields import PackedFields
from cottonlink.path._http import Headers
from cottonlink.path._model import CallerLimits, Request

if TYPE_CHECKING:
    from cottonlink.path.callers._caller_connection import CallerConnection


@define(eq=False)
class Exchange:
    """A request on a caller's connection, until its response has been written.

    ``cancel`` is set by the code that serves the request, and called when the caller disconnects.
    ``is_last`` tells that the connection closes after the response, ``takes_chunks`` that its
    caller knows bodies in chunks. ``held_bytes`` is what the process needs for the request, and
    ``response_bytes`` for a response that waits to be written, besides long bodies. ``is_charged``
    tells that the requests of the connection need more than what each connection is charged with.
    """

    request: Request
    connection: CallerConnection
    received_ms: float
    is_last: bool
    is_started: bool = False
    is_repeatable: bool = False
    takes_chunks: bool = True
    held_bytes: int = 0
    response_bytes: int = 0
    is_charged: bool = False
    cancel: Callable[[], None] | None = None
    response: tuple[int, Headers | PackedFields, Body] | None = None

    def respond(self, status: int, headers: Headers, body: Body) -> None:
        """Set the response; later calls have no effect."""
        if self.response is None:
            self.response = (status, headers, body)
            self.cancel = None
            if isinstance(body, BodyStream):
                self.cancel = body.cancel
            self.connection.on_response(self)
        elif isinstance(body, BodyStream):
            body.cancel()


class CallerHandler(Protocol):
    """Interface through which a caller's connection uses the node that serves it."""

    connections: ConnectionAccount

    def now_ms(self) -> float:
        """Return the monotonic time of the event loop."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` in a later round of the event loop, when its turn comes."""

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force."""

    def is_repeatable(self, request: Request) -> bool:
        """Return whether ``request`` may run more than once."""

    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: WholeBody
    ) -> Request | None:
        """Return the request, or None if its head is invalid."""

    def hold_body(self, request: Request | None) -> Hold:
        """Return a hold for the long body of a request whose head is ``request``."""

    def refuse_body(self, request: Request | None) -> Headers:
        """Note that there was no room for the body of a request; return the refusal's headers."""

    def serve(self, exchange: Exchange) -> None:
        """Start serving a request; ``exchange.respond`` is called with its response."""

    def on_request_rejected(self, status: int) -> None:
        """Called when a request that wasn't read as a whole is rejected with ``status``."""

    def on_offer_declined(self) -> None:
        """Called when a request offers another protocol; it is served as if it didn't."""

    def on_failure(self, part: str, error: BaseException) -> None:
        """Called when ``part`` of the node has failed; the request concerned is answered."""

    def is_shutting_down(self) -> bool:
        """Return whether the node is shutting down."""

    def on_caller_connected(self, connection: CallerConnection) -> None:
        """Called when a caller has connected."""

    def on_caller_disconnected(self, connection: CallerConnection, end: ConnectionEnd) -> None:
        """Called when a caller's connection is closed."""
