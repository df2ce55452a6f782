"""Runs cells of the fault matrix whose step belongs to a call.

Each cell makes a read and a non-repeatable write through the ingress ``edge-0``, holds both at the
step, injects the fault, releases the calls, and undoes the fault. Both calls go to the owner
``booking-0``: the read because its data centre is that of the ingress, the write because of its
key.
"""

from __future__ import annotations

import random
import threading

from attrs import define, evolve

from cottonlink._hashing import rendezvous_first
from cottonlink.errors import Step
from cottonlink.observe import EventKind
from emulator.checker import ACCEPTED_EVENT_KINDS, History
from emulator.fault_injection import INGRESS, NON_OWNER, OWNER, FaultInjector, find_relays
from emulator.fleet import Fleet, wait_until
from emulator.gates import Direction, Gate
from emulator.load import Call, Caller, CallerOptions, CallOutcome, CallPlan
from emulator.matrix import Cell, Hop, MatrixFault
from emulator.plans import FleetPlan, RequestKindPlan, ServicePlan
from emulator.relay import Relay
from emulator.target import SEND_PARAMETER, Work

BODY_BYTES = 20_000
ANSWER_BYTES = 20_000
KIND_TIMEOUT_MS = 10_000
CALLER_TIMEOUT_MS = 12_000
# For callers that only a timeout can inform of a silent connection.
SHORT_CALLER_TIMEOUT_MS = 3_000
# With few slots, the limit falls to one after a failure, and a write would preempt the read.
SLOTS = 8

# Where the calls are held: the direction, and the number of bytes that still pass, counted from the
# start of the chunk with the marker.
GATE_POSITIONS = {
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
    RequestKindPlan("slots", ("POST",), "/slots", 3, True, KIND_TIMEOUT_MS),
    RequestKindPlan("bookings", ("POST",), "/bookings", 8, False, KIND_TIMEOUT_MS),
)
# Several fleets run at a time, and each connection that a listener allows costs a thread.
LISTENER_SETTINGS = {"caller_limit": 48, "peer_limit": 48}
MATRIX_FLEET_PLAN = FleetPlan(
    services=(
        ServicePlan("edge", ("a",), 4, KINDS, (Work("/", 5),)),
        ServicePlan("booking", ("a", "b"), SLOTS, KINDS, (Work("/", 5, (), ANSWER_BYTES),)),
    ),
    relayed=True,
    upstream_ratio=1.0,
    node_settings=LISTENER_SETTINGS,
    node_module="emulator.jumping_node",
)


@define
class CellResult:
    """The calls of a cell, their outcomes while the fault lasted, and what was recorded."""

    cell: Cell
    read: Call
    write: Call
    first_read: CallOutcome
    first_write: CallOutcome
    history: History


def make_call_plan(rng: random.Random, fleet: Fleet, path: str, *, keyed: bool) -> CallPlan:
    """Return a call whose retry budget is kept by ``INGRESS`` and whose key is owned by ``OWNER``.

    Random ids are drawn until rendezvous hashing selects these nodes.
    """
    bookings = fleet.upstream_names("booking")
    while True:
        root_id = f"{rng.getrandbits(128):032x}"
        key = f"key-{root_id}" if keyed else ""
        is_owned = not keyed or rendezvous_first(key, bookings) == OWNER
        if is_owned and rendezvous_first(root_id, fleet.upstreams) == INGRESS:
            break
    nodes = (
        fleet.upstreams[INGRESS].advertised_caller,
        fleet.upstreams[NON_OWNER].advertised_caller,
    )
    body = root_id.encode().ljust(BODY_BYTES, b".")
    return CallPlan(0, "POST", path, key, root_id, nodes, body)


