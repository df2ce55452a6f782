"""A VM of the fleet: a node's process, its target, and the proxies on its connections."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from attrs import define, field

from emulator.platform_target import PlatformTarget
from soak.faulty_answers import FaultyAnswers
from soak.proxy import FaultyProxy

ROOT = Path(__file__).resolve().parent.parent
# Times from SIGTERM to SIGKILL; a fleet has one of them.
GRACES_S = (6.0, 2.0, 10.0, 4.0)


@define
class Stop:
    """A stop with SIGTERM of one incarnation; ``status`` is the exit status of the process."""

    incarnation: int
    term_s: float
    grace_s: float = GRACES_S[0]
    exited_s: float | None = None
    status: int | None = None


@define
class NamedLimit:
    """A limit in requests per second that one start of a target names in its responses."""

    vm: int
    started_at_ms: int
    limit_per_s: float
    start_s: float
    end_s: float = math.inf


@define(eq=False)
class SoakVm:
    """A VM: the node's process, its target, and the proxies for peers and for the store.

    Peers reach the node through ``peer_proxy``; the node reaches the store through ``store_proxy``.
    """

    number: int
    target: PlatformTarget
    peer_proxy: FaultyProxy
    store_proxy: FaultyProxy
    settings_path: Path
    log_path: Path
    caller_address: tuple[str, int]
    now_s: Callable[[], float]
    grace_s: float = GRACES_S[0]
    # The checkout that the node is started from.
    checkout: Path = ROOT
    process: asyncio.subprocess.Process | None = None
    # Counts the starts of the process.
    incarnation: int = 0
    stops: list[Stop] = field(factory=list)
    limits: list[NamedLimit] = field(factory=list)
    faulty_answers: FaultyAnswers | None = None
    # A line for each process that ended without a signal of the soak.
    own_ends: list[str] = field(factory=list)
    _ended_pids: set[int] = field(factory=set)
    _watch_tasks: set[asyncio.Task] = field(factory=set)
    # When its target stopped, in a crash or after it had drained.
    target_stops_s: list[float] = field(factory=list)

    async def start_node(self) -> None:
        """Start the node's process; its output is appended to the file at ``log_path``."""
        environment = {
            "PATH": os.environ["PATH"],
            "COTTONLINK_NODE_FILE": str(self.settings_path),
        }
        self.incarnation += 1
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.checkout / "src" / "run_node.py"),
                env=environment,
                stdout=log,
                stderr=log,
            )
        task = asyncio.get_running_loop().create_task(self._watch(self.process, self.incarnation))
        self._watch_tasks.add(task)
        task.add_done_callback(self._watch_tasks.discard)

    async def _watch(self, process: asyncio.subprocess.Process, incarnation: int) -> None:
        """Note if a process ends by itself."""
        status = await process.wait()
        if process.pid not in self._ended_pids:
            self.own_ends.append(
                f"PROCESS: node-{self.number}, start {incarnation}, ended by itself with {status}"
            )

    def signal_node(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node's process, if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        # Popen.send_signal would reap a process that has just ended, whose status is then lost.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signal_number)

    async def kill_node(self) -> None:
        """End the node's process with SIGKILL and wait until it has exited."""
        self._ended_pids.add(self.process.pid)
        self.signal_node(signal.SIGKILL)
        await self.process.wait()

    async def terminate_node(self) -> Stop:
        """End the node's process with SIGTERM, and with SIGKILL after ``grace_s``."""
        stop = Stop(self.incarnation, self.now_s(), self.grace_s)
        self.stops.append(stop)
        self._ended_pids.add(self.process.pid)
        self.signal_node(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), self.grace_s)
        except TimeoutError:
            await self.kill_node()
        stop.exited_s, stop.status = self.now_s(), self.process.returncode
        return stop

    def name_limit(self, limit_per_s: float, started_at_ms: int) -> None:
        """Let the target name a limit in its responses until ``end_limit``."""
        self.target.named_limit = f"{limit_per_s:.2f}"
        self.limits.append(NamedLimit(self.number, started_at_ms, limit_per_s, self.now_s()))

    def end_limit(self) -> None:
        """Let the target name no limit."""
        self.target.named_limit = None
        if self.limits:
            self.limits[-1].end_s = min(self.limits[-1].end_s, self.now_s())

    async def stop_target(self) -> None:
        """Stop the target; what it was running ends without an answer."""
        self.end_limit()
        self.target_stops_s.append(self.now_s())
        await self.target.stop()
