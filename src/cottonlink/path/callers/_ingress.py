"""Entry point of callers' requests: routing, admission, placement on an upstream and retries."""

from __future__ import annotations

from collections.abc import Callable

from cottonlink.organisations import Organisation
from cottonlink.overload import (
    NESTED_CALL_TIER,
    NEW_REQUEST_TIER,
    RATE_LIMITED,
    Patience,
    allowed_wait_ms,
)
from cottonlink.path._body_stream import WINDOW_BYTES, BodyStream
from cottonlink.path._http import Headers, end_to_end_headers
from cottonlink.path._model import (
    Answered,
    Configuration,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Request,
    Route,
    TargetReport,
    Upstream,
)
from cottonlink.path._state import NodeState
from cottonlink.path.callers._deadlines import Deadlines
from cottonlink.path.callers._exchange import Exchange
from cottonlink.path.callers._final_response import TIMED_OUT, FinalResponses
from cottonlink.path.callers._ingress_call import IngressCall
from cottonlink.path.callers._key_gate import KeyGate
from cottonlink.path.callers._late_responses import LateResponses
from cottonlink.path.peers._frames import CallFrame

# Time after a request's deadline for which the node still waits for the target's own response.
TIMEOUT_GRACE_MS = 60.0
# Times that one request is sent while targets refuse it, however few upstreams it may reach.
MAX_REFUSED_SENDS = 4
# A request is not retried when the time left until its deadline is less than this share of its
# latency objective.
MIN_RETRY_TIME_SHARE = 0.1

# The Host header travels in a field of its own; the target's node sets it again.
_HOST_ONLY = frozenset((b"host",))


