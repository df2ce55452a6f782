"""Crowds of clients that send a part of a request and stay, as a process of their own.

``python -m tests.client_crowds HOST PORT PATH CROWD FORM COUNT SECONDS [SOURCE]`` opens COUNT
connections, sends on each what CROWD and FORM name, and stays until its input ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sys

from attrs import frozen

KB = 1_000
MB = 1_000_000
PIECE_BYTES = 2_000
CHUNK_BYTES = 1_000
FIELDS = 1_500
PIPELINED_REQUESTS = 400
FORMS = ("whole", "pieces", "chunked")
# Pause between the pieces of one connection, so that those of others come between.
PIECE_PAUSE_S = 0.01


@frozen
class Crowd:
    """``count`` clients; the body of each stops ``missing_bytes`` short of ``body_bytes``.

    Every ``long_every``-th of them sends a long body instead.
    """

    count: int
    body_bytes: int = 0
    missing_bytes: int = 1_000
    fields: int = 0
    is_head_whole: bool = True
    requests: int = 1
    long_every: int = 0


CROWDS = {
    "short_bodies": Crowd(1_200, body_bytes=120 * KB),
    "many_fields": Crowd(1_200, fields=FIELDS, is_head_whole=False),
    "many_fields_and_body": Crowd(800, fields=FIELDS, body_bytes=60 * KB),
    "long_bodies": Crowd(60, body_bytes=4 * MB),
    "short_and_long_bodies": Crowd(1_000, body_bytes=120 * KB, long_every=16),
    "too_long_bodies": Crowd(60, body_bytes=200 * MB, missing_bytes=196 * MB),
    "pipelined": Crowd(300, requests=PIPELINED_REQUESTS),
    "pipelined_bodies": Crowd(100, body_bytes=100 * KB, missing_bytes=0, requests=20),
    "half_heads": Crowd(1_400, is_head_whole=False),
    "idle": Crowd(1_400, requests=0),
}


def request_pieces(crowd: Crowd, form: str, path: str) -> list[bytes]:
    """Return what one client sends, in the pieces in which it is written."""
    head = [f"POST {path} HTTP/1.1", "Host: shop.example", "X-Request-Deadline-Ms: 30000"]
    head += [f"f{number:x}:" for number in range(crowd.fields)]
    sent_bytes = max(0, crowd.body_bytes - crowd.missing_bytes)
    if form == "chunked" and crowd.body_bytes:
        head.append("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
        body = chunk * (sent_bytes // CHUNK_BYTES) + (b"" if crowd.missing_bytes else b"0\r\n\r\n")
    else:
        head.append(f"Content-Length: {crowd.body_bytes}")
        body = bytes(sent_bytes)
    data = "\r\n".join([*head, ""]).encode() + (b"\r\n" if crowd.is_head_whole else b"") + body
    data *= crowd.requests
    if form != "pieces":
        return [data]
    return [data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)]


async def run_client(address: tuple[str, int], source: str, pieces: list[bytes]) -> None:
    """Send ``pieces``, read nothing, and stay."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(
            *address, local_addr=(source, 0), limit=1_024
        )
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            if len(pieces) > 1:
                await asyncio.sleep(PIECE_PAUSE_S)
        await reader.read(1)
        # Holds the connection open though the node may have ended its side.
        await asyncio.sleep(3_600)


async def run_crowd(arguments: list[str]) -> None:
    """Start the clients over the given time, and leave when the input ends."""
    host, port, path, crowd_name, form, count, seconds, *rest = arguments
    crowd = CROWDS[crowd_name]
    pieces = request_pieces(crowd, form, path)
    long_pieces = request_pieces(CROWDS["long_bodies"], form, path)
    source = rest[0] if rest else "127.0.0.1"
    tasks = []
    for number in range(int(count)):
        is_long = crowd.long_every and number % crowd.long_every == 0
        data = long_pieces if is_long else pieces
        tasks.append(asyncio.create_task(run_client((host, int(port)), source, data)))
        await asyncio.sleep(float(seconds) / int(count))
    print("sent", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(limit, 8_192), limit))
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(run_crowd(sys.argv[1:]))