class CallScenario:
    """Runs cells one after another on one fleet with the plan ``MATRIX_FLEET_PLAN``."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._gates: list[tuple[Relay, Gate]] = []
        self._filler_threads: list[threading.Thread] = []
        self._calls: list[Call] = []

    def run(self, cell: Cell) -> CellResult:
        """Run one cell. Raises FleetError if an expected state isn't reached in time."""
        self._reset()
        caller = self._make_caller(cell)
        injector = FaultInjector(self._fleet, cell)
        read, write = self._prepare(caller)
        if cell.applies_before_call:
            injector.apply()
            threads = [self._start(caller, call) for call in (read, write)]
        else:
            self._set_gates(cell)
            read, write, threads = self._start_held(cell, caller, read, write)
            injector.apply()
        self._release_calls(injector)
        injector.wait_for(threads + self._filler_threads)
        result = CellResult(cell, read, write, read.outcome, write.outcome, History())
        injector.undo()
        self._clear_gates()
        if write.outcome is not CallOutcome.WHOLE:
            caller.continue_call(write, 1)
        self.wait_recovered()
        result.history = self._make_history(injector)
        return result

    def _prepare(self, caller: Caller) -> tuple[Call, Call]:
        """Return a read, and a write that has already got its permit."""
        read = self._make_call("/booking/slots", keyed=False)
        return read, self._make_write(caller)

    def _make_write(self, caller: Caller) -> Call:
        write = self._make_call("/booking/bookings", keyed=True)
        wait_until(lambda: caller.request_permit(write), "a permit")
        return write

    def _start_held(
        self, cell: Cell, caller: Caller, read: Call, write: Call
    ) -> tuple[Call, Call, list[threading.Thread]]:
        """Start both calls and return them with their threads once both are held at the step.

        A call that is answered without being held, for instance because another upstream has
        accepted it, is replaced by a new one.
        """
        read_thread = self._start(caller, read)
        write_thread = self._start(caller, write)
        while not self._wait_held(cell, read, read_thread):
            read = self._make_call("/booking/slots", keyed=False)
            read_thread = self._start(caller, read)
        while not self._wait_held(cell, write, write_thread):
            write = self._make_write(caller)
            write_thread = self._start(caller, write)
        return read, write, [read_thread, write_thread]

    def _wait_held(self, cell: Cell, call: Call, thread: threading.Thread) -> bool:
        """Wait until a call is held or has ended; return whether it is held."""
        wait_until(
            lambda: not thread.is_alive() or self._is_held(cell, call),
            f"{cell.name}: a call to be held or to end",
        )
        return self._is_held(cell, call)

    def _is_held(self, cell: Cell, call: Call) -> bool:
        if cell.step is Step.QUEUE:
            return self._is_queued(call)
        if cell.step not in GATE_POSITIONS:
            return self._runs_at_owner(call)
        return any(gate.has_held(_marker(call)) for _, gate in self._gates)

    def _reset(self) -> None:
        """Advance the ingress's clock past the retry ratios and ejections of earlier cells."""
        self._calls = []
        self._fleet.advance_clocks(INGRESS)
        self.wait_recovered()
        self._calls = []

    def wait_recovered(self) -> tuple[Call, Call]:
        """Wait until a read and a write through the ingress get complete answers; return them."""
        self._fleet.wait_ready()
        read = wait_until(lambda: self._make_answered_call("/booking/slots", keyed=False), "a read")
        write = wait_until(
            lambda: self._make_answered_call("/booking/bookings", keyed=True), "a write"
        )
        return read, write

    def _make_answered_call(self, path: str, *, keyed: bool) -> Call | None:
        call = self._make_call(path, keyed=keyed)
        Caller(CallerOptions(max_sends=1, timeout_ms=CALLER_TIMEOUT_MS)).continue_call(call, 1)
        return call if call.outcome is CallOutcome.WHOLE else None

    def _make_caller(self, cell: Cell) -> Caller:
        if cell.hop is Hop.CALLER:
            return Caller(CallerOptions(max_sends=3, timeout_ms=SHORT_CALLER_TIMEOUT_MS))
        if cell.hop is Hop.TARGET and cell.fault is MatrixFault.SILENT:
            return Caller(CallerOptions(max_sends=1, timeout_ms=SHORT_CALLER_TIMEOUT_MS))
        return Caller(CallerOptions(max_sends=1, timeout_ms=CALLER_TIMEOUT_MS))

    def _make_call(self, path: str, *, keyed: bool) -> Call:
        call = Call(make_call_plan(self._rng, self._fleet, path, keyed=keyed))
        self._calls.append(call)
        return call

    def _start(self, caller: Caller, call: Call) -> threading.Thread:
        for _, gate in self._gates:
            gate.add_marker(_marker(call))
        arguments = (call, caller.options.max_sends)
        thread = threading.Thread(target=caller.continue_call, args=arguments, daemon=True)
        thread.start()
        return thread

    def _set_gates(self, cell: Cell) -> None:
        if cell.step is Step.QUEUE:
            self._fill_slots()
        elif cell.step not in GATE_POSITIONS:
            self._fleet.set_switches(OWNER, silent=True)
        else:
            direction, after_bytes = GATE_POSITIONS[cell.step]
            for relay in find_relays(self._fleet, cell):
                gate = Gate(direction, after_bytes)
                relay.set_gate(gate)
                self._gates.append((relay, gate))

    def _fill_slots(self) -> None:
        """Send writes to the owner until its admission limit is reached and one is queued.

        They enter at another node, as otherwise the ingress would know of the load and avoid the
        owner.
        """
        self._fleet.set_switches(OWNER, silent=True)
        wait_until(self._send_filler, "a full admission limit")

    def _send_filler(self) -> bool:
        """Send one write to the owner and return whether it is queued there."""
        plan = make_call_plan(self._rng, self._fleet, "/booking/bookings", keyed=True)
        filler = Call(evolve(plan, nodes=plan.nodes[1:]))
        self._calls.append(filler)
        caller = Caller(CallerOptions(max_sends=1, timeout_ms=CALLER_TIMEOUT_MS))
        thread = self._start(caller, filler)
        self._filler_threads.append(thread)
        wait_until(
            lambda: not thread.is_alive()
            or self._event_kinds_at_owner(filler) & ACCEPTED_EVENT_KINDS,
            "a filler write to be queued or admitted",
        )
        return self._is_queued(filler)

    def _runs_at_owner(self, call: Call) -> bool:
        root_id = call.plan.root_id
        return any(run.root_id == root_id and run.target == OWNER for run in self._fleet.runs())

    def _is_queued(self, call: Call) -> bool:
        return EventKind.QUEUED in self._event_kinds_at_owner(call)

    def _event_kinds_at_owner(self, call: Call) -> set[str]:
        root_id = call.plan.root_id
        events = self._fleet.events(OWNER)
        return {event["kind"] for event in events if event["request_id"] == root_id}

    def _release_calls(self, injector: FaultInjector) -> None:
        for _, gate in self._gates:
            gate.release(injector.release)
        self._fleet.set_switches(OWNER, silent=False)

    def _clear_gates(self) -> None:
        for relay, _ in self._gates:
            relay.set_gate(None)
        self._gates.clear()
        self._filler_threads.clear()

    def _make_history(self, injector: FaultInjector) -> History:
        self._fleet.collect_events()
        return History(
            calls=list(self._calls),
            runs=self._fleet.runs(),
            events=self._fleet.collected_events(),
            disrupted_addresses=set(injector.affected_addresses),
        )


def _marker(call: Call) -> bytes:
    return f"{SEND_PARAMETER}={call.plan.root_id}".encode()
