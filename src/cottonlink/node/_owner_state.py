"""State of the calls for the local target: admission, execution records, calls in progress.

The node next to a target is the *owner* of the target's calls and of the permits that it issues
for them. An instance shares the lock of NodeCore. Methods whose names start with ``locked_``
require that the lock is held; all others acquire it while they decide, without I/O. Other calls
that a decision affects are woken, refused or cancelled after the lock is released.
"""

from __future__ import annotations

import random
import secrets
import threading
from collections.abc import Callable

from attrs import frozen

from cottonlink._clock import Clock
from cottonlink._headers import TraceContext
from cottonlink.decisions import (
    Admission,
    Arrival,
    Attach,
    Cancel,
    Denied,
    Issued,
    KeyAlreadyUsed,
    Lifecycle,
    Load,
    NodeState,
    Outcome,
    Quarantine,
    QuarantineDecision,
    Refuse,
    RegistryFull,
    Replay,
    Run,
    Start,
    StoredAnswer,
    Threshold,
    make_admission,
    make_execution_registry,
)
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._calls import CallState, CallTable, ForwardedCall, OwnedCall
from cottonlink.node._listener_limiter import (
    InFlightCall,
    ListenerLimiter,
    make_listener_full_error,
)
from cottonlink.policy import Policy

SECRET_BYTES = 32
NOT_READY_RETRY_AFTER_MS = 1_000
# Expiry scans every execution record, of which there may be thousands.
RECORD_EXPIRY_INTERVAL_MS = 5_000
NOT_IN_POLICY = "not_in_policy"


Decision = Start | Refuse | Cancel


@frozen
class PermitRefusal:
    """The owner issues no permit now. ``code`` is leaving, not_ready or overloaded."""

    code: str


@frozen
class _Action:
    """A decision about a call, carried out after the lock is released."""

    owned: OwnedCall
    decision: Decision
    cancel_code: str


