"""A node as a process: its parts, their start, and the way from SIGTERM to the exit."""

from __future__ import annotations

import functools
import signal
import threading
from collections.abc import Callable, Iterable
from types import FrameType

import pykka
import structlog
from attrs import define, field

from cottonlink._clock import Clock, SystemClock
from cottonlink.node._actors._cancellation import (
    CancelAttempts,
    CancellationActor,
    CancelRun,
    SweepDisconnected,
    cancel_calls,
)
from cottonlink.node._actors._control_plane import ControlPlane, make_control_plane
from cottonlink.node._actors._slow_calls import CheckSlowCalls, SlowCallChecker
from cottonlink.node._attempt import AttemptSender
from cottonlink.node._calls import ForwardedCall
from cottonlink.node._control_app import ControlApp
from cottonlink.node._core import NodeCore
from cottonlink.node._forward import Forwarder
from cottonlink.node._ingress import IngressApp
from cottonlink.node._listeners import Listener, start_listener
from cottonlink.node._owner import OwnerApp
from cottonlink.node._permits import PermitClient
from cottonlink.node._pool import Pools
from cottonlink.node._settings import Settings
from cottonlink.node._target import TargetClient
from cottonlink.observe import EventKind, EventLog, Metrics, configure_logs

# Threads above the cap of a listener refuse calls while the others are busy.
SPARE_THREADS = 16
TICK_MS = 50
EXPIRY_INTERVAL_MS = 10_000
# A leaving node goes on refusing calls for this time, so that its peers learn of its state from
# answers rather than from broken connections. It also lets the last answers go out.
LINGER_MS = 1_000
# Room for the headers that a node adds to those of a caller.
NODE_HEADERS_BYTES = 4_096
# Gossip and policy messages are larger than the calls of callers.
CONTROL_BODY_LIMIT_BYTES = 2_000_000
# The parser of a pooled message needs a small stack only; the default of 8 MB is reserved for
# each of several hundred threads.
THREAD_STACK_BYTES = 512 * 1024

_log = structlog.get_logger()


