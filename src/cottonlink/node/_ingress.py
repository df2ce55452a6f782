"""The caller listener: identification of calls from callers and from the local target."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable, Iterable

import structlog
from attrs import evolve, frozen

from cottonlink import _headers
from cottonlink._headers import TraceContext, end_to_end_headers, environ_headers
from cottonlink._problem import Answer, make_problem
from cottonlink.decisions import request_fingerprint
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._calls import Call, ForwardedCall, OwnedCall
from cottonlink.node._core import NodeCore
from cottonlink.node._forward import Forwarder
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
from cottonlink.observe import EventKind
from cottonlink.policy import RequestKind, Service
from cottonlink.policy._records import MAX_CALL_DEPTH

_log = structlog.get_logger()


@frozen
class _Incoming:
    """An identified call and the service that it is for."""

    forwarded: ForwardedCall
    service: Service


class IngressApp:
    """WSGI application of the caller listener."""

    def __init__(
        self,
        core: NodeCore,
        forwarder: Forwarder,
        cancel_calls: Callable[[tuple[ForwardedCall, ...], str], None],
    ) -> None:
        self._core = core
        self._forwarder = forwarder
        self._cancel_calls = cancel_calls

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        started_ms = self._core.now_ms()
        trace: TraceContext | None = None
        try:
            trace = read_trace_context(environ) or _new_trace()
            answer = self._serve(environ, trace)
        except CallError as error:
            answer = self._refuse(environ, trace, error)
        except Exception:
            _log.exception("caller request failed", request_id=trace.trace_id if trace else "")
            answer = make_problem(_internal_error(), trace.trace_id if trace else "")
        self._core.metrics.count("answers", str(answer.status))
        self._core.metrics.record_latency("call", self._core.now_ms() - started_ms)
        return respond(answer, start_response, environ["REQUEST_METHOD"])

    def _serve(self, environ: dict, trace: TraceContext) -> Answer:
        incoming = self._identify(environ, trace)
        forwarded = incoming.forwarded
        call = forwarded.call
        self._record(EventKind.ACCEPTED, call, depth=call.depth, importance=call.importance)
        self._check_accepts(forwarded)
        self._core.check_quarantine(call.fingerprint)
        preempt = functools.partial(self._cancel_calls, (forwarded,), "preempted")
        number = self._core.ingress.enter(forwarded, preempt)
        try:
            answer = self._forwarder.forward(forwarded, incoming.service)
        finally:
            self._core.ingress.leave(forwarded, number)
        self._record(EventKind.ANSWERED, call, status=answer.status)
        budget = (_headers.RETRY_BUDGET, str(self._core.retry_budget()))
        return evolve(answer, headers=(*answer.headers, budget))

    def _identify(self, environ: dict, trace: TraceContext) -> _Incoming:
        service_name, path = read_request_target(environ)
        method = environ["REQUEST_METHOD"]
        service, kind = self._find_kind(service_name, method, path)
        asked_ms = read_unsigned_int(environ, _headers.DEADLINE_MS, "deadline_malformed")
        key = read_idempotency_key(environ)
        permit = read_permit(environ)
        parent = self._find_parent(environ, trace)
        if not kind.repeatable and not key:
            raise bad_request("this kind of request needs a key", "idempotency_key_required")
        body = environ["wsgi.input"].read()
        now_ms = self._core.now_ms()
        timeout_ms = kind.timeout_ms if asked_ms is None else min(asked_ms, kind.timeout_ms)
        call = Call(
            trace=trace,
            service=service_name,
            kind=kind,
            method=method,
            path=path,
            headers=end_to_end_headers(environ_headers(environ)),
            body=body,
            importance=kind.importance,
            depth=0,
            deadline_ms=now_ms + timeout_ms,
            fingerprint=request_fingerprint(service_name, method, path, body),
            key=key,
            permit=permit if not kind.repeatable else "",
        )
        if parent is not None:
            call = _inherit(call, parent)
        if call.deadline_ms <= now_ms:
            raise _refusal("deadline_exceeded", "no time is left for the call")
        is_disconnected = environ.get("waitress.client_disconnected", lambda: False)
        return _Incoming(ForwardedCall(call, parent, is_disconnected), service)

    def _find_kind(self, service_name: str, method: str, path: str) -> tuple[Service, RequestKind]:
        policy = self._core.policy
        if policy is None:
            raise _refusal("not_ready", "the node has no policy yet", retry_after_ms=1_000)
        service = policy.services_by_name.get(service_name)
        if service is None:
            raise _refusal("unknown_service", "the policy does not list this service")
        kind = service.match_kind(method, path.partition("?")[0])
        if kind is None:
            raise _refusal("unknown_kind", "the policy does not list this kind of request")
        return service, kind

    def _find_parent(self, environ: dict, trace: TraceContext) -> OwnedCall | None:
        """Return the run that made this call, or None for a call of an outside caller."""
        token = get_header(environ, _headers.CALL)
        if not token:
            return self._core.owner.find_parent_by_trace(trace)
        parent = self._core.owner.find_parent(token)
        if parent is not None:
            return parent
        if not _headers.is_visible_ascii(token) or token.count(".") != 2:
            raise bad_request("Cottonlink-Call is malformed", "identity_malformed")
        if token.partition(".")[0] != self._core.incarnation:
            raise CallError(
                "execution_unknown",
                "the run that made this call belongs to an earlier process of this node",
                step=Step.IDENTIFY,
                executed=Executed.UNKNOWN,
            )
        raise _refusal("cancelled", "the run that made this call has ended")

    def _check_accepts(self, forwarded: ForwardedCall) -> None:
        """Refuse new roots once the process is to end.

        It still carries the calls that its unfinished runs make. A node whose target takes no work
        for the time being goes on forwarding to others.
        """
        if self._core.is_shutting_down and forwarded.parent is None:
            raise _refusal("leaving", "the node is leaving; use another one")

    def _refuse(self, environ: dict, trace: TraceContext | None, error: CallError) -> Answer:
        request_id = trace.trace_id if trace else ""
        is_own = not getattr(error, "from_peer", False)
        if is_own and error.executed is Executed.NO and get_header(environ, _headers.PERMIT):
            # An earlier send with this permit may have run; only its owner knows.
            error.executed = Executed.UNKNOWN
        kind = EventKind.CANCELLED if error.code == "cancelled" else EventKind.REFUSED
        self._core.events.record(
            kind,
            request_id=request_id,
            peer=error.peer,
            code=error.code,
            step=str(error.step),
            executed=str(error.executed),
        )
        self._core.metrics.count("refusals", error.code)
        return make_problem(error, request_id)

    def _record(self, kind: EventKind, call: Call, **details: str | int) -> None:
        self._core.events.record(kind, request_id=call.request_id, service=call.service, **details)


def _inherit(call: Call, parent: OwnedCall) -> Call:
    """Return ``call`` as a child of a run: its root, importance and deadline come from there."""
    depth = parent.call.depth + 1
    if depth > MAX_CALL_DEPTH:
        raise _refusal("depth_exceeded", f"calls may be at most {MAX_CALL_DEPTH} deep")
    return evolve(
        call,
        trace=evolve(call.trace, trace_id=parent.call.request_id),
        importance=max(call.importance, parent.call.importance),
        depth=depth,
        deadline_ms=min(call.deadline_ms, parent.call.deadline_ms),
    )


def _new_trace() -> TraceContext:
    bits = random.getrandbits(192) | 1 << 64 | 1
    return TraceContext(f"{bits >> 64:032x}", f"{bits & (1 << 64) - 1:016x}")


def _refusal(code: str, detail: str, retry_after_ms: int | None = None) -> CallError:
    return CallError(
        code, detail, step=Step.IDENTIFY, executed=Executed.NO, retry_after_ms=retry_after_ms
    )


def _internal_error() -> CallError:
    return CallError(
        "internal_error",
        "unexpected error, see the log of the node",
        step=Step.RELAY,
        executed=Executed.UNKNOWN,
    )
