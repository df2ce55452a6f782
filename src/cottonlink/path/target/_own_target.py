"""The target next to a node: its connections and calls, and what it says of itself."""

from __future__ import annotations

import asyncio

from cottonlink.overload import SiblingLevels, TargetLimitChange, TargetStart, target_start
from cottonlink.path._http_client import SkippedResponse
from cottonlink.path.peers._leaving_exchange import LeavingExchange
from cottonlink.path._model import Upstream
from cottonlink.path.peers._quarantine_exchange import QuarantineExchange
from cottonlink.path._state import NodeState
from cottonlink.path.target._target_dispatcher import TargetDispatcher
from cottonlink.path.target._target_pool import TargetPool


class OwnTarget:
    """Follows the registration of the target, and tells other nodes of what happens to it."""

    def __init__(
        self,
        state: NodeState,
        quarantine_exchange: QuarantineExchange,
        leaving_exchange: LeavingExchange,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._state = state
        self._quarantine_exchange = quarantine_exchange
        self._leaving_exchange = leaving_exchange
        self.pool = TargetPool(
            state.target_address, state.header_codec.id_header, loop, state.turns
        )
        self.dispatcher = TargetDispatcher(
            self.pool,
            state.header_codec,
            state.crash_guard,
            self,
            state.log,
            loop,
            paces_starts=state.paces_starts,
        )
        self.pool.on_skipped = self._on_skipped
        self._upstream: Upstream | None = None
        # The start for which a peer told of a limit before the target's registration was known.
        self._limited_start: TargetStart | None = None
        # What the latest line on an invalid limit said, as each response may name the same.
        self._invalid_limit = ""
        self._is_paced = False
        # Whether registrations were known without one of the target.
        self._was_absent = False

    def _on_skipped(self, response: SkippedResponse) -> None:
        reason = "without_id" if response.response_id is None else "other_id"
        self._state.metrics.count("answers_skipped", reason)
        self._state.log.event(
            "answer_skipped",
            request_id=response.expected_id,
            status=response.status,
            reason=reason,
            answer_id=response.response_id,
        )

    # Implements TargetListener.
    def on_target_crashed(self, fingerprints: list[str]) -> None:
        self._quarantine_exchange.report_own_crash(fingerprints)

    def on_target_leaving(self, upstream_id: str) -> None:
        if self._upstream is not None and self._upstream.upstream_id == upstream_id:
            self._leaving_exchange.learn_from_response(self._upstream)

    def on_target_limit(self, change: TargetLimitChange) -> None:
        state = self._state
        state.metrics.set_gauge("target_limit_per_s", change.limit_per_s)
        state.log.event(
            "target_limit_changed",
            upstream=self._upstream and self._upstream.upstream_id,
            limit_per_s=change.limit_per_s,
            previous_per_s=change.previous_per_s,
            named_for_ms=round(change.named_for_ms),
            held_back=change.held_back,
        )

    def on_target_limit_invalid(self, detail: str) -> None:
        if detail != self._invalid_limit:
            self._invalid_limit = detail
            upstream_id = self._upstream and self._upstream.upstream_id
            self._state.log.event("target_limit_invalid", upstream=upstream_id, detail=detail)

    def sibling_levels(self) -> SiblingLevels:
        if self._upstream is None:
            return SiblingLevels()
        state = self._state
        return state.load_balancer.sibling_levels(self._upstream.upstream_id, state.now_ms())

    def on_pace_changed(self, limit: int | None) -> None:
        self._state.metrics.set_gauge("target_paced_limit", limit)
        if (limit is None) == self._is_paced:
            self._is_paced = limit is not None
            event = "target_pace_began" if self._is_paced else "target_pace_ended"
            upstream_id = self._upstream and self._upstream.upstream_id
            self._state.log.event(event, upstream=upstream_id, limit=limit)

    def adopt_limit(self, start: TargetStart, limit_per_s: float, age_ms: float) -> None:
        """Apply a limit that a response of the target named at another node."""
        if self._upstream is None:
            self._limited_start = start
        elif target_start(self._upstream) != start:
            return
        self.dispatcher.adopt_limit(limit_per_s, age_ms)

    def update(self, registered: list[Upstream], *, takes_calls: bool) -> None:
        """Apply the registrations at the target's address.

        ``takes_calls`` tells whether the node accepts calls for the target.
        """
        previous = self._upstream
        if not registered:
            # Without a registration nobody may send the target new work, whether it left or hasn't
            # registered yet.
            if previous is not None:
                self.dispatcher.close("target_leaving")
                self._state.log.event("target_gone", upstream=previous.upstream_id)
            self._upstream = None
            self._was_absent = True
            return
        newest = max(registered, key=lambda upstream: upstream.started_at_ms or 0)
        # A target that was there before its node is taken for warm, unless it says that it isn't.
        is_new = previous is None and (self._was_absent or newest.warmup_left_ms > 0.0)
        if previous is not None and newest.started_at_ms != previous.started_at_ms:
            self.pool.drop_idle()
            self.dispatcher.detect_restart()
            is_new = True
        elif previous is None and self._limited_start not in (None, target_start(newest)):
            self.dispatcher.forget_limit()
        self._limited_start = None
        self._upstream = newest
        self.dispatcher.resize(newest.slots)
        if is_new:
            self.dispatcher.begin_pace()
        if newest.is_draining:
            self.dispatcher.close("target_leaving")
            self._state.log.event("target_draining", upstream=newest.upstream_id)
        elif takes_calls:
            self.dispatcher.reopen()
