"""Applies the faults of a cell to a fleet and repairs them afterwards."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Sequence

from cottonlink.errors import Step
from emulator.fleet import Fleet, FleetError
from emulator.gates import Release
from emulator.load import Call, Caller, CallerOptions, CallPlan
from emulator.matrix import STEPS, Cell, MatrixFault, Place
from emulator.plans import make_policy_record
from emulator.relay import Fault, FaultSpec, Relay
from emulator.target import CRASH_MARKER

INGRESS = "edge-0"
OWNER = "booking-0"
OTHER = "booking-1"
CALL_GUARD_S = 60
# Longer than the time after which an ingress asks a peer about a slow call (300 ms).
LATE_S = 0.5

RELEASES = {
    MatrixFault.RESET: Release.RESET,
    MatrixFault.SILENT: Release.SILENT,
    MatrixFault.SLOW: Release.SLOW,
    MatrixFault.TRUNCATED: Release.TRUNCATE,
    MatrixFault.DUPLICATE: Release.DUPLICATE,
}
# Pairs for cells with two faults; the position of the step selects one.
PAIRS = (
    (MatrixFault.CONFIG, MatrixFault.KILL),
    (MatrixFault.HEALTH, MatrixFault.RESET),
    (MatrixFault.VM_LIST, MatrixFault.PAUSE),
)


def relays_of(fleet: Fleet, cell: Cell) -> list[Relay]:
    """Return the relays at which the calls of ``cell`` are held.

    For the same fault twice, the relays on the way through the other node follow.
    """
    relays, names = {
        Place.CALLER: (fleet.caller_relays, (INGRESS, OTHER)),
        Place.PEER: (fleet.peer_relays, (OWNER, OTHER)),
        Place.TARGET: (fleet.target_relays, (OWNER, OTHER)),
    }[cell.place]
    count = 2 if cell.fault is MatrixFault.TWICE else 1
    return [relays[name] for name in names[:count]]


def find_faults(cell: Cell) -> tuple[MatrixFault, ...]:
    """Return the single faults that ``cell`` consists of."""
    if cell.fault is MatrixFault.TWO:
        return PAIRS[STEPS.index(cell.step) % len(PAIRS)]
    if cell.fault is MatrixFault.TWICE:
        return (MatrixFault.RESET,)
    return (cell.fault,)


class Strike:
    """The faults of one cell. ``release`` says how held connections go on."""

    def __init__(self, fleet: Fleet, cell: Cell) -> None:
        self._fleet = fleet
        self._cell = cell
        self._faults = find_faults(cell)
        self._repairs: list[Callable[[], object]] = []
        self.victim = INGRESS if cell.place is Place.CALLER else OWNER
        self.release = Release.PASS
        self.is_target_up = True

    @property
    def broken_addresses(self) -> list[str]:
        """Caller addresses at which connections may break because of the fault itself."""
        if self._cell.place is not Place.CALLER:
            return []
        return [self._fleet.upstreams[name].seen_caller for name in (INGRESS, OTHER)]

    def apply(self) -> None:
        """Strike."""
        for fault in self._faults:
            self._apply(fault)

    def wait_for(self, threads: Sequence[threading.Thread]) -> None:
        """Wait until the calls have ended."""
        for thread in threads:
            thread.join(CALL_GUARD_S)
            if thread.is_alive():
                raise FleetError(f"{self._cell.name}: a call does not end")

    def repair(self) -> None:
        """Undo everything."""
        for relay in self._fleet.relays():
            relay.heal()
        for repair in reversed(self._repairs):
            repair()

    def _apply(self, fault: MatrixFault) -> None:
        strike = {
            MatrixFault.KILL: self._kill,
            MatrixFault.PAUSE: self._pause,
            MatrixFault.REFUSED: self._refuse,
            MatrixFault.RESET: self._reset,
            MatrixFault.SILENT: self._silence,
            MatrixFault.DUPLICATE: self._delay,
            MatrixFault.HEALTH: self._mislead,
            MatrixFault.VM_LIST: self._spoil_vm_list,
            MatrixFault.CONFIG: self._spoil_config,
            MatrixFault.PARTITION: self._part,
            MatrixFault.CRASH: self._crash,
            MatrixFault.CLOCK: self._jump,
        }.get(fault)
        self.release = RELEASES.get(fault, self.release)
        if strike is not None:
            strike()

    def _kill(self) -> None:
        self._fleet.collect_events()
        node = self._fleet.nodes[self.victim]
        node.kill()
        self._repairs.append(lambda: self._restart(self.victim))

    def _restart(self, name: str) -> None:
        self._fleet.restart_node(name)
        self._fleet.nodes[name].signal(signal.SIGUSR2)

    def _pause(self) -> None:
        node = self._fleet.nodes[self.victim]
        node.pause()
        self._repairs.append(node.resume)

    def _refuse(self) -> None:
        for relay in relays_of(self._fleet, self._cell):
            relay.inject(FaultSpec(Fault.REFUSE), on_open=True)

    def _reset(self) -> None:
        """Reset connections that no gate holds; a gate resets its own."""
        if self._cell.step is Step.ROUTE:
            self._refuse()
        elif self._cell.step in (Step.QUEUE, Step.RUN):
            for relay in relays_of(self._fleet, self._cell):
                relay.inject(FaultSpec(Fault.RESET_ON_ACCEPT), on_open=True)
                relay.heal()

    def _silence(self) -> None:
        if self._cell.step in (Step.QUEUE, Step.RUN):
            self._fleet.peer_relays[OWNER].freeze_open()

    def _delay(self) -> None:
        """Hold the answer until the ingress has begun to ask about the call."""
        time.sleep(LATE_S)

    def _mislead(self) -> None:
        self._fleet.switch(OWNER, health="failing")
        self._repairs.append(lambda: self._fleet.switch(OWNER, health=""))

    def _spoil_vm_list(self) -> None:
        """Take the list down, or publish one that lacks the VMs of the service."""
        stand_ins = self._fleet.stand_ins
        upstreams = self._fleet.upstreams
        if STEPS.index(self._cell.step) % 2:
            stand_ins.list_vms({INGRESS: "live"}, upstreams)
        else:
            stand_ins.vm_list.stop()
        everyone = {name: "live" for name in upstreams}
        self._repairs.append(lambda: stand_ins.list_vms(everyone, upstreams))
        self._repairs.append(stand_ins.vm_list.start)

    def _spoil_config(self) -> None:
        """Take the service down, roll it back, or do both."""
        fleet = self._fleet
        listed = {name: up for name, up in fleet.upstreams.items() if name == INGRESS}
        older = make_policy_record(fleet.plan, listed, fleet.version - 1)
        kind = STEPS.index(self._cell.step) % 3
        if kind != 1:
            fleet.stand_ins.config.stop()
        if kind != 0:
            fleet.stand_ins.publish(older)
        current = make_policy_record(fleet.plan, fleet.upstreams, fleet.version)
        self._repairs.append(lambda: fleet.stand_ins.publish(current))
        self._repairs.append(fleet.stand_ins.config.start)

    def _part(self) -> None:
        """Cut the victim off from all other nodes."""
        others = frozenset(self._fleet.nodes) - {self.victim}
        for name in self._fleet.nodes:
            sources = others if name == self.victim else frozenset({self.victim})
            self._fleet.peer_relays[name].cut(sources)
            self._fleet.control_relays[name].cut(sources)
        if self._cell.place is Place.PEER:
            self.release = Release.SILENT

    def _crash(self) -> None:
        """Let another request crash the owner's target, and start the target again."""
        target = self._fleet.targets[OWNER]
        url = self._fleet.upstreams[OWNER].target
        options = CallerOptions(max_sends=1, timeout_ms=1_000)
        marker = self._cell.name.encode() + CRASH_MARKER
        plan = CallPlan(0, "POST", "/slots", "", f"{'c' * 32}", (url,), marker)
        Caller(options).go_on(Call(plan), 1)
        if target.wait() is None:
            raise FleetError("the target survived a crashing request")
        self._fleet.restart_target(OWNER)

    def _jump(self) -> None:
        self._fleet.nodes[self.victim].signal(signal.SIGUSR1)
