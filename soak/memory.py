"""Ends nodes that hold more than the smallest VM allows, as the platform does."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence
from pathlib import Path

from attrs import define, field

from soak.disturbances import Disturbances, Kind
from soak.vm import SoakVm

MEMORY_LIMIT_BYTES = 200_000_000
CHECK_INTERVAL_S = 0.05


@define
class MemoryLimit:
    """Watches the nodes; ``problems`` has a line for each process that was ended."""

    _vms: Sequence[SoakVm]
    _disturbances: Disturbances
    problems: list[str] = field(factory=list)

    async def run(self) -> None:
        """Check all nodes from time to time, and start those again that were ended."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for vm in self._vms:
                held_bytes = _held_bytes(vm)
                if held_bytes > MEMORY_LIMIT_BYTES:
                    self.problems.append(
                        f"MEMORY: node-{vm.number} held {held_bytes / 1e6:.0f} MB and was ended"
                    )
                    # The end of a process for its memory is its own, and excuses nothing.
                    with self._disturbances.of_vm(vm.number, Kind.PLANNED):
                        await vm.kill_node()
                        await vm.start_node()


def _held_bytes(vm: SoakVm) -> int:
    """Return what the node's process holds in RAM, 0 if there is none."""
    if vm.process is None or vm.process.returncode is not None:
        return 0
    try:
        status = Path(f"/proc/{vm.process.pid}/status").read_text()
    except OSError:
        return 0
    match = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(match.group(1)) * 1024 if match else 0
