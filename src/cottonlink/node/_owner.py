"""The peer listener: admits calls from other nodes and runs them at the local target."""

from __future__ import annotations

import functools
import random
import secrets
from collections.abc import Callable, Iterable

import structlog

from cottonlink import _headers
from cottonlink._headers import end_to_end_headers, environ_headers, parse_unsigned_int
from cottonlink._problem import HttpResponse, make_problem
from cottonlink.decisions import (
    Attach,
    Denied,
    Outcome,
    Replay,
    Run,
    StoredAnswer,
    request_fingerprint,
)
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._calls import Call, ForwardedCall, OwnedCall
from cottonlink.node._core import NodeCore
from cottonlink.node._suspicion import format_suspicion, parse_suspicion
from cottonlink.node._target import TargetClient
from cottonlink.node._wsgi import (
    bad_request,
    get_header,
    read_idempotency_key,
    read_permit,
    read_request_target,
    read_trace_context,
    read_unsigned_int,
    respond,
)
from cottonlink.observe import EventKind, parse_hybrid_time
from cottonlink.policy import RequestKind

TOKEN_RANDOM_BYTES = 8
SERVER_ERROR_STATUS = 500

_log = structlog.get_logger()


class OwnerApp:
    """WSGI application of the peer listener.

    ``cancel_calls`` cancels calls that a finished run has left behind, ``cancel_run`` tells the
    target to stop the run with a Cottonlink-Call value, and ``announce_crash`` tells the other
    nodes the fingerprint and suspicion level of a request that crashed the target.
    """

    def __init__(
        self,
        core: NodeCore,
        target: TargetClient,
        cancel_calls: Callable[[tuple[ForwardedCall, ...]], None],
        cancel_run: Callable[[str], None],
        announce_crash: Callable[[str, int], None],
    ) -> None:
        self._core = core
        self._target = target
        self._cancel_calls = cancel_calls
        self._cancel_run = cancel_run
        self._announce_crash = announce_crash

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        owned: OwnedCall | None = None
        trace_id = ""
        try:
            self._observe_peer_headers(environ)
            owned = self._identify(environ)
            trace_id = owned.call.request_id
            answer = self._serve(owned)
        except CallError as error:
            self._correct_executed(environ, owned, error)
            self._record_refusal(owned, error)
            answer = make_problem(error, trace_id)
        except Exception:
            _log.exception("peer request failed", request_id=trace_id)
            answer = make_problem(_internal_error(), trace_id)
        answer = self._finish_headers(environ, owned, answer)
        return respond(answer, start_response, environ["REQUEST_METHOD"])

    def _correct_executed(self, environ: dict, owned: OwnedCall | None, error: CallError) -> None:
        """Replace ``no`` by ``unknown`` for a request with a permit that was not checked.

        An earlier send with the same permit may have run; only the execution registry knows.
        """
        is_checked = owned is not None and owned.permit_checked
        if (
            error.executed is Executed.NO
            and get_header(environ, _headers.PERMIT)
            and not is_checked
        ):
            error.executed = Executed.UNKNOWN

    def _identify(self, environ: dict) -> OwnedCall:
        call_id = get_header(environ, _headers.CALL_ID)
        trace = read_trace_context(environ)
        deadline_ms = read_unsigned_int(environ, _headers.DEADLINE_MS, "deadline_malformed")
        depth = read_unsigned_int(environ, _headers.DEPTH)
        importance = read_unsigned_int(environ, _headers.IMPORTANCE)
        if trace is None or None in (deadline_ms, depth, importance):
            raise bad_request("traceparent or a Cottonlink header of a forwarded call is missing")
        if not _headers.is_visible_ascii(call_id):
            raise bad_request("Cottonlink-Call-Id is missing or malformed")
        service, path = read_request_target(environ)
        body = environ["wsgi.input"].read()
        method = environ["REQUEST_METHOD"]
        now_ms = self._core.now_ms()
        call = Call(
            trace=trace,
            service=service,
            kind=self._find_kind(service, get_header(environ, _headers.KIND), method, path),
            method=method,
            path=path,
            headers=end_to_end_headers(environ_headers(environ)),
            body=body,
            importance=importance,
            depth=depth,
            deadline_ms=now_ms + deadline_ms,
            fingerprint=request_fingerprint(service, method, path, body),
            key=read_idempotency_key(environ),
            permit=read_permit(environ),
        )
        serial = self._core.owner.next_serial()
        return OwnedCall(
            call=call,
            call_id=call_id,
            ingress=get_header(environ, _headers.INGRESS),
            token=f"{self._core.incarnation}.{serial}.{secrets.token_hex(TOKEN_RANDOM_BYTES)}",
            span_id=f"{random.getrandbits(64) or 1:016x}",
            arrived_ms=now_ms,
            peer_suspicion=parse_suspicion(get_header(environ, _headers.SUSPICION)),
        )

    def _find_kind(self, service_name: str, kind_name: str, method: str, path: str) -> RequestKind:
        policy = self._core.policy
        if policy is None:
            raise _refusal("not_ready", "the node has no policy yet")
        service = policy.service_by_upstream.get(self._core.settings.node)
        if service is None or service.name != service_name:
            raise _refusal("leaving", f"this node does not serve {service_name}")
        named = next((kind for kind in service.kinds if kind.name == kind_name), None)
        kind = named or service.match_kind(method, path.partition("?")[0])
        if kind is None:
            raise _refusal("unknown_kind", "the policy lists no kind for this method and path")
        return kind

    def _serve(self, owned: OwnedCall) -> HttpResponse:
        # A request that its ingress has already sent again must not use up the permit.
        if self._core.owner.is_abandoned(owned.call_id):
            raise _refusal("cancelled", "the ingress has abandoned this attempt")
        if owned.call.kind.repeatable:
            return self._enter_and_run(owned)
        if not owned.call.permit:
            raise _refusal("permit_required", "this kind of request needs a permit")
        return self._run_once(owned)

    def _run_once(self, owned: OwnedCall) -> HttpResponse:
        """Run a call with a permit, or return the result of the run that the permit started."""
        while True:
            decision = self._core.owner.begin(owned)
            owned.permit_checked = True
            if isinstance(decision, Run):
                return self._run_with_record(owned, decision.serial)
            if isinstance(decision, Replay):
                self._record(EventKind.REPLAYED, owned)
                stored = decision.answer
                return HttpResponse(stored.status, (*stored.headers, _EXECUTED_YES), stored.body)
            if isinstance(decision, Denied):
                raise CallError(
                    decision.code,
                    "the permit does not allow a run",
                    step=Step.RUN,
                    executed=decision.executed,
                )
            self._wait_for_run(owned, decision)

    def _run_with_record(self, owned: OwnedCall, serial: int) -> HttpResponse:
        executed = Executed.UNKNOWN
        stored = None
        try:
            answer = self._enter_and_run(owned)
            stored = StoredAnswer(answer.status, answer.headers[:-1], answer.body)
            return answer
        except CallError as error:
            executed = error.executed
            raise
        finally:
            self._core.owner.end_run(serial, stored, executed)

    def _enter_and_run(self, owned: OwnedCall) -> HttpResponse:
        call = owned.call
        if owned.peer_suspicion is not None:
            self._core.learn_suspicion(call.fingerprint, owned.peer_suspicion)
        self._core.check_quarantine(call.fingerprint)
        entry_id = self._core.owner.enter(owned, functools.partial(self._preempt, owned))
        try:
            return self._run(owned)
        finally:
            children = self._core.owner.leave(owned, entry_id)
            self._core.close_run(owned.token)
            if children:
                self._cancel_calls(children)

    def _preempt(self, owned: OwnedCall) -> None:
        self._core.owner.cancel(owned.call_id, "preempted")

    def _wait_for_run(self, owned: OwnedCall, attach: Attach) -> None:
        ended = self._core.owner.run_end_event(attach.serial)
        entry_id = self._core.owner.enter_waiting(owned)
        try:
            remaining_ms = owned.call.deadline_ms - self._core.now_ms()
            has_ended = ended.wait(max(0, remaining_ms) / 1000)
        finally:
            self._core.owner.leave(owned, entry_id)
        if not has_ended:
            raise CallError(
                "deadline_exceeded",
                "the run that this permit started is still in progress",
                step=Step.RUN,
                executed=Executed.UNKNOWN,
            )

    def _run(self, owned: OwnedCall) -> HttpResponse:
        self._admit(owned)
        self._record(EventKind.HANDED_OVER, owned)
        started_ms = self._core.now_ms()
        outcome = Outcome.FAILED
        try:
            answer = self._target.run(owned, self._core.retry_budget())
            ok = answer.status < SERVER_ERROR_STATUS
            outcome = Outcome.OK if ok else Outcome.FAILED
        except CallError as error:
            outcome = self._handle_failure(owned, error)
            raise
        finally:
            self._core.owner.finish(owned, outcome)
        self._core.metrics.record_latency("run", self._core.now_ms() - started_ms)
        self._record(EventKind.COMPLETED, owned, status=answer.status)
        return HttpResponse(
            answer.status, (*answer.headers, _EXECUTED_YES), answer.body, answer.reason
        )

    def _admit(self, owned: OwnedCall) -> None:
        self._core.owner.request_admission(owned)
        if not owned.admission_decided.is_set():
            self._record(EventKind.QUEUED, owned)
            self._wait_for_decision(owned)
        if owned.refusal is not None:
            raise owned.refusal
        if owned.cancel_code:
            self._core.owner.finish(owned, Outcome.CANCELLED)
            raise owned.cancelled_error(Executed.NO)
        self._record(EventKind.ADMITTED, owned)

    def _wait_for_decision(self, owned: OwnedCall) -> None:
        """Wait for admission control to decide; it refuses queued calls past their deadlines."""
        while True:
            remaining_ms = owned.call.deadline_ms - self._core.now_ms()
            if owned.admission_decided.wait(max(remaining_ms, 1) / 1000):
                return
            self._core.owner.expire_queue()

    def _handle_failure(self, owned: OwnedCall, error: CallError) -> Outcome:
        if error.code == "target_crashed":
            self._handle_crash(owned)
        if owned.cancel_code:
            self._cancel_run(owned.token)
            return Outcome.CANCELLED
        if error.code == "deadline_exceeded":
            if owned.call.kind.repeatable:
                self._cancel_run(owned.token)
            return Outcome.TIMED_OUT
        return Outcome.FAILED

    def _handle_crash(self, owned: OwnedCall) -> None:
        self._target.discard_connections()
        decisions = self._core.owner.crashed(owned)
        if decisions:
            self._record(EventKind.CRASH_SEEN, owned, in_flight=len(decisions))
        for decision in decisions:
            self._announce_crash(decision.fingerprint, decision.level)
            if decision.refused:
                self._core.events.record(
                    EventKind.QUARANTINED, code=decision.fingerprint, level=decision.level
                )

    def _finish_headers(
        self, environ: dict, owned: OwnedCall | None, answer: HttpResponse
    ) -> HttpResponse:
        report = self._core.report()
        headers = [
            (_headers.CALL_ID, get_header(environ, _headers.CALL_ID)),
            (_headers.STATE, str(report.state)),
            (_headers.POLICY_VERSION, str(report.policy_version)),
            (_headers.TIME, str(self._core.events.now())),
        ]
        if report.load is not None:
            load = report.load
            headers.append((_headers.LOAD, f"{load.in_flight}/{load.limit}/{load.queued}"))
        if report.threshold is not None:
            threshold = report.threshold
            text = f"{threshold.importance}:{threshold.position}"
            headers.append((_headers.THRESHOLD, text))
        if owned is not None:
            suspicion_report = self._core.suspicion(owned.call.fingerprint)
            headers.append((_headers.SUSPICION, format_suspicion(suspicion_report)))
        return HttpResponse(answer.status, (*answer.headers, *headers), answer.body, answer.reason)

    def _observe_peer_headers(self, environ: dict) -> None:
        """Apply the policy version and the clock time that the ingress reports."""
        version = parse_unsigned_int(get_header(environ, _headers.POLICY_VERSION)) or 0
        self._core.observe_policy_version(version)
        time = parse_hybrid_time(get_header(environ, _headers.TIME))
        if time is not None:
            self._core.events.observe_time(time)

    def _record_refusal(self, owned: OwnedCall | None, error: CallError) -> None:
        if owned is None:
            self._core.events.record(EventKind.REFUSED, code=error.code, step=str(error.step))
        elif error.code in ("preempted", "cancelled"):
            self._record(EventKind.CANCELLED, owned, code=error.code)
        elif error.step is Step.QUEUE:
            self._record(EventKind.EVICTED, owned, code=error.code)
        else:
            self._record(EventKind.REFUSED, owned, code=error.code, step=str(error.step))

    def _record(self, kind: EventKind, owned: OwnedCall, **details: str | int) -> None:
        self._core.events.record(
            kind,
            request_id=owned.call.request_id,
            call_id=owned.call_id,
            service=owned.call.service,
            peer=owned.ingress,
            importance=owned.call.importance,
            repeatable=int(owned.call.kind.repeatable),
            **details,
        )


_EXECUTED_YES = (_headers.EXECUTED, str(Executed.YES))


def _refusal(code: str, detail: str) -> CallError:
    return CallError(code, detail, step=Step.IDENTIFY, executed=Executed.NO)


def _internal_error() -> CallError:
    return CallError(
        "internal_error",
        "unexpected error, see the log of the owner",
        step=Step.RUN,
        executed=Executed.UNKNOWN,
    )
