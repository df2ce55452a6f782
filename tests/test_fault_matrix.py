"""Injects every fault at every step, into real processes over loopback.

The cells come from ``emulator.matrix``. Cells with the same step share a fleet; a few steps are run
at a time. Each cell checks the outcomes of a read and of a non-repeatable write, that both kinds
work again afterwards, and that the recorded events and journals satisfy all invariants.
"""

from __future__ import annotations

import concurrent.futures
import traceback
import unittest

from cottonlink.errors import Step
from emulator.checker import check_invariants, wall_ms
from emulator.fleet import Fleet
from emulator.load import Call, CallOutcome
from emulator.matrix import CALL_STEPS, POLICY_STEPS, STEPS, Cell, Hop, MatrixFault, make_cells
from emulator.scenario import MATRIX_FLEET_PLAN, CallScenario, CellResult
from emulator.scenario_fleet import FleetScenario

THREAD_COUNT = 2
WHOLE = frozenset({CallOutcome.WHOLE})
UNKNOWN = frozenset({CallOutcome.UNKNOWN})
WHOLE_OR_UNKNOWN = WHOLE | UNKNOWN
ANY_OUTCOME = frozenset(CallOutcome)
# None of these breaks the path of a call, so both calls must get complete answers.
TOLERATED_FAULTS = frozenset(
    {
        MatrixFault.SLOW,
        MatrixFault.MISLEADING_HEALTH,
        MatrixFault.VM_LIST,
        MatrixFault.CONFIG,
        MatrixFault.CLOCK_JUMP,
    }
)
BEFORE_RUN = frozenset(CALL_STEPS[: CALL_STEPS.index(Step.RUN)])


def allowed_reads(cell: Cell) -> frozenset[CallOutcome]:
    """Return the outcomes that a read may have.

    A read is retried at another upstream within its budget, so it must get a complete answer unless
    the fault prevents that.
    """
    if cell.step is Step.CANCEL:
        # The caller disconnects; after a crash, the retry may be answered before that.
        return WHOLE_OR_UNKNOWN if cell.fault is MatrixFault.CRASH else UNKNOWN
    if cell.step is Step.ROUTE and cell.fault is MatrixFault.SAME_FAULT_TWICE:
        # Both upstreams refuse connections.
        return frozenset({CallOutcome.REFUSED_NOT_RUN})
    if cell.fault is MatrixFault.SAME_FAULT_TWICE:
        return WHOLE_OR_UNKNOWN
    if cell.fault is MatrixFault.SILENT and cell.hop is Hop.TARGET:
        # When a connection goes silent, a node can ask a peer about the call, but not a target; a
        # call to a target therefore uses up its deadline.
        return WHOLE_OR_UNKNOWN
    return WHOLE


def allowed_writes(cell: Cell) -> frozenset[CallOutcome]:
    """Return the outcomes that a write may have.

    It may end as unknown, but as refused only at a step before its run.
    """
    if cell.step is Step.CANCEL:
        return UNKNOWN
    if cell.fault in TOLERATED_FAULTS or cell.step in POLICY_STEPS:
        return WHOLE
    return ANY_OUTCOME if cell.step in BEFORE_RUN else WHOLE_OR_UNKNOWN


def describe(result: CellResult, call: Call) -> str:
    """Return the sends and events of a call, for the message of a failed check."""
    sends = [
        f"send {send.status} {send.code} {send.executed} in {send.answered_ms - send.sent_ms} ms"
        for send in call.sends
    ]
    events = sorted(result.history.events, key=wall_ms)
    call_ids = {
        event["call_id"] for event in events if event["request_id"] == call.plan.root_id
    } - {""}
    kinds = [
        f"{event['node']} {event['kind']} {event['code']} {event['peer']}".strip()
        for event in events
        if event["request_id"] == call.plan.root_id or event["call_id"] in call_ids
    ]
    return "; ".join(sends + kinds)


def run_group(step: Step) -> dict[str, CellResult | str]:
    """Run the possible cells of a step and return their results by cell name.

    If the scenario raises, the cell in progress has the traceback in place of its result, and the
    cells after it are missing.
    """
    results: dict[str, CellResult | str] = {}
    cells = [cell for cell in make_cells([step]) if not cell.impossible_reason]
    try:
        with Fleet(MATRIX_FLEET_PLAN) as fleet:
            fleet.publish()
            fleet.advance_clocks(*fleet.nodes)
            make_scenario = CallScenario if step in CALL_STEPS else FleetScenario
            scenario = make_scenario(fleet, seed=STEPS.index(step))
            scenario.wait_recovered()
            for cell in cells:
                results[cell.name] = scenario.run(cell)
    except Exception:
        failed = next(cell for cell in cells if cell.name not in results)
        results[failed.name] = traceback.format_exc()
    return results


class FaultMatrixTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        with concurrent.futures.ThreadPoolExecutor(THREAD_COUNT) as pool:
            cls.results = dict(zip(STEPS, pool.map(run_group, STEPS), strict=True))

    def check_step(self, step: Step) -> None:
        for cell in make_cells([step]):
            if cell.impossible_reason:
                continue
            with self.subTest(cell.name):
                self.check_cell(cell, self.results[step].get(cell.name, "not reached"))

    def check_cell(self, cell: Cell, result: CellResult | str) -> None:
        self.assertIsInstance(result, CellResult, result)
        self.assertIn(result.first_read, allowed_reads(cell), describe(result, result.read))
        self.assertIn(result.first_write, allowed_writes(cell), describe(result, result.write))
        self.assertEqual(check_invariants(result.history), [])


def _add_step_tests() -> None:
    for step in STEPS:

        def test(self: FaultMatrixTest, step: Step = step) -> None:
            self.check_step(step)

        test.__doc__ = f"Guards against a violated invariant after a fault at the step {step}."
        setattr(FaultMatrixTest, f"test_{step}", test)


_add_step_tests()


class MatrixCellsTest(unittest.TestCase):
    def test_impossible(self) -> None:
        """Guards against combinations that are missing or wrongly marked as impossible."""
        cells = make_cells()
        self.assertEqual(len(cells), len(STEPS) * len(MatrixFault))
        self.assertEqual(len([cell for cell in cells if cell.impossible_reason]), 35)
