"""Targets and a store that send bytes without end to real nodes, and callers beside them.

Guards against a node that keeps all that a faulty target sends, runs out of memory and takes the
requests of other callers with it (docs/incidents/bytes-without-end.md).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import unittest

from attrs import frozen

from emulator.http_stand_in import ReceivedRequest, send_endless
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.platform_fixtures import request_bytes
from tests.process_fixtures import ProcessCase
from tests.test_process_memory import MB, MEMORY_MB, SMALL_BUFFER_BYTES, peak_memory_bytes

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What a faulty target sends first, behind its status line and the request's id, and then for ever.
# Forms whose start is None have no such head.
FORMS: dict[str, tuple[bytes | None, bytes]] = {
    "garbage": (None, b"\x00\xffnoise"),
    "line-ends": (None, b"\r\n"),
    "status-line": (None, b"HTTP/1.1 200 "),
    "interim-responses": (None, b"HTTP/1.1 100 Continue\r\n\r\n"),
    "one-header": (b"X-Long: ", b"a"),
    "headers": (b"", b"a: b\r\n"),
    "chunk-size": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"5;", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "chunks": (CHUNKED, b"400\r\n" + b"a" * 1_024 + b"\r\n"),
    "tiny-chunks": (CHUNKED, b"1\r\na\r\n"),
    "until-close": (b"\r\n", b"a"),
    "behind-the-body": (b"Content-Length: 2\r\n\r\nok", b"a"),
    "responses": (b"Content-Length: 2\r\n\r\nok", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "slow-head": (b"X-Slow: ", b""),
    "between-requests": (b"Content-Length: 2\r\n\r\nok", b""),
}
WHOLE_FORMS = ("behind-the-body", "responses", "between-requests")
SLOW_PAUSE_S = 0.05
FAULTY_TARGETS = 3
SLOTS = 60
CALLERS_PER_FORM = 4
DEADLINE_MS = 2_000
# Callers wait no longer. A response ends by its deadline, and slow callers then read what is left
# of it; without an end it goes on for a minute.
LATEST_S = 10.0
# Readers that stop, whose responses take the room that the node has for long bodies.
STOPPED_READERS = 24
REPORT_BYTES = 16 * MB


@frozen
class Outcome:
    """What a caller got: the status, 0 if none, whether it was whole, and after what time."""

    form: str
    status: int
    is_complete: bool
    after_s: float


class TestEndlessPeers(ProcessCase):
    """Three faulty targets beside a sound one, and callers of all four at one node."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.nodes = [await self.start_node("booking", memory_mb=MEMORY_MB)]
        for _ in range(FAULTY_TARGETS):
            self.nodes.append(await self.start_node("faulty", memory_mb=MEMORY_MB))
        for target in self.targets[1:]:
            target.behaviour = self.answer
            await self.store.put(f"servers/{target.upstream_id}", target.entry(slots=SLOTS))
        routes = (
            ("bookings", "booking", {"kind": "unsafe", "priority": 0}),
            ("reads", "faulty", {}),
            ("orders", "faulty", {"kind": "unsafe"}),
            ("downloads", "faulty", {"kind": "download"}),
        )
        resources = [
            route_resource(name, "shop.example", f"/{name}/", service, **fields)
            for name, service, fields in routes
        ]
        await self.store.put("op/config", configuration(4, *resources))
        await self.wait_until_served(1, "/bookings/0")
        await self.wait_until_served(1, "/reads/sound")
        self._numbers = itertools.count()
        self.booked = 0
        self._is_over = False
        self._booking_task = asyncio.create_task(self.keep_booking())

    async def asyncTearDown(self) -> None:
        self._is_over = True
        await self._booking_task

    async def answer(
        self, target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer in the form that the path names."""
        form = request.target.split("/")[2]
        if form == "report":
            return target.success_response(request, bytes(REPORT_BYTES))
        if form not in FORMS:
            return target.success_response(request)
        start, unit = FORMS[form]
        attempt = request.header("x-attempt-id")
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\n".encode()
        data = b"" if start is None else head + start
        if unit:
            await send_endless(writer, data, unit)
        elif form == "between-requests":
            writer.write(data)
            await asyncio.sleep(SLOW_PAUSE_S)
            await send_endless(writer, b"", b"a")
        else:
            writer.write(data)
            while not writer.transport.is_closing():
                writer.write(b"a")
                await asyncio.sleep(SLOW_PAUSE_S)
        return None

    async def keep_booking(self) -> None:
        """Book all the time at the sound target; each booking must be answered."""
        while not self._is_over:
            caller = await self.connect(1)
            attempt = f"b{self.booked}"
            caller.writer.write(
                request_bytes("/bookings/1", method="POST", body=b"x" * 100, attempt=attempt)
            )
            response = await caller.response()
            caller.close()
            self.assertEqual(response.status, 200)
            self.booked += 1
            await asyncio.sleep(0.02)

    async def send(self, route: str, form: str, *, is_slow: bool) -> Outcome:
        """Send a request and read its response, maybe slowly."""
        caller = await self.connect(1, buffer_bytes=SMALL_BUFFER_BYTES if is_slow else 0)
        attempt = f"e{next(self._numbers)}"
        method = "POST" if route == "orders" else "GET"
        caller.writer.write(
            request_bytes(
                f"/{route}/{form}/1", method=method, attempt=attempt, remaining_ms=DEADLINE_MS
            )
        )
        started_s = time.monotonic()
        received = b""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(LATEST_S):
                while data := await caller.reader.read(65_536):
                    received = (received + data)[:200] + data[-8:]
                    if b"\r\nContent-Length: " in received[:200]:
                        break
                    if is_slow:
                        await asyncio.sleep(SLOW_PAUSE_S)
        caller.close()
        status = int(received.split(b" ", 2)[1]) if received else 0
        is_complete = b"\r\nContent-Length: " in received[:200] or received.endswith(b"0\r\n\r\n")
        return Outcome(form, status, is_complete, time.monotonic() - started_s)

    async def check_crowd(self) -> None:
        """Check what callers of all forms get at once, and that the nodes outlive it."""
        booked = self.booked
        routes = ("reads", "orders", "downloads")
        outcomes = await asyncio.gather(
            *(
                self.send(routes[number % 3], form, is_slow=number % 2 == 1)
                for number, form in enumerate(list(FORMS) * CALLERS_PER_FORM)
            )
        )
        for outcome in outcomes:
            with self.subTest(outcome=outcome):
                self.assertLess(outcome.after_s, LATEST_S)
                if outcome.status == 200:
                    self.assertEqual(outcome.is_complete, outcome.form in WHOLE_FORMS)
                else:
                    self.assertIn(outcome.status, (0, 502, 503, 504))
        self.assertGreater(self.booked, booked)
        await self.check_nodes()

    async def check_nodes(self) -> None:
        """Check that bookings go on and no node has exceeded its memory."""
        self.assertFalse(self._booking_task.done())
        for process in self.nodes:
            self.assertIsNone(process.returncode)
            self.assertLess(peak_memory_bytes(process.pid), MEMORY_MB * MB)

    async def test_all_forms_at_once(self) -> None:
        """64 callers, half of them slow, at three faulty targets; and once more."""
        await self.check_crowd()
        await self.check_crowd()

    async def test_all_forms_while_the_memory_is_full(self) -> None:
        """Readers of long responses that have stopped hold the room meanwhile."""
        for number in range(STOPPED_READERS):
            caller = await self.connect(1, buffer_bytes=SMALL_BUFFER_BYTES)
            caller.writer.write(
                request_bytes(
                    f"/downloads/report/{number}", attempt=f"r{number}", remaining_ms=20_000
                )
            )
        await asyncio.sleep(0.5)
        await self.check_crowd()

    async def test_store_without_end(self) -> None:
        """The nodes go on with what they know, and read a change once the store is sound."""
        for start, unit in (
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\n \r\n"),
            (b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n", b'{"items":['),
            (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", b"{}"),
            (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        ):
            self.store.endless_start, self.store.endless_unit = start, unit
            self.store.fault = "endless"
            booked = self.booked
            await asyncio.sleep(1.5)
            self.assertGreater(self.booked, booked)
        self.store.fault = None
        added = route_resource("added", "shop.example", "/added/", "booking")
        bookings = route_resource(
            "bookings", "shop.example", "/bookings/", "booking", kind="unsafe", priority=0
        )
        await self.store.put("op/config", configuration(5, bookings, added))
        await self.wait_until_served(1, "/added/1")
        await self.check_nodes()


del ProcessCase


if __name__ == "__main__":
    unittest.main()
