"""A small deployment on loopback addresses: nodes as processes, and stand-ins for all else.

The nodes are started with the command of ``deploy/system.toml``, with settings made from the
template ``deploy/settings.yaml``. The store is the project's own stand-in. Upstreams are sockets
whose behaviour a case sets.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from emulator.platform_store import PlatformStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
# As the site files of the small deployments have them.
BOUNDS = {
    "drain_s": 2,
    "grace_s": 6,
    "contact_s": 3,
    "loss_slack_s": 0.2,
    "config_apply_s": 2,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 47,
}
MEMORY_MB = 300
READINESS_REQUEST = b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"


class CannotRunError(Exception):
    """The case couldn't be played; this says nothing of the rule."""


@dataclass
class Received:
    """A request as an upstream or a client received it."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first header with this lower-case name, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


async def read_request(reader: asyncio.StreamReader) -> Received | None:
    """Read one request, or return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first_line, *rest = head.decode("latin-1").split("\r\n")
        headers = [
            (name.strip().lower(), value.strip())
            for name, _, value in (line.partition(":") for line in rest if line)
        ]
        request = Received(first_line, headers, b"")
        request.body = await reader.readexactly(int(request.header("content-length") or 0))
        return request
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


@dataclass(eq=False)
class Upstream:
    """An upstream that echoes ids and checks ``X-Expected-Instance``, as the pages say.

    ``run`` gets each request that it runs and writes the answer; it returns whether the connection
    stays open.
    """

    lab: Lab
    service: str
    upstream_id: str
    ip: str
    port: int
    run: Callable[[Upstream, Received, asyncio.StreamWriter], Awaitable[bool]]
    slots: int = 43
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    runs: list[tuple[str, float]] = field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def register(self, **changes: object) -> None:
        """Write its entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "hall-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup_left_s": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.lab.store.put(f"servers/{self.upstream_id}", {**entry, **changes})

    def answer_head(self, request: Received, status: str = "200 OK") -> bytes:
        """Return the beginning of an answer's head, without its framing and its end."""
        seal = f"{self.upstream_id}.{len(self.runs)}"
        return (
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request.header('x-attempt-id')}\r\n"
            f"X-Server-Seal: {seal}\r\n"
        ).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if request.first_line.split()[1] == "/health":
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.upstream_id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                expected = request.header("x-expected-instance")
                if expected and expected != self.upstream_id:
                    writer.write(
                        f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.upstream_id}\r\n"
                        f"X-Attempt-Id: {request.header('x-attempt-id')}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                self.runs.append((request.header("x-attempt-id"), self.lab.now_s()))
                self.lab.note(
                    "run",
                    id=request.header("x-attempt-id"),
                    upstream=self.upstream_id,
                    caller=request.header("x-caller-service"),
                    line=request.first_line[:80],
                )
                if not await self.run(self, request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, RuntimeError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the kernel does when a process with unread input ends."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


async def answer_whole(upstream: Upstream, request: Received, writer: asyncio.StreamWriter) -> bool:
    """Answer at once with a short body and its length."""
    body = f"{upstream.upstream_id} {request.first_line.split()[1]}".encode()[:200]
    writer.write(
        upstream.answer_head(request) + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    )
    await writer.drain()
    return True


@dataclass(eq=False)
class Machine:
    """A machine with an upstream and the node next to it."""

    lab: Lab
    ip: str
    upstream: Upstream
    settings_path: Path
    process: asyncio.subprocess.Process | None = None
    memory_mb: int = MEMORY_MB
    extra_env: dict[str, str] = field(default_factory=dict)

    @property
    def caller_address(self) -> tuple[str, int]:
        """Where clients on this machine send their requests."""
        return self.ip, self.lab.ports["outbound"]

    async def start_node(self) -> None:
        """Start the node's process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["node"]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COTTONLINK_NODE_FILE": str(self.settings_path),
            **{
                name: self.lab.render(text, self.lab.values(self))
                for name, text in role.get("env", {}).items()
            },
            **self.extra_env,
        }
        log = self.settings_path.with_suffix(".log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def stop_node(self) -> None:
        """End the node's process with SIGKILL."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the node whether it is ready."""
        try:
            address = (self.ip, self.lab.ports["ready"])
            answer = await asyncio.wait_for(exchange(address, READINESS_REQUEST), 1.0)
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def log_lines(self, event: str) -> list[dict]:
        """Return the lines of an event in the node's log."""
        lines = []
        for line in self.settings_path.with_suffix(".log").read_text().splitlines():
            try:
                data = json.loads(line)
            except ValueError:
                continue
            if data.get("event") == event:
                lines.append(data)
        return lines


@dataclass
class Answer:
    """A response as a client received it.

    ``ending`` is "length", "chunks" or "close" for a whole response, by what ended it, "cut" for
    one that its connection's end cut short, and "none" if nothing came.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ending: str = "none"

    @property
    def is_whole(self) -> bool:
        """Whether the protocol says that this is the whole response."""
        return self.ending in ("length", "chunks", "close")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return answer
    first, *rest = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split()[1])
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.status == 100:
        return await read_answer(reader)
    try:
        if "chunked" in answer.headers.get("transfer-encoding", "").lower():
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            while (await reader.readline()).strip():
                pass
            answer.ending = "chunks"
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.ending = "length"
        else:
            while piece := await reader.read(65536):
                answer.body += piece
            answer.ending = "close"
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        answer.ending = "cut"
    except (ConnectionError, ValueError):
        answer.ending = "cut"
    return answer


async def exchange(address: tuple[str, int], data: bytes) -> Answer:
    """Send a request on a new connection and read its response."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.close()


def request_bytes(
    path: str,
    request_id: str,
    *headers: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 5_000,
) -> bytes:
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Request-Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def route(name: str, prefix: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    spec = {
        "host": HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeout_s": 5,
        "target_latency_s": 1.5,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}


def configuration(
    version: int, *resources: dict, max_connections: int = 1048, **limits: object
) -> dict:
    """Return a configuration with these routes and other resources."""
    services = sorted({r["spec"]["service"] for r in resources if "service" in r["spec"]})
    return {
        "version": version,
        "resources": [
            *resources,
            *(
                {
                    "resource_type": "services",
                    "metadata": {"name": name},
                    "spec": {
                        "health_path": "/health",
                        "max_connections": max_connections,
                        "protocol": "h1",
                        "tls": False,
                    },
                }
                for name in services
            ),
            {
                "resource_type": "limits",
                "metadata": {},
                "spec": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 67108864,
                    "header_timeout_s": 3,
                    "idle_timeout_s": 15,
                    **limits,
                },
            },
        ],
    }


class Lab:
    """The deployment of one case, and its record."""

    def __init__(self, record: Path, *, is_troubled: bool, bounds: dict | None = None) -> None:
        self.is_troubled = is_troubled
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = PlatformStore(page_items=500)
        self.machines: list[Machine] = []
        self._record = record.open("w", buffering=1)
        self._tmp = Path(tempfile.mkdtemp(prefix="cottonlink-review-"))
        rng = random.Random()
        self._block = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        self._started_s = time.monotonic()
        names = ("inbound", "outbound", "ready", "app")
        self._reserved = [_reserve() for _ in names]
        self.ports = {n: s.getsockname()[1] for n, s in zip(names, self._reserved, strict=True)}

    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._started_s

    def note(self, what: str, **fields: object) -> None:
        """Add a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{self.now_s():9.4f} {what} {text}\n")

    def values(self, machine: Machine) -> dict:
        """Return the fields with which the platform fills in the settings of a node."""
        return {
            "node": f"sidecar-{machine.upstream.upstream_id}",
            "zone": "hall-a",
            "service": machine.upstream.service,
            "ip": machine.ip,
            "listen_addrs": {
                name: f"{machine.ip}:{self.ports[name]}"
                for name in ("inbound", "outbound", "ready")
            },
            "app_addr": f"{machine.ip}:{self.ports['app']}",
            "platform": {"address": self.store.address},
            "limits": {"memory_mb": machine.memory_mb},
            "bounds": self.bounds,
        }

    def render(self, text: str, values: dict) -> str:
        """Fill in a template, which has plain values only."""

        def value(match: re.Match) -> str:
            found: object = values
            for name in match[1].split("."):
                found = found.get(name) if isinstance(found, dict) else None
            if found is None:
                return ""
            return str(found).lower() if isinstance(found, bool) else str(found)

        return re.sub(r"\{\{([a-z_.]+)\}\}", value, text)

    async def add_machine(
        self, service: str, run: Callable = answer_whole, *, memory_mb: int = MEMORY_MB
    ) -> Machine:
        """Start an upstream, register it and make the settings of the node next to it."""
        number = len(self.machines) + 1
        ip = f"{self._block}.{number}"
        upstream = Upstream(self, service, f"i-{number:04x}", ip, self.ports["app"], run)
        machine = Machine(self, ip, upstream, self._tmp / f"node-{number}.yaml", None, memory_mb)
        await upstream.start()
        await upstream.register()
        template = (ROOT / "deploy" / "settings.yaml").read_text()
        machine.settings_path.write_text(self.render(template, self.values(machine)))
        self.machines.append(machine)
        return machine

    async def start(self, config: dict) -> None:
        """Publish the configuration, start all nodes and wait until they are ready."""
        await self.store.put("op/config", config)
        for machine in self.machines:
            await machine.start_node()
        await self.wait_until_ready(self.machines)
        # The nodes know all upstreams and have opened their links.
        await asyncio.sleep(2.0)

    async def wait_until_ready(self, machines: list[Machine], timeout_s: float = 20.0) -> None:
        """Wait until the nodes of these machines are ready."""
        end_s = self.now_s() + timeout_s
        while not all([await machine.is_ready() for machine in machines]):
            if self.now_s() > end_s:
                for machine in machines:
                    print(machine.settings_path.with_suffix(".log").read_text()[-2000:])
                raise CannotRunError("the nodes aren't ready")
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all that was started."""
        for machine in self.machines:
            await machine.stop_node()
            machine.upstream.crash()
        await self.store.stop()
        for sock in self._reserved:
            sock.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._tmp, ignore_errors=True)
        else:
            print("logs in", self._tmp)
        self._record.close()


def _reserve() -> socket.socket:
    """Return a socket that keeps a port from being given to outgoing connections."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("0.0.0.0", 0))
    return sock


def play(record: Path, case: Callable[[Lab], Awaitable[bool]], bounds: dict | None = None) -> None:
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        lab = Lab(record, is_troubled=is_troubled, bounds=bounds)
        try:
            await lab.store.start()
            async with asyncio.timeout(110):
                is_kept = await case(lab)
        except (CannotRunError, TimeoutError, OSError) as error:
            lab.note("could-not-run", error=repr(error))
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await lab.close()
        print("the rule held" if is_kept else "the rule was broken")
        return HELD if is_kept else BROKEN

    sys.exit(asyncio.run(run()))
