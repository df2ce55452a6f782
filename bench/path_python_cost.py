"""Processor time of one call on the event-loop path without the kernel, by checkout.

Run with ``python -m bench.path_python_cost``. Two nodes and a target share this process, and their
connections pass bytes on in memory. What is left is the Python code of a call, which can be
measured to about 1% also on a busy machine: the least time of many batches counts.
``bench.path_cost`` measures whole processes.

``--beside CHECKOUT`` runs the same with the sources of another checkout, alternately.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import uvloop

ROOT = Path(__file__).resolve().parent.parent
BATCH_CALLS = 200
BODY = b"x" * 600
REQUEST = (
    b"GET /%s/page?item=7 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: req%08d-a1.1\r\n"
    b"X-Request-Deadline-Ms: 1900\r\nAccept: application/json\r\nAccept-Encoding: gzip\r\n"
    b"User-Agent: bench/1.0\r\nX-Request-Id: 8f14e45fceea167a5a36dedd4bea2543\r\n\r\n"
)


class _Transport:
    """One end of a connection in memory."""

    def __init__(self, pending: deque, protocol: Any) -> None:
        self._pending = pending
        self.protocol = protocol
        self.peer: Any = None

    def write(self, data: bytes) -> None:
        self._pending.append((self.peer.protocol, bytes(data)))

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, _name: str, default: Any = None) -> Any:
        return default

    def set_write_buffer_limits(self, **_limits: int) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        pass

    abort = close


class _Network:
    """Stands in for the event loop where connections are opened."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.time = loop.time
        self.pending: deque = deque()
        self.servers: dict[Any, Callable[[], Any]] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def connect(self, protocol: Any, address: Any) -> Any:
        client = _Transport(self.pending, protocol)
        server = _Transport(self.pending, self.servers[address]())
        client.peer, server.peer = server, client
        server.protocol.connection_made(server)
        protocol.connection_made(client)
        return client

    async def create_connection(self, factory: Callable[[], Any], *address: Any) -> tuple:
        protocol = factory()
        return self.connect(protocol, address), protocol

    def deliver(self) -> bool:
        """Pass on what was written until nothing is left; return whether there was anything."""
        had_any = bool(self.pending)
        while self.pending:
            protocol, data = self.pending.popleft()
            protocol.data_received(data)
        return had_any


class _Target:
    def connection_made(self, transport: _Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        start = data.index(b"X-Attempt-Id: ") + 14
        attempt = data[start : data.index(b"\r", start)]
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Attempt-Id: %b\r\nContent-Type: "
            b"application/json\r\nServer: bench\r\nX-Server-Seal: s.1\r\n\r\n%b"
            % (len(BODY), attempt, BODY)
        )


class _Caller:
    answer_count = 0

    def connection_made(self, transport: _Transport) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"expected status 200, got {data[:200]!r}")
        self.answer_count += 1


def _make_node(network: _Network, host: str, service: str) -> Any:
    from cottonlink.path import EventLog, Node, NodeSettings
    from cottonlink.platform._headers import PlatformHeaderCodec

    addresses = ("caller", "peer", "ready", "metrics", "target", "store")
    settings = NodeSettings(
        node=f"node-{service}",
        data_centre="hall-a",
        service=service,
        **{f"{name}_address": f"{host}:{port}" for port, name in enumerate(addresses, start=1)},
    )
    log = EventLog(service, network, os.open(os.devnull, os.O_WRONLY))
    return Node(settings, PlatformHeaderCodec(), log, network, random.Random(1))


async def _measure(batches: int) -> dict[str, float]:
    from cottonlink.path import _model, _node

    network = _Network(asyncio.get_running_loop())
    nodes = {"front": "127.0.0.2", "hours": "127.0.0.3"}
    routes, upstreams = [], []
    for service, host in nodes.items():
        weighted = (_model.WeightedService(service, 1.0),)
        prefix = f"/{service}/".encode()
        routes.append(_model.Route(service, "shop.example", prefix, True, 2e3, 1e3, 1, 2, weighted))
        for number in range(6 if service == "hours" else 1):
            upstreams.append(
                _model.Upstream(
                    upstream_id=f"{service}-{number}",
                    service=service,
                    address=(host, 5 + 10 * number),
                    data_centre="hall-a",
                    slots=16,
                    is_draining=False,
                    warmup_left_ms=0.0,
                    started_at_ms=1_700_000_000_000,
                )
            )
        network.servers[host, 5] = _Target
    nodes = {service: _make_node(network, host, service) for service, host in nodes.items()}
    network.servers["127.0.0.3", 2] = lambda: _node.PeerConnection(nodes["hours"])
    for node in nodes.values():
        node.store_view = SimpleNamespace(snapshot=lambda: None, snapshot_request=lambda: None)
        node.apply_configuration(_model.Configuration(1, tuple(routes), _model.CallerLimits(), {}))
        node.apply_upstreams(upstreams)
    caller = _Caller()
    connection = _node.CallerConnection(nodes["front"])
    network.servers["caller"] = lambda: connection
    network.connect(caller, "caller").write(b"")
    network.pending.clear()
    results = {}
    number = 0
    for service in nodes:
        times_s = []
        for _ in range(batches):
            answered = caller.answer_count
            started_s = time.process_time()
            for _ in range(BATCH_CALLS):
                number += 1
                connection.data_received(REQUEST % (service.encode(), number))
                network.deliver()
                while caller.answer_count - answered < 1:
                    # Its first call opens a connection.
                    await asyncio.sleep(0.001)
                    network.deliver()
                answered = caller.answer_count
            times_s.append(time.process_time() - started_s)
            # Cancelled timers are dropped in a round of the loop.
            await asyncio.sleep(0)
        name = "over_link_us" if service == "hours" else "own_target_us"
        results[name] = round(min(times_s) / BATCH_CALLS * 1e6, 1)
    return results


def _run_child(checkout: Path, batches: int, python: tuple[str, ...]) -> dict[str, float]:
    command = [sys.executable, *python, str(Path(__file__).resolve()), "--child"]
    command += ["--batches", str(batches)]
    environment = {**os.environ, "PYTHONPATH": f"{checkout / 'src'}:{ROOT}"}
    output = subprocess.run(command, env=environment, check=True, stdout=subprocess.PIPE, text=True)
    return json.loads(output.stdout)


@click.command()
@click.option("--beside", multiple=True, type=click.Path(exists=True, path_type=Path))
@click.option("--rounds", default=5, show_default=True)
@click.option("--batches", default=15, show_default=True)
@click.option("--python", multiple=True, help="Option for Python, such as -OO.")
@click.option("--child", is_flag=True, hidden=True)
def main(
    beside: tuple[Path, ...], rounds: int, batches: int, python: tuple[str, ...], *, child: bool
) -> None:
    """Print one JSON line for each checkout: the least and the median of the rounds."""
    if child:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            click.echo(json.dumps(runner.run(_measure(batches))))
        return
    checkouts = {"this": ROOT, **{path.name: path.resolve() for path in beside}}
    results: dict[str, list[dict[str, float]]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, checkout in checkouts.items():
            results[name].append(_run_child(checkout, batches, python))
    for name, rows in results.items():
        values = {key: [row[key] for row in rows] for key in rows[0]}
        least = {key: min(times) for key, times in values.items()}
        median = {key: round(statistics.median(times), 1) for key, times in values.items()}
        click.echo(json.dumps({"checkout": name, "least": least, "median": median}))


if __name__ == "__main__":
    main()
