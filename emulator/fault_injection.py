"""Injects the faults of a matrix cell into a fleet and undoes them afterwards."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Sequence

from cottonlink.errors import Step
from emulator.fleet import Fleet, FleetError
from emulator.gates import ReleaseMode
from emulator.load import Call, Caller, CallerOptions, CallPlan
from emulator.long_poll import Faults
from emulator.matrix import CALL_STEPS, OTHER_STEPS, STEPS, Cell, Hop, MatrixFault
from emulator.relay import Fault, InjectedFault, Relay
from emulator.target import CRASH_MARKER

# Nodes of the matrix fleet: the ingress of the calls, the owner of their keys, and the other
# upstream of the owner's service.
INGRESS = "edge-0"
OWNER = "booking-0"
NON_OWNER = "booking-1"
CALL_END_TIMEOUT_S = 60
# Longer than the time after which an ingress asks a peer about a slow call (300 ms).
LATE_ANSWER_DELAY_S = 0.5

RELEASE_MODES = {
    MatrixFault.RESET: ReleaseMode.RESET,
    MatrixFault.SILENT: ReleaseMode.SILENT,
    MatrixFault.SLOW: ReleaseMode.SLOW,
    MatrixFault.TRUNCATED: ReleaseMode.TRUNCATE,
    MatrixFault.DUPLICATE: ReleaseMode.DUPLICATE,
}
# Pairs for cells with two faults; the index of the step in STEPS, modulo their number, selects one.
FAULT_PAIRS = (
    (MatrixFault.CONFIG, MatrixFault.KILL),
    (MatrixFault.MISLEADING_HEALTH, MatrixFault.RESET),
    (MatrixFault.VM_LIST, MatrixFault.PAUSE),
)
# Steps at which a gate holds the connections of the calls.
GATED_STEPS = frozenset(CALL_STEPS) - {Step.ROUTE, Step.QUEUE, Step.RUN}
# Connection faults at steps at which no gate holds the call.
UNGATED_FAULTS = {
    MatrixFault.REFUSED: InjectedFault(Fault.REFUSE),
    MatrixFault.RESET: InjectedFault(Fault.RESET_ON_ACCEPT),
    MatrixFault.SILENT: InjectedFault(Fault.SILENT_REQUEST),
    MatrixFault.SLOW: InjectedFault(Fault.DELAY_ANSWER, delay_ms=200),
    MatrixFault.TRUNCATED: InjectedFault(Fault.TRUNCATE_ANSWER, after_bytes=20),
    MatrixFault.DUPLICATE: InjectedFault(Fault.DUPLICATE_ANSWER),
}
# Steps with a call in progress at which a silent connection or a reset affects only the connections
# that are open; new ones work.
OPEN_CONNECTIONS_ONLY_STEPS = frozenset({Step.QUEUE, Step.RUN, Step.DRAIN})


def find_relays(fleet: Fleet, cell: Cell) -> list[Relay]:
    """Return the relays that hold the calls of ``cell`` or forward its messages.

    A cell with the same fault twice also gets the relay of the alternative node.
    """
    if cell.step is Step.POLICY_READ:
        return [fleet.platform_relays["config"]]
    if cell.step in (Step.CANCEL, Step.POLICY_SPREAD):
        return [fleet.control_relays[OWNER]]
    relays, names = {
        Hop.CALLER: (fleet.caller_relays, (INGRESS, NON_OWNER)),
        Hop.PEER: (fleet.peer_relays, (OWNER, NON_OWNER)),
        Hop.TARGET: (fleet.target_relays, (OWNER, NON_OWNER)),
    }[cell.hop]
    count = 2 if cell.fault is MatrixFault.SAME_FAULT_TWICE else 1
    return [relays[name] for name in names[:count]]


def list_faults(cell: Cell) -> tuple[MatrixFault, ...]:
    """Return the faults that ``cell`` combines, in the order in which they are injected."""
    if cell.fault is MatrixFault.TWO_FAULTS:
        return FAULT_PAIRS[STEPS.index(cell.step) % len(FAULT_PAIRS)]
    if cell.fault is MatrixFault.SAME_FAULT_TWICE:
        return (MatrixFault.RESET,)
    return (cell.fault,)


def restart_with_advanced_clock(fleet: Fleet, name: str) -> None:
    """Start a node that has ended, and advance its clock so that it may grant retries at once."""
    fleet.restart_node(name)
    fleet.nodes[name].signal(signal.SIGUSR2)


class FaultInjector:
    """Injects and undoes the faults of one cell.

    ``victim`` is the node that is killed, paused or partitioned, or whose clock jumps. ``release``
    says what the relays do with held connections when they are released.
    """

    def __init__(self, fleet: Fleet, cell: Cell) -> None:
        self._fleet = fleet
        self._cell = cell
        self._faults = list_faults(cell)
        self._undo_actions: list[Callable[[], object]] = []
        self.victim = INGRESS if cell.hop is Hop.CALLER else OWNER
        self.release = ReleaseMode.PASS
        self._restarts_node = True

    @property
    def affected_addresses(self) -> list[str]:
        """Caller addresses at which the fault itself may break connections."""
        if self._cell.hop is not Hop.CALLER:
            return []
        return [self._fleet.upstreams[name].advertised_caller for name in (INGRESS, NON_OWNER)]

    def apply(self) -> None:
        """Inject all faults of the cell."""
        for fault in self._faults:
            self._apply(fault)
        if self._cell.fault is MatrixFault.SAME_FAULT_TWICE and self._cell.step in OTHER_STEPS:
            for relay in find_relays(self._fleet, self._cell):
                relay.clear_faults()
            self._apply(MatrixFault.RESET)

    def wait_for(self, threads: Sequence[threading.Thread]) -> None:
        """Wait until the calls have ended. Raises FleetError if one lasts too long."""
        for thread in threads:
            thread.join(CALL_END_TIMEOUT_S)
            if thread.is_alive():
                raise FleetError(f"{self._cell.name}: a call did not end in time")

    def undo(self, *, is_node_restarted: bool = True) -> None:
        """Undo all faults; a killed node is started again only if ``is_node_restarted``."""
        self._restarts_node = is_node_restarted
        for relay in self._fleet.relays():
            relay.clear_faults()
        for undo in reversed(self._undo_actions):
            undo()

    def _apply(self, fault: MatrixFault) -> None:
        if fault in UNGATED_FAULTS:
            self._inject_connection_fault(fault)
            return
        apply_fault = {
            MatrixFault.KILL: self._kill,
            MatrixFault.PAUSE: self._pause,
            MatrixFault.MISLEADING_HEALTH: self._report_failing_health,
            MatrixFault.VM_LIST: self._break_vm_list,
            MatrixFault.CONFIG: self._break_config_service,
            MatrixFault.PARTITION: self._partition_victim,
            MatrixFault.CRASH: self._crash_target,
            MatrixFault.CLOCK_JUMP: self._jump_wall_clock,
        }[fault]
        apply_fault()

    def _inject_connection_fault(self, fault: MatrixFault) -> None:
        relays = find_relays(self._fleet, self._cell)
        if self._cell.step in GATED_STEPS and fault is not MatrixFault.REFUSED:
            self.release = RELEASE_MODES[fault]
            if fault is MatrixFault.DUPLICATE:
                time.sleep(LATE_ANSWER_DELAY_S)
        elif self._cell.step in OPEN_CONNECTIONS_ONLY_STEPS and fault is MatrixFault.SILENT:
            relays[0].silence_open_connections()
        elif self._cell.step is Step.ROUTE:
            self._inject_at(relays, InjectedFault(Fault.REFUSE))
        else:
            self._inject_at(relays, UNGATED_FAULTS[fault])
            if self._cell.step in OPEN_CONNECTIONS_ONLY_STEPS and fault is MatrixFault.RESET:
                for relay in relays:
                    relay.clear_faults()

    def _inject_at(self, relays: Sequence[Relay], injected: InjectedFault) -> None:
        for relay in relays:
            relay.inject(injected, include_open=True)

    def _kill(self) -> None:
        self._fleet.collect_events()
        node = self._fleet.nodes[self.victim]
        node.kill()
        self._undo_actions.append(self._restart_victim)

    def _restart_victim(self) -> None:
        if self._restarts_node:
            restart_with_advanced_clock(self._fleet, self.victim)

    def _pause(self) -> None:
        node = self._fleet.nodes[self.victim]
        node.pause()
        self._undo_actions.append(node.resume)

    def _report_failing_health(self) -> None:
        self._fleet.set_switches(OWNER, health="failing")
        self._undo_actions.append(lambda: self._fleet.set_switches(OWNER, health=""))

    def _break_vm_list(self) -> None:
        """Take the VM list down, or publish one that lacks the VMs of the called service.

        The index of the step decides which of the two.
        """
        stand_ins = self._fleet.stand_ins
        upstreams = self._fleet.upstreams
        if STEPS.index(self._cell.step) % 2:
            stand_ins.list_vms({INGRESS: "live"}, upstreams)
        else:
            stand_ins.set_vm_list_faults(Faults(is_down=True))
        all_live = {name: "live" for name in upstreams}
        self._undo_actions.append(lambda: stand_ins.list_vms(all_live, upstreams))
        self._undo_actions.append(lambda: stand_ins.set_vm_list_faults(Faults()))

    def _break_config_service(self) -> None:
        """Take the configuration service down, make it stale, or roll it back, by step index."""
        stand_ins = self._fleet.stand_ins
        faults = (
            Faults(is_down=True),
            Faults(is_stale=True),
            Faults(rolled_back_to=self._fleet.version - 1, ignores_after_version=True),
        )
        stand_ins.set_config_faults(faults[STEPS.index(self._cell.step) % len(faults)])
        self._undo_actions.append(lambda: stand_ins.set_config_faults(Faults()))

    def _partition_victim(self) -> None:
        """Partition the victim from all other nodes."""
        others = frozenset(self._fleet.nodes) - {self.victim}
        for name in self._fleet.nodes:
            sources = others if name == self.victim else frozenset({self.victim})
            self._fleet.peer_relays[name].partition_from(sources)
            self._fleet.control_relays[name].partition_from(sources)
        if self._cell.step in GATED_STEPS and self._cell.hop is Hop.PEER:
            self.release = ReleaseMode.SILENT

    def _crash_target(self) -> None:
        """Crash the owner's target with a separate request, and start the target again."""
        target = self._fleet.targets[OWNER]
        url = self._fleet.upstreams[OWNER].target
        options = CallerOptions(max_sends=1, timeout_ms=1_000)
        marker = self._cell.name.encode() + CRASH_MARKER
        plan = CallPlan(0, "POST", "/slots", "", f"{'c' * 32}", (url,), marker)
        Caller(options).continue_call(Call(plan), 1)
        if target.wait() is None:
            raise FleetError("the owner's target still runs after a request that should crash it")
        self._fleet.restart_target(OWNER)

    def _jump_wall_clock(self) -> None:
        self._fleet.nodes[self.victim].signal(signal.SIGUSR1)
