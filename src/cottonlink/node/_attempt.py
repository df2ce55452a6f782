"""One attempt of a forwarded call at the node next to an upstream."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from attrs import define, field, frozen

from cottonlink import _headers
from cottonlink._headers import Headers, answer_headers, parse_unsigned_int
from cottonlink._problem import Answer, parse_problem
from cottonlink.decisions import (
    CallOutcome,
    Load,
    NodeState,
    RouteResult,
    Threshold,
)
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._calls import AbortReason, Attempt, ForwardedCall, make_cancelled
from cottonlink.node._core import NodeCore
from cottonlink.node._pool import (
    CONNECT_TIMEOUT_MS,
    Connection,
    ExchangeError,
    OutgoingRequest,
    Pools,
)
from cottonlink.node._suspicion import format_suspicion, parse_suspicion
from cottonlink.observe import EventKind, parse_hybrid_time
from cottonlink.policy import Upstream

# The owner's deadline is earlier than that of the ingress, so that its answer, which knows more,
# arrives in time.
ANSWER_MARGIN_MS = 10

_OUTCOMES = {
    "leaving": CallOutcome.LEAVING,
    "overloaded": CallOutcome.OVERLOADED,
    "upstream_unreachable": CallOutcome.UNREACHABLE,
}
# Codes that an ingress raises itself when it got no whole answer.
_LOST = frozenset({"connection_lost", "answer_incomplete", "answer_mismatch", "deadline_exceeded"})


class AttemptError(CallError):
    """An attempt failed.

    ``from_peer`` tells that the peer refused the call itself. ``abort`` is the reason if the
    slow-call checker ended the attempt.
    """

    def __init__(
        self, error: CallError, *, from_peer: bool = False, abort_reason: AbortReason | None = None
    ) -> None:
        super().__init__(
            error.code,
            error.detail,
            step=error.step,
            peer=error.peer,
            executed=error.executed,
            retry_after_ms=error.retry_after_ms,
        )
        self.from_peer = from_peer
        self.abort_reason = abort_reason


@frozen
class PeerReport:
    """What the headers of an answer tell about the peer."""

    load: Load | None
    threshold: Threshold | None
    state: NodeState | None


@define(eq=False)
class AttemptSender:
    """Sends attempts to peers over pooled connections."""

    core: NodeCore
    pools: Pools
    _numbers: Iterator[int] = field(factory=itertools.count)

    def send(self, forwarded: ForwardedCall, upstream: Upstream, *, is_retry: bool) -> Answer:
        """Return the whole answer of the target behind ``upstream``.

        Raises AttemptError, or CallError if the call was cancelled before the attempt.
        """
        call = forwarded.call
        attempt = self._begin(forwarded, upstream)
        self.core.ingress.attempt_started(call.service, upstream.name, is_retry=is_retry)
        outcome = CallOutcome.LOST
        report = PeerReport(None, None, None)
        try:
            raw = self._exchange(forwarded, attempt)
            report = _read_report(raw.headers)
            answer = self._accept(forwarded, attempt, raw)
            outcome = CallOutcome.ANSWERED
            return answer
        except AttemptError as error:
            outcome = _outcome(error)
            raise
        finally:
            forwarded.end()
            attempt.pool.give_back(attempt.connection)
            latency_ms = self.core.now_ms() - attempt.started_ms
            self.core.ingress.attempt_ended(
                call.service,
                RouteResult(
                    name=upstream.name,
                    outcome=outcome,
                    latency_ms=latency_ms,
                    load=report.load,
                    threshold=report.threshold,
                    state=report.state,
                ),
            )

    def _begin(self, forwarded: ForwardedCall, upstream: Upstream) -> Attempt:
        call = forwarded.call
        pool = self.pools.get(upstream.peer_address)
        connection = pool.take(answered_lately=not call.kind.repeatable)
        attempt = Attempt(
            call_id=f"{self.core.incarnation}-{next(self._numbers)}",
            upstream=upstream.name,
            control_address=upstream.control_address,
            pool=pool,
            started_ms=self.core.now_ms(),
            connection=connection,
        )
        try:
            forwarded.begin(attempt)
        except CallError:
            pool.give_back(connection)
            raise
        self.core.events.record(
            EventKind.FORWARDED,
            request_id=call.request_id,
            call_id=attempt.call_id,
            service=call.service,
            peer=upstream.name,
        )
        return attempt

    def _exchange(self, forwarded: ForwardedCall, attempt: Attempt) -> Answer:
        call = forwarded.call
        connection = attempt.connection
        try:
            if connection.is_new:
                self._connect(connection, call.deadline_ms)
            request = self._make_request(forwarded, attempt)
            limit_bytes = self.core.settings.body_limit_bytes
            return connection.exchange(request, call.deadline_ms, limit_bytes)
        except ExchangeError as error:
            raise _classify(forwarded, attempt, error) from error

    def _connect(self, connection: Connection, deadline_ms: int) -> None:
        remaining_ms = deadline_ms - self.core.now_ms()
        connection.connect(min(CONNECT_TIMEOUT_MS, remaining_ms))

    def _make_request(self, forwarded: ForwardedCall, attempt: Attempt) -> OutgoingRequest:
        call = forwarded.call
        remaining_ms = call.deadline_ms - self.core.now_ms()
        own: list[tuple[str, str]] = [
            (_headers.TRACEPARENT, str(call.trace)),
            (_headers.CALL_ID, attempt.call_id),
            (_headers.INGRESS, self.core.settings.node),
            (_headers.KIND, call.kind.name),
            (_headers.DEADLINE_MS, str(max(1, remaining_ms - ANSWER_MARGIN_MS))),
            (_headers.DEPTH, str(call.depth)),
            (_headers.IMPORTANCE, str(call.importance)),
            (_headers.POLICY_VERSION, str(self.core.policy_version)),
            (_headers.SUSPICION, format_suspicion(self.core.suspicion(call.fingerprint))),
            (_headers.TIME, str(self.core.events.now())),
        ]
        if call.permit:
            own.append((_headers.PERMIT, call.permit))
        headers = tuple(h for h in call.headers if h[0].lower() != _headers.TRACEPARENT)
        return OutgoingRequest(
            call.method, f"/{call.service}{call.path}", headers + tuple(own), call.body
        )

    def _accept(self, forwarded: ForwardedCall, attempt: Attempt, raw: Answer) -> Answer:
        """Return the target's answer in ``raw``. Raises CallError for a refusal of the peer."""
        by_name = {name.lower(): value for name, value in raw.headers}
        if by_name.get(_headers.CALL_ID.lower()) != attempt.call_id:
            attempt.connection.close()
            self.discard_pool(attempt, "answer_mismatch")
            raise AttemptError(
                CallError(
                    "answer_mismatch",
                    "the answer belongs to another call",
                    step=Step.RELAY,
                    peer=attempt.upstream,
                )
            )
        self._learn(forwarded, by_name)
        executed = by_name.get(_headers.EXECUTED.lower(), "")
        if executed != Executed.YES:
            refusal = parse_problem(raw.status, executed, raw.body, attempt.upstream)
            # The peer had told the slow-call checker that it never saw this call, and the call has
            # arrived there before the checker could end this attempt.
            is_given_up = refusal.code == "cancelled" and not forwarded.cancel_code
            if is_given_up:
                refusal.code = "connection_lost"
                raise AttemptError(refusal, from_peer=True, abort_reason=AbortReason.NEVER_SEEN)
            raise AttemptError(refusal, from_peer=True)
        headers = answer_headers(forwarded.call.method, raw.status, raw.headers)
        executed_yes = (_headers.EXECUTED, str(Executed.YES))
        return Answer(raw.status, (*headers, executed_yes), raw.body, raw.reason)

    def discard_pool(self, attempt: Attempt, code: str) -> None:
        """Discard all connections to the peer of ``attempt``."""
        count = attempt.pool.discard()
        self.core.events.record(
            EventKind.POOL_DISCARDED,
            call_id=attempt.call_id,
            peer=attempt.upstream,
            code=code,
            connections=count,
        )

    def _learn(self, forwarded: ForwardedCall, by_name: dict[str, str]) -> None:
        time = parse_hybrid_time(by_name.get(_headers.TIME.lower(), ""))
        if time is not None:
            self.core.events.observe_time(time)
        news = parse_suspicion(by_name.get(_headers.SUSPICION.lower(), ""))
        if news is not None:
            self.core.learn_suspicion(forwarded.call.fingerprint, news)
        version = parse_unsigned_int(by_name.get(_headers.POLICY_VERSION.lower(), "")) or 0
        self.core.note_newer_policy(version)


