"""Faults that are injected from outside, each as an action with its end."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from attrs import frozen

from soak.fleet import SoakFleet, SoakVm

LONGEST_S = 2.5
Action = Callable[[SoakFleet, SoakVm, float], Awaitable[None]]


@frozen
class PlannedFault:
    """A fault that begins at ``at_s`` and lasts for ``for_s``."""

    name: str
    vm: int
    at_s: float
    for_s: float


async def kill(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The node's process is killed and started again."""
    await vm.end_node()
    await asyncio.sleep(for_s / 4)
    await vm.start_node()


async def term(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The node's process is asked to stop, and started again."""
    await vm.end_node(signal.SIGTERM)
    await vm.start_node()


async def pause(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The node's process stands still."""
    vm.send(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    vm.send(signal.SIGCONT)


async def hang_up(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """The node is told that its settings changed."""
    while not _minds_hang_up(vm):
        await asyncio.sleep(0.005)
    vm.send(signal.SIGHUP)


def _minds_hang_up(vm: SoakVm) -> bool:
    """Return whether the process has run its first line; no program can handle a signal before."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    return any(int(masks[name], 16) & 1 for name in ("SigIgn", "SigCgt"))


async def delay(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Bytes to the node's peers' side come late."""
    vm.peer_proxy.delay_s = 0.15
    await asyncio.sleep(for_s)
    vm.peer_proxy.delay_s = 0.0


async def reset(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """All connections to the node and from it to the store are reset."""
    vm.peer_proxy.reset()
    vm.store_proxy.reset()


async def silence(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Open connections go silent for good."""
    vm.peer_proxy.silence()
    vm.store_proxy.silence()


async def one_way(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """What the node answers its peers is lost."""
    vm.peer_proxy.drops_answers = True
    await asyncio.sleep(for_s)
    vm.peer_proxy.drops_answers = False
    vm.peer_proxy.reset()


async def cut_store(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The node can't reach the store."""
    vm.store_proxy.refuses = True
    vm.store_proxy.reset()
    await asyncio.sleep(for_s)
    vm.store_proxy.refuses = False


async def store_fault(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The store misbehaves for everybody."""
    fleet.store.fault = fleet.store.FAULTS[vm.number % len(fleet.store.FAULTS)]
    await asyncio.sleep(for_s)
    fleet.store.fault = None


async def forget_history(fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """The store drops its history, and watches are cut."""
    await fleet.store.compact()
    vm.store_proxy.reset()


async def crash_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The target is gone for a while; its entry stays, as after a crash."""
    await vm.target.stop()
    await asyncio.sleep(for_s)
    await vm.target.start()
    await fleet.register(vm, born=1_700_000_000_000 + int(for_s * 1000))


async def lose_answers(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The target runs requests and breaks off."""
    vm.target.loses_answers = True
    await asyncio.sleep(for_s)
    vm.target.loses_answers = False


async def drain_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """The target reports that it leaves, and comes back."""
    await fleet.register(vm, state="draining")
    await asyncio.sleep(for_s)
    await fleet.register(vm)


ACTIONS: dict[str, Action] = {
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


def plan_faults(seed: int, vm_count: int, length_s: float) -> list[PlannedFault]:
    """Return the faults of a seed; they come in series and overlap."""
    rng = random.Random(seed)
    faults = [
        PlannedFault(
            rng.choice(sorted(ACTIONS)),
            rng.randrange(vm_count),
            rng.uniform(0, length_s),
            rng.uniform(0.3, LONGEST_S),
        )
        for _ in range(rng.randint(3, 8))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


async def inject(fleet: SoakFleet, faults: list[PlannedFault]) -> None:
    """Play the faults; those of one VM's process wait for each other."""
    locks = [asyncio.Lock() for _ in fleet.vms]

    async def play(fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        vm = fleet.vms[fault.vm]
        async with locks[fault.vm]:
            await ACTIONS[fault.name](fleet, vm, fault.for_s)

    await asyncio.gather(*(play(fault) for fault in faults))
