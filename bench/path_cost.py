"""Processor time of one call on the event-loop path, and the share of each layer.

Run with ``python -m bench.path_cost``. Two nodes run as processes, each at a loopback address of
its own, with targets and a store in this process. Each request of a caller enters at the first node
and runs at the target next to it, which makes nested calls to the second node's targets. Requests
come at a steady rate, about that of one node in a large deployment, since a node that handles
several events in each round of its loop spends less on each.

``--beside CHECKOUT`` starts the nodes of another checkout too. The load alternates between the
fleets in short turns, so that all see the same state of the machine. ``this_to_it`` is the median
of this checkout's cost in a round by that of the other one. Two copies of one checkout differ by up
to 3%, since processes differ in where they run and what lies where in their memory.
"""

from __future__ import annotations

import asyncio
import json
import os
import pstats
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Iterable
from contextlib import ExitStack
from pathlib import Path

import click
import uvloop
import yaml
from attrs import define, field, frozen

from emulator.addresses import PortReserver
from emulator.platform_store import PlatformStore
from emulator.platform_target import PlatformTarget, configuration, route_resource

ROOT = Path(__file__).resolve().parent.parent
HOST_HEADER = "shop.example"
FRONT, NESTED = "front", "hours"
# Targets of the nested service, all next to the second node.
NESTED_TARGETS = 6
BODY = b"x" * 600
START_TIMEOUT_S = 30.0
WARM_UP_S = 2.0
REQUEST_TIMEOUT_S = 10.0
_HEADERS = "".join(
    f"{name}: {value}\r\n"
    for name, value in (
        ("Accept", "application/json"),
        ("Accept-Encoding", "gzip"),
        ("User-Agent", "bench/1.0"),
        ("X-Request-Id", "8f14e45fceea167a5a36dedd4bea2543"),
    )
)

# The first prefix that a file or function has names its layer.
LAYERS = (
    ("cottonlink/path/_log", "logs and metrics"),
    ("cottonlink/path/_metrics", "logs and metrics"),
    ("structlog", "logs and metrics"),
    ("hdrh", "logs and metrics"),
    ("cottonlink/overload/", "decisions"),
    ("cottonlink/path/callers/_ingress", "ingress"),
    ("cottonlink/path/callers/_final_response", "ingress"),
    ("cottonlink/path/_node", "ingress"),
    ("cottonlink/path/_state", "ingress"),
    ("cottonlink/path/_model", "ingress"),
    ("cottonlink/path/peers/_frames", "framing"),
    ("cottonlink/path/peers/_frame_reader", "framing"),
    ("cottonlink/path/peers/", "links"),
    ("cottonlink/path/target/_target_pool", "target connections"),
    ("cottonlink/path/_http_client", "target connections"),
    ("cottonlink/path/target/", "target dispatch"),
    ("cottonlink/path/callers/", "caller connections"),
    ("cottonlink/path/_paced_input", "input turns"),
    ("cottonlink/path/_http", "headers"),
    ("cottonlink/platform/_headers", "headers"),
    ("cottonlink/path/store/", "store"),
    ("cottonlink/platform/", "store"),
    ("cottonlink/path/", "other modules of the path"),
    ("attrs generated", "constructors"),
)


class _HttpProtocol(asyncio.Protocol):
    """Splits messages whose heads carry a Content-Length or that have no body."""

    def __init__(self) -> None:
        self._data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = self._data[:end]
            length = int(_header(head, b"content-length") or 0)
            if len(self._data) < end + 4 + length:
                return
            self._data = self._data[end + 4 + length :]
            self.on_message(head)

    def on_message(self, head: bytes) -> None:
        """Handle the head of a message that has arrived whole."""


class _ClientProtocol(_HttpProtocol):
    answer: asyncio.Future | None = None

    def on_message(self, head: bytes) -> None:
        self.answer.set_result(int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError("closed"))


def _header(head: bytes, lower_name: bytes) -> bytes | None:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == lower_name:
            return value.strip()
    return None