def _classify(forwarded: ForwardedCall, attempt: Attempt, error: ExchangeError) -> AttemptError:
    executed = Executed.UNKNOWN if error.sent else Executed.NO
    code = "connection_lost"
    if attempt.abort_reason is AbortReason.NEVER_SEEN:
        executed = Executed.NO
    elif attempt.abort_reason is not None:
        pass
    elif not error.sent:
        code = "upstream_unreachable"
    elif error.timed_out:
        code = "deadline_exceeded"
    elif error.step is Step.BODY:
        code = "answer_incomplete"
    if forwarded.cancel_code:
        return AttemptError(make_cancelled(forwarded.cancel_code, executed))
    detail = str(attempt.abort_reason or error.detail)
    failure = CallError(code, detail, step=error.step, peer=attempt.upstream, executed=executed)
    return AttemptError(failure, abort_reason=attempt.abort_reason)


def _outcome(error: AttemptError) -> CallOutcome:
    """Return what a failure tells about the upstream; a cancelled call tells nothing bad."""
    if error.code in _OUTCOMES and (error.from_peer or error.code == "upstream_unreachable"):
        return _OUTCOMES[error.code]
    is_lost = not error.from_peer and error.code in _LOST
    return CallOutcome.LOST if is_lost else CallOutcome.ANSWERED


def _read_report(headers: Headers) -> PeerReport:
    by_name = {name.lower(): value for name, value in headers}
    return PeerReport(
        load=_read_load(by_name.get(_headers.LOAD.lower(), "")),
        threshold=_read_threshold(by_name.get(_headers.THRESHOLD.lower(), "")),
        state=_read_state(by_name.get(_headers.STATE.lower(), "")),
    )


def _read_load(text: str) -> Load | None:
    counts = [parse_unsigned_int(part) for part in text.split("/")]
    return Load(*counts) if len(counts) == 3 and None not in counts else None


def _read_threshold(text: str) -> Threshold | None:
    counts = [parse_unsigned_int(part) for part in text.split(":")]
    return Threshold(*counts) if len(counts) == 2 and None not in counts else None


def _read_state(text: str) -> NodeState | None:
    return NodeState(text) if text in tuple(NodeState) else None
