"""Faults that are injected from outside the nodes; each action also ends its fault."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from attrs import frozen

from soak.fleet import SoakFleet, SoakVm

MAX_DURATION_S = 2.5
FaultAction = Callable[[SoakFleet, SoakVm, float], Awaitable[None]]


@frozen
class PlannedFault:
    """A fault that begins ``at_s`` after the start and lasts for ``for_s``.

    ``name`` is a key of ``FAULT_ACTIONS`` and ``vm`` the index of a VM of the fleet.
    """

    name: str
    vm: int
    at_s: float
    for_s: float


async def kill(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Kill the node's process and start it again after a quarter of ``for_s``."""
    await vm.stop_node()
    await asyncio.sleep(for_s / 4)
    await vm.start_node()


async def term(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Stop the node's process with SIGTERM and start it again."""
    await vm.stop_node(signal.SIGTERM)
    await vm.start_node()


async def pause(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Suspend the node's process with SIGSTOP for ``for_s``."""
    vm.signal_node(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    vm.signal_node(signal.SIGCONT)


async def hang_up(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Send SIGHUP, with which a node reloads its settings."""
    while not _handles_sighup(vm):
        await asyncio.sleep(0.005)
    vm.signal_node(signal.SIGHUP)


def _handles_sighup(vm: SoakVm) -> bool:
    """Return whether the process ignores or catches SIGHUP.

    No program can do so before its first line has run; until then the signal ends the process.
    """
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    return any(int(masks[name], 16) & 1 for name in ("SigIgn", "SigCgt"))


async def delay(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Delay the data on the connections of peers to the node, in both directions."""
    vm.peer_proxy.delay_s = 0.15
    await asyncio.sleep(for_s)
    vm.peer_proxy.delay_s = 0.0


async def reset(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Reset all connections of peers to the node and of the node to the store."""
    vm.peer_proxy.reset()
    vm.store_proxy.reset()


async def silence(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Drop all further data on the open connections to the node and to the store.

    The connections stay open, so that neither end gets an error.
    """
    vm.peer_proxy.silence()
    vm.store_proxy.silence()


async def one_way(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Drop the data that the node sends back on connections of its peers."""
    vm.peer_proxy.drops_responses = True
    await asyncio.sleep(for_s)
    vm.peer_proxy.drops_responses = False
    vm.peer_proxy.reset()


async def cut_store(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Cut the node off from the store."""
    vm.store_proxy.refuses_connections = True
    vm.store_proxy.reset()
    await asyncio.sleep(for_s)
    vm.store_proxy.refuses_connections = False


async def store_fault(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Set a fault at the store, chosen by the number of the VM; it affects all nodes."""
    fleet.store.fault = fleet.store.FAULTS[vm.number % len(fleet.store.FAULTS)]
    await asyncio.sleep(for_s)
    fleet.store.fault = None


async def forget_history(fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Compact the history of the store and reset the node's watches."""
    await fleet.store.compact()
    vm.store_proxy.reset()


async def crash_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Stop the target without removing its store entry, as in a crash; then start a new one."""
    await vm.target.stop()
    await fleet.restart_target(vm, for_s)


async def lose_answers(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the target run requests and close their connections without a response."""
    vm.target.loses_answers = True
    await asyncio.sleep(for_s)
    vm.target.loses_answers = False


async def drain_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Set the state of the target to draining for ``for_s``, then back to ready."""
    await fleet.register(vm, state="draining")
    await asyncio.sleep(for_s)
    await fleet.register(vm)


FAULT_ACTIONS: dict[str, FaultAction] = {
    action.__name__: action
    for action in (
        kill,
        term,
        pause,
        hang_up,
        delay,
        reset,
        silence,
        one_way,
        cut_store,
        store_fault,
        forget_history,
        crash_target,
        lose_answers,
        drain_target,
    )
}


def plan_faults(seed: int, vm_count: int, phase_s: float) -> list[PlannedFault]:
    """Return the faults of a seed, ordered by their start; they may overlap."""
    rng = random.Random(seed)
    faults = [
        PlannedFault(
            rng.choice(sorted(FAULT_ACTIONS)),
            rng.randrange(vm_count),
            rng.uniform(0, phase_s),
            rng.uniform(0.3, MAX_DURATION_S),
        )
        for _ in range(rng.randint(3, 8))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


async def inject(fleet: SoakFleet, faults: list[PlannedFault]) -> None:
    """Inject the faults at their times; those of one VM run one after another."""
    locks = [asyncio.Lock() for _ in fleet.vms]

    async def run_fault(fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        vm = fleet.vms[fault.vm]
        async with locks[fault.vm]:
            await FAULT_ACTIONS[fault.name](fleet, vm, fault.for_s)

    await asyncio.gather(*(run_fault(fault) for fault in faults))
