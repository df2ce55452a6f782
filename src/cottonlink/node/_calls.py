"""Calls at one node: those that it forwards, those for its own target, and a table of the latter.

The *ingress* of a call is the node that receives it from the caller and forwards it. The *owner*
is the node next to the target that runs it. Both may be the same node.
"""

from __future__ import annotations

import collections
import enum
import random
import threading
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from cottonlink._hashing import root_position
from cottonlink._headers import Headers, TraceContext
from cottonlink.decisions import SuspicionReport
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._pool import Connection, Pool
from cottonlink.policy import RequestKind

# Call ids are kept for longer than any call may take, so that a call reported as never seen can't
# run later.
CALL_ID_RETENTION_MS = 120_000
CALL_ID_LIMIT = 65_536

# A request that takes longer than this to connect and send is treated as sent.
SEND_TIME_ALLOWANCE_MS = 1_000

# Range of the jittered Retry-After time of a preempted call.
PREEMPTED_RETRY_AFTER_MS = (500, 1_500)

# The ingress reports the age of a call; the report itself takes time to arrive.
AGE_MARGIN_MS = 1_000


class CallState(enum.StrEnum):
    """State of a call at its owner, as reported to the ingress."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    NEVER_SEEN = "never_seen"
    UNKNOWN = "unknown"


class AbortReason(enum.StrEnum):
    """Why the slow-call checker ended an attempt.

    The owner never saw the call, its answer was lost on the way, or the owner did not reply.
    """

    NEVER_SEEN = "never_seen"
    ANSWER_LOST = "answer_lost"
    NO_REPLY = "no_reply"


@frozen(eq=False)
class Call:
    """A request and its place in the tree of calls of its root request.

    ``path`` is the path below the service, with the query. ``depth`` counts the calls above this
    one, 0 for a root request. ``deadline_ms`` is monotonic time. ``fingerprint`` identifies equal
    requests for the quarantine, ``key`` is the idempotency key.
    """

    trace: TraceContext
    service: str
    kind: RequestKind
    method: str
    path: str
    headers: Headers
    body: bytes
    importance: int
    depth: int
    deadline_ms: int
    fingerprint: str
    key: str = ""
    permit: str = ""

    @property
    def request_id(self) -> str:
        """Return the root request id."""
        return self.trace.trace_id

    @property
    def position(self) -> int:
        """Return the rank of the root request among those of equal importance, from its id."""
        return root_position(self.trace.trace_id)


def make_cancelled_error(code: str, executed: Executed) -> CallError:
    """Return the error of a call that was ended early; ``code`` is preempted or cancelled."""
    retry_after_ms = random.randint(*PREEMPTED_RETRY_AFTER_MS) if code == "preempted" else None
    return CallError(
        code,
        "the call was ended early",
        step=Step.CANCEL,
        executed=executed,
        retry_after_ms=retry_after_ms,
    )


@define(eq=False)
class Attempt:
    """One attempt to send a forwarded call to one upstream.

    ``last_query_ms`` is when the owner last replied to the slow-call checker; ``finished_count``
    is the number of its successive replies that the call has finished, ``missed_reply_count`` that
    of successive queries without a reply.
    """

    call_id: str
    upstream: str
    control_address: str
    pool: Pool
    started_ms: int
    connection: Connection
    last_query_ms: int = 0
    abort_reason: AbortReason | None = None
    finished_count: int = 0
    missed_reply_count: int = 0

    @property
    def waiting_since_ms(self) -> int:
        """Return when the request was sent, or the time by which it should have been sent.

        An overloaded local process may send it late, which does not mean that the peer is silent.
        """
        sent_ms = self.connection.sent_ms
        return self.started_ms + SEND_TIME_ALLOWANCE_MS if sent_ms is None else sent_ms


@define(eq=False)
class ForwardedCall:
    """A call that this node forwards.

    ``parent`` is the run of the local target that made the call, None for outside callers.
    ``cancel_code`` is empty until the call is ended early.
    """

    call: Call
    parent: OwnedCall | None = None
    is_disconnected: Callable[[], bool] = lambda: False
    attempt: Attempt | None = None
    cancel_code: str = ""
    _lock: threading.Lock = field(factory=threading.Lock)

    def begin_attempt(self, attempt: Attempt) -> None:
        """Make ``attempt`` the current one. Raises CallError if the call was cancelled."""
        with self._lock:
            self.check_cancelled(Executed.NO)
            self.attempt = attempt

    def end_attempt(self) -> None:
        """Record that the current attempt has ended."""
        with self._lock:
            self.attempt = None

    def check_cancelled(self, executed: Executed) -> None:
        """Raise CallError if the call was cancelled."""
        if self.cancel_code:
            raise make_cancelled_error(self.cancel_code, executed)

    def cancel(self, code: str) -> Attempt | None:
        """End the call with ``code``; return the attempt whose owner must be told, or None."""
        with self._lock:
            if self.cancel_code:
                return None
            self.cancel_code = code
            attempt = self.attempt
        if attempt is not None:
            attempt.connection.abort()
        return attempt

    def abort_attempt(self, attempt: Attempt, reason: AbortReason) -> bool:
        """End ``attempt`` if it is still the current one; the call itself continues.

        Returns False if it is not, or has been ended before.
        """
        with self._lock:
            if self.attempt is not attempt or attempt.abort_reason is not None:
                return False
            attempt.abort_reason = reason
        attempt.connection.abort()
        return True


@define(eq=False)
class OwnedCall:
    """A call for the local target.

    ``token`` is the Cottonlink-Call value, by which the target names the run in the calls that it
    makes; ``children`` are those calls. ``peer_suspicion`` is what the ingress reports about the
    request. ``admission_decided`` is set once the call may run, is refused or is cancelled.
    """

    call: Call
    call_id: str
    ingress: str
    token: str
    span_id: str
    arrived_ms: int
    peer_suspicion: SuspicionReport | None = None
    suspect: bool = False
    permit_checked: bool = False
    state: CallState = CallState.QUEUED
    refusal: CallError | None = None
    cancel_code: str = ""
    crash_counted: bool = False
    children: set[ForwardedCall] = field(factory=set)
    admission_decided: threading.Event = field(factory=threading.Event)
    _connection: Connection | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    @property
    def run_trace(self) -> TraceContext:
        """Return the trace context that the target receives."""
        return TraceContext(self.call.trace.trace_id, self.span_id, self.call.trace.flags)

    def attach_connection(self, connection: Connection) -> None:
        """Set the connection that ``cancel`` aborts. Raises CallError if the run was cancelled."""
        with self._lock:
            if self.cancel_code:
                raise self.cancelled_error(Executed.NO)
            self._connection = connection

    def detach_connection(self) -> None:
        """Clear the connection, so that a later cancellation can't abort its next call."""
        with self._lock:
            self._connection = None

    def cancel(self, code: str) -> None:
        """End the call with ``code``; a run in progress fails at once."""
        with self._lock:
            self.cancel_code = self.cancel_code or code
            connection = self._connection
        self.admission_decided.set()
        if connection is not None:
            connection.abort()

    def cancelled_error(self, executed: Executed) -> CallError:
        """Return the error of the cancelled call."""
        return make_cancelled_error(self.cancel_code, executed)


