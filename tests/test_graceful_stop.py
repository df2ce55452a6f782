"""Ends of connections: last responses, shutdown of a node, and the exit of its process."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.platform_fixtures import Caller, FleetCase, Vm, request_bytes

READS = route_resource("reads", "shop.example", "/reads/", "browse", timeout_s=30)
BOOKINGS = route_resource(
    "bookings", "shop.example", "/bookings/", "booking", kind="unsafe", timeout_s=30
)
# Far more than the buffers of both kernels hold, so that a part stays with the node.
LARGE_BODY = bytes(24_000_000)
# A small window keeps most of a response on the side of its sender.
SMALL_BUFFER_BYTES = 16_384


class StopCase(FleetCase):
    """One VM that serves reads and one that serves bookings; events of the first are kept."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = await self.add_vm("browse", "i-1")
        self.booking = await self.add_vm("booking", "i-2")
        await self.store.put("op/config", configuration(4, READS, BOOKINGS))
        await self.wait_until_version(4)
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.first.node.state.log.event = self._record_event

    def _record_event(self, name: str, **fields: Any) -> None:
        self.events.append((name, fields))

    def fields_of(self, name: str) -> list[dict[str, Any]]:
        """Return the fields of each event with a name."""
        return [fields for event, fields in self.events if event == name]

    async def connect_slowly(self, vm: Vm) -> Caller:
        """Connect as a caller with a small window, which reads only when it is told to."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, vm.caller_address)
        reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
        self.addCleanup(writer.close)
        return Caller(reader, writer)

    def answer_large_bodies(self) -> None:
        """Let both targets answer with LARGE_BODY, once their gate is open."""

        async def answer(
            target: PlatformTarget, request: ReceivedRequest, _writer: object
        ) -> bytes:
            await target.answer_gate.wait()
            return target.success_response(request, LARGE_BODY)

        for vm in self.vms:
            vm.target.behaviour = answer

    async def wait_until_unsent(self, vm: Vm) -> None:
        """Wait until a part of a response is in the write buffer of a node."""
        await self.wait_until(
            lambda: any(
                connection.describe_end().unsent_bytes > 1_000_000
                for connection in vm.node._caller_connections
            )
        )

    def advance_shutdown(self, vm: Vm, by_ms: float) -> None:
        """Let a shutdown take place ``by_ms`` earlier."""
        vm.node._shutdown.started_ms -= by_ms


class TestReportedEnds(StopCase):
    """What the log and the metrics say of connections that end."""

    async def test_reset_in_the_middle_of_a_response_is_reported(self) -> None:
        """A response that its caller didn't get whole must not go unnoticed."""
        self.answer_large_bodies()
        caller = await self.connect_slowly(self.first)
        caller.writer.write(request_bytes("/reads/1", attempt="cut"))
        await self.wait_until_unsent(self.first)
        caller.writer.transport.abort()
        await self.wait_until(lambda: self.fields_of("caller_connection_ended"))
        (end,) = self.fields_of("caller_connection_ended")
        self.assertGreater(end["unsent_bytes"], 0)
        self.assertIn(b"answers_cut_short_total", self.first.node.state.metrics.render())

    async def test_requests_in_progress_at_the_end_of_the_process_are_reported(self) -> None:
        """The log must tell which requests a process leaves without a response."""
        self.first.target.answer_gate.clear()
        caller = await self.connect(self.first)
        caller.writer.write(request_bytes("/reads/1", attempt="open"))
        await self.wait_until(lambda: len(self.first.target.runs) == 1)
        self.first.node.begin_shutdown(lambda: None)
        self.advance_shutdown(self.first, 60_000)
        await self.wait_until(lambda: self.fields_of("node_stopped"))
        (end,) = self.fields_of("caller_connection_ended")
        self.assertEqual((end["cause"], end["request_ids"]), ("process_end", (b"open",)))
        (stop,) = self.fields_of("node_stopped")
        self.assertEqual((stop["callers"], stop["requests"], stop["was_idle"]), (1, 1, False))

    async def test_callers_that_leave_are_not_reported(self) -> None:
        """A caller that has its response and disconnects must not add a line to the log."""
        caller = await self.connect(self.first)
        caller.writer.write(request_bytes("/reads/1"))
        await caller.response()
        caller.close()
        await self.wait_until(lambda: not self.first.node._caller_connections)
        self.assertEqual(self.fields_of("caller_connection_ended"), [])


del StopCase, FleetCase
