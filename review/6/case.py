"""Requests with a body whose clients offer another protocol in ``Upgrade``, as HTTP/1.1 allows."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from lab import (  # noqa: E402
    Lab,
    Machine,
    Received,
    Upstream,
    answer_whole,
    configuration,
    play,
    read_answer,
    request_bytes,
    route,
)

REQUESTS = 24
# One of this number of clients offers to go on with HTTP/2.
OFFERING_SHARE = 3
OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__")
# Longest time in which anything may come behind a response.
REST_S = 0.3


async def case(lab: Lab) -> bool:
    """Return whether each request ran with the method, path and body with which it was sent."""
    ran: dict[str, Received] = {}

    async def run(upstream: Upstream, request: Received, writer: asyncio.StreamWriter) -> bool:
        ran[request.header("x-attempt-id")] = request
        lab.note("body-run", id=request.header("x-attempt-id"), bytes=len(request.body))
        return await answer_whole(upstream, request, writer)

    caller = await lab.add_machine("deskbook")
    await lab.add_machine("paysewa", run)
    await lab.add_machine("paysewa", run)
    await lab.start(configuration(5, route("deposit", "/deposit/", "paysewa", kind="unsafe")))

    sent: dict[str, tuple[str, bytes]] = {}
    for number in range(REQUESTS):
        request_id = f"d{number}"
        path = f"/deposit/{number}"
        body = f"booking={number}&amount={1000 + number}".encode() * (1 + number % 4 * 20)
        offers = lab.is_troubled and number % OFFERING_SHARE == 0
        sent[request_id] = (f"POST {path} HTTP/1.1", body)
        data = request_bytes(path, request_id, *(OFFER if offers else ()), method="POST", body=body)
        lab.note("send", id=request_id, bytes=len(body), offers=offers)
        await _exchange(lab, caller, request_id, data)

    is_kept = True
    for request_id, (line, body) in sent.items():
        request = ran.get(request_id)
        if request is not None and (request.first_line, request.body) != (line, body):
            is_kept = False
            lab.note(
                "changed",
                id=request_id,
                sent=f"{line!r}+{len(body)}",
                run=f"{request.first_line!r}+{len(request.body)}",
            )
    return is_kept


async def _exchange(lab: Lab, machine: Machine, request_id: str, data: bytes) -> None:
    reader, writer = await asyncio.open_connection(*machine.caller_address)
    writer.write(data)
    answer = await asyncio.wait_for(read_answer(reader), 10)
    lab.note("answer", id=request_id, status=answer.status, bytes=len(answer.body))
    try:
        rest = await asyncio.wait_for(reader.read(4096), REST_S)
    except TimeoutError:
        rest = b""
    if rest:
        lab.note("unasked-bytes", id=request_id, bytes=repr(rest[:40]))
    writer.close()


play(FOLDER / "record.txt", case)
