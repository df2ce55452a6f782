"""Cells of the fault matrix whose step is a cancel, a drain or a policy change."""

from __future__ import annotations

from cottonlink.errors import Step
from emulator.checker import History, LeaveRequest, Shutdown
from emulator.fault_injection import (
    INGRESS,
    NON_OWNER,
    OWNER,
    FaultInjector,
    list_faults,
    restart_with_advanced_clock,
)
from emulator.fleet import wait_until
from emulator.journal import RunOutcome, monotonic_ms
from emulator.load import Call, CallOutcome
from emulator.matrix import Cell, MatrixFault
from emulator.relay import Fault, InjectedFault
from emulator.scenario import CallScenario, CellResult

# Faults after which the owner or its target has lost the state of the calls in progress.
STATE_LOSS_FAULTS = frozenset({MatrixFault.KILL, MatrixFault.CRASH})
# Faults in which the message that cancels a call may be lost.
CANCEL_LOSS_FAULTS = frozenset(
    {
        MatrixFault.PAUSE,
        MatrixFault.REFUSED,
        MatrixFault.RESET,
        MatrixFault.SILENT,
        MatrixFault.TRUNCATED,
        MatrixFault.PARTITION,
    }
)


class FleetScenario(CallScenario):
    """Runs cells one after another on one fleet with the plan ``MATRIX_FLEET_PLAN``."""

    def run(self, cell: Cell) -> CellResult:
        """Run one cell. Raises FleetError if an expected state isn't reached in time."""
        if cell.step is Step.DRAIN:
            return self._run_drain(cell)
        if cell.step is Step.CANCEL:
            return self._run_cancel(cell)
        return self._run_policy_change(cell)

    def _run_drain(self, cell: Cell) -> CellResult:
        """Inject the fault while the owner drains: after SIGTERM, with two runs in progress."""
        read, write, threads = self._start_runs(cell)
        node = self._fleet.nodes[OWNER]
        at_ms = monotonic_ms()
        node.terminate()
        wait_until(lambda: self._fleet.state(OWNER) == "leaving", "the owner to leave")
        injector = FaultInjector(self._fleet, cell)
        injector.apply()
        self._fleet.set_switches(OWNER, silent=False)
        injector.wait_for(threads)
        result = CellResult(cell, read, write, read.outcome, write.outcome, History())
        is_killed = not node.is_running and MatrixFault.KILL in list_faults(cell)
        injector.undo(is_node_restarted=False)
        status = node.wait()
        restarted_ms = monotonic_ms()
        restart_with_advanced_clock(self._fleet, OWNER)
        self._finish_write(cell, write)
        result.history = self._make_history(injector)
        result.history.leave_requests.append(LeaveRequest(OWNER, at_ms, restarted_ms))
        if not is_killed and MatrixFault.CRASH not in list_faults(cell):
            address = self._fleet.upstreams[OWNER].advertised_caller
            result.history.shutdowns.append(Shutdown(OWNER, address, at_ms, status))
        return result

    def _run_cancel(self, cell: Cell) -> CellResult:
        """Disconnect the callers of two runs while the fault lasts."""
        read, write, threads = self._start_runs(cell)
        injector = FaultInjector(self._fleet, cell)
        injector.apply()
        relay = self._fleet.caller_relays[INGRESS]
        relay.inject(InjectedFault(Fault.RESET_ON_ACCEPT), include_open=True)
        injector.wait_for(threads)
        relay.clear_faults()
        result = CellResult(cell, read, write, read.outcome, write.outcome, History())
        faults = frozenset(list_faults(cell))
        if not faults & (STATE_LOSS_FAULTS | CANCEL_LOSS_FAULTS):
            self._wait_run_outcome(read, RunOutcome.CANCELLED)
        injector.undo()
        self._fleet.set_switches(OWNER, silent=False)
        if not faults & STATE_LOSS_FAULTS:
            self._wait_run_outcome(write, RunOutcome.FINISHED)
        self._finish_write(cell, write)
        result.history = self._make_history(injector)
        result.history.disrupted_addresses.add(self._fleet.upstreams[INGRESS].advertised_caller)
        return result

    def _run_policy_change(self, cell: Cell) -> CellResult:
        """Publish a policy while the fault lasts.

        For the step ``POLICY_SPREAD``, only the ingress can read the configuration service, so that
        the other nodes must get the policy from it.
        """
        self._reset()
        if cell.step is Step.POLICY_SPREAD:
            self._fleet.platform_relays["config"].partition_from(frozenset({OWNER, NON_OWNER}))
        injector = FaultInjector(self._fleet, cell)
        injector.apply()
        version = self._fleet.publish()
        read = self._make_call("/booking/slots", keyed=False)
        self._make_caller(cell).continue_call(read, 1)
        injector.undo()
        for name in self._fleet.nodes:
            wait_until(
                lambda n=name: self._fleet.policy_version_of(n) == version,
                f"{name} to get the policy",
            )
        _, write = self.wait_recovered()
        result = CellResult(cell, read, write, read.outcome, write.outcome, History())
        result.history = self._make_history(injector)
        result.history.final_versions = self._fleet.policy_versions()
        result.history.published_version = version
        return result

    def _start_runs(self, cell: Cell) -> tuple[Call, Call, list]:
        """Start a read and a write, and wait until both run at the owner's target."""
        self._reset()
        caller = self._make_caller(cell)
        read, write = self._prepare(caller)
        self._set_gates(cell)
        return self._start_held(cell, caller, read, write)

    def _finish_write(self, cell: Cell, write: Call) -> None:
        if write.outcome is not CallOutcome.WHOLE:
            self._make_caller(cell).continue_call(write, 1)
        self.wait_recovered()

    def _wait_run_outcome(self, call: Call, outcome: RunOutcome) -> None:
        root_id = call.plan.root_id
        wait_until(
            lambda: any(
                run.outcome is outcome for run in self._fleet.runs() if run.root_id == root_id
            ),
            f"the run of {call.plan.path} to be {outcome}",
        )
