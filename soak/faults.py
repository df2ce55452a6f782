"""Faults that are injected from outside the nodes; each action also ends its fault."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

from attrs import frozen

from soak.disturbances import CONTACT_S, Kind
from soak.fleet import SoakFleet
from soak.lag import STALL_S
from soak.limit_checks import WINDOW_S
from soak.vm import SoakVm

MAX_DURATION_S = 2.5
# A fleet of twice this size gets twice the faults.
VMS_PER_FAULT_SET = 8
# A target that has reported that it drains serves for this time and a little longer.
DRAIN_S = 2.0
# Limit that a target names, for each second that the fault lasts.
LIMIT_PER_S = 6.0
# How long the store is away before it returns from a copy, as shares of the age of the copy.
AWAY_SHARES = (0.0, 0.15, 0.6)
# Fields that make an entry odd, with their values as JSON.
ODD_FIELDS = (
    ("state", "[" * 1_000 + "]" * 1_000),
    ("born", '{"a":' * 1_000 + "1" + "}" * 1_000),
    ("slots", str(2**63)),
    ("warmup_left_s", "1e308"),
    ("address", '"127.0.0.1:0"'),
    ("address", '"127.0.0.1:99999"'),
    ("address", '"..:80"'),
    ("address", f'"{"x" * 70}:80"'),
    ("sequence", "null"),
)
# What a node waits for that is started too early, and the time that it then needs.
EARLY_CONDITIONS = ("caller", "peer", "ready", "metrics", "settings")
EARLY_MARGIN_S = 0.2
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


async def kill(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Kill the node's process and start it again after a quarter of ``for_s``."""
    with fleet.disturbances.of_vm(vm.number, Kind.UNPLANNED):
        await vm.kill_node()
        await asyncio.sleep(for_s / 4)
        await vm.start_node()


