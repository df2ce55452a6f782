"""Ends long responses that are still arriving when their request's time is over."""

from __future__ import annotations

from weakref import ReferenceType, ref

from attrs import frozen

from cottonlink.path._body_stream import BodyStream
from cottonlink.path._connection_end import LONGEST_LINGER_MS
from cottonlink.path._state import NodeState
from cottonlink.path.callers._deadlines import Deadlines
from cottonlink.path.callers._ingress_call import IngressCall

# Interval of the check whether a caller that was behind still is.
RECHECK_MS = 250.0


@frozen(eq=False)
class _LateResponse:
    """A response with a long body. The body is let go once it has ended."""

    body: ReferenceType[BodyStream]
    request_id: bytes
    route: str
    upstream_id: str
    last_ms: float


class LateResponses:
    """Watches responses whose bodies are passed on while they arrive.

    At the time-out of a request its response ends, if its source keeps the caller waiting. A caller
    that is behind itself may go on reading until its own deadline. What has arrived as a whole is
    delivered however long that takes.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._deadlines = Deadlines(state.loop, self._check)

    def watch(self, call: IngressCall, body: BodyStream, grace_ms: float) -> None:
        """End ``body`` if it is still arriving ``grace_ms`` after the time of ``call`` is over."""
        remaining_ms = call.request.remaining_ms
        if remaining_ms is None:
            last_ms = call.deadline_ms + LONGEST_LINGER_MS
        else:
            last_ms = max(call.deadline_ms, call.received_ms + remaining_ms) + grace_ms
        late = _LateResponse(
            ref(body),
            call.request.request_id,
            call.route.name,
            call.upstream.upstream_id,
            last_ms,
        )
        self._deadlines.add((call.deadline_ms + grace_ms) / 1000.0, late)

    def _check(self, late: _LateResponse) -> None:
        body = late.body()
        if body is None or body.has_ended:
            return
        state = self._state
        now_ms = state.now_ms()
        if body.is_reader_behind and now_ms < late.last_ms:
            self._deadlines.add(min(now_ms + RECHECK_MS, late.last_ms) / 1000.0, late)
            return
        reason = "caller_behind" if body.is_reader_behind else "timeout"
        if not body.is_reader_behind:
            state.load_balancer.record_failure(late.upstream_id, now_ms)
        state.metrics.count("responses_ended_late", reason)
        state.log.event(
            "response_ended_late",
            request_id=late.request_id,
            route=late.route,
            upstream=late.upstream_id,
            reason=reason,
            taken_bytes=body.taken_bytes,
            length=body.length,
        )
        body.give_up()
