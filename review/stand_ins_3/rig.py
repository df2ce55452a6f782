"""A small deployment on loopback addresses: the project's nodes as processes, and stand-ins.

The nodes run with the command of ``deploy/system.toml``. The store is the project's own stand-in,
the upstreams are those of a case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from emulator.platform_store import PlatformStore
from emulator.platform_target import configuration, route_resource

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
NODE_COMMAND = ("python3", "-OO", "target/app/run_node.py")
READY_TIMEOUT_S = 20.0
# A case may take 120 s.
CASE_TIMEOUT_S = 105.0
# The bounds of the site norrsken-mesh.
GRACE_S = 6
HEARTBEAT_S = 1.5
FIRST_START_MS = 1_780_000_000_000


class CaseError(Exception):
    """The case could not run."""


class Machine:
    """One machine: a node's process, and the address of the upstream next to it."""

    def __init__(self, rig: Rig, number: int, service: str, zone: str) -> None:
        self.rig = rig
        self.name = f"sidecar-{number}"
        self.service = service
        self.zone = zone
        self.ip = f"127.{rig.block}.{rig.subblock}.{number + 1}"
        ports = rig.ports
        self.outbound = (self.ip, ports["outbound"])
        self.ready = (self.ip, ports["ready"])
        self.app = (self.ip, ports["app"])
        # Where the node listens for other nodes; they look for it at the machine's own address.
        self.peer_ip = self.ip
        self.memory_mb = 300
        self.process: asyncio.subprocess.Process | None = None
        self.settings_path = rig.folder / f"{self.name}.yaml"
        self.log_path = rig.folder / f"{self.name}.log"

    def settings(self) -> dict:
        """Return the settings as the platform fills in ``deploy/settings.yaml``."""
        ports = self.rig.ports
        return {
            "node": self.name,
            "data_centre": self.zone,
            "service": self.service,
            "caller_address": f"{self.ip}:{ports['outbound']}",
            "peer_address": f"{self.peer_ip}:{ports['inbound']}",
            "ready_address": f"{self.ip}:{ports['ready']}",
            "metrics_address": f"{self.ip}:{ports['metrics']}",
            "target_address": f"{self.ip}:{ports['app']}",
            "store_address": self.rig.store_address,
            "readiness_path": "/-/readiness",
            "repeat_ratio": 0.2,
            "repeat_allowance": 47,
            "repeat_window_s": 10,
            "grace_s": GRACE_S,
        }

    async def start(self) -> None:
        """Start the node's process."""
        self.settings_path.write_text(json.dumps(self.settings()))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "COTTONLINK_NODE_FILE": str(self.settings_path),
            "COTTONLINK_MEMORY_MB": str(self.memory_mb),
            "COTTONLINK_STRICT_REVOCATION": "",
            "COTTONLINK_REVOCATION_S": "",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *NODE_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.rig.record("process", f"{self.name} started, pid {self.process.pid}")

    async def wait_until_ready(self) -> None:
        """Wait until the node answers its readiness check with 200."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} isn't ready after {READY_TIMEOUT_S:g} s")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.rig.record("signal", f"{number.name} to {self.name}")
            os.kill(self.process.pid, number)

    def event_counts(self) -> dict[str, int]:
        """Return how often each event stands in the node's log."""
        counts: dict[str, int] = {}
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                name = json.loads(line).get("event")
                counts[name] = counts.get(name, 0) + 1
        return counts


