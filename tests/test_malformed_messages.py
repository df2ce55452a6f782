"""Malformed messages on each interface of a node, which must go on with all that it does.

Each message is a valid one with a value replaced by one of another type or size. The seeds make the
choices repeatable.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import random
from typing import Any

import msgpack

from cottonlink.overload import CrashNotice, QuarantineReport, ReportedLevel, TargetStart
from cottonlink.path._model import Answered, Load, NotRun, OutcomeUnknown, TargetReport
from cottonlink.path.peers._frames import (
    CallFrame,
    CancelFrame,
    LeavingFrame,
    OutcomeFrame,
    PingFrame,
    PongFrame,
    QuarantineFrame,
    SnapshotRequestFrame,
    StoreChangesFrame,
    StoreSnapshotFrame,
    TargetLimitFrame,
    TargetsLeavingFrame,
    encode,
)
from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import PlatformTarget, configuration, make_response, route_resource
from tests.platform_fixtures import FleetCase, Vm, request_bytes

READS = route_resource("reads", "shop.example", "/reads/", "browse")
NESTED_LIST, NESTED_MAPPING = functools.reduce(
    lambda pair, _: ([pair[0]], {"a": pair[1]}), range(300), (None, None)
)
ODD_VALUES = (
    None, True, -1, 0, 2**63, 1e300, float("nan"), float("inf"), "", "x" * 300, b"", b"\xff\x00",
    (), ((),), ((None,),), {}, {"a": 1}, (1, "a", None), NESTED_LIST, NESTED_MAPPING, 2**53 + 1,
    2**64 - 1, 1e308, "9" * 5_000, "127.0.0.9:0", "127.0.0.9:99999", "..:80", "[::1",
    "x" * 70 + ":80", "a\0b:80", "a\r\nb",
)  # fmt: skip
REPORT = TargetReport(Load(1, 2, 3, 4.0), True, False, 1.5, False)
FRAMES = (
    CallFrame(
        1, "i-1", "browse", b"id", b"GET", b"/reads/1", b"shop.example", ((b"a", b"b"),), b"body",
        1_000, 500, 1, 0, True, False, "reads",
    ),
    OutcomeFrame(1, Answered(200, ((b"a", b"b"),), b"body", REPORT)),
    OutcomeFrame(1, NotRun("queue_wait", 10.0, False, REPORT)),
    OutcomeFrame(1, OutcomeUnknown("peer_lost", False)),
    CancelFrame(1),
    PingFrame(1),
    PongFrame(1, Load(1, 2, 3, 4.0)),
    LeavingFrame(False),
    QuarantineFrame(
        QuarantineReport(
            (ReportedLevel("fp", 2, 10),), (CrashNotice("c", 10, ("fp",)),), ("fp-2",)
        )
    ),
    TargetsLeavingFrame((TargetStart("i-9", 5),)),
    TargetLimitFrame(TargetStart("i-1", 1_700_000_000_000), 9.0, 10),
    StoreChangesFrame(1, 2, (("servers/i-9", 2, b"{}"),), 1),
    SnapshotRequestFrame(1, 1),
    StoreSnapshotFrame(2, (("servers/i-9", 2, b"{}"),), 1),
)  # fmt: skip


def malform_frame(frame: Any, rng: random.Random) -> bytes:
    """Return an encoded frame in which one value, or all after the type code, is replaced."""
    kind, *fields = msgpack.unpackb(encode(frame), use_list=True, raw=False)
    replaced = replace_somewhere(fields, rng)
    return msgpack.packb([kind, *replaced] if isinstance(replaced, list) else [kind, replaced])


def replace_somewhere(value: Any, rng: random.Random) -> Any:
    """Return ``value`` with one of its parts, however deep, replaced by an odd value."""
    if isinstance(value, list | tuple) and value and rng.random() < 0.8:
        index = rng.randrange(len(value))
        parts = list(value)
        parts[index] = replace_somewhere(parts[index], rng)
        return parts
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        return {**value, key: replace_somewhere(value[key], rng)}
    return rng.choice(ODD_VALUES)


class MalformedMessageCase(FleetCase):
    """Two VMs of one service; the first is sent what is malformed."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = await self.add_vm("browse", "i-1")
        self.second = await self.add_vm("browse", "i-2")
        self.version = 4
        await self.store.put("op/config", configuration(4, READS))
        await self.wait_until_version(4)
        self.errors: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: self.errors.append(context))

    async def check_all_works(self) -> None:
        """Check that the nodes serve, follow the store, and none of their tasks has ended."""
        for vm in self.vms:
            self.assertFalse([task for task in vm.tasks if task.done()])
            for other in self.vms:
                other.target.runs.clear()
            response = await self.call(vm, "/reads/1")
            self.assertEqual(response.status, 200)
        self.version += 1
        await self.store.put("op/config", configuration(self.version, READS))
        await self.wait_until(
            lambda: all(vm.node.state.configuration_version == self.version for vm in self.vms)
        )
        self.assertEqual(self.errors, [])


