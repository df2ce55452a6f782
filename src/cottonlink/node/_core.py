"""NodeCore: the state of the request path of a node, under one lock.

The lock is held only while a decision is computed, never during I/O.
"""

from __future__ import annotations

import random
import secrets
import threading

from attrs import frozen

from cottonlink._clock import Clock
from cottonlink.decisions import (
    Load,
    NodeState,
    PauseDetected,
    SuspicionReport,
    TargetState,
    Threshold,
    UpstreamHint,
    make_lifecycle,
    make_quarantine,
)
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._ingress_state import IngressState
from cottonlink.node._owner_state import OwnerState
from cottonlink.node._settings import Settings
from cottonlink.observe import EventKind, EventLog, Metrics
from cottonlink.policy import Policy

INCARNATION_BYTES = 8


@frozen
class NodeReport:
    """What a node reports about itself with each answer to a peer."""

    load: Load | None
    threshold: Threshold | None
    state: NodeState
    policy_version: int


class NodeCore:
    """State of one node. Thread-safe.

    ``ingress`` holds the calls that the node forwards, ``owner`` those for its own target. Both
    share the lock of this object. ``incarnation`` identifies this start of the process.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random(secrets.randbits(64))
        self.settings = settings
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._lock = threading.Lock()
        self.newest_seen_policy_version = 0
        self.is_shutting_down = False
        self._policy: Policy | None = None
        self._lifecycle = make_lifecycle(clock.monotonic_ms())
        self._last_state = NodeState.STARTING
        self._quarantine = make_quarantine()
        self.ingress = IngressState(
            self._lock,
            clock,
            events,
            rng,
            node=settings.node,
            data_centre=settings.data_centre,
            limit=settings.caller_limit,
        )
        self.owner = OwnerState(
            self._lock,
            clock,
            rng,
            self._lifecycle,
            self._quarantine,
            node=settings.node,
            incarnation=self.incarnation,
            limit=settings.peer_limit,
        )

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return self.clock.monotonic_ms()

    @property
    def policy(self) -> Policy | None:
        """Return the policy in force, or None before the first has arrived."""
        return self._policy

    @property
    def policy_version(self) -> int:
        """Return the policy version in force, or 0 before the first has arrived."""
        policy = self._policy
        return policy.version if policy else 0

    def retry_budget(self) -> int:
        """Return the number of retries that the policy allows each root request."""
        policy = self._policy
        return policy.retry.budget_per_request if policy else 0

    def apply_policy(self, policy: Policy) -> None:
        """Put an accepted policy in force; a version that is not newer changes nothing."""
        now_ms = self.now_ms()
        with self._lock:
            if self._policy is not None and policy.version <= self._policy.version:
                return
            self._policy = policy
            self.ingress.locked_apply(policy, now_ms)
            actions = self.owner.locked_apply(policy, now_ms)
        self.owner.carry_out(actions)
        self._record_state_change()

    def observe_policy_version(self, version: int) -> None:
        """Record the policy version of a peer; the node's ticker has a newer one fetched."""
        self.newest_seen_policy_version = max(self.newest_seen_policy_version, version)

    def leave(self, reason: str) -> None:
        """Stop accepting work for good; calls that were accepted are completed."""
        self.is_shutting_down = True
        with self._lock:
            self._lifecycle.leave(reason, self.now_ms())
        self._record_state_change()

    def suspend(self, reason: str) -> None:
        """Stop accepting work until ``resume`` is called with the same reason."""
        with self._lock:
            self._lifecycle.suspend(reason, self.now_ms())
        self._record_state_change()

    def resume(self, reason: str) -> None:
        """Withdraw a reason given to ``suspend``."""
        with self._lock:
            self._lifecycle.resume(reason, self.now_ms())
        self._record_state_change()

    def stop(self) -> None:
        """Record that all accepted work has finished."""
        with self._lock:
            self._lifecycle.stop(self.now_ms())
        self._record_state_change()

    def member_left(self, name: str) -> None:
        """Send no new work to an upstream; it, or the VM list, announced that it is leaving."""
        self.ingress.hint(name, UpstreamHint.LEAVING)

    def member_returned(self, name: str) -> None:
        """Send work to an upstream again; the announcement that it is leaving was withdrawn."""
        self.ingress.hint(name, UpstreamHint.LIVE)

    def update_target_state(self, state: TargetState) -> None:
        """Apply the health state that the local target reports."""
        with self._lock:
            self._lifecycle.update_target_state(state, self.now_ms())
        self._record_state_change()

    def refreshed(self) -> None:
        """Record that policy and members were refreshed after a pause."""
        with self._lock:
            self._lifecycle.refreshed(self.now_ms())
            self.ingress.locked_refreshed()

    def tick(self) -> tuple[PauseDetected, ...]:
        """Expire queued calls and records; return the pause of the process, if any, that ended."""
        now_ms = self.now_ms()
        with self._lock:
            pauses = self._lifecycle.tick(now_ms)
            if pauses:
                self.ingress.locked_paused()
            actions = self.owner.locked_tick(now_ms)
        self.owner.carry_out(actions)
        self._record_state_change()
        return pauses

    def state(self) -> NodeState:
        """Return the lifecycle state."""
        with self._lock:
            return self._lifecycle.state(self.now_ms())

    def is_up_to_date(self) -> bool:
        """Return whether policy and members were refreshed since the last pause."""
        with self._lock:
            return self._lifecycle.is_up_to_date(self.now_ms())

    def leave_reason(self) -> str | None:
        """Return why the node leaves, or None."""
        with self._lock:
            return self._lifecycle.leave_reason

    def in_flight(self) -> int:
        """Return the number of calls in progress on both data listeners."""
        with self._lock:
            return len(self.ingress) + len(self.owner)

    def report(self) -> NodeReport:
        """Return load, threshold, state and policy version for an answer to a peer."""
        now_ms = self.now_ms()
        with self._lock:
            load, threshold = self.owner.locked_report(now_ms)
            state = self._lifecycle.state(now_ms)
        return NodeReport(load, threshold, state, self.policy_version)

    def suspicion(self, fingerprint: str) -> SuspicionReport | None:
        """Return the suspicion to report to a peer, or None if the request has crashed nothing."""
        with self._lock:
            return self._quarantine.report(fingerprint, self.now_ms())

    def learn_suspicion(self, fingerprint: str, report: SuspicionReport) -> None:
        """Apply the level of suspicion that another node reports."""
        with self._lock:
            self._quarantine.learn(fingerprint, report.level, self.now_ms(), report.age_ms)

    def check_quarantine(self, fingerprint: str) -> None:
        """Raise CallError if the request has crashed two targets."""
        with self._lock:
            refused = self._quarantine.is_refused(fingerprint, self.now_ms())
        if refused:
            raise CallError(
                "request_quarantined",
                "this request has crashed two targets",
                step=Step.IDENTIFY,
                executed=Executed.NO,
            )

    def close_run(self, token: str) -> None:
        """Remove the bindings of idempotency keys that a run, now ended, has used for its calls."""
        with self._lock:
            self.ingress.locked_close_bindings(token)

    def _record_state_change(self) -> None:
        with self._lock:
            state = self._lifecycle.state(self.now_ms())
            changed = state is not self._last_state
            self._last_state = state
        if changed:
            self.events.record(EventKind.STATE_CHANGED, code=str(state))