class Rig:
    """The deployment, and the record of what was sent, answered and run."""

    def __init__(self, record_path: Path) -> None:
        self._record_path = record_path
        self._started_s = time.monotonic()
        self.lines: list[str] = []
        self.machines: list[Machine] = []
        self.store = PlatformStore(page_items=50)
        self._version = 0
        self._tasks: set[asyncio.Task] = set()
        self._sequences: dict[tuple[str, int], int] = {}

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def record(self, kind: str, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now_s():8.3f} {kind:<8} {text}")

    def run(self, scenario: Callable[[Rig], Awaitable[bool]]) -> None:
        """Run ``scenario``, which returns whether the rule held, and exit with its result."""
        status = 2
        try:
            status = asyncio.run(self._run(scenario))
        except (Exception, asyncio.CancelledError) as error:
            self.record("error", f"{type(error).__name__}: {error}")
        result = {0: "the rule held", 1: "THE RULE IS BROKEN", 2: "the case could not run"}[status]
        self.record("result", result)
        self._record_path.write_text("\n".join(self.lines) + "\n")
        print(result)
        sys.exit(status)

    async def _run(self, scenario: Callable[[Rig], Awaitable[bool]]) -> int:
        with tempfile.TemporaryDirectory(prefix="cottonlink-case-") as folder:
            self.folder = Path(folder)
            self.block = random.randint(100, 250)
            self.subblock = random.randint(1, 250)
            self.ports = self._free_ports()
            try:
                await self.store.start(f"127.{self.block}.{self.subblock}.250")
                self.store_address = self.store.address
                # Ended from outside, it ends its processes as well.
                task = asyncio.ensure_future(scenario(self))
                asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
                return 0 if await asyncio.wait_for(task, CASE_TIMEOUT_S) else 1
            finally:
                await self._end()

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free, the same on all machines."""
        names = ("outbound", "inbound", "ready", "metrics", "app")
        with contextlib.ExitStack() as stack:
            sockets = [stack.enter_context(socket.socket()) for _ in names]
            for sock in sockets:
                sock.bind((f"127.{self.block}.{self.subblock}.1", 0))
            return {n: s.getsockname()[1] for n, s in zip(names, sockets, strict=True)}

    async def _end(self) -> None:
        """End all processes that the case started."""
        # What is cut off from here on says nothing.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(machine.process.pid, signal.SIGCONT)
                    os.kill(machine.process.pid, signal.SIGKILL)
                await machine.process.wait()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for machine in self.machines:
                (Path(keep) / machine.log_path.name).write_bytes(machine.log_path.read_bytes())

    def add_machine(self, service: str, zone: str = "hall-a") -> Machine:
        """Add a machine, whose node isn't started yet."""
        machine = Machine(self, len(self.machines), service, zone)
        self.machines.append(machine)
        return machine

    async def publish(self, *routes: dict, **limits: object) -> None:
        """Let the operator write the next configuration."""
        self._version += 5
        await self.store.put("op/config", configuration(self._version, *routes, **limits))
        self.record("config", f"version {self._version} acknowledged")

    async def register(
        self, machine: Machine, upstream_id: str, born: int = FIRST_START_MS, **changes: object
    ) -> None:
        """Let the upstream on ``machine`` write its entry; with a new start its count is anew."""
        start = (upstream_id, born)
        sequence = self._sequences[start] = self._sequences.get(start, 0) + 1
        entry = {
            "service": machine.service,
            "address": f"{machine.ip}:{self.ports['app']}",
            "zone": machine.zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "warmup_left_s": 0,
            "sequence": sequence,
            "born": born,
            **changes,
        }
        await self.store.put(f"servers/{upstream_id}", entry)

    async def unregister(self, upstream_id: str) -> None:
        """Remove the entry of an upstream that has left."""
        await self.store.remove(f"servers/{upstream_id}")

    async def start_upstream(self, machine: Machine, upstream_id: str) -> None:
        """Start a sound upstream that answers at once, on a machine that the case needs besides."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    _, _, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
                    await reader.readexactly(int(headers.get("content-length", 0)))
                    writer.write(success(headers, upstream_id, b"done"))
            writer.close()

        await asyncio.start_server(serve, *machine.app)
        await self.register(machine, upstream_id)

    def spawn(self, coroutine: Awaitable) -> asyncio.Task:
        """Run a coroutine beside the scenario."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        return task


class Answer:
    """What a client got: a status, headers and body, or how the connection ended without one."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.ending = ""

    def __str__(self) -> str:
        if self.ending:
            return f"no complete answer: {self.ending}, status {self.status or 'none'}"
        seal = self.headers.get("x-server-seal", "none")
        return f"{self.status}, {len(self.body)} bytes, seal {seal}"


class Client:
    """A client's connection, for one request after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def send(self, head: bytes, body: bytes = b"") -> None:
        """Send a request."""
        self.writer.write(head + body)
        await self.writer.drain()

    async def answer(self, timeout_s: float) -> Answer:
        """Return the next answer."""
        answer = Answer()
        try:
            await asyncio.wait_for(self._read(answer), timeout_s)
        except TimeoutError:
            answer.ending = f"nothing more for {timeout_s:g} s"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.ending = f"connection ended ({type(error).__name__})"
        return answer

    async def _read(self, answer: Answer) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split()[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                answer.headers[name.lower()] = value.strip()
        if "content-length" in answer.headers:
            answer.body = await self.reader.readexactly(int(answer.headers["content-length"]))
        elif answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        answer.is_whole = True


async def connect(address: tuple[str, int]) -> Client:
    """Return a client's connection; a new one is given one second."""
    return Client(*await asyncio.wait_for(asyncio.open_connection(*address), 1.0))


def request_head(
    method: str, path: str, request_id: str, deadline_ms: int, length: int | None = None
) -> bytes:
    """Return the head of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Request-Deadline-Ms: {deadline_ms}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


def success(headers: dict[str, str], upstream_id: str, body: bytes) -> bytes:
    """Return the answer of an upstream to a request with ``headers``; 421 if it isn't meant."""
    request_id = headers.get("x-attempt-id", "")
    if headers.get("x-expected-instance", upstream_id) != upstream_id:
        text = f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {request_id}\r\n"
        return f"{text}X-Instance-Id: {upstream_id}\r\nContent-Length: 0\r\n\r\n".encode()
    text = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
    text += f"X-Server-Seal: {upstream_id}.{request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return text.encode() + body


def parse_head(data: bytes) -> tuple[str, str, dict[str, str]]:
    """Return method, target and headers of a request's head."""
    first, *rest = data.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return method, target, headers


__all__ = [
    "FIRST_START_MS",
    "GRACE_S",
    "HEARTBEAT_S",
    "HOST",
    "ROOT",
    "Answer",
    "CaseError",
    "Client",
    "Machine",
    "Rig",
    "connect",
    "parse_head",
    "request_head",
    "route_resource",
    "success",
]  # fmt: skip
