"""Crowds of clients that fill a node's memory, and ordinary clients beside them.

Guards against nodes that exceeded their memory with 1,200 short bodies that stopped short of their
end or with 1,200 heads of many short fields, and against sound uploads that got 503 since stalled
ones held all the room (docs/design/client-memory.md). Each cell of the table is a crowd, a path and
a form of sending. CROWD_CELLS chooses cells by a pattern, for instance ``'*'`` or
``'short_bodies/*/pieces'``; without it, those of CI_CELLS run.
"""

from __future__ import annotations

import asyncio
import contextlib
import fnmatch
import itertools
import os
import re
import resource
import sys
import time
import unittest
from pathlib import Path

from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.client_crowds import CROWDS, FORMS, MB
from tests.platform_fixtures import request_bytes
from tests.process_fixtures import PROCESS_TIMEOUT_S, ROOT, ProcessCase

MEMORY_MB = 200
PEAK_LIMIT_BYTES = 190 * MB
ARRIVAL_S = 2.0
# Time for which the crowd stays after it has sent everything.
STAY_S = 2.0
UPLOAD_BYTES = 300_000
# Addresses of the crowd: its own, and that of ordinary clients.
CROWD_IP, SHARED_IP = "127.99.0.1", "127.0.0.1"
PATHS = {
    "route": ("caller", "/uploads/1"),
    "no_route": ("caller", "/nowhere/1"),
    "readiness": ("ready", "/ready"),
    "metrics": ("metrics", "/metrics"),
}
# Descriptors of a node that has more clients than that.
FEW_DESCRIPTORS = 512
# The time for which a request may wait on a busy machine; the figures are printed.
SLOWEST_LIMIT_S = 1.5
CI_CELLS = (
    "short_and_long_bodies/route/whole",
    "short_bodies/no_route/chunked",
    "many_fields/readiness/pieces",
    "long_bodies/route/whole",
    "pipelined/readiness/whole",
)


