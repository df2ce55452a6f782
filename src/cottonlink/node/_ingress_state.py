"""State of the calls that a node forwards: routing, retries and the calls in progress.

An instance shares the lock of NodeCore. Methods whose names start with ``locked_`` require that
the lock is held; all others acquire it while they decide, without I/O.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from cottonlink._clock import Clock
from cottonlink.decisions import Binding as ChildBinding
from cottonlink.decisions import (
    BindingsFull,
    Choice,
    Draw,
    DrawResult,
    Ejected,
    NoUpstream,
    Readmitted,
    RetryRatio,
    Router,
    RouteRequest,
    RouteResult,
    UpstreamHint,
    UpstreamView,
    make_child_bindings,
    make_retry_budgets,
    make_retry_ratio,
    make_router,
)
from cottonlink.node._calls import Attempt, ForwardedCall, OwnedCall
from cottonlink.node._listener_limiter import (
    InFlightCall,
    ListenerLimiter,
    make_listener_full_error,
)
from cottonlink.observe import EventKind, EventLog
from cottonlink.policy import Policy


class IngressState:
    """Calls that this node receives and forwards, and the state of their upstreams. Thread-safe."""

    def __init__(
        self,
        lock: threading.Lock,
        clock: Clock,
        events: EventLog,
        rng: random.Random,
        *,
        node: str,
        data_centre: str,
        limit: int,
    ) -> None:
        self._lock = lock
        self._node = node
        self._clock = clock
        self._events = events
        self._rng = rng
        self._data_centre = data_centre
        self._policy: Policy | None = None
        self._routers: dict[str, Router] = {}
        self._ratios: dict[str, RetryRatio] = {}
        self._budgets = make_retry_budgets(clock.monotonic_ms(), node)
        self._bindings = make_child_bindings()
        self._limiter = ListenerLimiter(limit)
        self._forwarded: set[ForwardedCall] = set()
        self._is_outdated = False

    def __len__(self) -> int:
        return len(self._forwarded)

    def locked_apply(self, policy: Policy, now_ms: int) -> None:
        """Apply a new policy."""
        previous, self._policy = self._policy, policy
        for service in policy.services:
            router = self._routers.get(service.name)
            if router is not None:
                router.update(service.upstreams, now_ms)
                continue
            self._routers[service.name] = make_router(
                service.upstreams, self._data_centre, self._rng, now_ms
            )
        for name in self._routers.keys() - policy.services_by_name.keys():
            del self._routers[name]
        # A changed ratio starts with an empty window.
        if previous is None or previous.retry != policy.retry:
            self._ratios.clear()
        for name in self._ratios.keys() - policy.upstreams_by_name.keys():
            del self._ratios[name]
        if previous is not None:
            self._note_home_change(previous, policy, now_ms)

    def locked_paused(self) -> None:
        """Grant no retries until ``locked_refreshed``.

        While the process was paused, another node may have become the home of root requests that
        were at home here.
        """
        self._is_outdated = True

    def locked_refreshed(self) -> None:
        """Grant retries again: the policy was refreshed after a pause."""
        self._is_outdated = False

    def locked_close_bindings(self, token: str) -> None:
        """Remove the bindings of idempotency keys that a run, now ended, has used for its calls."""
        self._bindings.close(token)

    def enter(self, forwarded: ForwardedCall, preempt: Callable[[], None]) -> int:
        """Add a call to those in progress, preempting another one if necessary.

        Returns the entry id for ``leave``. Raises CallError if the listener is full.
        """
        call = forwarded.call
        in_flight_call = InFlightCall(call.importance, call.kind.repeatable, preempt)
        with self._lock:
            entry = self._limiter.enter(in_flight_call)
            if entry is None:
                raise make_listener_full_error(self._rng)
            entry_id, victim = entry
            self._forwarded.add(forwarded)
            if forwarded.parent is not None:
                forwarded.parent.children.add(forwarded)
        if victim is not None:
            victim.preempt()
        return entry_id

    def leave(self, forwarded: ForwardedCall, entry_id: int) -> None:
        """Remove a call that was answered."""
        with self._lock:
            self._limiter.leave(entry_id)
            self._forwarded.discard(forwarded)
            if forwarded.parent is not None:
                forwarded.parent.children.discard(forwarded)

    def calls(self) -> tuple[ForwardedCall, ...]:
        """Return the calls in progress."""
        with self._lock:
            return tuple(self._forwarded)

    def calls_awaiting_answer(
        self, older_than_ms: int
    ) -> tuple[tuple[ForwardedCall, Attempt], ...]:
        """Return the calls, with their attempts, that have awaited an answer for some time.

        That is, since before ``older_than_ms`` in monotonic time.
        """
        with self._lock:
            pairs = [(call, call.attempt) for call in self._forwarded]
        return tuple(
            (c, a) for c, a in pairs if a is not None and a.waiting_since_ms < older_than_ms
        )

    def choose(self, service: str, request: RouteRequest) -> Choice | NoUpstream:
        """Choose an upstream of ``service``; NoUpstream if none can take the request."""
        with self._lock:
            router = self._routers.get(service)
            if router is None:
                return NoUpstream("upstream_unreachable", None)
            return router.choose(request, self._clock.monotonic_ms())

    def attempt_started(self, service: str, name: str, *, is_retry: bool) -> None:
        """Record the start of an attempt at the upstream ``name``."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            if service in self._routers:
                self._routers[service].started(name, now_ms)
            if is_retry:
                self._retry_ratio(name).record_retry(now_ms)
            else:
                self._retry_ratio(name).record_first_attempt(now_ms)

    def attempt_ended(self, service: str, result: RouteResult) -> None:
        """Record the result of an attempt."""
        with self._lock:
            router = self._routers.get(service)
            changes = router.observe(result, self._clock.monotonic_ms()) if router else ()
        self._record(service, changes)

    def hint(self, name: str, state: UpstreamHint) -> None:
        """Apply what the VM list or gossip reports about an upstream."""
        with self._lock:
            service = self._policy.service_by_upstream.get(name) if self._policy else None
            if service is None:
                return
            changes = self._routers[service.name].hint(name, state, self._clock.monotonic_ms())
        self._record(service.name, changes)

    def allows_retry(self, name: str) -> bool:
        """Return whether the retry ratio of an upstream allows one more retry."""
        with self._lock:
            return self._retry_ratio(name).allows_retry(self._clock.monotonic_ms())

    def draw_retry(self, root_id: str) -> Draw:
        """Draw one token from the retry budget of a root request whose home is this node.

        The home is the one node that counts the retries of a root request for the whole fleet.
        """
        with self._lock:
            if self._is_outdated:
                return Draw(DrawResult.HOME_TOO_NEW, 0)
            budget = self._policy.retry.budget_per_request if self._policy else 0
            return self._budgets.draw(root_id, budget, self._clock.monotonic_ms())

    def find_binding(self, parent: OwnedCall, key: str) -> ChildBinding | None:
        """Return the owner incarnation to which ``parent`` has bound ``key``, or None."""
        with self._lock:
            return self._bindings.find(parent.token, key)

    def bind(
        self, parent: OwnedCall, key: str, owner: str, incarnation: str
    ) -> ChildBinding | BindingsFull:
        """Bind ``key``, used by the run ``parent``, to an owner incarnation, unless it is bound.

        Returns the binding in force.
        """
        with self._lock:
            return self._bindings.bind(parent.token, key, owner, incarnation)

    def upstream_views(self) -> dict[str, tuple[UpstreamView, ...]]:
        """Return the state of all upstreams by service."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return {name: router.snapshot(now_ms) for name, router in self._routers.items()}

    def _note_home_change(self, previous: Policy, policy: Policy, now_ms: int) -> None:
        """Tell the retry budgets which upstreams were removed.

        Only root requests whose home was removed then count as new at this node.
        """
        old, new = previous.upstreams_by_name.keys(), policy.upstreams_by_name.keys()
        is_listed = self._node in old and self._node in new
        # Versions may have been missed during a pause, among them one without this node.
        is_known = is_listed and not self._is_outdated
        if old != new or self._is_outdated:
            self._budgets.note_home_change(now_ms, removed=old - new if is_known else None)

    def _retry_ratio(self, name: str) -> RetryRatio:
        if name not in self._ratios:
            ratio = self._policy.retry.upstream_ratio if self._policy else 0.0
            self._ratios[name] = make_retry_ratio(ratio)
        return self._ratios[name]

    def _record(self, service: str, changes: tuple[Ejected | Readmitted, ...]) -> None:
        for change in changes:
            kind = EventKind.EJECTED if isinstance(change, Ejected) else EventKind.READMITTED
            self._events.record(kind, service=service, peer=change.name)
