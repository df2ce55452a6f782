"""Fixtures: a small fleet of nodes in one event loop, with an emulated platform.

Each VM has its own loopback address, so that all nodes can listen on the same ports, as they do on
the platform.
"""

from __future__ import annotations

import asyncio
import os
import random
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from unittest import mock

import httptools
from attrs import define, field

from cottonlink.overload import make_connection_account, make_memory_account
from cottonlink.path import CallerLimits, EventLog, Node, NodeSettings, StoreFollower
from cottonlink.platform._headers import PlatformHeaderCodec
from cottonlink.platform._process import make_store_follower
from emulator.addresses import PortReserver
from emulator.platform_store import PlatformStore
from emulator.platform_target import PlatformTarget

# Keeps a failing test from hanging; no check depends on its value.
WAIT_TIMEOUT_S = 20.0


class TurnLoop:
    """Stands in for the event loop of a connection that a test feeds by itself."""

    def __init__(self) -> None:
        self._callbacks: list[Callable[[], None]] = []

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Keep ``callback`` for the next round."""
        self._callbacks.append(callback)

    def run(self) -> int:
        """Run rounds until no callback is left; return their number."""
        rounds = 0
        while self.run_round():
            rounds += 1
        return rounds

    def run_round(self) -> int:
        """Run one round; return the number of its callbacks."""
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        return len(callbacks)


def caller_handler(loop: TurnLoop, **methods: object) -> SimpleNamespace:
    """Return a stand-in for the node of a caller's connection, with further ``methods``.

    Unlike a mock it doesn't keep its calls, of which there is one for each piece of input.
    """
    limits = CallerLimits()
    memory = make_memory_account(200, loop.call_soon)
    connections = make_connection_account(memory, 100, lambda: 0.0, lambda *_: None)
    defaults = {
        "connections": connections,
        "now_ms": lambda: 0.0,
        "call_soon": loop.call_soon,
        "caller_limits": lambda: limits,
        "is_shutting_down": lambda: False,
        "is_repeatable": lambda _request: True,
        "on_caller_connected": lambda _connection: None,
        "on_request_rejected": lambda _status: None,
        "on_offer_declined": lambda: None,
        "on_failure": lambda _part, _error: None,
        "hold_body": lambda _head: memory.open("caller_requests", 0),
    }
    return SimpleNamespace(**{**defaults, **methods})


@define(eq=False)
class Vm:
    """A target and the node next to it."""

    node: Node
    target: PlatformTarget
    follower: StoreFollower
    tasks: list[asyncio.Task]
    settings: NodeSettings
    is_stopped: asyncio.Event = field(factory=asyncio.Event)

    @property
    def caller_address(self) -> tuple[str, int]:
        """Host and port to which callers on this VM send their requests."""
        host, _, port = self.settings.caller_address.rpartition(":")
        return host, int(port)


@define
class Response:
    """A response as a caller receives it; ``is_complete`` tells whether all of it arrived."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    is_complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True


