"""The fault matrix: every fault at every step of a call, of a leave and of a policy change.

``make_cells`` combines each step with each fault; an impossible combination carries the reason.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import frozen

from cottonlink.errors import Step


class MatrixFault(enum.StrEnum):
    """The faults of ``docs/design.md``, section 1.4, and those that section 6 implies."""

    KILL = "kill"
    PAUSE = "pause_and_late_resume"
    REFUSED = "connection_refused"
    RESET = "reset"
    SILENT = "silent_connection"
    SLOW = "slow_peer"
    TRUNCATED = "truncated_answer"
    DUPLICATE = "duplicate_and_late_answer"
    MISLEADING_HEALTH = "misleading_health"
    VM_LIST = "stale_or_absent_vm_list"
    CONFIG = "config_service_down_stale_or_rolled_back"
    PARTITION = "partition"
    CRASH = "crashing_request"
    CLOCK_JUMP = "clock_jump"
    TWO_FAULTS = "two_faults_together"
    SAME_FAULT_TWICE = "same_fault_twice"


class Hop(enum.StrEnum):
    """The connection of a step: caller to ingress, ingress to owner, or owner to target."""

    CALLER = "caller"
    PEER = "peer"
    TARGET = "target"


CALL_STEPS = (
    Step.ACCEPT,
    Step.IDENTIFY,
    Step.ROUTE,
    Step.CONNECT,
    Step.SEND_HEAD,
    Step.SEND_BODY,
    Step.QUEUE,
    Step.HAND_OVER,
    Step.RUN,
    Step.FIRST_BYTE,
    Step.BODY,
    Step.RELAY,
)
OTHER_STEPS = (Step.CANCEL, Step.DRAIN, Step.POLICY_READ, Step.POLICY_SPREAD)
STEPS = CALL_STEPS + OTHER_STEPS
POLICY_STEPS = frozenset({Step.POLICY_READ, Step.POLICY_SPREAD})

STEP_HOPS = {
    Step.ACCEPT: Hop.CALLER,
    Step.IDENTIFY: Hop.CALLER,
    Step.RELAY: Hop.CALLER,
    Step.HAND_OVER: Hop.TARGET,
    Step.FIRST_BYTE: Hop.TARGET,
    Step.BODY: Hop.TARGET,
}

_STEPS_ON_OPEN_CONNECTION = frozenset(
    {
        Step.IDENTIFY,
        Step.SEND_HEAD,
        Step.SEND_BODY,
        Step.QUEUE,
        Step.RUN,
        Step.FIRST_BYTE,
        Step.BODY,
        Step.RELAY,
    }
)
_STEPS_BEFORE_ANSWER = frozenset(CALL_STEPS) - {Step.FIRST_BYTE, Step.BODY, Step.RELAY}
_CONNECTION_FAULTS = frozenset({MatrixFault.RESET, MatrixFault.SILENT, MatrixFault.SLOW})
_ANSWER_FAULTS = frozenset({MatrixFault.TRUNCATED, MatrixFault.DUPLICATE})
_TARGET_FAULTS = frozenset({MatrixFault.CRASH, MatrixFault.MISLEADING_HEALTH})


@frozen
class Cell:
    """One fault at one step; ``impossible_reason`` is empty if the combination can occur."""

    step: Step
    fault: MatrixFault
    impossible_reason: str = ""

    @property
    def name(self) -> str:
        return f"{self.step}/{self.fault}"

    @property
    def hop(self) -> Hop:
        return STEP_HOPS.get(self.step, Hop.PEER)

    @property
    def applies_before_call(self) -> bool:
        """Whether the fault is injected before the call begins, as no connection can be held."""
        return self.step is Step.ROUTE or self.fault is MatrixFault.REFUSED


def make_cells(steps: Iterable[Step] = STEPS) -> list[Cell]:
    """Return all cells of ``steps``, including the impossible ones."""
    return [
        Cell(step, fault, find_impossible_reason(step, fault))
        for step in steps
        for fault in MatrixFault
    ]


def find_impossible_reason(step: Step, fault: MatrixFault) -> str:
    """Return why ``fault`` can't occur at ``step``, or an empty string if it can."""
    if fault is MatrixFault.REFUSED and step in _STEPS_ON_OPEN_CONNECTION:
        return "the connection is already open, and only a connect can be refused"
    if fault in _ANSWER_FAULTS and step in _STEPS_BEFORE_ANSWER:
        return "no byte of the answer exists yet"
    if fault in _CONNECTION_FAULTS and step is Step.ROUTE:
        return "no connection of the call exists while its upstream is chosen"
    if fault is MatrixFault.SLOW and step in (Step.QUEUE, Step.RUN):
        return "no byte of the call moves while it waits or runs"
    if fault in _TARGET_FAULTS and step in POLICY_STEPS:
        return "no target takes part in a policy change"
    return ""