class Ingress:
    """Serves the requests that callers send to this node.

    ``on_response`` is called with the headers of each response of an upstream.
    """

    def __init__(self, state: NodeState, on_response: Callable[[Upstream, Headers], None]) -> None:
        self._state = state
        self._on_response = on_response
        self._calls: set[IngressCall] = set()
        self._key_gate = KeyGate(state, self.serve)
        self._deadlines = Deadlines(state.loop, self._time_out)
        self._final_responses = FinalResponses(state, self._finish)
        self._late_responses = LateResponses(state)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not (self._calls or self._state.currency_waits or self._state.quotas.waiting_count)

    def longest_ms(self, request: Request) -> float:
        """Return the longest time that a request may take; without a route it takes none."""
        route = self._state.find_route(request)
        return 0.0 if route is None else _allowed_ms(request, route) + TIMEOUT_GRACE_MS

    def give_up_all(self, reason: str) -> None:
        """Give all requests in progress their final responses; what runs may go on."""
        for call in list(self._calls):
            cancel_send = call.cancel_send
            self._final_responses.give_up(call, OutcomeUnknown(reason))
            if cancel_send is not None:
                cancel_send()

    def serve(self, exchange: Exchange) -> None:
        """Start serving a request; its response is given later, or at once if it is refused."""
        state = self._state
        request = exchange.request
        configuration = state.configuration
        if configuration is None:
            self._final_responses.refuse_unconfigured(exchange)
            return
        route = state.find_route(request)
        if route is None:
            self._final_responses.respond_no_route(exchange, configuration.version)
            return
        organisation = None
        if configuration.organisations is not None and route.needs_key:
            organisation = self._key_gate.find(exchange, route, configuration)
            if organisation is None:
                return
            if organisation.quota is not None:
                self._take_token(exchange, route, configuration, organisation)
                return
        self._admit(exchange, route, configuration, organisation)

    def _take_token(
        self,
        exchange: Exchange,
        route: Route,
        configuration: Configuration,
        organisation: Organisation,
    ) -> None:
        """Admit a request within the quota of its organisation; refuse one beyond it."""
        quotas = self._state.quotas

        def on_done(has_token: bool) -> None:
            exchange.cancel = None
            if has_token:
                self._admit(exchange, route, configuration, organisation)
            else:
                self._final_responses.refuse_quota(
                    exchange, route, organisation.name, quotas.retry_after_ms(organisation.name)
                )

        cancel = quotas.take_or_wait(organisation.name, on_done)
        if cancel is not None:
            exchange.cancel = cancel

    def _admit(
        self,
        exchange: Exchange,
        route: Route,
        configuration: Configuration,
        organisation: Organisation | None,
    ) -> None:
        state = self._state
        now_ms = state.now_ms()
        request = exchange.request
        remaining_ms = request.remaining_ms
        waited_ms = now_ms - exchange.received_ms
        caller_deadline_ms = None if remaining_ms is None else exchange.received_ms + remaining_ms
        parent_id = state.header_codec.parent_id(request.request_id)
        running_requests = state.dispatcher.running_requests
        parent = maker = None
        is_nested = False
        # Calls of running requests carry no key.
        if organisation is None:
            parent = running_requests.find_parent(caller_deadline_ms, parent_id)
            is_nested = self._is_nested(route, parent_id) or parent is not None
        if parent is not None and parent.organisation:
            # The same deadline doesn't tell whose request it is.
            maker = running_requests.find_parent(None, parent_id)
        tier = NESTED_CALL_TIER if is_nested else NEW_REQUEST_TIER
        weights = [(target.service, target.weight) for target in route.services]
        call = IngressCall(
            exchange=exchange,
            route=route,
            service=state.traffic_split.choose(route.name, weights),
            parent=parent,
            tier=tier,
            received_ms=exchange.received_ms,
            deadline_ms=now_ms + _allowed_ms(request, route) - waited_ms,
            token_taken_at_ms=now_ms,
            headers=(),
            maker=maker,
            configuration=configuration,
            organisation=organisation,
        )
        call.headers = self._forwarded_headers(call)
        if tier == NEW_REQUEST_TIER and not state.route_throttle.admits(
            route.name, call.rank, now_ms, call.organisation_name
        ):
            self._final_responses.refuse(call, "route_throttled", 0.0)
            return
        if is_nested:
            state.dispatcher.record_nested_call()
        if parent is not None and parent.is_retry:
            state.retry_budget.record_retry(
                call.service, now_ms, rank=call.rank, organisation=call.organisation_name
            )
        else:
            state.retry_budget.record_first_send(call.service, now_ms)
        self._calls.add(call)
        exchange.cancel = lambda: self._on_caller_gone(call)
        end_ms = max(now_ms, call.deadline_ms + TIMEOUT_GRACE_MS)
        call.deadline_number = self._deadlines.add(end_ms / 1000.0, call)
        self._place(call, _NO_UPSTREAM)

    def _forwarded_headers(self, call: IngressCall) -> Headers:
        headers = call.request.headers
        if call.configuration.organisations is None:
            return end_to_end_headers(headers, _HOST_ONLY)
        codec = self._state.header_codec
        headers = codec.without_credentials(headers, needs_key=call.route.needs_key)
        headers = end_to_end_headers(headers, _HOST_ONLY)
        name = call.organisation_name
        return (*headers, codec.organisation_header(name)) if name else headers

    def _is_nested(self, route: Route, parent_id: bytes | None) -> bool:
        hints = self._state.dispatcher.parent_hints
        hints.observe(parent_id)
        is_nested = hints.is_nested(parent_id)
        if is_nested is None:
            # Until it is known whether a route carries nested calls, its requests count as such,
            # which route throttling doesn't refuse.
            return self._state.nested_routes.get(route.name, True)
        return is_nested

    def _place(self, call: IngressCall, refusal: NotRun) -> None:
        """Send a call to an upstream not tried yet; if there is none, end it with ``refusal``."""
        state = self._state
        quarantine_refusal = state.crash_guard.refuse_request(call.request, state.service)
        if quarantine_refusal is not None:
            self._final_responses.give_up(call, quarantine_refusal)
            return
        if call.organisation is not None:
            reason = self._key_gate.reason_not_to_send(call)
            if reason is not None:
                self._final_responses.give_up(call, NotRun(reason))
                return
        upstream = self._choose(call)
        if upstream is None:
            if refusal is _NO_UPSTREAM:
                refusal = self._refusal_if_full(call) or refusal
            self._final_responses.give_up(call, refusal)
            return
        now_ms = state.now_ms()
        call.tried_upstream_ids.add(upstream.upstream_id)
        call.upstream = upstream
        call.sent_at_ms = now_ms
        if not self._send(call, upstream):
            state.load_balancer.mark_unreachable(upstream.upstream_id, now_ms)
            self._place(call, refusal)

    def _choose(self, call: IngressCall) -> Upstream | None:
        route = call.route
        return self._state.load_balancer.choose(
            call.service,
            route.name,
            route.objective_ms,
            call.tried_upstream_ids,
            route.is_repeatable,
            self._state.now_ms(),
            self._patience(call),
            among=call.reached_upstream_ids if call.has_reached_all_upstreams else None,
        )

    def _patience(self, call: IngressCall) -> Patience:
        remaining_ms = max(0.0, call.deadline_ms - self._state.now_ms())
        wait_ms = allowed_wait_ms(call.tier, call.rank, call.route.objective_ms, remaining_ms)
        return Patience(call.tier, call.rank, wait_ms)

    def _refusal_if_full(self, call: IngressCall) -> NotRun | None:
        """Return the refusal of a call if targets have no room for it as they limit their rate."""
        wait_ms = self._state.load_balancer.full_for_ms(
            call.service, self._patience(call), self._state.now_ms()
        )
        return None if wait_ms is None else NotRun(RATE_LIMITED, wait_ms)

    def _send(self, call: IngressCall, upstream: Upstream) -> bool:
        """Send a call to the node next to ``upstream``; return False if it is unreachable."""
        state = self._state
        frame = self._make_frame(call, upstream)

        def on_outcome(outcome: Outcome) -> None:
            self._on_outcome(call, upstream, outcome)

        if upstream.address == state.target_address:
            key = (self, frame.stream)
            call.cancel_send = lambda: state.dispatcher.cancel(key)
            state.load_balancer.record_send(upstream.upstream_id)
            state.dispatcher.submit(frame, key, on_outcome)
            return True
        link = state.peer_links.link((upstream.vm_ip, state.peer_port))
        if link.is_full:
            state.load_balancer.record_send(upstream.upstream_id)
            on_outcome(NotRun("link_full"))
            return True
        if not link.call(frame, on_outcome):
            return False
        state.load_balancer.record_send(upstream.upstream_id)
        if call.upstream is upstream and not call.is_done:
            call.cancel_send = lambda: link.cancel(frame.stream)
        return True

    def _make_frame(self, call: IngressCall, upstream: Upstream) -> CallFrame:
        request = call.request
        state = self._state
        return CallFrame(
            stream=state.next_stream(),
            upstream_id=upstream.upstream_id,
            caller_service=state.service,
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host_header,
            headers=call.headers,
            body=request.body,
            remaining_ms=max(0, int(call.deadline_ms - state.now_ms())),
            objective_ms=self._wait_objective_ms(call, upstream),
            tier=call.tier,
            rank=call.rank,
            is_repeatable=call.route.is_repeatable,
            is_retry=call.reached_target_count > 0
            or (call.parent is not None and call.parent.is_retry),
            route=call.route.name,
        )

    def _wait_objective_ms(self, call: IngressCall, upstream: Upstream) -> int:
        is_known_busy = self._state.load_balancer.is_known_busy(
            upstream.upstream_id, self._state.now_ms()
        )
        objective_ms = call.placement.wait_objective_ms(
            call.tier, call.route.objective_ms, is_known_busy=is_known_busy
        )
        return max(1, int(objective_ms))

    def _on_outcome(self, call: IngressCall, upstream: Upstream, outcome: Outcome) -> None:
        report = None if isinstance(outcome, OutcomeUnknown) else outcome.report
        if report is not None:
            self._apply_report(call, upstream, report)
            if not _is_rate_limited(outcome):
                self._record_pressure(call, report)
        if isinstance(outcome, Answered):
            self._on_response(upstream, outcome.headers)
            self._on_answered(outcome, call, upstream)
        elif isinstance(outcome, NotRun):
            self._on_not_run(outcome, call, upstream)
        else:
            self._on_outcome_unknown(outcome, call, upstream)

    def _apply_report(self, call: IngressCall, upstream: Upstream, report: TargetReport) -> None:
        state = self._state
        state.load_balancer.update_load(upstream.upstream_id, report.load, state.now_ms())
        if report.is_nested is not None:
            state.nested_routes[call.route.name] = report.is_nested
        state.calling_services[call.service] = report.makes_calls

    def _record_pressure(self, call: IngressCall, report: TargetReport) -> None:
        state = self._state
        if call.is_call:
            state.dispatcher.record_nested_call_pressure(report.pressure)
        else:
            state.route_throttle.record_pressure(
                call.route.name, call.rank, report.pressure, state.now_ms()
            )

    def _on_answered(self, outcome: Answered, call: IngressCall, upstream: Upstream) -> None:
        state = self._state
        now_ms = state.now_ms()
        is_failed_by_calls = outcome.report is not None and outcome.report.is_failed_by_calls
        if outcome.status >= 500 and is_failed_by_calls:
            state.load_balancer.record_inconclusive(upstream.upstream_id)
        elif outcome.status >= 500:
            state.load_balancer.record_failure(upstream.upstream_id, now_ms)
        else:
            latency_ms = now_ms - call.sent_at_ms
            state.load_balancer.record_answer(
                upstream.upstream_id, call.route.name, latency_ms, now_ms
            )
        is_long = isinstance(outcome.body, BodyStream)
        if is_long:
            outcome.body.hold = state.memory.take("responses", 2 * WINDOW_BYTES)
        if call.is_done:
            if is_long:
                outcome.body.cancel()
            return
        call.record_reached_target()
        call.cancel_send = None
        # A long body can't be kept for the case that a retry yields no response.
        is_failure = outcome.status >= 500 and call.route.is_repeatable and not is_long
        # Calls that were turned away have been retried where they were made. Another run would make
        # all of them again.
        if is_failure and not is_failed_by_calls and self._may_retry(call, now_ms):
            call.fallback = outcome
            self._retry(call, f"answer_{outcome.status}")
            return
        self._final_responses.answer(call, outcome)
        if is_long:
            self._late_responses.watch(call, outcome.body, TIMEOUT_GRACE_MS)

    def _on_not_run(self, outcome: NotRun, call: IngressCall, upstream: Upstream) -> None:
        state = self._state
        now_ms = state.now_ms()
        if outcome.reached_target:
            state.load_balancer.record_failure(upstream.upstream_id, now_ms)
        else:
            state.load_balancer.record_inconclusive(upstream.upstream_id)
        if _is_rate_limited(outcome):
            state.load_balancer.mark_full(
                upstream.upstream_id, self._patience(call), outcome.retry_after_ms, now_ms
            )
        if outcome.reason in _UNREACHABLE_REASONS:
            state.load_balancer.mark_unreachable(upstream.upstream_id, now_ms)
        if call.is_done:
            return
        call.cancel_send = None
        if outcome.reason == "quarantined":
            self._final_responses.give_up(call, outcome)
            return
        if outcome.reached_target:
            call.record_reached_target()
            if self._may_retry(call, now_ms, was_refused=True):
                self._retry(call, outcome.reason)
                return
        else:
            placement = call.placement
            is_unreachable = outcome.reason in _UNREACHABLE_REASONS
            placement.record_refusal(outcome.reason, is_unreachable=is_unreachable)
            if placement.may_place_again and now_ms < call.deadline_ms:
                # No target received the request, so this doesn't use the retry budget.
                state.metrics.count("placements_refused", outcome.reason)
                if placement.may_try_busy_again:
                    call.tried_upstream_ids.clear()
                self._place(call, outcome)
                return
        if _is_rate_limited(outcome) and outcome.report is not None:
            self._record_pressure(call, outcome.report)
        self._final_responses.give_up(call, outcome)

    def _on_outcome_unknown(
        self, outcome: OutcomeUnknown, call: IngressCall, upstream: Upstream
    ) -> None:
        state = self._state
        now_ms = state.now_ms()
        state.load_balancer.record_failure(upstream.upstream_id, now_ms)
        if call.is_done:
            return
        call.cancel_send = None
        call.record_reached_target()
        call.has_unknown_outcome = True
        if self._may_retry(call, now_ms):
            self._retry(call, outcome.reason)
            return
        self._final_responses.give_up(call, outcome)

    def _may_retry(self, call: IngressCall, now_ms: float, *, was_refused: bool = False) -> bool:
        """Return whether a call may be sent again; ``was_refused`` if a target didn't run it."""
        state = self._state
        route = call.route
        if not route.is_repeatable and call.has_unknown_outcome:
            return False
        send_limit = route.upstream_limit
        if was_refused:
            # The limit is on upstreams, and one that has refused a call may be asked again.
            send_limit = max(send_limit, MAX_REFUSED_SENDS)
        if call.reached_target_count >= send_limit:
            return False
        if call.deadline_ms - now_ms < MIN_RETRY_TIME_SHARE * route.objective_ms:
            return False
        if state.route_throttle.accepted_share(route.name, call.rank) < 1.0 and not call.is_call:
            return False
        # Retrying at a target that makes no calls multiplies no load further down the call graph.
        # Targets that have not reported yet are assumed to make calls.
        is_leaf = not state.calling_services.get(call.service, True)
        is_allowed = state.retry_budget.allows(
            call.service,
            now_ms,
            is_leaf=is_leaf,
            rank=call.rank,
            calls_left=state.dispatcher.call_counts.calls_left(call.parent),
            organisation=call.organisation_name,
        )
        if not is_allowed or was_refused or not call.has_quota:
            return is_allowed
        # A second run counts towards the quota as well.
        if not state.quotas.try_take(call.organisation.name):
            return False
        call.token_taken_at_ms = now_ms
        return True

    def _retry(self, call: IngressCall, reason: str) -> None:
        state = self._state
        now_ms = state.now_ms()
        state.retry_budget.record_retry(
            call.service, now_ms, rank=call.rank, organisation=call.organisation_name
        )
        state.metrics.count("requests_sent_again", reason)
        state.log.event(
            "request_sent_again",
            request_id=call.request.request_id,
            route=call.route.name,
            reason=reason,
            upstream=call.upstream.upstream_id,
            sends=call.reached_target_count,
        )
        if self._choose(call) is None:
            # No untried upstream is available, so those that were tried may be chosen again.
            call.tried_upstream_ids.clear()
        self._place(call, _NO_UPSTREAM)

    def _time_out(self, call: IngressCall) -> None:
        if call.is_done:
            return
        cancel_send = call.cancel_send
        if call.upstream is not None:
            self._state.load_balancer.record_failure(
                call.upstream.upstream_id, self._state.now_ms()
            )
        self._final_responses.fail(call, TIMED_OUT, "timeout")
        if cancel_send is not None:
            cancel_send()

    def _on_caller_gone(self, call: IngressCall) -> None:
        if call.is_done:
            return
        if call.upstream is not None:
            self._state.load_balancer.record_inconclusive(call.upstream.upstream_id)
        self._state.metrics.count("callers_gone")
        cancel_send = call.cancel_send
        self._finish(call)
        if cancel_send is not None:
            cancel_send()

    def _finish(self, call: IngressCall) -> None:
        call.is_done = True
        call.cancel_send = None
        self._deadlines.remove(call.deadline_number)
        self._calls.discard(call)


def _allowed_ms(request: Request, route: Route) -> float:
    """Return the time that a request may take, counted from its arrival."""
    remaining_ms = request.remaining_ms
    return route.timeout_ms if remaining_ms is None else min(remaining_ms, route.timeout_ms)


def _is_rate_limited(outcome: Outcome) -> bool:
    """Return whether a target had no room for a call because it limits its rate.

    Others may have room, so this says nothing about the load of the service.
    """
    return isinstance(outcome, NotRun) and outcome.reason == RATE_LIMITED


_NO_UPSTREAM = NotRun("no_upstream")
_UNREACHABLE_REASONS = frozenset(
    (
        "peer_unreachable",
        "link_full",
        "target_unreachable",
        "target_silent",
        "node_leaving",
        "target_leaving",
        "wrong_upstream",
    )
)
