"""Callers that send requests over persistent connections and record the responses."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Sequence

import httptools
from attrs import define, field

DEADLINE_MS = 3_000
# How long after the deadline a caller still waits for the response.
ANSWER_GRACE_S = 3.0


@define
class ObservedRequest:
    """A request and the response that its caller received.

    ``status`` is 0 if the response is incomplete. ``seal`` is its X-Server-Seal header, which a
    target adds to each success; it is empty if there is none.
    """

    request_id: str
    path: str
    is_booking: bool
    status: int = 0
    body: bytes = b""
    seal: str = ""
    headers: dict[str, str] = field(factory=dict)
    is_complete: bool = False
    duration_s: float = 0.0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True


class Callers:
    """Sends requests to nodes and records each with its response in ``observed``."""

    def __init__(self) -> None:
        self._request_numbers = itertools.count()
        self.observed: list[ObservedRequest] = []

    async def run(
        self, address: tuple[str, int], pause_s: float, stop_event: asyncio.Event
    ) -> None:
        """Send requests to one node until the event is set, and reconnect when necessary."""
        connection = None
        while not stop_event.is_set():
            if connection is None:
                connection = await _connect(address)
            if connection is not None:
                observed = await self.send(connection, "reads", "bookings")
                if not observed.is_complete or observed.headers.get("connection") == "close":
                    connection[1].close()
                    connection = None
            await asyncio.sleep(pause_s)
        if connection is not None:
            connection[1].close()

    async def resend(
        self,
        path: str,
        addresses: Sequence[tuple[str, int]],
        pause_s: float,
        stop_event: asyncio.Event,
    ) -> None:
        """Send a read with the same path to each of the nodes in turn until the event is set."""
        for address in itertools.cycle(addresses):
            if stop_event.is_set():
                return
            connection = await _connect(address)
            if connection is not None:
                await self._exchange(connection, f"r{next(self._request_numbers)}", path)
                connection[1].close()
            await asyncio.sleep(pause_s)

    async def send_on_new_connection(
        self, address: tuple[str, int], kind: str
    ) -> ObservedRequest | None:
        """Send one request on a new connection; return None if the node can't be reached."""
        connection = await _connect(address)
        if connection is None:
            return None
        observed = await self.send(connection, kind)
        connection[1].close()
        return observed

    async def send(self, connection: tuple, *kinds: str) -> ObservedRequest:
        """Send a request to one of the routes ``kinds``, in turn; return it with its response."""
        number = next(self._request_numbers)
        kind = kinds[number % len(kinds)]
        return await self._exchange(
            connection, f"r{number}", f"/{kind}/{number}", is_booking=kind == "bookings"
        )

    async def _exchange(
        self, connection: tuple, request_id: str, path: str, *, is_booking: bool = False
    ) -> ObservedRequest:
        observed = ObservedRequest(request_id, path, is_booking)
        self.observed.append(observed)
        reader, writer = connection
        body = b"x" if observed.is_booking else b""
        method = "POST" if observed.is_booking else "GET"
        head = (
            f"{method} {observed.path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Attempt-Id: {observed.request_id}\r\nX-Request-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with contextlib.suppress(ConnectionError, TimeoutError):
            writer.write(head.encode() + body)
            await asyncio.wait_for(_read(reader, observed), DEADLINE_MS / 1000 + ANSWER_GRACE_S)
        observed.duration_s = loop.time() - started_s
        return observed


async def _connect(address: tuple[str, int]) -> tuple | None:
    try:
        return await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    except (OSError, TimeoutError):
        return None


async def _read(reader: asyncio.StreamReader, observed: ObservedRequest) -> None:
    parser = httptools.HttpResponseParser(observed)
    while not observed.is_complete:
        data = await reader.read(65_536)
        if not data:
            return
        parser.feed_data(data)
    observed.status = parser.get_status_code()
    observed.seal = observed.headers.get("x-server-seal", "")
