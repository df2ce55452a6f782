"""Queues calls for the target next to this node and runs them over pooled connections."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Protocol

from attrs import define

from cottonlink.errors import CottonlinkError
from cottonlink.overload import (
    NESTED_CALL_TIER,
    CallCounts,
    Hold,
    Job,
    ParentHints,
    ParentRun,
    Refusal,
    RouteClassifier,
    RunningRequests,
    SiblingLevels,
    StartPace,
    TargetLimitChange,
    allowed_wait_ms,
    make_call_counts,
    make_parent_hints,
    make_route_classifier,
    make_running_requests,
    make_start_pace,
    make_target_limit,
    make_target_queue,
    usable_slots,
)
from cottonlink.path._body_stream import BodyStream
from cottonlink.path._connection_end import LONGEST_LINGER_MS, STALLED_MS
from cottonlink.path.target._crash_detector import CrashDetector
from cottonlink.path.target._crash_guard import CrashGuard, call_fingerprints
from cottonlink.path.peers._frames import CallFrame
from cottonlink.path._header_codec import HeaderCodec
from cottonlink.path._http import end_to_end_headers, request_head_bytes
from cottonlink.path._http_client import ExchangeFailed, ExchangeResult, HttpResponse
from cottonlink.path._log import EventLog
from cottonlink.path._model import (
    Answered,
    Load,
    NotRun,
    Outcome,
    OutcomeUnknown,
    TargetReport,
    with_report,
)
from cottonlink.path.target._target_pool import TargetPool

# Concurrent calls assumed until the target's registration states its slots.
DEFAULT_SLOTS = 32
# Responses below this HTTP status come from a run that ended well.
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
# A target counts as making nested calls above this number of them per run. Below it, they may be
# callers' requests that were mistaken for nested calls.
MIN_NESTED_CALLS_PER_RUN = 0.1
# Half-life of the moving average of the pressure at the targets that this one calls: it sets the
# weight of a new report, and how fast the average decays without one.
PRESSURE_HALF_LIFE_MS = 60.0
# Time after its deadline for which a run may still end by itself: the target stops and responds.
OVERDUE_MS = 2_000.0
# Interval of the check for queued jobs that have waited too long, or for the target's limit.
EXPIRY_INTERVAL_S = 0.02
# Interval in which the usual run times of the target's siblings are read while it is paced.
SIBLINGS_INTERVAL_MS = 500.0


@define(eq=False)
class _Call:
    frame: CallFrame
    key: Any
    on_outcome: Callable[[Outcome], None] | None
    deadline_ms: float
    number: int
    hold: Hold | None = None
    organisation: str = ""
    is_running: bool = False
    started_at_ms: float = 0.0
    sent_deadline_ms: float = 0.0
    connection: Any = None
    run: ParentRun | None = None
    is_cancelled: bool = False
    stream: BodyStream | None = None
    taken_bytes: int = 0
    taken_at_ms: float = 0.0
    _fingerprints: tuple[str, ...] = ()

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """The hashes by which nodes recognize the call, computed when they are first needed."""
        if not self._fingerprints:
            self._fingerprints = call_fingerprints(self.frame)
        return self._fingerprints

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether to end the run: its deadline is over, and nobody takes its response."""
        if self.connection is None:
            return False
        overdue_ms = now_ms - self.sent_deadline_ms
        if self.stream is None:
            return overdue_ms >= OVERDUE_MS
        if self.stream.taken_bytes != self.taken_bytes:
            self.taken_bytes, self.taken_at_ms = self.stream.taken_bytes, now_ms
        is_stalled = overdue_ms >= OVERDUE_MS and now_ms - self.taken_at_ms >= STALLED_MS
        return is_stalled or overdue_ms >= LONGEST_LINGER_MS


class TargetListener(Protocol):
    """Learns what happens to a target, and what it says of itself in responses."""

    def on_target_crashed(self, fingerprints: list[str]) -> None:
        """The target has crashed; the requests with ``fingerprints`` may have caused it."""

    def on_target_leaving(self, upstream_id: str) -> None:
        """The target has said that it leaves; ``upstream_id`` is the id that it was called by."""

    def on_target_limit(self, change: TargetLimitChange) -> None:
        """The target has named a limit on its requests, changed it or stopped naming it."""

    def on_target_limit_invalid(self, detail: str) -> None:
        """A response of the target named a limit that means nothing."""

    def sibling_levels(self) -> SiblingLevels:
        """Return the usual run times of the other targets of the service."""

    def on_pace_changed(self, limit: int | None) -> None:
        """The limit of a target that has started or recovered has changed; None if it ended."""


