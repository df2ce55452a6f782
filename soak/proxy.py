"""A TCP proxy that delays, drops or resets the connections it forwards."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, field

CHUNK_BYTES = 65_536


@define(eq=False)
class _Pair:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    tasks: list[asyncio.Task] = field(factory=list)
    is_silenced: bool = False

    def abort(self) -> None:
        for writer in (self.client, self.server):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class FaultyProxy:
    """Forwards connections to ``target``, a host and port; the attributes select the faults.

    ``delay_s`` delays each chunk of data in both directions. ``drops_responses`` drops the data
    from the target to its clients. ``refuses_connections`` resets new connections.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._pairs: set[_Pair] = set()
        self.delay_s = 0.0
        self.drops_responses = False
        self.refuses_connections = False

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port; ``port`` 0 chooses a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.abort()

    def silence(self) -> None:
        """Drop all further data of the open connections without closing them; new ones work."""
        for pair in self._pairs:
            pair.is_silenced = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses_connections:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, server_writer)
        self._pairs.add(pair)
        pair.tasks = [
            asyncio.ensure_future(self._pump(pair, reader, server_writer, is_response=False)),
            asyncio.ensure_future(self._pump(pair, server_reader, writer, is_response=True)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pair.tasks, return_when=asyncio.FIRST_COMPLETED)
        pair.abort()
        self._pairs.discard(pair)

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if pair.is_silenced or (is_response and self.drops_responses):
                    continue
                writer.write(data)
                await writer.drain()