class TestMalformedFrames(MalformedMessageCase):
    """Frames between nodes."""

    async def send(self, vm: Vm, data: bytes) -> None:
        """Send bytes to a node on a new connection, and read until it has answered or closed."""
        host, _, port = vm.settings.peer_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data + encode(PingFrame(7)))
        with contextlib.suppress(ConnectionError, TimeoutError):
            await asyncio.wait_for(reader.read(1 << 16), 1.0)
        writer.close()

    async def test_node_outlives_malformed_frames(self) -> None:
        """One frame of a faulty peer must cost its connection at most."""
        rng = random.Random(11)
        for number in range(600):
            data = malform_frame(rng.choice(FRAMES), rng)
            with self.subTest(number=number, frame=data):
                await self.send(self.first, data)
                self.assertEqual(self.errors, [])
        await self.check_all_works()

    async def test_node_outlives_frames_that_a_peer_sends_back(self) -> None:
        """The same on the connections that the node has opened itself."""
        rng = random.Random(12)
        await self.call(self.first, "/reads/1")
        for number in range(300):
            data = malform_frame(rng.choice(FRAMES), rng)
            for link in self.first.node.state.peer_links.all():
                for connection in list(link._connections):
                    with self.subTest(number=number, frame=data):
                        connection.data_received(data)
            if number % 20 == 0:
                await asyncio.sleep(0.05)
                await self.call(self.first, "/reads/1")
        await asyncio.sleep(0.5)
        await self.check_all_works()


class TestMalformedRecords(MalformedMessageCase):
    """What the store holds and answers."""

    async def test_node_outlives_malformed_records(self) -> None:
        """One entry that can't be read must not end the task that follows the store."""
        rng = random.Random(13)
        for number in range(150):
            entry = replace_somewhere(self.second.target.entry(), rng)
            record = json.dumps(entry, default=repr).encode()
            if number % 10 == 0:
                record = record[: rng.randrange(len(record) + 1)]
            await self.store.put(f"servers/odd-{number % 7}", record)
            changed = replace_somewhere(configuration(self.version + 1, READS), rng)
            await self.store.put("op/config", json.dumps(changed, default=repr).encode())
            if number % 25 == 0:
                await asyncio.sleep(0.2)
        for number in range(7):
            await self.store.remove(f"servers/odd-{number}")
        known = max(vm.node.state.configuration_version for vm in self.vms)
        self.version = max(known, self.version) + 1_000
        await self.check_all_works()

    async def test_node_outlives_malformed_answers(self) -> None:
        """One answer of the store that means nothing must not end the task that follows it."""
        rng = random.Random(14)
        answer = self.store._json

        def garble(status: int, data: dict) -> bytes:
            if rng.random() < 0.5:
                return answer(status, data)
            garbled = replace_somewhere(data, rng)
            return answer(status, json.loads(json.dumps(garbled, default=repr)))

        self.store._json = garble
        for _ in range(40):
            await self.store.put("servers/i-8", self.second.target.entry(address="127.0.0.9:1"))
            await asyncio.sleep(0.05)
        self.store._json = answer
        await self.store.remove("servers/i-8")
        known = max(vm.node.state.configuration_version for vm in self.vms)
        self.version = max(known, self.version) + 1_000
        await self.check_all_works()


class TestMalformedHttp(MalformedMessageCase):
    """Requests of callers and responses of targets."""

    async def test_node_outlives_malformed_requests(self) -> None:
        """One request must cost its caller a connection at most."""
        rng = random.Random(15)
        valid = request_bytes("/reads/1", "X-Other: 1", body=b"12345", method="POST")
        for number in range(300):
            data = bytearray(valid)
            for _ in range(rng.randrange(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            with self.subTest(number=number, request=bytes(data)):
                caller = await self.connect(self.first)
                caller.writer.write(bytes(data))
                caller.writer.write_eof()
                await caller.response()
                caller.close()
                self.assertEqual(self.errors, [])
        await self.check_all_works()

    async def test_node_outlives_malformed_responses(self) -> None:
        """One response must cost its own request at most."""
        rng = random.Random(16)

        async def garble(
            target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes:
            attempt = request.header("x-attempt-id") or ""
            headers = (("X-Attempt-Id", attempt), ("Server-Limit", "1e5"), ("Keep-Alive", "t=1"))
            data = bytearray(make_response(200, b"12345", *headers))
            for _ in range(rng.randrange(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            return bytes(data)

        for vm in self.vms:
            vm.target.behaviour = garble
        for number in range(150):
            await self.call(self.first, f"/reads/{number}", attempt=f"a{number}", remaining_ms=150)
            self.assertEqual(self.errors, [])
        for vm in self.vms:
            vm.target.behaviour = None
        await self.check_all_works()


del MalformedMessageCase, FleetCase
