"""Checks the invariants of ``docs/design.md`` against what callers, targets and nodes recorded."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from cottonlink.errors import Executed
from cottonlink.observe import EventKind
from emulator.journal import Run, RunOutcome
from emulator.load import BROKEN_ANSWER, NO_ANSWER, Call, Send

# I6 allows "a few seconds" between the request to leave and the start of the last run.
LEAVE_GRACE_MS = 5_000
CUT_OFF_CODES = frozenset({BROKEN_ANSWER, NO_ANSWER, "cancelled", "connection_lost"})


@frozen
class LeaveRequest:
    """``target`` was told to leave at ``at_ms`` (monotonic time).

    Its node was started again at ``restarted_ms``, and may take calls from then on; None if it
    wasn't.
    """

    target: str
    at_ms: int
    restarted_ms: int | None = None

    def covers(self, start_ms: int) -> bool:
        """Return whether no run may start at ``start_ms``."""
        is_restarted = self.restarted_ms is not None and start_ms >= self.restarted_ms
        return start_ms > self.at_ms + LEAVE_GRACE_MS and not is_restarted


@frozen
class Shutdown:
    """``node`` got SIGTERM at ``at_ms``.

    ``exit_status`` is None if it did not exit within the time limit and had to be killed.
    """

    node: str
    caller_address: str
    at_ms: int
    exit_status: int | None


@define
class History:
    """Everything recorded during a scenario.

    ``events`` are the dicts of ``/v1/events``. ``retry_budget`` is the largest number of retries
    of one root request. ``disrupted_addresses`` holds the caller addresses at which a fault may
    break connections. ``final_versions`` maps each live node to the policy version that it reports
    at the end; ``published_version`` is the highest version that was published.
    ``event_margin_ms`` allows for the time between a decision and its event.
    """

    calls: list[Call] = field(factory=list)
    runs: list[Run] = field(factory=list)
    events: list[dict] = field(factory=list)
    retry_budget: int = 3
    disrupted_addresses: set[str] = field(factory=set)
    leave_requests: list[LeaveRequest] = field(factory=list)
    shutdowns: list[Shutdown] = field(factory=list)
    final_versions: dict[str, int] = field(factory=dict)
    published_version: int = 0
    event_margin_ms: int = 1_000

    def sends(self) -> Iterator[tuple[Call, Send]]:
        """Yield each HTTP request of each call, with the call."""
        for call in self.calls:
            for send in call.sends:
                yield call, send


@frozen
class Violation:
    """The number of a broken invariant, for instance ``I5``, and what was found."""

    invariant: str
    detail: str


def check_invariants(history: History) -> list[Violation]:
    """Return all violations in ``history``; an empty list if all invariants held."""
    checks = (
        _check_retry_budget,
        _check_shed_order,
        _check_answers,
        _check_not_executed,
        _check_at_most_once,
        _check_leaving,
        _check_shutdown,
        _check_policy,
    )
    return [violation for check in checks for violation in check(history)]


def _check_retry_budget(history: History) -> Iterable[Violation]:
    """I1: nodes retry one root request at most as often as its budget allows."""
    retries = collections.Counter(
        event["request_id"] for event in history.events if event["kind"] == EventKind.RETRIED
    )
    for root_id, count in retries.items():
        if count > history.retry_budget:
            yield Violation("I1", f"{root_id}: {count} retries, more than the retry budget")


def _check_shed_order(history: History) -> Iterable[Violation]:
    """I2: an owner sheds a call of a request with a key only if it holds no call without one.

    A call without a key counts as held if it was queued or admitted more than ``event_margin_ms``
    before the other was shed, and completed more than ``event_margin_ms`` after that.
    """
    keyed_roots = {call.plan.root_id for call in history.calls if call.plan.key}
    for node, events in _group_by_process(history.events).items():
        reads = [event for event in events if event["request_id"] not in keyed_roots]
        accepted = _first_times(reads, ACCEPTED_EVENT_KINDS)
        completed = _first_times(reads, frozenset({EventKind.COMPLETED}))
        for event in events:
            if not _is_shedding(event) or event["request_id"] not in keyed_roots:
                continue
            shed_ms = wall_ms(event)
            for call_id, accepted_ms in accepted.items():
                completed_ms = completed.get(call_id, 0)
                is_before = accepted_ms + history.event_margin_ms < shed_ms
                if is_before and shed_ms + history.event_margin_ms < completed_ms:
                    yield Violation("I2", f"{node} shed {event['call_id']} and kept {call_id}")


ACCEPTED_EVENT_KINDS = frozenset({EventKind.QUEUED, EventKind.ADMITTED})


def wall_ms(event: dict) -> int:
    """Return the wall-clock time of an event of ``/v1/events`` in ms."""
    time = event["time"]
    return int(time["wall_ms"] if isinstance(time, dict) else str(time).partition(".")[0])


def _first_times(events: list[dict], kinds: frozenset[EventKind]) -> dict[str, int]:
    times: dict[str, int] = {}
    for event in events:
        if event["kind"] in kinds:
            times.setdefault(event["call_id"], wall_ms(event))
    return times


def _is_shedding(event: dict) -> bool:
    """Whether the event says that an owner's queue shed a call; an ingress records other kinds."""
    return event["kind"] == EventKind.EVICTED and event["code"] == "overloaded"


