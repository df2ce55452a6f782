"""A small HTTP/1.1 server, the base of the stand-ins for the platform's store and targets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import frozen

ENDLESS_PIECE_BYTES = 16_384
ENDLESS_PAUSE_S = 0.002


@frozen
class ReceivedRequest:
    """A request as it arrived, with all its headers; their names are in lower case.

    ``target`` is the HTTP request target. ``is_sender_gone`` tells whether the peer has closed the
    connection.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_sender_gone: Callable[[], bool] = lambda: False

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None. Raises AssertionError if it occurs twice."""
        values = [value for key, value in self.headers if key == name]
        assert len(values) <= 1, f"{name} came {len(values)} times"
        return values[0] if values else None


Response = bytes | None
Handler = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[Response]]


class HttpStandIn:
    """A listening server and the tasks that serve its connections."""

    def __init__(self, server: asyncio.Server, tasks: set[asyncio.Task]) -> None:
        self._server = server
        self._tasks = tasks

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and cancel all connections but the one whose handler calls this."""
        self._server.close()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()


async def serve_http(handler: Handler, host: str, port: int) -> HttpStandIn:
    """Serve requests with ``handler``, which returns a response, or None to close the connection.

    ``port`` 0 selects a free one.
    """
    # The event loop only has weak references to tasks: one that waits forever could be collected.
    tasks: set[asyncio.Task] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        try:
            while (request := await _read_request(reader)) is not None:
                response = await handler(request, writer)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return HttpStandIn(await asyncio.start_server(serve, host, port), tasks)


async def send_endless(writer: asyncio.StreamWriter, start: bytes, unit: bytes) -> None:
    """Send ``start`` and then ``unit`` again and again, until the peer closes the connection."""
    writer.write(start)
    piece = unit * (ENDLESS_PIECE_BYTES // len(unit) + 1)
    while not writer.transport.is_closing():
        writer.write(piece)
        await writer.drain()
        # Without a pause, one connection would keep the others of this process waiting.
        await asyncio.sleep(ENDLESS_PAUSE_S)


def make_response(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    """Return a complete HTTP response with a ``Content-Length``."""
    lines = [f"HTTP/1.1 {status} Stand-in", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = tuple(
        (name.lower(), value.strip())
        for name, _, value in (line.partition(":") for line in rest if line)
    )
    lengths = [int(value) for name, value in headers if name == "content-length"]
    body = await reader.readexactly(lengths[0]) if lengths else b""
    return ReceivedRequest(method, target, headers, body, reader.at_eof)
