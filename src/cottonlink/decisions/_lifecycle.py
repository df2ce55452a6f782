"""Lifecycle of a node: start, slow start, drain and shutdown, and detection of process pauses."""

from __future__ import annotations

import enum

from attrs import frozen

# Duration of a slow start: a cold target gets its full traffic after this time.
WARM_UP_MS = 10_000
INITIAL_SHARE = 0.1

# Ticks come every few hundred ms; a gap longer than this means that the process was paused.
PAUSE_THRESHOLD_MS = 2_000

TARGET_DRAINING = "target_draining"


class NodeState(enum.StrEnum):
    """State of a node as announced with answers and by gossip."""

    STARTING = "starting"
    WARMING = "warming"
    LIVE = "live"
    LEAVING = "leaving"
    STOPPED = "stopped"


class TargetState(enum.StrEnum):
    """State that a target reports in ``GET /_health``."""

    STARTING = "starting"
    OK = "ok"
    DRAINING = "draining"
    FAILING = "failing"


@frozen
class PauseDetected:
    """The process was paused for ``paused_ms``; its view of the fleet may be outdated."""

    paused_ms: int


def slow_start_share(elapsed_ms: int) -> float:
    """Return the share of the full traffic, up to 1, at ``elapsed_ms`` into a slow start."""
    progress = min(1.0, max(0.0, elapsed_ms / WARM_UP_MS))
    return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress


def make_lifecycle(now_ms: int) -> Lifecycle:
    """Return the lifecycle of a node that starts now."""
    return Lifecycle(now_ms)


class Lifecycle:
    """State of one node.

    A shutdown is final. A drain that others report (the target's health endpoint, the VM list or a
    policy record) ends when the report is withdrawn, because such reports may be wrong: a false one
    must not take a target out of service for good.
    """

    def __init__(self, now_ms: int) -> None:
        self._last_tick_ms = now_ms
        self._warm_up_start_ms: int | None = None
        self._needs_refresh = False
        self._stopped = False
        self._shutdown_reason: str | None = None
        self._reported_reasons: dict[str, None] = {}

    @property
    def leave_reason(self) -> str | None:
        """Why the node takes no new work, or None."""
        return self._shutdown_reason or next(iter(self._reported_reasons), None)

    def leave(self, reason: str, now_ms: int) -> None:
        """Begin the shutdown: stop accepting work for good; the first reason is kept."""
        if self._shutdown_reason is None:
            self._shutdown_reason = reason

    def suspend(self, reason: str, now_ms: int) -> None:
        """Stop accepting work until ``resume`` is called with the same reason."""
        self._reported_reasons[reason] = None

    def resume(self, reason: str, now_ms: int) -> None:
        """Withdraw a reason; without another one, the node accepts work again in a slow start."""
        if reason not in self._reported_reasons:
            return
        del self._reported_reasons[reason]
        if self._warm_up_start_ms is not None:
            self._warm_up_start_ms = now_ms

    def stop(self, now_ms: int) -> None:
        """Record that all accepted work has finished."""
        self.leave("stopped", now_ms)
        self._stopped = True

    def update_target_state(self, state: TargetState, now_ms: int) -> None:
        """Record the health state that the target reports, which may be late or wrong.

        ``draining`` stops new work for as long as it is reported. ``failing`` only ends a reported
        drain. ``starting`` after the first ``ok`` begins a new slow start, since the target may be
        cold again, but work is still accepted.
        """
        if state is TargetState.DRAINING:
            self.suspend(TARGET_DRAINING, now_ms)
            return
        self.resume(TARGET_DRAINING, now_ms)
        is_warm = self._warm_up_start_ms is not None
        is_first_ok = state is TargetState.OK and not is_warm
        is_restart = state is TargetState.STARTING and is_warm
        if is_first_ok or is_restart:
            self._warm_up_start_ms = now_ms

    def tick(self, now_ms: int) -> tuple[PauseDetected, ...]:
        """Record that the process is running; report a pause if the last tick was too long ago."""
        paused_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if paused_ms <= PAUSE_THRESHOLD_MS:
            return ()
        self._needs_refresh = True
        return (PauseDetected(paused_ms),)

    def refreshed(self, now_ms: int) -> None:
        """Record that policy and members were refreshed after a pause."""
        self._needs_refresh = False

    def state(self, now_ms: int) -> NodeState:
        """Return the state to announce."""
        if self._stopped:
            return NodeState.STOPPED
        if self.leave_reason is not None:
            return NodeState.LEAVING
        if self._warm_up_start_ms is None:
            return NodeState.STARTING
        if now_ms - self._warm_up_start_ms < WARM_UP_MS:
            return NodeState.WARMING
        return NodeState.LIVE

    def accepts_work(self, now_ms: int) -> bool:
        """Return whether new calls may be admitted."""
        return self.state(now_ms) in (NodeState.WARMING, NodeState.LIVE)

    def accepts_non_repeatable(self, now_ms: int) -> bool:
        """Return whether new non-repeatable calls may be admitted.

        They may not between a pause and the refresh after it, even before a tick has detected the
        pause.
        """
        return self.accepts_work(now_ms) and self.is_up_to_date(now_ms)

    def is_up_to_date(self, now_ms: int) -> bool:
        """Return whether the node has refreshed its view since the last pause."""
        has_undetected_pause = now_ms - self._last_tick_ms > PAUSE_THRESHOLD_MS
        return not self._needs_refresh and not has_undetected_pause

    def traffic_share(self, now_ms: int) -> float:
        """Return the share of its full traffic that the node should get, 0 to 1."""
        if not self.accepts_work(now_ms) or self._warm_up_start_ms is None:
            return 0.0
        return slow_start_share(now_ms - self._warm_up_start_ms)