class TestClientCrowds(ProcessCase):
    """One crowd at one node; bookings and uploads go on beside it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        if "descriptors" in self.id():
            resource.setrlimit(resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, limits[1]))
        try:
            self.process = await self.start_node("booking", memory_mb=MEMORY_MB)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        target = self.targets[0]
        target.behaviour = self.answer
        await self.store.put(f"servers/{target.upstream_id}", target.entry(slots=100))
        bookings, uploads = (
            route_resource(
                name, "shop.example", f"/{name}/", "booking", kind="unsafe", timeout_s=30, **fields
            )
            for name, fields in (("bookings", {"priority": 0}), ("uploads", {}))
        )
        limits = {"max_body_bytes": 67_108_864}
        await self.store.put("op/config", configuration(4, bookings, uploads, **limits))
        await self.wait_until_served(1, "/bookings/0")
        self._numbers = itertools.count()
        self._is_over = False
        self.latencies_s: list[float] = []
        self.statuses: list[tuple[str, int]] = []

    async def answer(
        self, target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
    ) -> bytes:
        return target.success_response(request, b"%d" % len(request.body))

    async def keep_calling(self, path: str, body: bytes, pause_s: float) -> None:
        """Send requests on new connections and on one that stays."""
        stays = None
        while not self._is_over:
            is_new = next(self._numbers) % 2
            caller = await self.connect(1) if is_new or stays is None else stays
            attempt = f"c{next(self._numbers)}"
            started_s = time.monotonic()
            request = request_bytes(path, method="POST", body=body, attempt=attempt)
            caller.writer.write(request)
            response = await caller.response()
            if len(body) < UPLOAD_BYTES:
                self.latencies_s.append(time.monotonic() - started_s)
            self.statuses.append((path, response.status))
            is_over = is_new or response.status != 200
            if is_over:
                caller.close()
            if not is_new:
                stays = None if is_over else caller
            await asyncio.sleep(pause_s)

    async def start_crowd(
        self, crowd: str, path: str, form: str, source: str
    ) -> asyncio.subprocess.Process:
        """Return the process of a crowd that has sent everything."""
        listener, target = PATHS[path]
        count = CROWDS[crowd].count
        arguments = ("127.77.0.1", self._ports[listener], target, crowd, form, count, ARRIVAL_S)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "tests.client_crowds", *map(str, arguments), source),
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "PYTHONPATH": "src:."},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        await asyncio.wait_for(process.stdout.readline(), PROCESS_TIMEOUT_S)
        return process

    async def read_metric(self, name: str) -> float:
        """Return a gauge of the node, 0 if it isn't reported."""
        host, port = "127.77.0.1", self._ports["metrics"]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(), PROCESS_TIMEOUT_S)).decode()
        writer.close()
        match = re.search(rf"^cottonlink_{name} (\S+)$", text, re.MULTILINE)
        return float(match.group(1)) if match else 0.0

    async def check_cell(self, crowd: str, path: str, form: str, source: str) -> None:
        """Check that the node stays within its memory and answers the others."""
        calls = [
            asyncio.create_task(self.keep_calling("/bookings/1", b"x" * 100, 0.01)),
            asyncio.create_task(self.keep_calling("/uploads/2", bytes(UPLOAD_BYTES), 0.1)),
        ]
        await asyncio.sleep(1.0)
        usual_s, self.latencies_s = percentile_99(self.latencies_s), []
        process = await self.start_crowd(crowd, path, form, source)
        await asyncio.sleep(STAY_S)
        peak_bytes = memory_bytes(self.process.pid, "VmHWM")
        left = self.process.returncode
        process.stdin.close()
        await asyncio.wait_for(process.wait(), 10)
        ended_s = time.monotonic()
        self._is_over = True
        await asyncio.gather(*calls)
        slowest_s = percentile_99(self.latencies_s)
        print(
            f"{crowd}/{path}/{form}: peak {peak_bytes / MB:.0f} MB, "
            f"{len(self.latencies_s)} bookings, median "
            f"{sorted(self.latencies_s)[len(self.latencies_s) // 2] * 1000:.1f} ms, "
            f"p99 {slowest_s * 1000:.0f} ms, {usual_s * 1000:.0f} ms before the crowd",
            file=sys.stderr,
        )
        self.assertIsNone(left)
        self.assertLess(peak_bytes, PEAK_LIMIT_BYTES)
        self.assertEqual([call for call in self.statuses if call[1] != 200], [])
        self.assertLess(slowest_s, SLOWEST_LIMIT_S)
        while await self.read_metric("held_clients_bytes") > MB:
            self.assertLess(time.monotonic() - ended_s, 2.0)
            await asyncio.sleep(0.2)
        self.assertEqual(await self.call(1, "/bookings/3"), 200)

    async def test_more_idle_clients_than_descriptors(self) -> None:
        """Descriptors are left for targets and the store, and new clients are accepted."""
        await self.check_cell("idle", "route", "whole", SHARED_IP)
        open_descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        self.assertLess(open_descriptors, FEW_DESCRIPTORS)
        self.assertEqual(self.log_lines(1, "unexpected_error"), [])
        self.assertTrue(self.log_lines(1, "clients_pressure_began"))
        self.assertIn("idle", {line["reason"] for line in self.log_lines(1, "client_closed")})


def percentile_99(latencies_s: list[float]) -> float:
    """Return the latency that 99 of 100 don't exceed."""
    return sorted(latencies_s)[-1 - len(latencies_s) // 100]


def memory_bytes(pid: int, field: str) -> int:
    """Return a figure of a process's memory, 0 if it has left."""
    with contextlib.suppress(OSError):
        status = Path(f"/proc/{pid}/status").read_text()
        if match := re.search(rf"{field}:\s+(\d+) kB", status):
            return int(match.group(1)) * 1024
    return 0


def _add_tests() -> None:
    pattern = os.environ.get("CROWD_CELLS")
    for crowd, path, form in itertools.product(CROWDS, PATHS, FORMS):
        cell = f"{crowd}/{path}/{form}"
        if cell in CI_CELLS if pattern is None else fnmatch.fnmatch(cell, pattern):

            async def test(
                self: TestClientCrowds, crowd: str = crowd, path: str = path, form: str = form
            ) -> None:
                source = SHARED_IP if path == "no_route" else CROWD_IP
                await self.check_cell(crowd, path, form, source)

            setattr(TestClientCrowds, f"test_{crowd}_{path}_{form}", test)


_add_tests()
del ProcessCase


if __name__ == "__main__":
    unittest.main()