async def start_too_early(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Start the node again while one of its ports is in use, or its settings aren't whole.

    Which of them depends on the duration. The process must wait, and serve as soon as it can.
    """
    with fleet.disturbances.of_vm(vm.number, Kind.UNPLANNED):
        await vm.kill_node()
        settings = vm.settings_path.read_text()
        name = EARLY_CONDITIONS[int(for_s * 1_000) % len(EARLY_CONDITIONS)]
        if name == "settings":
            vm.settings_path.write_text(settings[: len(settings) // 2])
            await vm.start_node()
            await asyncio.sleep(for_s)
            vm.settings_path.write_text(settings)
        else:
            host, _, port = json.loads(settings)[f"{name}_address"].rpartition(":")
            with socket.create_server((host, int(port))):
                await vm.start_node()
                await asyncio.sleep(for_s)
        await asyncio.sleep(EARLY_MARGIN_S)


async def term(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Stop the node's process with SIGTERM and start it again."""
    with fleet.disturbances.of_vm(vm.number, Kind.PLANNED):
        await vm.terminate_node()
        await vm.start_node()


async def pause(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Suspend the node's process with SIGSTOP for ``for_s``."""
    with fleet.disturbances.of_vm(vm.number, Kind.FREEZE):
        vm.signal_node(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        vm.signal_node(signal.SIGCONT)


async def hang_up(_fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Send SIGHUP, with which a node reloads its settings."""
    while vm.process.returncode is None and not _handles_sighup(vm):
        await asyncio.sleep(0.005)
    vm.signal_node(signal.SIGHUP)


def _handles_sighup(vm: SoakVm) -> bool:
    """Return whether the process ignores or catches SIGHUP.

    No program can do so before its first line has run; until then the signal ends the process.
    """
    try:
        status = Path(f"/proc/{vm.process.pid}/status").read_text()
    except OSError:
        # The process has just ended.
        return False
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    return any(int(masks[name], 16) & 1 for name in ("SigIgn", "SigCgt"))


async def delay(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Delay the data on the connections of peers to the node, in both directions."""
    with fleet.disturbances.of_vm(vm.number, Kind.UNPLANNED):
        vm.peer_proxy.delay_s = STALL_S
        await asyncio.sleep(for_s)
        vm.peer_proxy.delay_s = 0.0


async def reset(fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Reset all connections of peers to the node and of the node to the store."""
    with fleet.disturbances.of_vm(vm.number, Kind.UNPLANNED):
        vm.peer_proxy.reset()
        vm.store_proxy.reset()


async def silence(fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Drop all further data on the open connections to the node and to the store.

    The connections stay open, so that neither end gets an error.
    """
    with fleet.disturbances.of_vm(vm.number, Kind.UNPLANNED):
        vm.peer_proxy.silence()
        vm.store_proxy.silence()


async def one_way(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Drop the data that the node sends back on connections of its peers."""
    with fleet.disturbances.of_vm(vm.number, Kind.UNPLANNED):
        vm.peer_proxy.drops_responses = True
        await asyncio.sleep(for_s)
        vm.peer_proxy.drops_responses = False
        vm.peer_proxy.reset()


async def cut_store(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Cut the node off from the store."""
    with fleet.disturbances.of_vm(vm.number, Kind.STORE_PATH):
        vm.store_proxy.refuses_connections = True
        vm.store_proxy.reset()
        await asyncio.sleep(for_s)
        vm.store_proxy.refuses_connections = False


async def store_fault(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Set a fault at the store, chosen by the number of the VM; it affects all nodes."""
    with fleet.store_fault(fleet.store.FAULTS[vm.number % len(fleet.store.FAULTS)]):
        await asyncio.sleep(for_s)


async def forget_history(fleet: SoakFleet, vm: SoakVm, _for_s: float) -> None:
    """Compact the history of the store and reset the node's watches."""
    with fleet.disturbances.of_vm(vm.number, Kind.STORE_PATH):
        await fleet.store.compact()
        vm.store_proxy.reset()


async def return_store_from_copy(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the store return from a copy that is ``for_s`` old, after a time in which it is away.

    The operator and the targets then write again what it has lost. The number of the VM chooses
    what a node sees while the store is away.
    """
    async with fleet.copy_lock:
        copy = fleet.store.take_copy()
        await asyncio.sleep(for_s)
        away_s = for_s * AWAY_SHARES[int(for_s * 1000) % len(AWAY_SHARES)]
        fault = fleet.store.FAULTS[vm.number % len(fleet.store.FAULTS)]
        with fleet.writers.store_away(), fleet.disturbances.of_store():
            if away_s:
                with fleet.store_fault(fault):
                    await asyncio.sleep(away_s)
            fleet.return_store_from_copy(copy)


async def answer_faultily(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the target double, cut and spoil a share of its answers."""
    vm.faulty_answers.is_active = True
    await asyncio.sleep(for_s)
    vm.faulty_answers.is_active = False


async def crash_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Stop the target without removing its store entry, as in a crash; then start a new one."""
    await vm.stop_target()
    await fleet.restart_target(vm, for_s)


async def lose_answers(_fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the target run requests and close their connections without a response."""
    vm.target.loses_answers = True
    await asyncio.sleep(for_s)
    vm.target.loses_answers = False


async def drain_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the target report that it drains, serve on for ``DRAIN_S`` and more, and start anew."""
    await fleet.register(vm, state="draining")
    await _leave(fleet, vm, for_s)


async def remove_target(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the target remove its entry without a report, serve on, and start anew."""
    await fleet.writers.unregister(vm.target)
    await _leave(fleet, vm, for_s)


async def leave_unregistered(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let only the target's responses say that it leaves; it serves on and starts anew."""
    await _leave(fleet, vm, for_s)


async def _leave(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    vm.target.is_leaving = True
    await asyncio.sleep(DRAIN_S + for_s)
    await vm.stop_target()
    await fleet.restart_target(vm, 0.0)


async def limit_rate(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let the target name a limit on its requests, far below what it gets otherwise."""
    vm.name_limit(LIMIT_PER_S * for_s, fleet.started_at_ms(vm.target))
    await asyncio.sleep(CONTACT_S + WINDOW_S + for_s)
    vm.end_limit()


async def write_odd_entries(fleet: SoakFleet, vm: SoakVm, for_s: float) -> None:
    """Let another writer leave entries that name no upstream among those of the targets."""
    proper = json.dumps(vm.target.entry(sequence=1))
    keys = []
    for number, (name, text) in enumerate(ODD_FIELDS):
        fields = {**json.loads(proper), name: "@"}
        keys.append(f"servers/odd-{vm.number}-{number}")
        await fleet.store.put(keys[-1], json.dumps(fields).replace('"@"', text).encode())
    await asyncio.sleep(for_s)
    for key in keys:
        await fleet.store.remove(key)


FAULT_ACTIONS: dict[str, FaultAction] = {
    action.__name__: action
    for action in (
        kill,
        start_too_early,
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
        return_store_from_copy,
        answer_faultily,
        crash_target,
        lose_answers,
        drain_target,
        remove_target,
        leave_unregistered,
        limit_rate,
        write_odd_entries,
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
        for _ in range(rng.randint(3, 8) * max(1, vm_count // VMS_PER_FAULT_SET))
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
