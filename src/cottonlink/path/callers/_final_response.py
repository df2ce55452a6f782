"""Final responses to callers: a target's own, a refusal with a Retry-After, or a failure."""

from __future__ import annotations

from collections.abc import Callable

from cottonlink.overload import RATE_LIMITED
from cottonlink.path._model import Answered, NotRun, Outcome, Request, Route
from cottonlink.path._state import NodeState
from cottonlink.path.callers._exchange import Exchange
from cottonlink.path.callers._ingress_call import IngressCall

# Retry-After of a refused request, as a share of its latency objective: long enough for capacity to
# become free, short enough for the response to be still useful.
RETRY_AFTER_SHARE = 0.25
MIN_RETRY_AFTER_MS = 100.0
# The delay is drawn between its minimum and this multiple of it, so that refused callers don't all
# retry at the same moment.
RETRY_AFTER_JITTER = 2.0
# Retry-After of a node that has no configuration yet.
UNCONFIGURED_RETRY_AFTER_MS = 500.0

# Reasons of refusals by the service that was called; others may be due to this node's connections.
_SERVICE_REFUSALS = frozenset(
    ("target_refused", "queue_wait", "queue_timeout", "queue_full", RATE_LIMITED)
)

TIMED_OUT = 504
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_TOO_MANY_REQUESTS = 429
_REVOKED = NotRun("key_revoked")


