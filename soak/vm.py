"""A VM of the fleet: a node's process, its target, and the proxies on its connections."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from attrs import define, field

from emulator.platform_target import PlatformTarget
from soak.proxy import FaultyProxy

ROOT = Path(__file__).resolve().parent.parent
# Time from SIGTERM to SIGKILL.
GRACE_S = 6.0


@define
class Stop:
    """A stop with SIGTERM of one incarnation; ``status`` is the exit status of the process."""

    incarnation: int
    term_s: float
    exited_s: float | None = None
    status: int | None = None


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
    # The checkout that the node is started from.
    checkout: Path = ROOT
    process: asyncio.subprocess.Process | None = None
    # Counts the starts of the process.
    incarnation: int = 0
    stops: list[Stop] = field(factory=list)
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

    def signal_node(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node's process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def kill_node(self) -> None:
        """End the node's process with SIGKILL and wait until it has exited."""
        self.signal_node(signal.SIGKILL)
        await self.process.wait()

    async def terminate_node(self) -> Stop:
        """End the node's process with SIGTERM, and with SIGKILL after ``GRACE_S``."""
        stop = Stop(self.incarnation, self.now_s())
        self.stops.append(stop)
        self.signal_node(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            await self.kill_node()
        stop.exited_s, stop.status = self.now_s(), self.process.returncode
        return stop

    async def stop_target(self) -> None:
        """Stop the target; what it was running ends without an answer."""
        self.target_stops_s.append(self.now_s())
        await self.target.stop()
