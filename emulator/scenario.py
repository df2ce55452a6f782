"""Runs cells of the fault matrix whose step belongs to a call.

Each cell makes a read and a non-repeatable write through the ingress ``edge-0``, holds both at the
step, strikes, lets them go on, and repairs everything. Both calls go to the owner ``booking-0``:
the read because its data centre is that of the ingress, the write because of its key.
"""

from __future__ import annotations

import random
import threading

from attrs import define

from cottonlink._hashing import rendezvous_first
from cottonlink.errors import Step
from emulator.checker import Evidence
from emulator.fleet import Fleet, wait_until
from emulator.gates import Direction, Gate
from emulator.load import Call, Caller, CallerOptions, CallOutcome, CallPlan
from emulator.matrix import Cell, Place
from emulator.plans import FleetPlan, KindPlan, ServicePlan
from emulator.relay import Relay
from emulator.strikes import INGRESS, OTHER, OWNER, Strike, relays_of
from emulator.target import SEND_PARAMETER, Work

BODY_BYTES = 20_000
ANSWER_BYTES = 20_000
KIND_TIMEOUT_MS = 3_000
CALLER_TIMEOUT_MS = 5_000
# A caller whose own connection is struck must give up on it before it turns to another node.
IMPATIENT_TIMEOUT_MS = 1_500
CALL_GUARD_S = 60
MAX_BLOCKERS = 32

# Where the calls are held: bytes that still pass after the chunk with the marker begins.
GATE_POINTS = {
    Step.ACCEPT: (Direction.REQUEST, 10),
    Step.IDENTIFY: (Direction.REQUEST, 5_000),
    Step.CONNECT: (Direction.REQUEST, 0),
    Step.SEND_HEAD: (Direction.REQUEST, 40),
    Step.SEND_BODY: (Direction.REQUEST, 5_000),
    Step.HAND_OVER: (Direction.REQUEST, 0),
    Step.FIRST_BYTE: (Direction.ANSWER, 0),
    Step.BODY: (Direction.ANSWER, 500),
    Step.RELAY: (Direction.ANSWER, 500),
}
KINDS = (
    KindPlan("slots", ("POST",), "/slots", 3, True, KIND_TIMEOUT_MS),
    KindPlan("bookings", ("POST",), "/bookings", 8, False, KIND_TIMEOUT_MS),
)
MATRIX_PLAN = FleetPlan(
    services=(
        ServicePlan("edge", ("a",), 4, KINDS, (Work("/", 5),)),
        ServicePlan("booking", ("a", "b"), 2, KINDS, (Work("/", 5, (), ANSWER_BYTES),)),
    ),
    relayed=True,
    upstream_ratio=1.0,
    node_module="emulator.jumping_node",
)


@define
class Result:
    """What a cell showed."""

    cell: Cell
    read: Call
    write: Call
    first_read: CallOutcome
    first_write: CallOutcome
    evidence: Evidence


def make_plan(rng: random.Random, fleet: Fleet, path: str, *, keyed: bool) -> CallPlan:
    """Return a call whose retry home is the ingress and whose owner, if keyed, is ``OWNER``."""
    bookings = fleet.names_of("booking")
    while True:
        root_id = f"{rng.getrandbits(128):032x}"
        key = f"key-{root_id}" if keyed else ""
        is_owned = not keyed or rendezvous_first(key, bookings) == OWNER
        if is_owned and rendezvous_first(root_id, fleet.upstreams) == INGRESS:
            break
    nodes = (fleet.upstreams[INGRESS].seen_caller, fleet.upstreams[OTHER].seen_caller)
    body = root_id.encode().ljust(BODY_BYTES, b".")
    return CallPlan(0, "POST", path, key, root_id, nodes, body)