@define(eq=False)
class Node:
    """A node that runs in this process. ``start`` binds the addresses of its settings."""

    settings: Settings
    core: NodeCore
    pools: Pools
    target: TargetClient
    control_plane: ControlPlane
    sender: AttemptSender
    slow_call_checker: pykka.ActorRef
    cancellation_actor: pykka.ActorRef
    caller_listener: Listener | None = None
    peer_listener: Listener | None = None
    control_listener: Listener | None = None
    _stopped: threading.Event = field(factory=threading.Event)
    _ticker: threading.Thread | None = None
    _asked_for_version: int = 0

    def start(self) -> None:
        """Open the listeners and start the control tasks."""
        threading.stack_size(THREAD_STACK_BYTES)
        settings = self.settings
        limit = settings.connection_limit
        start = functools.partial(start_listener, connection_limit=limit)
        peer_header_limit = settings.header_limit_bytes + NODE_HEADERS_BYTES
        self.control_listener = start(
            ControlApp(self.core, self.control_plane),
            settings.control_address,
            threads=settings.control_threads,
            body_limit_bytes=CONTROL_BODY_LIMIT_BYTES,
            header_limit_bytes=settings.header_limit_bytes,
            name="control",
        )
        owner_app = OwnerApp(
            self.core, self.target, self._cancel_children, self._cancel_run, self._note_crash
        )
        self.peer_listener = start(
            owner_app,
            settings.peer_address,
            threads=settings.peer_limit + SPARE_THREADS,
            body_limit_bytes=settings.body_limit_bytes,
            header_limit_bytes=peer_header_limit,
            name="peer",
        )
        forwarder = Forwarder(self.core, self.sender, PermitClient(self.core))
        self.caller_listener = start(
            IngressApp(self.core, forwarder, self.cancel_calls),
            settings.caller_address,
            threads=settings.caller_limit + SPARE_THREADS,
            body_limit_bytes=settings.body_limit_bytes,
            header_limit_bytes=settings.header_limit_bytes,
            name="caller",
        )
        self.control_plane.start()
        self._ticker = threading.Thread(target=self._run_ticker, name="ticker", daemon=True)
        self._ticker.start()

    def leave(self, reason: str) -> None:
        """Stop accepting work; ``wait_until_idle`` then returns once all work has ended."""
        self.core.leave(reason)
        self.control_plane.announce_leaving()

    def wait_until_idle(self) -> bool:
        """Wait until a leaving node has finished its work; False if the drain timed out."""
        clock = self.core.clock
        deadline_ms = clock.monotonic_ms() + self._drain_limit_ms()
        idle_since_ms: int | None = None
        while clock.monotonic_ms() < deadline_ms:
            now_ms = clock.monotonic_ms()
            if self.core.in_flight():
                idle_since_ms = None
            elif idle_since_ms is None:
                idle_since_ms = now_ms
            elif now_ms - idle_since_ms >= LINGER_MS:
                return True
            clock.sleep_ms(TICK_MS)
        return not self.core.in_flight()

    def _drain_limit_ms(self) -> int:
        """Return the longest time that accepted work may take.

        A call may wait for its whole timeout and a non-repeatable one then runs for as long again.
        The setting counts only if it is longer: a shorter one would cut off requests in flight.
        """
        policy = self.core.policy
        kinds = [kind for service in policy.services for kind in service.kinds] if policy else []
        longest_ms = max((kind.timeout_ms for kind in kinds), default=0)
        return max(self.settings.drain_timeout_ms, 2 * longest_ms + LINGER_MS)

    def stop(self) -> None:
        """Close the listeners and end the control tasks."""
        self._stopped.set()
        self.core.stop()
        self.control_plane.stop()
        self.slow_call_checker.stop(block=False)
        self.cancellation_actor.stop(block=False)
        for listener in (self.caller_listener, self.peer_listener, self.control_listener):
            if listener is not None:
                listener.stop()
        self.pools.discard_all()
        self.target.discard_connections()

    def cancel_calls(self, calls: Iterable[ForwardedCall], code: str) -> None:
        """End forwarded calls with ``code`` and tell their owners."""
        attempts = cancel_calls(self.core, calls, code)
        if attempts:
            self.cancellation_actor.tell(CancelAttempts(attempts))

    def _cancel_children(self, calls: Iterable[ForwardedCall]) -> None:
        self.cancel_calls(calls, "cancelled")

    def _cancel_run(self, token: str) -> None:
        self.cancellation_actor.tell(CancelRun(token))

    def _note_crash(self, fingerprint: str, level: int) -> None:
        self.control_plane.announce_crash(fingerprint, level)

    def _run_ticker(self) -> None:
        """Drive what depends on time: queued calls, records, slow calls and lost callers."""
        check_interval_ms = max(TICK_MS, self.settings.silence_check_ms // 3)
        next_check_ms = 0
        next_expiry_ms = 0
        while not self._stopped.wait(TICK_MS / 1000):
            now_ms = self.core.now_ms()
            try:
                self._tick()
                if now_ms >= next_check_ms:
                    next_check_ms = now_ms + check_interval_ms
                    self._check_calls()
                if now_ms >= next_expiry_ms:
                    next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
                    self._expire_connections()
            except Exception:
                # Without its ticker a node would never notice a late call or a pause again.
                _log.exception("periodic work failed")

    def _tick(self) -> None:
        for pause in self.core.tick():
            self._recover_from_pause(pause.paused_ms)
        version = self.core.newest_seen_policy_version
        if version > max(self.core.policy_version, self._asked_for_version):
            self._asked_for_version = version
            self.control_plane.refresh()

    def _check_calls(self) -> None:
        if len(self.core.ingress):
            self.slow_call_checker.tell(CheckSlowCalls())
            self.cancellation_actor.tell(SweepDisconnected())

    def _expire_connections(self) -> None:
        policy = self.core.policy
        if policy is not None:
            upstreams = policy.upstreams_by_name.values()
            self.pools.expire(frozenset(upstream.peer_address for upstream in upstreams))

    def _recover_from_pause(self, paused_ms: int) -> None:
        """Drop what may be outdated after the process stood still (design page, 4.8)."""
        self.core.events.record(EventKind.PAUSE_DETECTED, paused_ms=paused_ms)
        self.pools.discard_all()
        self.target.discard_connections()
        self.control_plane.refresh()


def make_node(
    settings: Settings,
    clock: Clock | None = None,
    make_control: Callable[..., ControlPlane] = make_control_plane,
) -> Node:
    """Return the node that ``settings`` describe; nothing listens before its ``start``."""
    clock = clock or SystemClock()
    events = EventLog(settings.node, clock)
    core = NodeCore(settings, clock, events, Metrics())
    pools = Pools(clock, settings.connection_max_age_ms)
    target = TargetClient(
        settings.target_address,
        clock,
        max_age_ms=settings.connection_max_age_ms,
        answer_limit_bytes=settings.body_limit_bytes,
    )
    sender = AttemptSender(core, pools)
    return Node(
        settings=settings,
        core=core,
        pools=pools,
        target=target,
        control_plane=make_control(settings, core, events, clock, core.incarnation),
        sender=sender,
        slow_call_checker=SlowCallChecker.start(core, sender),
        cancellation_actor=CancellationActor.start(core, target),
    )


def run_node(settings: Settings, clock: Clock | None = None) -> int:
    """Run a node until it has left; return the exit status.

    Only SIGTERM and SIGINT end the process. A target that drains, the VM list or a policy record
    without this node only stop new work, since such a report may be wrong or withdrawn. The status
    is 1 if work was still in progress after the drain timeout.
    """
    configure_logs(settings.node, settings.log_level)
    asked_to_leave = threading.Event()

    def on_signal(_number: int, _frame: FrameType | None) -> None:
        asked_to_leave.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    node = make_node(settings, clock)
    node.start()
    _log.info("node started", caller=settings.caller_address, peer=settings.peer_address)
    # The wait has a timeout because a wait without one can't be interrupted by the handler.
    while not asked_to_leave.wait(TICK_MS / 1000):
        pass
    node.leave("sigterm")
    _log.info("node leaving", reason=node.core.leave_reason())
    is_idle = node.wait_until_idle()
    node.stop()
    _log.info("node stopped", finished_all=is_idle)
    return 0 if is_idle else 1