class OwnerState:
    """Calls for the local target and the rules by which they are accepted. Thread-safe."""

    def __init__(
        self,
        lock: threading.Lock,
        clock: Clock,
        rng: random.Random,
        lifecycle: Lifecycle,
        quarantine: Quarantine,
        *,
        node: str,
        incarnation: str,
        limit: int,
    ) -> None:
        now_ms = clock.monotonic_ms()
        self._lock = lock
        self._clock = clock
        self._rng = rng
        self._lifecycle = lifecycle
        self._quarantine = quarantine
        self._node = node
        self._upstream_names: frozenset[str] | None = None
        self._admission: Admission | None = None
        self._registry = make_execution_registry(
            node, incarnation, secrets.token_bytes(SECRET_BYTES), now_ms
        )
        self._run_end_events: dict[int, threading.Event] = {}
        self._calls = CallTable(now_ms)
        self._last_serial = 0
        self._next_expiry_ms = now_ms
        self._limiter = ListenerLimiter(limit)

    def __len__(self) -> int:
        return len(self._calls.owned)

    def locked_apply(self, policy: Policy, now_ms: int) -> tuple[_Action, ...]:
        """Apply a new policy; return the actions for ``carry_out``."""
        own = policy.upstreams_by_name.get(self._node)
        if own is None:
            if self._upstream_names is not None:
                self._lifecycle.suspend(NOT_IN_POLICY, now_ms)
            return ()
        self._lifecycle.resume(NOT_IN_POLICY, now_ms)
        service = policy.service_by_upstream[self._node]
        upstream_names = frozenset(upstream.name for upstream in service.upstreams)
        if self._upstream_names is not None and self._upstream_names != upstream_names:
            self._registry.note_owner_change(now_ms)
        self._upstream_names = upstream_names
        if self._admission is None:
            self._admission = make_admission(own.slots, rng=self._rng)
            return ()
        return self._make_actions(self._admission.resize(own.slots, now_ms))

    def locked_tick(self, now_ms: int) -> tuple[_Action, ...]:
        """Expire queued calls and execution records; return the actions for ``carry_out``."""
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + RECORD_EXPIRY_INTERVAL_MS
            self._registry.expire(now_ms)
        return self._make_actions(self._admission.expire(now_ms)) if self._admission else ()

    def locked_report(self, now_ms: int) -> tuple[Load | None, Threshold | None]:
        """Return the load of the target and the admission threshold."""
        if self._admission is None:
            return None, None
        return self._admission.load(), self._admission.threshold(now_ms)

    def is_abandoned(self, call_id: str) -> bool:
        """Return whether this node has told the ingress that it never saw this call.

        The ingress has then ended the attempt, and may have sent the request again.
        """
        with self._lock:
            return self._calls.is_refused(call_id)

    def enter(self, owned: OwnedCall, preempt: Callable[[], None]) -> int:
        """Add a call to those in progress, preempting another one if necessary.

        Returns the entry id for ``leave``. Raises CallError if the call is refused.
        """
        now_ms = self._clock.monotonic_ms()
        call = owned.call
        with self._lock:
            self._check_accepts(call.kind.repeatable, now_ms)
            if not self._calls.add(owned, now_ms):
                raise _refusal("cancelled", "the ingress has abandoned this attempt")
            entry = self._limiter.enter(
                InFlightCall(call.importance, call.kind.repeatable, preempt)
            )
            if entry is None:
                self._calls.remove(owned)
                raise make_listener_full_error(self._rng)
            entry_id, victim = entry
            owned.suspect = self._quarantine.suspicion_level(call.fingerprint, now_ms) > 0
        if victim is not None:
            victim.preempt()
        return entry_id

    def enter_waiting(self, owned: OwnedCall) -> int:
        """Add a call that waits for the run that its permit has already started.

        A leaving node accepts such calls too. Returns the entry id for ``leave``. Raises CallError
        if the listener is full.
        """
        with self._lock:
            entry = self._limiter.enter(
                InFlightCall(owned.call.importance, False, _never_preempted)
            )
            if entry is None:
                raise make_listener_full_error(self._rng, Executed.UNKNOWN)
            entry_id, victim = entry
            self._calls.add(owned, self._clock.monotonic_ms())
            owned.state = CallState.RUNNING
        if victim is not None:
            victim.preempt()
        return entry_id

    def leave(self, owned: OwnedCall, entry_id: int) -> tuple[ForwardedCall, ...]:
        """Remove a call; return the calls that its run has made and that are unfinished."""
        with self._lock:
            self._limiter.leave(entry_id)
            self._calls.remove(owned)
            return tuple(owned.children)

    def begin(self, owned: OwnedCall) -> Run | Attach | Replay | Denied:
        """Decide whether a call with a permit runs, waits, gets a stored answer or is denied."""
        call = owned.call
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            decision = self._registry.begin(call.permit, call.key, owned.call_id, now_ms)
            if isinstance(decision, Run):
                self._run_end_events[decision.serial] = threading.Event()
            return decision

    def run_end_event(self, serial: int) -> threading.Event:
        """Return the event that is set when the run ``serial`` with a permit has ended."""
        with self._lock:
            event = self._run_end_events.get(serial)
        if event is None:
            event = threading.Event()
            event.set()
        return event

    def expire_queue(self) -> None:
        """Refuse queued calls that can no longer meet their deadlines; start urgent ones."""
        with self._lock:
            actions = self._make_actions(self._admission.expire(self._clock.monotonic_ms()))
        self.carry_out(actions)

    def next_serial(self) -> int:
        """Return the serial number for the next Cottonlink-Call value."""
        with self._lock:
            self._last_serial += 1
            return self._last_serial

    def end_run(self, serial: int, answer: StoredAnswer | None, executed: Executed) -> None:
        """Record the end of a run with a permit, and wake the calls that wait for its result."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            if answer is not None:
                self._registry.finish(serial, answer, now_ms)
            elif executed is Executed.NO:
                self._registry.refuse(serial, now_ms)
            else:
                self._registry.mark_lost(serial, now_ms)
            event = self._run_end_events.pop(serial, None)
        if event is not None:
            event.set()

    def issue_permit(
        self, key: str, importance: int, position: int
    ) -> Issued | KeyAlreadyUsed | Replay | RegistryFull | PermitRefusal:
        """Issue a permit for an idempotency key that hashes to this node.

        A node that accepts no work still answers for the keys that it has a record of.
        """
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            if not self._registry.has_record(key):
                refusal = self._refuse_permit(importance, position, now_ms)
                if refusal is not None:
                    # The ingress now asks the next owner in order, so this node can no longer
                    # assume that it has seen every use of its keys.
                    self._registry.note_owner_change(now_ms)
                    return refusal
            return self._registry.issue(key, now_ms)

    def request_admission(self, owned: OwnedCall) -> None:
        """Ask admission control to run a call.

        ``owned.admission_decided`` is set once it has admitted or refused the call.
        """
        call = owned.call
        arrival = Arrival(
            call_id=owned.call_id,
            importance=call.importance,
            position=call.position,
            deadline_ms=call.deadline_ms,
            arrived_ms=owned.arrived_ms,
            repeatable=call.kind.repeatable,
            kind=call.kind.name,
            suspect=owned.suspect,
        )
        with self._lock:
            decisions = self._admission.arrive(arrival, self._clock.monotonic_ms())
            actions = self._make_actions(decisions)
        self.carry_out(actions)

    def finish(self, owned: OwnedCall, outcome: Outcome) -> None:
        """Report the end of a call to admission control, which may start queued calls."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            owned.state = CallState.FINISHED
            decisions = self._admission.finish(owned.call_id, outcome, now_ms)
            if outcome is Outcome.OK:
                self._quarantine.record_completion(owned.call.fingerprint, now_ms)
            actions = self._make_actions(decisions)
        self.carry_out(actions)

    def cancel(self, call_id: str, code: str) -> bool:
        """Cancel a call unless it is unknown or a non-repeatable run; return whether it was."""
        with self._lock:
            if call_id not in self._calls.owned or self._admission is None:
                return False
            decisions = self._admission.cancel(call_id, self._clock.monotonic_ms())
            actions = self._make_actions(decisions, code)
        self.carry_out(actions)
        return bool(actions)

    def crashed(self, owned: OwnedCall) -> tuple[QuarantineDecision, ...]:
        """Record that the target crashed while it ran ``owned``; return the quarantine decisions.

        Every call in flight fails because of the same crash. The crash counts once against the
        fingerprint of each of them, whichever call reports it first.
        """
        with self._lock:
            if owned.crash_counted:
                return ()
            running = {run for run in self._calls.running() if not run.crash_counted}
            running.add(owned)
            for run in running:
                run.crash_counted = True
            fingerprints = [run.call.fingerprint for run in running]
            return self._quarantine.record_crash(fingerprints, self._clock.monotonic_ms())

    def find_parent(self, token: str) -> OwnedCall | None:
        """Return the run in progress that the Cottonlink-Call value ``token`` identifies."""
        with self._lock:
            return self._calls.find_parent(token)

    def find_parent_by_trace(self, trace: TraceContext) -> OwnedCall | None:
        """Return the run in progress whose trace context is ``trace``."""
        with self._lock:
            return self._calls.find_parent_by_trace(trace)

    def call_states(self, ages_ms: dict[str, int]) -> dict[str, CallState]:
        """Return the states of calls by id, given the ages that their ingress reports."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return {c: self._calls.state(c, age_ms, now_ms) for c, age_ms in ages_ms.items()}

    def carry_out(self, actions: tuple[_Action, ...]) -> None:
        """Wake, refuse or cancel calls as decided. The lock must not be held."""
        for action in actions:
            owned = action.owned
            if isinstance(action.decision, Cancel):
                owned.cancel(action.cancel_code)
                continue
            if isinstance(action.decision, Refuse):
                owned.refusal = _make_queue_refusal(action)
            owned.admission_decided.set()

    def _make_actions(
        self, decisions: tuple[Decision, ...], cancel_code: str = "preempted"
    ) -> tuple[_Action, ...]:
        """Pair each decision with its call, and mark calls that start as running."""
        actions = []
        for decision in decisions:
            owned = self._calls.owned.get(decision.call_id)
            if owned is None:
                continue
            if not isinstance(decision, Refuse | Cancel):
                owned.state = CallState.RUNNING
            actions.append(_Action(owned, decision, cancel_code))
        return tuple(actions)

    def _check_accepts(self, repeatable: bool, now_ms: int) -> None:
        state = self._lifecycle.state(now_ms)
        if state in (NodeState.LEAVING, NodeState.STOPPED):
            raise _refusal("leaving", "the node is leaving")
        if self._admission is None or not self._lifecycle.accepts_work(now_ms):
            raise _refusal("not_ready", "the node is not ready", NOT_READY_RETRY_AFTER_MS)
        if not repeatable and not self._lifecycle.accepts_non_repeatable(now_ms):
            raise _refusal(
                "not_ready",
                "the node was paused and has not yet refreshed policy and members",
                NOT_READY_RETRY_AFTER_MS,
            )

    def _refuse_permit(self, importance: int, position: int, now_ms: int) -> PermitRefusal | None:
        state = self._lifecycle.state(now_ms)
        if state in (NodeState.LEAVING, NodeState.STOPPED):
            return PermitRefusal("leaving")
        if self._admission is None or not self._lifecycle.accepts_non_repeatable(now_ms):
            return PermitRefusal("not_ready")
        if not self._admission.threshold(now_ms).admits(importance, position):
            return PermitRefusal("overloaded")
        return None


def _never_preempted() -> None:
    """Do nothing: the listener never preempts a call that is not repeatable."""


def _make_queue_refusal(action: _Action) -> CallError:
    decision = action.decision
    code = action.cancel_code if decision.code == "cancelled" else decision.code
    return CallError(
        code,
        "refused by admission control of the target",
        step=Step.QUEUE,
        executed=Executed.NO,
        retry_after_ms=decision.retry_after_ms,
    )


def _refusal(code: str, detail: str, retry_after_ms: int | None = None) -> CallError:
    return CallError(
        code, detail, step=Step.ACCEPT, executed=Executed.NO, retry_after_ms=retry_after_ms
    )
