"""A small deployment on loopback addresses: nodes as processes, the store and targets as stand-ins.

The nodes are started with the command of ``deploy/system.toml`` and with settings made from the
template that it names. The store is the project's own stand-in. Every VM has an address of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from emulator.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
BOUNDS = {
    "drain_s": 2,
    "grace_s": 6,
    "loss_slack_s": 0.2,
    "config_apply_s": 2,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 47,
    "contact_s": 3,
}
# Of a machine, as in the site file. The platform kills a process that exceeds it.
MEMORY_MB = 300
MEMORY_CHECK_S = 0.005
RESTART_DELAY_S = 0.3
MAX_BODY_BYTES = 67_108_864
# A case ends by itself before this.
CASE_LIMIT_S = 100.0
OUTBOUND, INBOUND, READY, TARGET = 8304, 8300, 8302, 8301
HEARTBEAT_S = 1.5
METRICS = 9464
START_TIMEOUT_S = 20.0


class CannotRunError(Exception):
    """The case can't be played here, which says nothing about the project."""


class Record:
    """Writes ``record.txt`` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def line(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Request:
    """A request as a target received it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def attempt(self) -> str:
        return self.headers.get("x-attempt-id", "")


class Connection:
    """A connection of a target; ``late`` is for bytes that a behaviour sends later."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.late: list[bytes] = []


# Answers a request on its connection; returns whether the connection stays open.
Behaviour = Callable[["Target", Request, Connection], Awaitable[bool]]


class Target:
    """An application server: it registers itself, and runs and answers requests."""

    def __init__(
        self, record: Record, upstream_id: str, service: str, ip: str, behaviour: Behaviour
    ) -> None:
        self.record = record
        self.upstream_id = upstream_id
        self.service = service
        self.ip = ip
        self.behaviour = behaviour
        self.slots = 43
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.runs: list[Request] = []
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, TARGET, limit=1 << 20)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()

    def entry(self) -> dict:
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{TARGET}",
            "zone": "hall-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_s": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }

    def answer(
        self, request: Request, body: bytes, *, status: int = 200, has_length: bool = True
    ) -> bytes:
        """Return an answer to ``request``; without a length it ends with the connection."""
        lines = [
            f"HTTP/1.1 {status} Answer",
            f"X-Attempt-Id: {request.attempt}",
            f"X-Server-Seal: {self.upstream_id}.{request.attempt}",
        ]
        if has_length:
            lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection = Connection(reader, writer)
        try:
            while (request := await _read_request(reader)) is not None:
                expected = request.headers.get("x-expected-instance")
                if expected not in (None, self.upstream_id):
                    head = f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.upstream_id}"
                    writer.write(f"{head}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs.append(request)
                self.record.line(
                    f"{self.upstream_id} runs {request.method} {request.target}"
                    f" {request.attempt} ({len(request.body)} bytes)"
                )
                if not await self.behaviour(self, request, connection):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Node:
    """A node's process beside a target."""

    def __init__(self, name: str, ip: str, settings_path: Path, log_path: Path) -> None:
        self.name = name
        self.ip = ip
        self._settings_path = settings_path
        self._log_path = log_path
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0
        self.memory_kills = 0

    async def start(self, command: list[str]) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["COTTONLINK_NODE_FILE"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        if self.is_running:
            self.process.send_signal(signal_number)

    def memory_mb(self) -> float:
        """Return the memory that the process holds in RAM, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match.group(1)) / 1024 if match else 0.0

    async def end(self) -> None:
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Deployment:
    """The store, the targets and their nodes."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder)
        self.store = PlatformStore(page_items=500)
        self.targets: list[Target] = []
        self.nodes: list[Node] = []
        self.clients: list[Client] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: list[asyncio.Task] = []
        self._version = 0
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        (role,) = roles.values()
        self.command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self._block = _free_block()

    async def start(self, services: list[str], behaviours: dict[str, Behaviour]) -> None:
        """Start the store, and one VM for each of ``services``."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        await self.store.start()
        for number, service in enumerate(services):
            ip = f"{self._block}.{number + 2}"
            target = Target(self.record, f"i-{number}", service, ip, behaviours[service])
            await target.start()
            self.targets.append(target)
            path = self._folder / f"node-{number}.yaml"
            path.write_text(self._settings(f"node-{number}", ip, service))
            self.nodes.append(Node(f"node-{number}", ip, path, self._folder / f"node-{number}.log"))
        for target in self.targets:
            await self.store.put(f"servers/{target.upstream_id}", target.entry())
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            await node.start(self.command)
        for node in self.nodes:
            await self.wait_until_ready(node)

    async def publish(self, *routes: dict, max_connections: int = 358) -> None:
        """Publish a configuration with these routes."""
        self._version += 7
        names = sorted({target.service for target in self.targets})
        services = [
            {
                "resource_type": "services",
                "metadata": {"name": name},
                "spec": {"health_path": "/health", "max_connections": max_connections},
            }
            for name in names
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        resources = [
            *routes,
            *services,
            {"resource_type": "limits", "metadata": {}, "spec": limits},
        ]
        await self.store.put("op/config", {"version": self._version, "resources": resources})

    async def wait_until_ready(self, node: Node) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if not node.is_running:
                raise CannotRunError(f"{node.name} ended at its start")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(node.ip, READY)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b" 200 " in status:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{node.name} wasn't ready within {START_TIMEOUT_S} s")

    def enforce_memory_limit(self) -> None:
        """Kill and restart, as the platform does, each process that exceeds ``memory_mb``."""
        self._tasks += [asyncio.create_task(self._watch_memory(node)) for node in self.nodes]

    async def _watch_memory(self, node: Node) -> None:
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            memory_mb = node.memory_mb()
            node.peak_mb = max(node.peak_mb, memory_mb)
            if memory_mb <= MEMORY_MB or not node.is_running:
                continue
            self.record.line(
                f"the platform kills {node.name}: it holds {memory_mb:.0f} MB, more than its limit"
                f" of {MEMORY_MB} MB"
            )
            node.memory_kills += 1
            await node.end()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start(self.command)
            self.record.line(f"the platform starts {node.name} again")

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        for node in self.nodes:
            await node.end()
        for target in self.targets:
            target.stop()
        # Lets the connections end before the event loop does.
        await asyncio.sleep(0.1)
        await self.store.stop()
        self.record.close()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for target in self.targets:
                await self.store.put(f"servers/{target.upstream_id}", target.entry())

    def _settings(self, name: str, ip: str, service: str) -> str:
        fields = {
            "node": name,
            "zone": "hall-a",
            "service": service,
            "ip": ip,
            "app_addr": f"{ip}:{TARGET}",
            "listen_addrs": {
                "inbound": f"{ip}:{INBOUND}",
                "outbound": f"{ip}:{OUTBOUND}",
                "ready": f"{ip}:{READY}",
            },
            "platform": {"address": self.store.address},
            "bounds": BOUNDS,
        }

        def fill(match: re.Match) -> str:
            value = fields
            for part in match.group(1).split("."):
                value = value[part]
            return str(value)

        return re.sub(r"\{\{([a-z_.]+)\}\}", fill, self._template)


def route(name: str, prefix: str, service: str, kind: str, **spec: object) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "resource_type": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeout_s": 5,
            "target_latency_s": 1.5,
            "priority": 0 if kind == "unsafe" else 2,
            "service": service,
            "max_attempts": 2,
            **spec,
        },
    }


def _free_block() -> str:
    """Return the first three bytes of loopback addresses on which the ports are free."""
    for _ in range(100):
        block = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        try:
            for port in (OUTBOUND, INBOUND, READY, TARGET, METRICS):
                with socket.create_server((f"{block}.2", port)):
                    pass
        except OSError:
            continue
        return block
    raise CannotRunError("found no free loopback addresses")


class Answer:
    """What a client got; ``status`` 0 means that the connection ended without a whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, end: str = "") -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.end = end