class CallScenario:
    """Runs cells one after another on one fleet, which has the plan ``MATRIX_PLAN``."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._gates: list[tuple[Relay, Gate]] = []
        self._blockers: list[threading.Thread] = []
        self._calls: list[Call] = []
        self._broken: set[str] = set()

    def run(self, cell: Cell) -> Result:
        """Run one cell and return what it showed."""
        self._calls = []
        caller = self._make_caller(cell)
        read = self._make_call("/booking/slots", keyed=False)
        write = self._make_call("/booking/bookings", keyed=True)
        wait_until(lambda: caller.fetch_permit(write), "a permit")
        strike = Strike(self._fleet, cell)
        if cell.strikes_first:
            strike.apply()
            threads = self._start(caller, read, write)
        else:
            self._set_gates(cell, read, write)
            threads = self._start(caller, read, write)
            self._wait_held(cell, read, write)
            strike.apply()
        self._let_go(strike)
        strike.wait_for(threads + self._blockers)
        result = Result(cell, read, write, read.outcome, write.outcome, Evidence())
        strike.repair()
        self._clear_gates()
        if write.outcome is not CallOutcome.WHOLE:
            caller.go_on(write, 1)
        self.recover()
        result.evidence = self._make_evidence(strike)
        return result

    def recover(self) -> None:
        """Wait until a read and a write through the ingress are answered whole."""
        self._fleet.wait_ready()
        for path, keyed in (("/booking/slots", False), ("/booking/bookings", True)):
            wait_until(lambda p=path, k=keyed: self._is_whole(p, k), f"{path} to work again")

    def _is_whole(self, path: str, keyed: bool) -> bool:
        call = self._make_call(path, keyed=keyed)
        Caller(CallerOptions(max_sends=1, timeout_ms=CALLER_TIMEOUT_MS)).go_on(call, 1)
        return call.outcome is CallOutcome.WHOLE

    def _make_caller(self, cell: Cell) -> Caller:
        if cell.place is Place.CALLER:
            return Caller(CallerOptions(max_sends=3, timeout_ms=IMPATIENT_TIMEOUT_MS))
        return Caller(CallerOptions(max_sends=1, timeout_ms=CALLER_TIMEOUT_MS))

    def _make_call(self, path: str, *, keyed: bool) -> Call:
        call = Call(make_plan(self._rng, self._fleet, path, keyed=keyed))
        self._calls.append(call)
        return call

    def _start(self, caller: Caller, *calls: Call) -> list[threading.Thread]:
        arguments = [(call, caller.options.max_sends) for call in calls]
        threads = [threading.Thread(target=caller.go_on, args=own) for own in arguments]
        for thread in threads:
            thread.daemon = True
            thread.start()
        return threads

    def _set_gates(self, cell: Cell, *calls: Call) -> None:
        if cell.step is Step.RUN:
            self._fleet.switch(OWNER, silent=True)
        if cell.step is Step.QUEUE:
            self._block_slots()
        if cell.step not in GATE_POINTS:
            return
        direction, after_bytes = GATE_POINTS[cell.step]
        names = relays_of(self._fleet, cell)
        for relay in names:
            gate = Gate(tuple(_marker(call) for call in calls), direction, after_bytes)
            relay.set_gate(gate)
            self._gates.append((relay, gate))

    def _block_slots(self) -> None:
        """Fill the admission limit of the owner with writes, until one of them is queued."""
        self._fleet.switch(OWNER, silent=True)
        caller = Caller(CallerOptions(max_sends=1, timeout_ms=CALLER_TIMEOUT_MS))
        for _ in range(MAX_BLOCKERS):
            blocker = self._make_call("/booking/bookings", keyed=True)
            self._blockers += self._start(caller, blocker)
            wait_until(lambda b=blocker: self._is_taken(b), "a blocker to be queued or run")
            if self._is_queued(blocker):
                return

    def _is_taken(self, call: Call) -> bool:
        return self._runs_at_owner(call) or self._is_queued(call)

    def _runs_at_owner(self, call: Call) -> bool:
        root_id = call.plan.root_id
        return any(run.root_id == root_id and run.target == OWNER for run in self._fleet.runs())

    def _is_queued(self, call: Call) -> bool:
        return any(
            event["kind"] == "queued" and event["request_id"] == call.plan.root_id
            for event in self._fleet.events(OWNER)
        )

    def _wait_held(self, cell: Cell, *calls: Call) -> None:
        if cell.step is Step.RUN:
            for call in calls:
                wait_until(lambda c=call: self._runs_at_owner(c), f"{cell.name}: both to run")
        elif cell.step is Step.QUEUE:
            for call in calls:
                wait_until(lambda c=call: self._is_queued(c), f"{cell.name}: both to queue")
        else:
            _, gate = self._gates[0]
            wait_until(lambda: gate.held_count >= len(calls), f"{cell.name}: both to be held")

    def _let_go(self, strike: Strike) -> None:
        for _, gate in self._gates:
            gate.release(strike.release)
        if strike.is_target_up:
            self._fleet.switch(OWNER, silent=False)

    def _clear_gates(self) -> None:
        for relay, _ in self._gates:
            relay.set_gate(None)
        self._gates.clear()
        self._blockers.clear()

    def _make_evidence(self, strike: Strike) -> Evidence:
        self._fleet.collect_events()
        return Evidence(
            calls=list(self._calls),
            runs=self._fleet.runs(),
            events=self._fleet.collected_events(),
            killed=set(strike.broken_addresses),
        )


def _marker(call: Call) -> bytes:
    return f"{SEND_PARAMETER}={call.plan.root_id}".encode()