class FinalResponses:
    """Ends requests: logs and counts the result, and responds to the caller."""

    def __init__(self, state: NodeState, on_finished: Callable[[IngressCall], None]) -> None:
        self._state = state
        self._on_finished = on_finished

    def refuse_unconfigured(self, exchange: Exchange) -> None:
        """Refuse a request because this node has no configuration yet."""
        headers = self._state.header_codec.retry_after(UNCONFIGURED_RETRY_AFTER_MS)
        self._count_refusal(exchange.request, None, "no_configuration", UNCONFIGURED_RETRY_AFTER_MS)
        exchange.respond(_UNAVAILABLE, headers, b"")

    def respond_no_route(self, exchange: Exchange, version: int) -> None:
        """Respond 404 because no route matches the request."""
        self._state.log.event(
            "request_without_route",
            request_id=exchange.request.request_id,
            configuration_version=version,
        )
        exchange.respond(_NOT_FOUND, (), b"")

    def refuse_quota(
        self, exchange: Exchange, route: Route, organisation: str, min_delay_ms: float
    ) -> None:
        """Respond 429 because an organisation has used up its quota."""
        state = self._state
        delay_ms = min_delay_ms * state.rng.uniform(1.0, RETRY_AFTER_JITTER)
        state.metrics.count("requests_refused", "quota")
        state.log.event(
            "request_refused",
            request_id=exchange.request.request_id,
            route=route.name,
            reason="quota",
            organisation=organisation,
            retry_after_ms=round(delay_ms),
            configuration_version=state.configuration_version,
        )
        exchange.respond(_TOO_MANY_REQUESTS, state.header_codec.retry_after(delay_ms), b"")

    def answer(self, call: IngressCall, answer: Answered) -> None:
        """Return a target's response to the caller."""
        state = self._state
        now_ms = state.now_ms()
        latency_ms = now_ms - call.received_ms
        is_success = 200 <= answer.status < 300
        if call.parent is not None and answer.status >= _SERVER_ERROR:
            call.parent.turned_away_call_count += 1
        elif call.parent is not None:
            call.parent.answered_call_count += 1
        if not call.is_call:
            self._report_to_throttle(call, is_success, answer.status, latency_ms)
        state.metrics.record_latency("call" if call.is_call else "request", latency_ms)
        state.metrics.count("answers", str(answer.status))
        state.log.event(
            "request_answered" if is_success else "request_failed_by_target",
            request_id=call.request.request_id,
            route=call.route.name,
            status=answer.status,
            upstream=call.upstream.upstream_id,
            latency_ms=round(latency_ms, 1),
            sends=call.reached_target_count,
            is_call=call.is_call,
            configuration_version=state.configuration_version,
        )
        self._on_finished(call)
        call.exchange.respond(answer.status, answer.headers, answer.body)

    def _report_to_throttle(
        self, call: IngressCall, is_success: bool, status: int, latency_ms: float
    ) -> None:
        """Report successes and time-outs to the throttle.

        Other failures are left out: an error that comes in time is no sign of overload.
        """
        state = self._state
        route = call.route
        now_ms = state.now_ms()
        if is_success:
            is_useful = call.rank == 0 or latency_ms <= route.objective_ms
            state.route_throttle.record_answer(
                route.name, call.rank, latency_ms, is_useful=is_useful, now_ms=now_ms
            )
        elif status == TIMED_OUT:
            state.route_throttle.record_failure(route.name, call.rank, now_ms)

    def give_up(self, call: IngressCall, outcome: Outcome) -> None:
        """End a request that got no usable response."""
        if call.fallback is not None:
            self.answer(call, call.fallback)
        elif outcome == _REVOKED and not call.has_unknown_outcome:
            self._give_token_back(call)
            self.fail(call, _UNAUTHORIZED, outcome.reason)
        elif isinstance(outcome, NotRun) and not call.has_unknown_outcome:
            self.refuse(call, outcome.reason, outcome.retry_after_ms)
        else:
            self.fail(call, _BAD_GATEWAY, outcome.reason)

    def refuse(self, call: IngressCall, reason: str, min_delay_ms: float) -> None:
        """Respond 503 with a Retry-After of at least ``min_delay_ms``: the request hasn't run."""
        state = self._state
        min_retry_ms = max(
            MIN_RETRY_AFTER_MS, min_delay_ms, RETRY_AFTER_SHARE * call.route.objective_ms
        )
        delay_ms = min_retry_ms * state.rng.uniform(1.0, RETRY_AFTER_JITTER)
        if call.parent is not None and reason in _SERVICE_REFUSALS:
            call.parent.turned_away_call_count += 1
        self._give_token_back(call)
        self._count_refusal(call.request, call, reason, delay_ms)
        self._on_finished(call)
        call.exchange.respond(_UNAVAILABLE, state.header_codec.retry_after(delay_ms), b"")

    def _give_token_back(self, call: IngressCall) -> None:
        """Return the token of a request that hasn't run."""
        if call.has_quota:
            self._state.quotas.give_back(call.organisation.name, call.token_taken_at_ms)

    def fail(self, call: IngressCall, status: int, reason: str) -> None:
        """Respond with ``status`` because no usable response came; the request may have run."""
        state = self._state
        now_ms = state.now_ms()
        if not call.is_call and status == TIMED_OUT:
            state.route_throttle.record_failure(call.route.name, call.rank, now_ms)
        state.metrics.count("requests_failed", reason)
        state.log.event(
            "request_failed",
            request_id=call.request.request_id,
            route=call.route.name,
            reason=reason,
            status=status,
            upstream=call.upstream.upstream_id if call.upstream else None,
            waited_ms=round(now_ms - call.received_ms, 1),
            sends=call.reached_target_count,
            is_call=call.is_call,
            configuration_version=state.configuration_version,
        )
        self._on_finished(call)
        call.exchange.respond(status, (), b"")

    def _count_refusal(
        self, request: Request, call: IngressCall | None, reason: str, delay_ms: float
    ) -> None:
        state = self._state
        state.metrics.count("requests_refused", reason)
        state.log.event(
            "request_refused",
            request_id=request.request_id,
            route=call.route.name if call else None,
            rank=call.rank if call else None,
            is_call=call.is_call if call else None,
            organisation=call.organisation_name if call else None,
            reason=reason,
            upstream=call.upstream.upstream_id if call and call.upstream else None,
            accepted_share=(state.route_throttle.accepted_share(call.route.name) if call else None),
            retry_after_ms=round(delay_ms),
            configuration_version=state.configuration_version,
        )
