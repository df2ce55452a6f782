"""Hand-over of a call to the local target."""

from __future__ import annotations

import contextlib

from cottonlink import _headers
from cottonlink._clock import Clock
from cottonlink._headers import answer_headers
from cottonlink._problem import Answer
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._calls import OwnedCall
from cottonlink.node._pool import (
    CONNECT_TIMEOUT_MS,
    Connection,
    ExchangeError,
    OutgoingRequest,
    Pool,
)

CANCEL_TIMEOUT_MS = 300
# A connection that ends without an answer may be the only thing that the target closed. It has
# crashed if it no longer accepts connections, or drops a new one within this time.
CRASH_CHECK_MS = 20


class TargetClient:
    """Connections to the local target."""

    def __init__(
        self, address: str, clock: Clock, *, max_age_ms: int, answer_limit_bytes: int
    ) -> None:
        self._clock = clock
        self._pool = Pool(address, clock, max_age_ms)
        self._answer_limit_bytes = answer_limit_bytes

    @property
    def address(self) -> str:
        """Return the address of the target."""
        return self._pool.address

    def run(self, owned: OwnedCall, retry_budget: int) -> Answer:
        """Let the target run a call and return its whole answer, without node headers.

        Raises CallError, with executed ``no`` only if no byte was sent.
        """
        call = owned.call
        connection = self._pool.take(answered_lately=not call.kind.repeatable)
        try:
            owned.use(connection)
            deadline_ms = self._run_deadline_ms(owned)
            if connection.is_new:
                connect_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - self._clock.monotonic_ms())
                connection.connect(connect_ms)
            request = self._make_request(owned, retry_budget)
            answer = connection.exchange(request, deadline_ms, self._answer_limit_bytes)
        except ExchangeError as error:
            raise self._classify(owned, error) from error
        finally:
            owned.release()
            self._pool.give_back(connection)
        headers = answer_headers(call.method, answer.status, answer.headers)
        return Answer(answer.status, headers, answer.body, answer.reason)

    def cancel(self, token: str) -> None:
        """Ask the target to stop work on a run."""
        connection = Connection(self.address, self._clock)
        request = OutgoingRequest("POST", f"/_cancel/{token}", (), b"")
        deadline_ms = self._clock.monotonic_ms() + CANCEL_TIMEOUT_MS
        with contextlib.suppress(ExchangeError):
            connection.connect(CANCEL_TIMEOUT_MS)
            connection.exchange(request, deadline_ms, self._answer_limit_bytes)
        connection.close()

    def discard_connections(self) -> int:
        """Close the idle connections; return their number."""
        return self._pool.discard()

    def _run_deadline_ms(self, owned: OwnedCall) -> int:
        # A non-repeatable run goes on after its first caller has given up: a resend with the
        # permit shall find its result.
        kind = owned.call.kind
        if kind.repeatable:
            return owned.call.deadline_ms
        return max(owned.call.deadline_ms, self._clock.monotonic_ms() + kind.timeout_ms)

    def _make_request(self, owned: OwnedCall, retry_budget: int) -> OutgoingRequest:
        call = owned.call
        own_headers = (
            (_headers.TRACEPARENT, str(owned.run_trace)),
            (_headers.CALL, owned.token),
            (_headers.DEADLINE_MS, str(max(1, call.deadline_ms - self._clock.monotonic_ms()))),
            (_headers.DEPTH, str(call.depth)),
            (_headers.IMPORTANCE, str(call.importance)),
            (_headers.RETRY_BUDGET, str(retry_budget)),
        )
        headers = tuple(h for h in call.headers if h[0].lower() != _headers.TRACEPARENT)
        return OutgoingRequest(call.method, call.path, headers + own_headers, call.body)

    def _classify(self, owned: OwnedCall, error: ExchangeError) -> CallError:
        executed = Executed.UNKNOWN if error.sent else Executed.NO
        if owned.cancel_code:
            return owned.cancelled(executed)
        if not error.sent:
            code = "upstream_unreachable"
        elif error.timed_out:
            code = "deadline_exceeded"
        elif self._has_crashed():
            code = "target_crashed"
        elif error.step is Step.BODY:
            code = "answer_incomplete"
        else:
            code = "connection_lost"
        return CallError(code, error.detail, step=error.step, peer=self.address, executed=executed)

    def _has_crashed(self) -> bool:
        connection = Connection(self.address, self._clock)
        try:
            connection.connect(CONNECT_TIMEOUT_MS)
        except ExchangeError:
            return True
        try:
            return connection.ends_within(CRASH_CHECK_MS)
        finally:
            connection.close()