class Caller:
    """A caller with one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._unread = b""

    async def response(self) -> Response:
        """Read the next response; it is incomplete if the connection ends first."""
        response = Response()
        parser = httptools.HttpResponseParser(response)
        while not response.is_complete:
            data, self._unread = self._unread or await self._read(), b""
            if not data:
                break
            # One byte at a time, to stop exactly at the end of the response.
            for index in range(len(data)):
                parser.feed_data(data[index : index + 1])
                if response.is_complete:
                    self._unread = data[index + 1 :]
                    break
            response.status = parser.get_status_code()
        return response

    async def _read(self) -> bytes:
        try:
            return await asyncio.wait_for(self.reader.read(65536), WAIT_TIMEOUT_S)
        except ConnectionError:
            return b""

    def close(self) -> None:
        """Disconnect."""
        self.writer.close()


def request_bytes(
    path: str,
    *extra: str,
    host: str = "shop.example",
    method: str = "GET",
    body: bytes = b"",
    attempt: str | None = "a1",
    remaining_ms: int | None = 5_000,
) -> bytes:
    """Return a serialized request of a caller."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if attempt is not None:
        lines.append(f"X-Attempt-Id: {attempt}")
    if remaining_ms is not None:
        lines.append(f"X-Request-Deadline-Ms: {remaining_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, *extra, "", ""]).encode() + body


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts VMs and callers, and stops them after each test."""

    async def asyncSetUp(self) -> None:
        # The fleet starts before its configuration is written, and tests need not wait for that.
        patch = mock.patch("cottonlink.path.store._store_follower.FLEET_START_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = PlatformStore()
        await self.store.start()
        self.vms: list[Vm] = []
        self._reserver = PortReserver()
        self.addCleanup(self._reserver.close)
        names = ("caller", "peer", "ready", "metrics")
        self._ports = {name: self._reserver.reserve_on_all_addresses() for name in names}
        self._null = os.open(os.devnull, os.O_WRONLY)

    async def asyncTearDown(self) -> None:
        for vm in self.vms:
            for task in vm.tasks:
                task.cancel()
            vm.node.close()
            await vm.target.stop()
        await self.store.stop()
        await asyncio.sleep(0)
        os.close(self._null)

    async def add_vm(self, service: str, upstream_id: str, *, slots: int = 16) -> Vm:
        """Start a target, register it in the store, and start its node."""
        host = f"127.0.0.{len(self.vms) + 2}"
        port = self._reserver.reserve_on_all_addresses()
        target = PlatformTarget(service, host, port, upstream_id, slots)
        await target.start()
        await self.store.put(f"servers/{upstream_id}", target.entry())
        settings = NodeSettings(
            node=f"node-{len(self.vms)}",
            data_centre="hall-a",
            service=service,
            caller_address=f"{host}:{self._ports['caller']}",
            peer_address=f"{host}:{self._ports['peer']}",
            ready_address=f"{host}:{self._ports['ready']}",
            metrics_address=f"{host}:{self._ports['metrics']}",
            target_address=f"{host}:{target.port}",
            store_address=self.store.address,
            readiness_path="/-/readiness",
            repeat_ratio=1.0,
            repeat_allowance=100,
            grace_s=6,
            **self.node_settings(),
        )
        vm = await self._start_node(settings, target)
        self.vms.append(vm)
        return vm

    def node_settings(self) -> dict:
        """Return further settings of the nodes of a test."""
        return {}

    async def _start_node(self, settings: NodeSettings, target: PlatformTarget) -> Vm:
        loop = asyncio.get_running_loop()
        rng = random.Random(len(self.vms))
        log = EventLog(settings.node, loop, self._null)
        node = Node(settings, PlatformHeaderCodec(), log, loop, rng)
        follower = make_store_follower(settings, node, log, rng, loop)
        await node.start()
        tasks = [loop.create_task(follower.run()), loop.create_task(follower.run_maintenance())]
        return Vm(node, target, follower, tasks, settings)

    async def restart_node(self, vm: Vm) -> Vm:
        """Close a node without a shutdown and start a new one next to the same target."""
        for task in vm.tasks:
            task.cancel()
        vm.node.close()
        await asyncio.sleep(0.05)
        new = await self._start_node(vm.settings, vm.target)
        self.vms[self.vms.index(vm)] = new
        return new

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds; fail the test after ``WAIT_TIMEOUT_S``."""
        for _ in range(int(WAIT_TIMEOUT_S / 0.01)):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("expected the condition to hold within WAIT_TIMEOUT_S, it did not")

    async def wait_until_version(self, version: int) -> None:
        """Wait until all nodes have applied a configuration version and know all upstreams."""
        await self.wait_until(
            lambda: all(
                vm.node.state.configuration_version == version
                and len(vm.node.state.load_balancer.upstreams()) == len(self.vms)
                for vm in self.vms
            )
        )

    async def connect(self, vm: Vm) -> Caller:
        """Connect to a node as a caller."""
        reader, writer = await asyncio.open_connection(*vm.caller_address)
        self.addCleanup(writer.close)
        return Caller(reader, writer)

    async def call(self, vm: Vm, path: str, *extra: str, **options: object) -> Response:
        """Send one request on a new connection and return its response."""
        caller = await self.connect(vm)
        caller.writer.write(request_bytes(path, *extra, **options))
        return await caller.response()