class Client:
    """A client of the node on its VM, with one kept connection."""

    def __init__(self, deployment: Deployment, node: Node) -> None:
        deployment.clients.append(self)
        self._record = deployment.record
        self._node = node
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_connected(self) -> bool:
        return self._writer is not None

    async def connect(self, receive_buffer_bytes: int | None = None) -> None:
        """Connect; with a small buffer, what the client doesn't read stays at the node."""
        client = socket.socket()
        client.setblocking(False)
        if receive_buffer_bytes is not None:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        try:
            address = (self._node.ip, OUTBOUND)
            await asyncio.get_running_loop().sock_connect(client, address)
        except OSError:
            client.close()
            raise
        self._reader, self._writer = await asyncio.open_connection(
            sock=client, limit=receive_buffer_bytes or 1 << 20
        )

    async def call(
        self, method: str, path: str, attempt: str, body: bytes = b"", deadline_ms: int = 5000
    ) -> Answer:
        """Send a request and return its answer."""
        if self._writer is None:
            await self.connect()
        self.send(method, path, attempt, body, deadline_ms)
        return await self.receive(path, attempt)

    def send(
        self, method: str, path: str, attempt: str, body: bytes = b"", deadline_ms: int = 5000
    ) -> None:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Request-Deadline-Ms: {deadline_ms}",
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._record.line(f"sent {method} {path} {attempt} to {self._node.name}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def send_pieces(self, pieces: list[bytes], interval_s: float) -> None:
        """Send bytes in pieces that arrive one by one."""
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in pieces:
            self._writer.write(piece)
            await self._writer.drain()
            await asyncio.sleep(interval_s)

    async def receive(self, path: str, attempt: str, timeout_s: float = 12.0) -> Answer:
        """Return the next answer on the connection."""
        try:
            answer = await asyncio.wait_for(self._receive(), timeout_s)
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = Answer(0, {}, b"", f"connection ended: {type(error).__name__}")
        except TimeoutError:
            answer = Answer(0, {}, b"", "no answer")
        if answer.status == 0 or answer.headers.get("connection") == "close":
            self.close()
        self._record.line(
            f"answered {path} {attempt}: {answer.status or answer.end}"
            f" id {answer.headers.get('x-attempt-id')}"
            f" seal {answer.headers.get('x-server-seal')} {answer.body[:60]!r}"
        )
        return answer

    async def read_slowly(self, path: str, attempt: str, piece_bytes: int, pause_s: float) -> None:
        """Read an answer in pieces with pauses, and drop its body."""
        received, end = 0, "whole"
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
            while received < length:
                data = await self._reader.read(piece_bytes)
                if not data:
                    raise ConnectionResetError
                received += len(data)
                await asyncio.sleep(pause_s)
        except (OSError, asyncio.IncompleteReadError) as error:
            end = f"connection ended: {type(error).__name__}"
        self._record.line(f"answered {path} {attempt}: {received} bytes, {end}")
        self.close()

    async def _receive(self) -> Answer:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(int(head[0].split(" ")[1]), headers, body)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def run_case(case_folder: Path, play: Callable[[Deployment, bool], Awaitable[list[str]]]) -> int:
    """Play a case; return 0 if the rule held, 1 if it was broken, and 2 if the case can't run.

    ``play`` gets the deployment and whether to cause the trouble, and returns the breaches.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        deployment = None
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, task.cancel)
        try:
            deployment = Deployment(case_folder)
            async with asyncio.timeout(CASE_LIMIT_S):
                breaches = await play(deployment, has_trouble)
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            print(f"can't run: {type(error).__name__}: {error}")
            return 2
        finally:
            if deployment is not None:
                await _stop_quietly(deployment)
        for breach in breaches:
            print(breach)
        print("the rule was broken" if breaches else "the rule held")
        return 1 if breaches else 0

    return asyncio.run(main())


async def _stop_quietly(deployment: Deployment) -> None:
    with contextlib.suppress(OSError):
        await deployment.stop()