class TargetDispatcher:
    """Queues and runs the calls of one target, and reports their outcomes with its load."""

    def __init__(
        self,
        pool: TargetPool,
        header_codec: HeaderCodec,
        crash_guard: CrashGuard,
        listener: TargetListener,
        log: EventLog,
        loop: asyncio.AbstractEventLoop,
        *,
        paces_starts: bool = False,
    ) -> None:
        self._pool = pool
        self._header_codec = header_codec
        self._crash_guard = crash_guard
        self._listener = listener
        self._log = log
        self._loop = loop
        self._limit = make_target_limit()
        self._queue = make_target_queue(DEFAULT_SLOTS, self._limit)
        self._pace: StartPace | None = make_start_pace() if paces_starts else None
        self._paced_limit: int | None = None
        self._siblings_read_at_ms = float("-inf")
        self.running_requests: RunningRequests = make_running_requests()
        self.call_counts: CallCounts = make_call_counts()
        self.parent_hints: ParentHints = make_parent_hints()
        self._calls: dict[Any, _Call] = {}
        self._call_numbers = itertools.count(1)
        self._crash_detector = CrashDetector(pool, crash_guard, listener, log, loop)
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._closed_reason: str | None = None
        self.route_classifier: RouteClassifier = make_route_classifier()
        self._nested_call_count = 0
        self._downstream_pressure = 0.0
        self._downstream_pressure_at_ms = 0.0
        self._run_count = 0
        # Set while callers' requests belong to organisations, whose names follow their headers.
        self.is_currency_proven: Callable[[], bool] | None = None

    def submit(
        self,
        frame: CallFrame,
        key: Any,
        on_outcome: Callable[[Outcome], None],
        hold: Hold | None = None,
    ) -> None:
        """Run, queue or refuse a call; ``on_outcome`` gets its outcome once.

        ``hold`` is the room that the call takes for as long as it is held.
        """
        now_ms = self._now_ms()
        self.route_classifier.observe(frame.route, frame.caller_service)
        self.parent_hints.observe(self._header_codec.parent_id(frame.request_id))
        if self._closed_reason is not None:
            on_outcome(NotRun(self._closed_reason))
            return
        call = _Call(
            frame, key, on_outcome, now_ms + frame.remaining_ms, next(self._call_numbers), hold
        )
        refusal = self._refuse_quarantined(call)
        if refusal is not None:
            on_outcome(refusal)
            return
        self._report_limit(self._limit.lapse(now_ms))
        if self.is_currency_proven is not None:
            call.organisation = self._header_codec.organisation(frame.headers)
        wait_ms = allowed_wait_ms(frame.tier, frame.rank, frame.objective_ms, frame.remaining_ms)
        job = Job(key, frame.tier, frame.rank, wait_ms, call.organisation)
        self._calls[key] = call
        is_started, refused = self._queue.offer(job, now_ms)
        self._deliver_refusals(refused)
        if is_started:
            self._run(call)
        elif self._queue.queued_count and self._expiry_timer is None:
            self._expiry_timer = self._loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def cancel(self, key: Any) -> None:
        """Drop the call of a caller that is gone.

        A running call is aborted only if it is repeatable; others run to their end.
        """
        call = self._calls.get(key)
        if call is None:
            return
        call.on_outcome = None
        if not call.is_running:
            self._queue.withdraw(key)
            del self._calls[key]
        elif call.frame.is_repeatable:
            call.is_cancelled = True
            if call.connection is not None:
                call.connection.abort()
                # The target may go on with the run and crash.
                self._crash_detector.record(call.frame)
                self._release(call, is_sample=False)
        elif call.stream is not None:
            call.stream.cancel()

    def end_overdue(self) -> None:
        """End runs whose deadline is long over. To be called periodically.

        Their callers have had a response by then, but a target may send on without end.
        """
        now_ms = self._now_ms()
        for call in list(self._calls.values()):
            if not call.is_overdue(now_ms):
                continue
            self._log.event("run_overdue", request_id=call.frame.request_id)
            call.connection.abort()
            if call.stream is not None:
                call.stream.end(is_whole=False)
                continue
            self._crash_detector.record(call.frame)
            self._deliver(call, OutcomeUnknown("target_overdue"))
            self._release(call, is_sample=False)

    def load(self) -> Load:
        """Return the current load of the target."""
        queue = self._queue
        capacity = queue.capacity(self._now_ms())
        return Load(queue.running_count, queue.queued_count, capacity, queue.service_ms)

    def record_nested_call(self) -> None:
        """Count a call that is, or may be, nested in a request running at the target."""
        self._nested_call_count += 1

    def record_nested_call_pressure(self, pressure: float) -> None:
        """Update the average pressure with the one reported for a nested call."""
        now_ms = self._now_ms()
        decay = 0.5 ** ((now_ms - self._downstream_pressure_at_ms) / PRESSURE_HALF_LIFE_MS)
        self._downstream_pressure = pressure + decay * (self._downstream_pressure - pressure)
        self._downstream_pressure_at_ms = now_ms

    def _pressure(self) -> float:
        now_ms = self._now_ms()
        age_ms = now_ms - self._downstream_pressure_at_ms
        downstream = self._downstream_pressure * 0.5 ** (age_ms / PRESSURE_HALF_LIFE_MS)
        return max(self._queue.pressure(now_ms), downstream)

    def detect_restart(self) -> None:
        """Take recent runs that ended without a response for those that the crash ended."""
        self.forget_limit()
        self._crash_detector.detect_restart()

    def resize(self, slots: int) -> None:
        """Set the number of calls that the target can run concurrently."""
        self._queue.resize(slots)
        if self._pace is not None:
            self._pace.resize(usable_slots(slots))

    def begin_pace(self) -> None:
        """Pace the target, which has started or recovered, if starts are paced."""
        if self._pace is None:
            return
        now_ms = self._now_ms()
        self._siblings_read_at_ms = float("-inf")
        self._read_siblings(now_ms)
        self._pace.begin(now_ms)
        self._apply_pace()

    def close(self, reason: str) -> None:
        """Refuse new and queued calls with ``reason``; running calls continue."""
        self._closed_reason = reason
        self._deliver_refusals(self._queue.clear(reason, self._now_ms()))

    def reopen(self) -> None:
        """Accept calls again."""
        self._closed_reason = None

    @property
    def is_idle(self) -> bool:
        """Whether no call is queued or running."""
        return not self._calls

    def _deliver(self, call: _Call, outcome: Outcome) -> None:
        callback, call.on_outcome = call.on_outcome, None
        if callback is not None:
            is_nested = self.route_classifier.is_nested(call.frame.route)
            pressure = self._pressure()
            if call.frame.tier == NESTED_CALL_TIER:
                # Refusing new requests where they come in is better than running them in part. New
                # requests for this target itself are refused here, by their importance.
                pressure = max(pressure, self._limit.pressure(self._now_ms()))
            report = TargetReport(
                self.load(),
                is_nested,
                self._makes_calls,
                pressure,
                _is_failed_by_calls(call, outcome),
            )
            callback(with_report(outcome, report))

    @property
    def _makes_calls(self) -> bool:
        return self._nested_call_count > MIN_NESTED_CALLS_PER_RUN * self._run_count

    def _refuse_quarantined(self, call: _Call) -> NotRun | None:
        if not self._crash_guard.has_entries:
            return None
        return self._crash_guard.refuse(call.frame.request_id, call.fingerprints, "target")

    def _refuse_unproven(self, call: _Call) -> NotRun | None:
        """Refuse a request whose key may have been taken away while it was on its way."""
        if not call.organisation or call.frame.tier == NESTED_CALL_TIER:
            return None
        is_proven = self.is_currency_proven is None or self.is_currency_proven()
        return None if is_proven else NotRun("keys_unproven")

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def _expire(self) -> None:
        self._expiry_timer = None
        now_ms = self._now_ms()
        self._report_limit(self._limit.lapse(now_ms))
        self._deliver_refusals(self._queue.expire(now_ms))
        self._run_all(self._queue.start_due(now_ms))
        if self._queue.queued_count:
            self._expiry_timer = self._loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _deliver_refusals(self, refused: tuple[Refusal, ...] | list[Refusal]) -> None:
        for refusal in refused:
            call = self._calls.pop(refusal.job.key, None)
            if call is not None:
                self._deliver(call, NotRun(refusal.reason, refusal.retry_after_ms))

    def _run(self, call: _Call) -> None:
        call.is_running = True
        call.started_at_ms = self._now_ms()
        if self._pace is not None:
            self._pace.record_start(
                call.key, call.frame.route, self._queue.running_count, call.started_at_ms
            )
        self._run_count += 1
        self._pool.acquire(
            must_be_fresh=not call.frame.is_repeatable,
            request_id=call.frame.request_id,
            on_ready=lambda connection: self._send(call, connection),
            on_failure=lambda reason: self._on_connect_failed(call, reason),
        )

    def _send(self, call: _Call, connection: Any) -> None:
        now_ms = self._now_ms()
        remaining_ms = int(call.deadline_ms - now_ms)
        frame = call.frame
        refusal = NotRun("deadline") if call.is_cancelled or remaining_ms <= 0 else None
        # The quarantine may have begun while the call was waiting.
        refusal = refusal or self._refuse_quarantined(call) or self._refuse_unproven(call)
        if refusal is not None:
            self._pool.release(connection)
            self._deliver(call, refusal)
            self._release(call, is_sample=False)
            return
        call.connection = connection
        call.sent_deadline_ms = now_ms + remaining_ms
        call.run = ParentRun(frame.rank, frame.is_retry, frame.route, call.organisation)
        self.running_requests.add(call.number, call.sent_deadline_ms, call.run, frame.request_id)
        headers = self._header_codec.target_headers(frame, remaining_ms)
        connection.send(
            request_head_bytes(frame.method, frame.target, headers, len(frame.body)),
            lambda result: self._on_result(call, result),
            body=frame.body,
            is_head=frame.method == b"HEAD",
            expected_id=frame.request_id or None,
            takes_streams=True,
        )

    def _on_connect_failed(self, call: _Call, reason: str) -> None:
        if reason == "target_unreachable":
            self._crash_detector.detect()
            self._record_lost(call)
        self._deliver(call, NotRun(reason))
        self._release(call, is_sample=False)

    def _on_result(self, call: _Call, result: ExchangeResult) -> None:
        connection = call.connection
        if isinstance(result, HttpResponse) and isinstance(result.body, BodyStream):
            self._begin_long_response(call, result, result.body)
            return
        if isinstance(result, HttpResponse):
            self._pool.release(connection)
            outcome = self._classify(call, result)
            if isinstance(outcome, Answered):
                self._record_completion(call, result.status)
            self._record_pace(call, outcome)
        else:
            outcome = self._on_exchange_failed(call, result)
        self._deliver(call, outcome)
        self._release(call, is_sample=isinstance(outcome, Answered))

    def _begin_long_response(self, call: _Call, response: HttpResponse, stream: BodyStream) -> None:
        """Return a response whose body is still arriving; the run ends with it."""
        outcome = self._classify(call, response)
        self._record_pace(call, outcome)
        if not isinstance(outcome, Answered):
            call.connection.abort()
            self._deliver(call, outcome)
            self._release(call, is_sample=False)
            return
        call.stream = stream
        call.taken_at_ms = self._now_ms()
        stream.on_done = lambda is_whole: self._end_long_response(call, response.status, is_whole)
        stream.on_cancelled = lambda: self.cancel(call.key)
        if call.on_outcome is None:
            # Its caller is gone, but the run must come to its end.
            stream.cancel()
        self._deliver(call, outcome)

    def _end_long_response(self, call: _Call, status: int, is_whole: bool) -> None:
        call.stream = None
        if is_whole:
            self._pool.release(call.connection)
            self._record_completion(call, status)
        else:
            self._on_connection_lost(call)
        self._release(call, is_sample=False)

    def _classify(self, call: _Call, response: HttpResponse) -> Outcome:
        if self._header_codec.is_wrong_upstream(response):
            return NotRun("wrong_upstream", reached_target=True)
        if self._header_codec.is_leaving(response.headers):
            self._listener.on_target_leaving(call.frame.upstream_id)
        self._read_limit(response)
        if self._header_codec.is_not_run(response):
            return NotRun("target_refused", reached_target=True)
        headers = end_to_end_headers(response.headers, frozenset())
        return Answered(response.status, headers, response.body)

    def _record_completion(self, call: _Call, status: int) -> None:
        # An error response may come from a target that fails before it runs anything.
        if status >= FIRST_ERROR_STATUS:
            return
        self.call_counts.record_success(call.run)
        self._crash_guard.record_completion(call.frame)
        if self._crash_guard.has_entries:
            self._crash_guard.clear_suspects(call.fingerprints)

    def adopt_limit(self, limit_per_s: float, age_ms: float) -> None:
        """Apply a limit that another node was told of, unless a response came here since."""
        self._report_limit(self._limit.adopt(limit_per_s, age_ms, self._now_ms()))

    def forget_limit(self) -> None:
        """End the limit that a former incarnation of the target has named."""
        self._report_limit(self._limit.reset(self._now_ms()))

    def _read_limit(self, response: HttpResponse) -> None:
        try:
            limit_per_s = self._header_codec.limit_per_s(response.headers)
        except CottonlinkError as error:
            self._listener.on_target_limit_invalid(error.detail)
            return
        self._report_limit(self._limit.observe(limit_per_s, self._now_ms()))

    def _report_limit(self, change: TargetLimitChange | None) -> None:
        if change is not None:
            self._listener.on_target_limit(change)

    def _on_exchange_failed(self, call: _Call, failure: ExchangeFailed) -> Outcome:
        if not failure.was_sent:
            return NotRun("target_connections")
        if failure.is_connection_lost:
            self._on_connection_lost(call)
        return OutcomeUnknown(failure.reason)

    def _record_pace(self, call: _Call, outcome: Outcome) -> None:
        """Record a response of the target, the outcome of ``call``."""
        if self._pace is None:
            return
        now_ms = self._now_ms()
        if self._pace.is_active:
            self._read_siblings(now_ms)
        is_error = isinstance(outcome, Answered) and outcome.status >= FIRST_SERVER_ERROR_STATUS
        if isinstance(outcome, NotRun) or (is_error and not _is_failed_by_calls(call, outcome)):
            self._pace.record_refusal(call.key, now_ms)
        elif not is_error:
            self._pace.record_answer(call.key, call.frame.route, call.started_at_ms, now_ms)
        self._apply_pace()

    def _record_lost(self, call: _Call) -> None:
        """Record that the target couldn't be reached or lost ``call``."""
        if self._pace is None:
            return
        now_ms = self._now_ms()
        self._read_siblings(now_ms)
        self._pace.record_lost(call.key, now_ms)
        self._apply_pace()

    def _read_siblings(self, now_ms: float) -> None:
        if now_ms >= self._siblings_read_at_ms + SIBLINGS_INTERVAL_MS:
            self._siblings_read_at_ms = now_ms
            self._pace.update_siblings(self._listener.sibling_levels())

    def _apply_pace(self) -> None:
        limit = self._pace.limit()
        if limit != self._paced_limit:
            self._paced_limit = limit
            self._queue.pace(limit)
            self._listener.on_pace_changed(limit)

    def _on_connection_lost(self, call: _Call) -> None:
        self._record_lost(call)
        self._crash_detector.record(call.frame)
        self._log.event("target_connection_lost", request_id=call.frame.request_id)
        self._crash_detector.check_target()

    def _release(self, call: _Call, *, is_sample: bool) -> None:
        """Free the slot of a call and run queued calls.

        ``is_sample`` is whether the call's run time counts as a measured service time.
        """
        if self._calls.pop(call.key, None) is None:
            return
        if self._pace is not None:
            self._pace.record_dropped(call.key)
        self.running_requests.remove(call.number, call.sent_deadline_ms, call.frame.request_id)
        now_ms = self._now_ms()
        self._run_all(self._queue.finish(call.key, now_ms, is_sample=is_sample))

    def _run_all(self, jobs: list[Job]) -> None:
        for job in jobs:
            call = self._calls.get(job.key)
            if call is not None:
                self._run(call)


def _is_failed_by_calls(call: _Call, outcome: Outcome) -> bool:
    """Return whether a run failed as services that it calls have turned its calls away."""
    is_failure = isinstance(outcome, Answered) and outcome.status >= FIRST_SERVER_ERROR_STATUS
    return is_failure and call.run is not None and call.run.turned_away_call_count > 0
