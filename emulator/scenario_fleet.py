"""Cells of the fault matrix whose step is a cancel, a drain or a policy change."""

from __future__ import annotations

from cottonlink.errors import Step
from emulator.checker import Evidence, Leave, Shutdown
from emulator.fleet import wait_until
from emulator.journal import RunOutcome, monotonic_ms
from emulator.load import Call, CallOutcome
from emulator.matrix import Cell, MatrixFault
from emulator.relay import Fault, FaultSpec
from emulator.scenario import CallScenario, Result
from emulator.strikes import INGRESS, OTHER, OWNER, Strike, find_faults, restart_aged

# After these, the owner or its target has lost what it knew of the calls in progress.
ENDING_FAULTS = frozenset({MatrixFault.KILL, MatrixFault.CRASH})
# With these, the message that cancels a call may get lost.
CANCEL_LOSSES = frozenset(
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
    """Runs cells one after another on one fleet, which has the plan ``MATRIX_PLAN``."""

    def run(self, cell: Cell) -> Result:
        """Run one cell and return what it showed."""
        if cell.step is Step.DRAIN:
            return self._run_drain(cell)
        if cell.step is Step.CANCEL:
            return self._run_cancel(cell)
        return self._run_policy_change(cell)

    def _run_drain(self, cell: Cell) -> Result:
        """Strike while the owner finishes two runs after SIGTERM."""
        read, write, threads = self._start_runs(cell)
        node = self._fleet.nodes[OWNER]
        at_ms = monotonic_ms()
        node.terminate()
        wait_until(lambda: self._fleet.state(OWNER) == "leaving", "the owner to leave")
        strike = Strike(self._fleet, cell)
        strike.apply()
        self._fleet.switch(OWNER, silent=False)
        strike.wait_for(threads)
        result = Result(cell, read, write, read.outcome, write.outcome, Evidence())
        is_killed = not node.is_running and MatrixFault.KILL in find_faults(cell)
        strike.repair(is_node_restarted=False)
        status = node.wait()
        restart_aged(self._fleet, OWNER)
        self._settle(cell, write)
        result.evidence = self._make_evidence(strike)
        result.evidence.leaves.append(Leave(OWNER, at_ms))
        if not is_killed and MatrixFault.CRASH not in find_faults(cell):
            address = self._fleet.upstreams[OWNER].seen_caller
            result.evidence.shutdowns.append(Shutdown(OWNER, address, at_ms, status))
        return result

    def _run_cancel(self, cell: Cell) -> Result:
        """Let the callers of two runs leave while the fault lasts."""
        read, write, threads = self._start_runs(cell)
        strike = Strike(self._fleet, cell)
        strike.apply()
        relay = self._fleet.caller_relays[INGRESS]
        relay.inject(FaultSpec(Fault.RESET_ON_ACCEPT), on_open=True)
        strike.wait_for(threads)
        relay.heal()
        result = Result(cell, read, write, read.outcome, write.outcome, Evidence())
        faults = frozenset(find_faults(cell))
        if not faults & (ENDING_FAULTS | CANCEL_LOSSES):
            self._wait_outcome(read, RunOutcome.CANCELLED)
        strike.repair()
        self._fleet.switch(OWNER, silent=False)
        if not faults & ENDING_FAULTS:
            self._wait_outcome(write, RunOutcome.FINISHED)
        self._settle(cell, write)
        result.evidence = self._make_evidence(strike)
        result.evidence.killed.add(self._fleet.upstreams[INGRESS].seen_caller)
        return result

    def _run_policy_change(self, cell: Cell) -> Result:
        """Publish while the fault lasts; only the ingress reads the service for a spread."""
        self._begin()
        if cell.step is Step.POLICY_SPREAD:
            self._fleet.platform_relays["config"].cut(frozenset({OWNER, OTHER}))
        strike = Strike(self._fleet, cell)
        strike.apply()
        version = self._fleet.publish()
        read = self._make_call("/booking/slots", keyed=False)
        self._make_caller(cell).go_on(read, 1)
        strike.repair()
        for name in self._fleet.nodes:
            wait_until(lambda n=name: self._fleet.version_of(n) == version, f"{name} to follow")
        _, write = self.recover()
        result = Result(cell, read, write, read.outcome, write.outcome, Evidence())
        result.evidence = self._make_evidence(strike)
        result.evidence.final_versions = self._fleet.versions()
        result.evidence.published_version = version
        return result

    def _start_runs(self, cell: Cell) -> tuple[Call, Call, list]:
        """Start a read and a write, and wait until both run at the owner's target."""
        self._begin()
        caller = self._make_caller(cell)
        read, write = self._prepare(caller)
        self._set_gates(cell)
        return self._hold(cell, caller, read, write)

    def _settle(self, cell: Cell, write: Call) -> None:
        if write.outcome is not CallOutcome.WHOLE:
            self._make_caller(cell).go_on(write, 1)
        self.recover()

    def _wait_outcome(self, call: Call, outcome: RunOutcome) -> None:
        root_id = call.plan.root_id
        wait_until(
            lambda: any(
                run.outcome is outcome for run in self._fleet.runs() if run.root_id == root_id
            ),
            f"the run of {call.plan.path} to be {outcome}",
        )