def _check_answers(history: History) -> Iterable[Violation]:
    """I3: each answer is complete and belongs to its request; no undisturbed node truncates one."""
    for call, send in history.sends():
        where = f"{send.send_id} at {send.node}"
        if send.code == BROKEN_ANSWER and (
            send.status or send.node not in history.disrupted_addresses
        ):
            yield Violation("I3", f"{where}: truncated answer")
        if not send.whole:
            continue
        if send.answered_key != call.plan.key:
            yield Violation("I3", f"{where}: got the answer of key {send.answered_key}")
        if not call.plan.key and send.answered_send_id != send.send_id:
            yield Violation("I3", f"{where}: got the answer of send {send.answered_send_id}")


def _check_not_executed(history: History) -> Iterable[Violation]:
    """I4: a request that was answered with ``executed: no`` did not run."""
    by_send = collections.defaultdict(list)
    by_key = collections.defaultdict(list)
    for run in history.runs:
        by_send[run.send_id].append(run)
        by_key[run.key].append(run)
    for call, send in history.sends():
        if not send.status or send.executed != Executed.NO:
            continue
        if any(_is_run_of(run, send, call) for run in by_send[send.send_id]):
            yield Violation("I4", f"{send.send_id}: not executed ({send.code}), but it ran")
        earlier = [run for run in by_key[call.plan.key] if run.start_ms < send.sent_ms]
        if send.permit and call.plan.key and earlier:
            yield Violation("I4", f"{send.send_id}: not executed ({send.code}), but its key ran")


def _is_run_of(run: Run, send: Send, call: Call) -> bool:
    """Whether ``send`` is the latest one with the run's ``send_id`` before the run began."""
    senders = [
        other
        for other in call.sends
        if other.send_id == run.send_id and other.sent_ms <= run.start_ms
    ]
    return bool(senders) and senders[-1] is send


def _check_at_most_once(history: History) -> Iterable[Violation]:
    """I5: a key has at most one run over all targets."""
    runs = collections.Counter(run.key for run in history.runs if run.key)
    for key, count in runs.items():
        if count > 1:
            yield Violation("I5", f"{key}: {count} runs, expected at most 1")


def _check_leaving(history: History) -> Iterable[Violation]:
    """I6: a leaving node starts only calls that it had queued; its target soon gets no new run."""
    for leave in history.leave_requests:
        late_runs = [
            run for run in history.runs if run.target == leave.target and leave.covers(run.start_ms)
        ]
        if late_runs:
            yield Violation("I6", f"{leave.target}: {len(late_runs)} runs started after it left")
    for node, events in _group_by_process(history.events).items():
        yield from _check_leaving_node(node, events)


def _check_leaving_node(node: str, events: list[dict]) -> Iterable[Violation]:
    accepted: set[str] = set()
    is_leaving = False
    for event in events:
        if event["kind"] == EventKind.STATE_CHANGED:
            is_leaving = event["code"] == "leaving"
        elif event["kind"] == EventKind.QUEUED:
            accepted.add(event["call_id"])
        is_new = event["kind"] == EventKind.ADMITTED and event["call_id"] not in accepted
        if is_leaving and is_new:
            yield Violation("I6", f"{node} admitted new call {event['call_id']} while leaving")


def _check_shutdown(history: History) -> Iterable[Violation]:
    """I7: a node that is shut down gracefully finishes its calls and exits with status 0."""
    for shutdown in history.shutdowns:
        if shutdown.exit_status != 0:
            yield Violation(
                "I7", f"{shutdown.node}: expected exit status 0, got {shutdown.exit_status}"
            )
        for _, send in history.sends():
            is_in_flight = send.sent_ms < shutdown.at_ms <= send.answered_ms
            if send.node != shutdown.caller_address or not is_in_flight:
                continue
            if send.code in CUT_OFF_CODES:
                yield Violation("I7", f"{send.send_id}: {send.code} at {shutdown.node}")
        for run in history.runs:
            if run.target != shutdown.node or run.start_ms > shutdown.at_ms:
                continue
            if run.outcome in (RunOutcome.RUNNING, RunOutcome.CANCELLED):
                yield Violation("I7", f"{run.send_id}: {run.outcome} at {run.target}")


def _check_policy(history: History) -> Iterable[Violation]:
    """I8: policy versions only rise at each node, and all live nodes end with the highest."""
    for node, events in _group_by_process(history.events).items():
        versions = [
            int(event["details"]["version"])
            for event in events
            if event["kind"] == EventKind.POLICY_ACCEPTED
        ]
        if versions != sorted(set(versions)):
            yield Violation("I8", f"{node} accepted versions out of order: {versions}")
    for node, version in history.final_versions.items():
        if version != history.published_version:
            yield Violation(
                "I8", f"{node} lacks the published policy: ended with version {version}"
            )


def _group_by_process(events: list[dict]) -> dict[str, list[dict]]:
    """Return the events of each process of a node, in the order in which it recorded them.

    ``life`` is the process id, which tells restarts of one node apart; ``Fleet.collect_events``
    adds it.
    """
    by_node: dict[str, list[dict]] = collections.defaultdict(list)
    for event in events:
        by_node[f"{event['node']}/{event.get('life', 0)}"].append(event)
    for own in by_node.values():
        own.sort(key=lambda event: event["sequence"])
    return dict(by_node)
