"""Plays case 3: an answer without end, in small pieces."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.stand_ins.deployment import (
    Answer,
    Client,
    Connection,
    Deployment,
    Request,
    Target,
    route,
    run_case,
)

CLIENTS = 24
BOOKING_WORK_S = 1.5
PIECE = b"5\r\nbytes\r\n"
PIECES_PER_WRITE = 2_000
CALM_S = 2.0
LENGTH_S = 14.0
# LOST: a machine may do this to three requests.
ALLOWED_LOSSES = 3


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    endless_path = "/reads/report"

    async def book(target: Target, request: Request, connection: Connection) -> bool:
        await asyncio.sleep(BOOKING_WORK_S)
        connection.writer.write(target.answer(request, request.target.encode()))
        return True

    async def read(target: Target, request: Request, connection: Connection) -> bool:
        if not (has_trouble and request.target == endless_path):
            connection.writer.write(target.answer(request, request.target.encode()))
            return True
        head = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {request.attempt}", "X-Server-Seal: s"]
        connection.writer.write("\r\n".join([*head, "Transfer-Encoding: chunked", "", ""]).encode())
        target.record.line(f"{target.upstream_id} begins an answer without end")
        try:
            while True:
                connection.writer.write(PIECE * PIECES_PER_WRITE)
                await connection.writer.drain()
        finally:
            target.record.line(f"{target.upstream_id}: the answer without end was closed")

    await deployment.start(
        ["front", "reads", "booking"], {"front": book, "reads": read, "booking": book}
    )
    await deployment.publish(
        route("reads", "/reads/", "reads", "safe", max_attempts=1, timeout_s=10),
        route("bookings", "/bookings/", "booking", "unsafe"),
    )
    await deployment.start_nodes()
    deployment.enforce_memory_limit()
    beside_reads = deployment.nodes[1]
    lost: list[str] = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LENGTH_S

    def has_run(attempt: str) -> bool:
        return any(run.attempt == attempt for run in deployment.targets[2].runs)

    async def keep_booking(number: int) -> None:
        client, call = Client(deployment, beside_reads), 0
        # The clients don't keep in step.
        await asyncio.sleep(number * BOOKING_WORK_S / CLIENTS)
        while loop.time() < end_s:
            call += 1
            path, attempt = f"/bookings/{number}/{call}", f"b{number:02}{call:04}"
            is_kept = client.is_connected
            try:
                answer = await client.call("POST", path, attempt, b"booking")
            except OSError:
                # The node isn't back yet.
                client.close()
                await asyncio.sleep(0.1)
                continue
            if answer.status == 0 and is_kept and has_run(attempt):
                lost.append(f"{path} ({attempt}): {answer.end}")

    async def read_once() -> Answer:
        await asyncio.sleep(CALM_S)
        client = Client(deployment, deployment.nodes[0])
        answer = await client.call("GET", endless_path, "r1", deadline_ms=10_000)
        client.close()
        return answer

    await asyncio.gather(read_once(), *(keep_booking(number) for number in range(CLIENTS)))
    for node in deployment.nodes:
        print(f"{node.name}: at most {node.peak_mb:.0f} MB, killed {node.memory_kills} times")
    if len(lost) <= ALLOWED_LOSSES:
        return []
    kills = beside_reads.memory_kills
    return [
        f"LOST: {beside_reads.name} passed these requests of kept connections on to a sound"
        f" upstream, and closed the connections without an answer ({kills} ends of its process):",
        *lost,
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