@define(eq=False)
class _Client:
    """Sends requests to one address over kept connections; failures are counted by status."""

    address: tuple[str, int]
    failures: Counter = field(factory=Counter)
    answer_count: int = 0
    _idle: deque = field(factory=deque)

    async def call(self, path: str, attempt: str) -> int:
        loop = asyncio.get_running_loop()
        while self._idle and self._idle[-1].transport.is_closing():
            self._idle.pop()
        if self._idle:
            protocol = self._idle.pop()
        else:
            _, protocol = await loop.create_connection(_ClientProtocol, *self.address)
        protocol.answer = loop.create_future()
        protocol.transport.write(
            f"GET {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Request-Deadline-Ms: 1900\r\n{_HEADERS}\r\n".encode()
        )
        status = await asyncio.wait_for(protocol.answer, REQUEST_TIMEOUT_S)
        self._idle.append(protocol)
        self.answer_count += 1
        if status != 200:
            self.failures[status] += 1
        return status


class _Target(_HttpProtocol):
    """A target that makes ``nested_calls`` calls one after another, and answers."""

    def __init__(self, client: _Client | None, nested_calls: int) -> None:
        super().__init__()
        self._client = client
        self._nested_calls = nested_calls
        self._tasks: set[asyncio.Task] = set()

    def on_message(self, head: bytes) -> None:
        attempt = (_header(head, b"x-attempt-id") or b"").decode()
        if self._client is None:
            self._answer(attempt, 200)
            return
        task = asyncio.get_running_loop().create_task(self._run(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, attempt: str) -> None:
        status = 200
        for number in range(self._nested_calls):
            answered = await self._client.call(f"/{NESTED}/{number}?v=1", f"{attempt}.{number}")
            status = status if answered == 200 else 500
        self._answer(attempt, status)

    def _answer(self, attempt: str, status: int) -> None:
        head = (
            f"HTTP/1.1 {status} Status\r\nContent-Length: {len(BODY)}\r\n"
            f"X-Attempt-Id: {attempt}\r\n"
            f"Content-Type: application/json\r\nServer: bench\r\nX-Server-Seal: s.1\r\n\r\n"
        )
        self.transport.write(head.encode() + BODY)


@define(eq=False)
class _NodeProcess:
    name: str
    process: subprocess.Popen

    def used_s(self) -> float:
        """Return the processor time that the process has used so far."""
        # The clock of another process, as clock_getcpuclockid() returns it: finer than its ticks.
        return time.clock_gettime((~self.process.pid << 3) | 2)

    def used_ticks(self) -> tuple[int, int]:
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return int(user), int(system)

    def memory_mb(self) -> float:
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return round(pages * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)

    def stop(self) -> None:
        self.process.terminate()
        try:
            self.process.wait(20)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


@frozen
class Turn:
    """Calls and processor time of one turn, by node."""

    calls: int
    used_s: tuple[float, ...]

    @property
    def per_call_s(self) -> float:
        """Processor time of all nodes for one call."""
        return sum(self.used_s) / self.calls


@define(eq=False)
class Fleet:
    """Two nodes of one checkout, with their targets and store."""

    name: str
    client: _Client
    calls: _Client
    nodes: list[_NodeProcess]
    turns: list[Turn] = field(factory=list)
    idle_s: list[tuple[float, ...]] = field(factory=list)
    _request_numbers: int = 0

    def used_s(self) -> tuple[float, ...]:
        return tuple(node.used_s() for node in self.nodes)

    @property
    def call_count(self) -> int:
        return self.client.answer_count + self.calls.answer_count

    async def run_turn(self, rate_per_s: float, turn_s: float) -> Turn:
        """Send requests at a steady rate; return what they cost."""
        loop = asyncio.get_running_loop()
        calls, used_s = self.call_count, self.used_s()
        started_s = loop.time()
        tasks = []
        for number in range(max(1, int(rate_per_s * turn_s))):
            await asyncio.sleep(max(0.0, started_s + number / rate_per_s - loop.time()))
            self._request_numbers += 1
            attempt = f"req{self._request_numbers:08d}-a1"
            tasks.append(loop.create_task(self.client.call(f"/{FRONT}/page?item=7", attempt)))
        await asyncio.gather(*tasks)
        used_s = tuple(b - a for a, b in zip(used_s, self.used_s(), strict=True))
        return Turn(self.call_count - calls, used_s)


async def start_fleet(
    stack: ExitStack,
    directory: Path,
    checkout: Path,
    name: str,
    subnet: int,
    *,
    nested_calls: int,
    python: Iterable[str],
    profile: bool,
) -> Fleet:
    """Start a store, targets and two nodes of ``checkout``, and wait until they serve calls."""
    loop = asyncio.get_running_loop()
    ports = PortReserver()
    stack.callback(ports.close)
    kinds = ("caller", "peer", "ready", "metrics")
    numbers = {kind: ports.reserve_on_all_addresses() for kind in kinds}
    store = PlatformStore(page_items=100)
    await store.start()
    hosts = [f"127.0.{subnet}.{number}" for number in (2, 3)]
    calls = _Client((hosts[0], numbers["caller"]))
    front = lambda: _Target(calls, nested_calls)  # noqa: E731
    server = await loop.create_server(front, hosts[0], 0)
    target_ports = {FRONT: [server.sockets[0].getsockname()[1]], NESTED: []}
    for _ in range(NESTED_TARGETS):
        server = await loop.create_server(lambda: _Target(None, 0), hosts[1], 0)
        target_ports[NESTED].append(server.sockets[0].getsockname()[1])
    for host, (service, service_ports) in zip(hosts, target_ports.items(), strict=True):
        for port in service_ports:
            entry_id = f"{service}-{port}"
            await store.put(f"servers/{entry_id}", PlatformTarget(service, host, port, "").entry())
    routes = [
        route_resource(service, HOST_HEADER, f"/{service}/", service) for service in target_ports
    ]
    await store.put("op/config", configuration(1, *routes))
    nodes = []
    for host, (service, service_ports) in zip(hosts, target_ports.items(), strict=True):
        settings = {
            "node": f"{name}-{service}",
            "data_centre": "hall-a",
            "service": service,
            **{f"{kind}_address": f"{host}:{port}" for kind, port in numbers.items()},
            "target_address": f"{host}:{service_ports[0]}",
            "store_address": store.address,
            "readiness_path": "/-/readiness",
        }
        path = directory / f"{name}-{service}.yaml"
        path.write_text(yaml.safe_dump(settings))
        script = [str(checkout / "src" / "run_node.py")]
        if profile:
            profile_path = str(directory / f"{name}-{service}.profile")
            script = [str(ROOT / "bench" / "profiled_node.py"), str(checkout / "src"), profile_path]
        log = stack.enter_context((directory / f"{name}-{service}.log").open("wb"))
        process = subprocess.Popen(
            [sys.executable, *python, *script],
            env={**os.environ, "COTTONLINK_NODE_FILE": str(path)},
            cwd=directory,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        node = _NodeProcess(service, process)
        stack.callback(node.stop)
        nodes.append(node)
    fleet = Fleet(name, _Client(calls.address), calls, nodes)
    await _wait_until_served(fleet)
    return fleet


async def _wait_until_served(fleet: Fleet) -> None:
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            if await fleet.client.call(f"/{FRONT}/ready", "ready-a0") == 200:
                fleet.client.failures.clear()
                fleet.calls.failures.clear()
                return
        except OSError:
            pass
        await asyncio.sleep(0.2)
    raise RuntimeError(f"{fleet.name}: expected an answer in {START_TIMEOUT_S:g} s, got none")


async def measure(
    fleets: list[Fleet], *, rate_per_s: float, turn_s: float, turns: int
) -> list[dict]:
    """Return one row for each fleet, measured in turns."""
    for fleet in fleets:
        await fleet.run_turn(rate_per_s, WARM_UP_S)
    ticks = {fleet.name: [node.used_ticks() for node in fleet.nodes] for fleet in fleets}
    for number in range(turns):
        first = number % len(fleets)
        for fleet in fleets[first:] + fleets[:first]:
            fleet.turns.append(await fleet.run_turn(rate_per_s, turn_s))
    rows = [_make_row(fleet, ticks[fleet.name]) for fleet in fleets]
    for fleet, row in zip(fleets[1:], rows[1:], strict=True):
        # What differs between the turns of one round is less than what differs over the run.
        pairs = zip(fleets[0].turns, fleet.turns, strict=True)
        ratios = [this.per_call_s / other.per_call_s for this, other in pairs]
        row["this_to_it"] = round(statistics.median(ratios), 3)
    used_s = [fleet.used_s() for fleet in fleets]
    idle_s = 2.0
    await asyncio.sleep(idle_s)
    for fleet, row, before_s in zip(fleets, rows, used_s, strict=True):
        after_s = fleet.used_s()
        row["idle_us_per_s"] = {
            node.name: round((after - before) / idle_s * 1e6)
            for node, before, after in zip(fleet.nodes, before_s, after_s, strict=True)
        }
    return rows


def _make_row(fleet: Fleet, ticks: list[tuple[int, int]]) -> dict:
    def per_call_us(select: callable) -> dict[str, int]:
        values = [select(turn) / turn.calls * 1e6 for turn in fleet.turns]
        return {"median": round(statistics.median(values)), "min": round(min(values))}

    by_node = {}
    for index, (node, before) in enumerate(zip(fleet.nodes, ticks, strict=True)):
        user, system = (b - a for a, b in zip(before, node.used_ticks(), strict=True))
        by_node[node.name] = {
            **per_call_us(lambda turn, index=index: turn.used_s[index]),
            "user_share": round(user / max(1, user + system), 2),
            "memory_mb": node.memory_mb(),
        }
    return {
        "checkout": fleet.name,
        "calls": sum(turn.calls for turn in fleet.turns),
        "call_us": per_call_us(lambda turn: sum(turn.used_s)),
        "nodes": by_node,
        "failures": dict(fleet.client.failures + fleet.calls.failures),
    }


def layer_shares(profile_path: Path, calls: int) -> dict[str, float]:
    """Return the microseconds of a call in each layer, as cProfile inflates them."""
    layers: Counter[str] = Counter()
    for (file, _, function), (_, _, own_s, _, _) in pstats.Stats(str(profile_path)).stats.items():
        layers[_layer(file, function)] += own_s
    return {name: round(own_s / calls * 1e6, 1) for name, own_s in layers.most_common()}


def _layer(file: str, function: str) -> str:
    if file == "~":
        # Written in C: what isn't a parser or a transport has many users.
        for part, layer in (
            ("uvloop", "transports and timers"),
            ("httptools", "parsing"),
            ("msgpack", "framing"),
            ("orjson", "logs and metrics"),
        ):
            if part in function:
                return layer
        return "built-in functions"
    return next((layer for part, layer in LAYERS if part in file), "libraries")


async def _run(
    directory: Path, checkouts: dict[str, Path], options: dict, load: dict
) -> list[dict]:
    with ExitStack() as stack:
        fleets = [
            await start_fleet(stack, directory, checkout, name, 20 + number, **options)
            for number, (name, checkout) in enumerate(checkouts.items())
        ]
        rows = await measure(fleets, **load)
        # A node that stops waits for its links, whose other ends stop at the same time.
        for node in [node for fleet in fleets for node in fleet.nodes]:
            node.process.terminate()
        if options["profile"]:
            for fleet, row in zip(fleets, rows, strict=True):
                for node in fleet.nodes:
                    await asyncio.to_thread(node.stop)
                    path = directory / f"{fleet.name}-{node.name}.profile"
                    row["nodes"][node.name]["layers_us"] = layer_shares(path, fleet.call_count)
        return rows


@click.command()
@click.option(
    "--beside", multiple=True, type=click.Path(exists=True, path_type=Path), help="Other checkout."
)
@click.option("--rate", "rate_per_s", default=40.0, show_default=True, help="Requests per second.")
@click.option("--nested-calls", default=4, show_default=True, help="Calls of each request.")
@click.option("--turn-s", default=1.0, show_default=True)
@click.option("--turns", default=20, show_default=True)
@click.option("--profile", is_flag=True, help="Run the nodes under cProfile.")
@click.option("--python", multiple=True, help="Option for the nodes' Python, such as -OO.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep logs and profiles here.")
def main(
    beside: tuple[Path, ...],
    rate_per_s: float,
    nested_calls: int,
    turn_s: float,
    turns: int,
    profile: bool,
    python: tuple[str, ...],
    keep: Path | None,
) -> None:
    """Print one JSON line for each checkout; times are microseconds of a processor."""
    checkouts = {"this": ROOT, **{path.name: path.resolve() for path in beside}}
    options = {"nested_calls": nested_calls, "python": python, "profile": profile}
    load = {"rate_per_s": rate_per_s, "turn_s": turn_s, "turns": turns}
    with tempfile.TemporaryDirectory() as temporary:
        directory = (keep or Path(temporary)).resolve()
        directory.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            for row in runner.run(_run(directory, checkouts, options, load)):
                click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