@define(eq=False)
class CallTable:
    """Calls for the local target that are in progress, and the ids of earlier ones.

    An id that was reported as never seen is kept too, so that the call is refused if it arrives
    later. Every method requires that the lock of NodeCore is held.
    """

    started_ms: int
    owned: dict[str, OwnedCall] = field(factory=dict)
    _by_token: dict[str, OwnedCall] = field(factory=dict)
    _by_span: dict[tuple[str, str], OwnedCall] = field(factory=dict)
    _seen_ids: collections.OrderedDict[str, int] = field(factory=collections.OrderedDict)
    _refused_ids: collections.OrderedDict[str, int] = field(factory=collections.OrderedDict)
    _ids_complete_since_ms: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._ids_complete_since_ms = self.started_ms

    def add(self, owned: OwnedCall, now_ms: int) -> bool:
        """Add a call; return False if its id was reported as never seen or has been used."""
        if owned.call_id in self._refused_ids or owned.call_id in self._seen_ids:
            return False
        self._remember(self._seen_ids, owned.call_id, now_ms)
        self.owned[owned.call_id] = owned
        self._by_token[owned.token] = owned
        self._by_span[owned.call.trace.trace_id, owned.span_id] = owned
        return True

    def is_refused(self, call_id: str) -> bool:
        """Return whether ``call_id`` was reported as never seen."""
        return call_id in self._refused_ids

    def remove(self, owned: OwnedCall) -> None:
        """Remove a call that has ended; its id is kept."""
        if self.owned.pop(owned.call_id, None) is not None:
            del self._by_token[owned.token]
            del self._by_span[owned.call.trace.trace_id, owned.span_id]

    def find_parent(self, token: str) -> OwnedCall | None:
        """Return the run in progress with the Cottonlink-Call value ``token``, or None."""
        return self._by_token.get(token)

    def find_parent_by_trace(self, trace: TraceContext) -> OwnedCall | None:
        """Return the run in progress whose trace context is ``trace``, or None."""
        return self._by_span.get((trace.trace_id, trace.parent_id))

    def state(self, call_id: str, age_ms: int, now_ms: int) -> CallState:
        """Return the state of a call that its ingress started ``age_ms`` ago.

        An id that was never seen is refused from now on. The state is unknown if the call may be
        older than the ids that this table has kept.
        """
        owned = self.owned.get(call_id)
        if owned is not None:
            return owned.state
        if call_id in self._seen_ids:
            return CallState.FINISHED
        began_ms = now_ms - age_ms - AGE_MARGIN_MS
        if call_id not in self._refused_ids and began_ms <= self._ids_complete_since_ms:
            return CallState.UNKNOWN
        self._remember(self._refused_ids, call_id, now_ms)
        return CallState.NEVER_SEEN

    def running(self) -> Iterable[OwnedCall]:
        """Return the calls that the target is running."""
        return (owned for owned in self.owned.values() if owned.state is CallState.RUNNING)

    def _remember(self, ids: collections.OrderedDict[str, int], call_id: str, now_ms: int) -> None:
        ids[call_id] = now_ms
        while ids:
            oldest_id, since_ms = next(iter(ids.items()))
            is_old = now_ms - since_ms > CALL_ID_RETENTION_MS
            if not is_old and len(ids) <= CALL_ID_LIMIT:
                return
            del ids[oldest_id]
            self._ids_complete_since_ms = max(self._ids_complete_since_ms, since_ms)
