"""Ends of long responses that are still arriving when their time is over.

Guards against responses of a silent or endless target that had no end by the time-out of their
route, nor by the deadline of their caller (docs/incidents/bytes-without-end.md).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import unittest
from collections.abc import Callable
from unittest import mock

from cottonlink.path._body_stream import BodyStream
from cottonlink.path.callers._ingress import TIMEOUT_GRACE_MS as GRACE_MS
from cottonlink.path.callers._late_responses import LateResponses
from emulator.http_stand_in import ReceivedRequest, send_endless
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.platform_fixtures import FleetCase, Vm, request_bytes

TIMEOUT_S = 0.6
DEADLINE_S = 1.5
# Without an end, a response goes on for longer than this. On sockets no check depends on the speed
# of the machine; TestTimes checks the times themselves, with a clock that the test advances.
NO_END_S = 8.0
BODY_BYTES = 3_000_000
FIRST_BYTES = 300_000
# A small window keeps most of a response on the side of its sender.
SMALL_BUFFER_BYTES = 16_384
READ_PAUSE_S = 0.02


class LateResponseCase(FleetCase):
    """A target beside the caller's node and one at another VM."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near = await self.add_vm("browse", "i-1")
        self.far = await self.add_vm("shop", "i-2")
        routes = [
            route_resource(
                name, "shop.example", f"/{name}/", service, kind=kind, timeout_s=TIMEOUT_S
            )
            for name, service, kind in (
                ("near", "browse", "download"),
                ("far", "shop", "download"),
                ("near-orders", "browse", "unsafe"),
                ("far-orders", "shop", "unsafe"),
            )
        ]
        await self.store.put("op/config", configuration(4, *routes))
        await self.wait_until_version(4)
        for vm in self.vms:
            vm.target.behaviour = self.answer
        self.ended: list[str] = []

    async def answer(
        self, target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer in the form that the path names."""
        form = request.target.split("/")[2]
        attempt = request.header("x-attempt-id")
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\n".encode()
        if form == "whole":
            return target.success_response(request, bytes(BODY_BYTES))
        try:
            if form == "endless":
                await send_endless(
                    writer,
                    head + b"Transfer-Encoding: chunked\r\n\r\n",
                    b"400\r\n" + bytes(1_024) + b"\r\n",
                )
            else:
                framing = (
                    b"\r\n" if form == "unframed" else b"Content-Length: %d\r\n\r\n" % BODY_BYTES
                )
                writer.write(head + framing + bytes(FIRST_BYTES))
                # A target that has gone silent, whose connection stays.
                while not (writer.transport.is_closing() or request.is_sender_gone()):
                    await asyncio.sleep(READ_PAUSE_S)
        finally:
            self.ended.append(request.target)
        return None

    async def read(
        self, path: str, *, pause_s: float = 0.0, method: str = "GET"
    ) -> tuple[int, bool, float]:
        """Return the number of bytes, whether the response was whole, and the time that it took."""
        sock = socket.socket()
        if pause_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.near.caller_address)
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.close)
        started_s = time.monotonic()
        writer.write(
            request_bytes(path, method=method, attempt=path, remaining_ms=int(1000 * DEADLINE_S))
        )
        count, expected, head = 0, None, b""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(10):
                while expected is None or count < expected:
                    data = await reader.read(65_536)
                    if not data:
                        break
                    if b"\r\n\r\n" not in head:
                        head += data
                        data = head.partition(b"\r\n\r\n")[2]
                        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
                        expected = int(length) if length else 1 << 60
                    count += len(data)
                    await asyncio.sleep(pause_s)
        return count, count == expected, time.monotonic() - started_s

    def target_vm(self, path: str) -> Vm:
        """Return the VM whose target serves ``path``."""
        return self.near if path.startswith("/near") else self.far


class TestLateResponses(LateResponseCase):
    """What ends a response, and what doesn't."""

    async def test_silent_target_ends_the_response_at_the_time_out(self) -> None:
        """The caller has read all that came, so waiting any longer is of no use."""
        for form in ("silent", "unframed"):
            for route in ("near", "far", "near-orders", "far-orders"):
                with self.subTest(form=form, route=route):
                    path = f"/{route}/{form}/1"
                    method = "POST" if "orders" in route else "GET"
                    count, is_whole, took_s = await self.read(path, method=method)
                    self.assertFalse(is_whole)
                    self.assertGreaterEqual(count, FIRST_BYTES)
                    self.assertGreaterEqual(took_s, TIMEOUT_S)
                    self.assertLess(took_s, NO_END_S)
                    if method == "GET":
                        # The target isn't kept at work for a caller that is gone.
                        await self.wait_until(lambda path=path: path in self.ended)
                        vm = self.target_vm(path)
                        await self.wait_until(lambda vm=vm: vm.node.dispatcher.is_idle)

    async def test_endless_response_to_a_slow_reader_ends_at_the_deadline(self) -> None:
        """The caller is behind, which lasts for ever if the target sends for ever."""
        for route in ("near", "far"):
            with self.subTest(route=route):
                path = f"/{route}/endless/1"
                reading = asyncio.create_task(self.read(path, pause_s=5 * READ_PAUSE_S))
                started_s = time.monotonic()
                await self.wait_until(lambda path=path: path in self.ended)
                self.assertLess(time.monotonic() - started_s, NO_END_S)
                reading.cancel()
                self.assertIn(
                    b"cottonlink_responses_ended_late_total", self.near.node.state.metrics.render()
                )

    async def test_slow_reader_may_use_its_own_deadline(self) -> None:
        """Beyond the route's time-out it isn't the node that makes the caller wait."""
        # About 65 kB in each step.
        pause_s = (TIMEOUT_S + DEADLINE_S) / 2 / (BODY_BYTES / 65_536)
        for route in ("near", "far"):
            with self.subTest(route=route):
                count, is_whole, took_s = await self.read(f"/{route}/whole/1", pause_s=pause_s)
                self.assertTrue(is_whole, (count, took_s))

    async def test_response_that_has_arrived_is_delivered_late(self) -> None:
        """What the node holds as a whole may be read after the deadline."""
        with_pause_s = 2 * DEADLINE_S / (FIRST_BYTES / SMALL_BUFFER_BYTES)
        self.near.target.behaviour = self.far.target.behaviour = answer_first
        for route in ("near", "far"):
            with self.subTest(route=route):
                count, is_whole, _ = await self.read(f"/{route}/1", pause_s=with_pause_s)
                self.assertTrue(is_whole, count)

    async def test_response_behind_another_is_ended_too(self) -> None:
        """A pipelined response may run out of time before its turn comes."""
        caller = await self.connect(self.near)
        options = {"remaining_ms": int(1000 * DEADLINE_S)}
        first = request_bytes("/far/silent/1", attempt="p1", **options)
        second = request_bytes("/near/silent/2", attempt="p2", **options)
        started_s = time.monotonic()
        caller.writer.write(first + second)
        response = await caller.response()
        self.assertFalse(response.is_complete)
        self.assertLess(time.monotonic() - started_s, NO_END_S)
        await self.wait_until(lambda: len(self.ended) == 2)


class Clock:
    """Stands in for the event loop; ``advance`` runs what is due by then."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self._timers: list[tuple[float, Callable, tuple]] = []
        self._soon: list[tuple[Callable, tuple]] = []

    def time(self) -> float:
        return self.now_s

    def call_at(self, when_s: float, callback: Callable, *arguments: object) -> mock.Mock:
        """Run ``callback`` at ``when_s``, unless the returned timer is cancelled."""
        timer = (when_s, callback, arguments)
        self._timers.append(timer)
        return mock.Mock(cancel=lambda: self._timers.remove(timer))

    def call_soon(self, callback: Callable, *arguments: object) -> None:
        """Run ``callback`` with the next timer."""
        self._soon.append((callback, arguments))

    def advance(self, until_s: float) -> None:
        """Run the timers up to a time in their order."""
        while due := [timer for timer in self._timers if timer[0] <= until_s]:
            timer = min(due, key=lambda timer: timer[0])
            self._timers.remove(timer)
            self.now_s = max(self.now_s, timer[0])
            timer[1](*timer[2])
            while self._soon:
                callback, arguments = self._soon.pop()
                callback(*arguments)
        self.now_s = until_s


class TestTimes(unittest.TestCase):
    """When exactly a response is ended."""

    def setUp(self) -> None:
        self.clock = Clock()
        state = mock.Mock(loop=self.clock, now_ms=lambda: self.clock.now_s * 1000.0)
        self.late_responses = LateResponses(state)
        self.taken: list[int] = []
        self.body = BodyStream(None, self.taken.append)
        self.reader = mock.Mock()
        self.ended_s: list[float] = []
        self.reader.on_end.side_effect = lambda **_: self.ended_s.append(self.clock.now_s)
        self.body.open(self.reader)

    def watch(self, *, remaining_ms: float | None) -> None:
        """Watch a response whose request came just now, on a route with TIMEOUT_S."""
        call = mock.Mock(received_ms=self.clock.now_s * 1000.0)
        call.deadline_ms = call.received_ms + TIMEOUT_S * 1000.0
        call.request.remaining_ms = remaining_ms
        self.late_responses.watch(call, self.body, GRACE_MS)

    def test_response_ends_at_the_time_out_if_its_reader_has_all(self) -> None:
        """Within the half second that the rule allows, whatever the caller's own deadline."""
        for remaining_ms in (None, DEADLINE_S * 1000.0):
            self.setUp()
            self.body.push(b"12345")
            self.body.take(5)
            self.watch(remaining_ms=remaining_ms)
            self.clock.advance(100.0 + TIMEOUT_S)
            self.assertEqual(self.ended_s, [])
            self.clock.advance(200.0)
            self.assertEqual(len(self.ended_s), 1)
            self.assertLessEqual(self.ended_s[0], 100.0 + TIMEOUT_S + 0.5)

    def test_response_of_a_reader_that_is_behind_ends_at_its_deadline(self) -> None:
        """Not before, and no later than half a second behind."""
        self.body.push(b"12345")
        self.watch(remaining_ms=DEADLINE_S * 1000.0)
        self.clock.advance(100.0 + DEADLINE_S)
        self.assertEqual(self.ended_s, [])
        self.clock.advance(200.0)
        self.assertLessEqual(self.ended_s[0], 100.0 + DEADLINE_S + 0.5)

    def test_reader_that_catches_up_waits_no_longer(self) -> None:
        """From then on the target keeps it waiting."""
        self.body.push(b"12345")
        self.watch(remaining_ms=DEADLINE_S * 1000.0)
        self.clock.advance(100.0 + TIMEOUT_S + 0.2)
        self.body.take(5)
        self.clock.advance(200.0)
        self.assertLessEqual(self.ended_s[0], 100.0 + TIMEOUT_S + 0.7)

    def test_response_that_has_ended_is_left_alone(self) -> None:
        """What has arrived as a whole is the reader's."""
        self.body.push(b"12345")
        self.watch(remaining_ms=DEADLINE_S * 1000.0)
        self.body.end(is_whole=True)
        self.clock.advance(200.0)
        self.reader.on_end.assert_called_once_with(is_whole=True)


async def answer_first(
    target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
) -> bytes:
    """Answer with FIRST_BYTES, which a node holds as a whole."""
    return target.success_response(request, bytes(FIRST_BYTES))


del LateResponseCase, FleetCase


if __name__ == "__main__":
    unittest.main()
