"""Callers: open-loop arrivals drawn from a seed, with resends through several nodes.

A *call* is one request of a caller; a *send* is one HTTP request that the caller makes for it.

A caller keeps the permit of a request together with its key, as ``docs/callers.md`` requires: it
drops a permit only after an answer which says that the request was not executed, and it never
asks for another permit after an answer which says ``unknown``.
"""

from __future__ import annotations

import concurrent.futures
import enum
import json
import random
import threading
import time
from collections.abc import Callable, Sequence

import urllib3
from attrs import define, field, frozen

from cottonlink._headers import DEADLINE_MS, EXECUTED, IDEMPOTENCY_KEY, PERMIT, TRACEPARENT
from cottonlink.errors import Executed
from emulator.journal import monotonic_ms
from emulator.target import SEND_PARAMETER, parse_answer_body

PERMIT_REQUIRED = "permit_required"
# Codes that the caller itself records when it gets no complete answer from a node.
NO_ANSWER = "no_answer"
NOT_CONNECTED = "not_connected"
BROKEN_ANSWER = "broken_answer"
MAX_THREADS = 400
MAX_RETRY_AFTER_MS = 5_000


class CallOutcome(enum.StrEnum):
    """What the caller knows about a call after its last send.

    ``WHOLE``: it got a complete answer. ``REFUSED_NOT_RUN``: every send was answered with
    ``executed: no`` or didn't reach a node. ``UNKNOWN``: the request may have run.
    """

    WHOLE = "whole"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"


@frozen
class CallPlan:
    """One request of a caller, sent ``at_ms`` after the start of the load.

    ``nodes`` are the caller addresses to which the sends go in turn.
    """

    at_ms: int
    method: str
    path: str
    key: str
    root_id: str
    nodes: tuple[str, ...]
    body: bytes = b""


@frozen
class CallerOptions:
    """How callers behave. ``timeout_ms`` bounds one send, ``pause_ms`` separates resends.

    With ``reuses_send_id`` all sends of a call have the same send id, so that their URLs and bodies
    are equal. With ``obeys_retry_after`` the caller waits as long as a node asks for, up to
    ``MAX_RETRY_AFTER_MS``.
    """

    max_sends: int = 4
    timeout_ms: int = 2_000
    pause_ms: int = 0
    obeys_retry_after: bool = False
    reuses_send_id: bool = False


@define
class Send:
    """One HTTP request of a caller and its result.

    ``whole`` tells whether a complete answer with the right digest came back. ``code`` is the
    problem code of the node's answer, or one of the codes that the caller records.
    """

    send_id: str
    node: str
    sent_ms: int
    permit: str = ""
    answered_ms: int = 0
    status: int = 0
    code: str = ""
    executed: str = Executed.UNKNOWN
    whole: bool = False
    answered_key: str = ""
    answered_send_id: str = ""
    retry_after_ms: int = 0
    new_permit: str = ""


@define
class Call:
    """A request of a caller with all its sends."""

    plan: CallPlan
    sends: list[Send] = field(factory=list)

    @property
    def outcome(self) -> CallOutcome:
        if any(send.whole for send in self.sends):
            return CallOutcome.WHOLE
        if all(send.executed == Executed.NO for send in self.sends):
            return CallOutcome.REFUSED_NOT_RUN
        return CallOutcome.UNKNOWN

    @property
    def held_permit(self) -> str:
        """The permit for the next send, or an empty string."""
        permit = ""
        for send in self.sends:
            permit = _next_permit(permit, send)
        return permit

    @property
    def last(self) -> Send:
        return self.sends[-1]

    @property
    def end_ms(self) -> int:
        return self.last.answered_ms


class Caller:
    """Makes calls through nodes. Thread-safe."""

    def __init__(self, options: CallerOptions | None = None) -> None:
        self.options = options or CallerOptions()
        self._http = urllib3.PoolManager(num_pools=64, maxsize=MAX_THREADS, retries=False)

    def call(self, plan: CallPlan) -> Call:
        """Send a request until the answer is final or ``max_sends`` is reached."""
        call = Call(plan)
        self.continue_call(call, self.options.max_sends)
        return call

    def request_permit(self, call: Call) -> bool:
        """Send the request of ``call`` without a permit; return whether it got one."""
        call.sends.append(self.send(call.plan, call.plan.nodes[0], len(call.sends)))
        return bool(call.held_permit)

    def continue_call(self, call: Call, remaining_sends: int) -> None:
        """Send the request of ``call`` up to ``remaining_sends`` more times.

        A send that only gets a permit isn't counted: the next send uses it at the same node.
        """
        permit = call.held_permit
        while remaining_sends > 0:
            node = call.plan.nodes[len(call.sends) % len(call.plan.nodes)]
            if call.sends and call.last.new_permit:
                node = call.last.node
            send = self.send(call.plan, node, len(call.sends), permit)
            call.sends.append(send)
            if send.whole or _is_final(send):
                return
            is_permit_fetch = bool(send.new_permit) and not permit
            permit = call.held_permit
            if not is_permit_fetch:
                remaining_sends -= 1
                self._pause(send)

    def send(self, plan: CallPlan, node: str, number: int = 0, permit: str = "") -> Send:
        """Make one HTTP request and return its result; a failure is recorded, not raised."""
        reuses = self.options.reuses_send_id
        send_id = plan.root_id if reuses else f"{plan.root_id}-{number}"
        send = Send(send_id, node, monotonic_ms(), permit)
        try:
            response = self._http.request(
                plan.method,
                f"http://{node}{plan.path}?{SEND_PARAMETER}={send_id}",
                body=plan.body or None,
                headers=self._headers(plan, number, permit),
                timeout=self.options.timeout_ms / 1000,
            )
        except urllib3.exceptions.NewConnectionError:
            send.code, send.executed = NOT_CONNECTED, Executed.NO
        except urllib3.exceptions.HTTPError as error:
            send.code = NO_ANSWER
            if isinstance(error, urllib3.exceptions.ProtocolError):
                send.code = BROKEN_ANSWER
        else:
            _read_answer(send, response)
        send.answered_ms = monotonic_ms()
        return send

    def _headers(self, plan: CallPlan, number: int, permit: str) -> dict[str, str]:
        headers = {
            TRACEPARENT: f"00-{plan.root_id}-{number + 1:016x}-01",
            DEADLINE_MS: str(self.options.timeout_ms),
        }
        if plan.key:
            headers[IDEMPOTENCY_KEY] = plan.key
        if permit:
            headers[PERMIT] = permit
        return headers

    def _pause(self, send: Send) -> None:
        pause_ms = self.options.pause_ms
        if self.options.obeys_retry_after:
            pause_ms = max(pause_ms, min(send.retry_after_ms, MAX_RETRY_AFTER_MS))
        time.sleep(pause_ms / 1000)


def _is_final(send: Send) -> bool:
    """Whether a resend can't change the outcome, as the node knows that the run is over."""
    return 400 <= send.status < 500 and send.code not in (PERMIT_REQUIRED, "already_refused")


def _next_permit(permit: str, send: Send) -> str:
    if send.new_permit:
        return send.new_permit
    return "" if send.executed == Executed.NO else permit


def _read_answer(send: Send, response: urllib3.BaseHTTPResponse) -> None:
    send.status = response.status
    if response.status == 200:
        _read_success(send, response.data)
        return
    send.executed = response.headers.get(EXECUTED, Executed.UNKNOWN)
    if "problem+json" in response.headers.get("Content-Type", ""):
        problem = json.loads(response.data)
        send.code = problem.get("code", "")
        send.executed = problem.get("executed", send.executed)
        send.retry_after_ms = problem.get("retry_after_ms") or 0
    if response.status == 428:
        send.new_permit = response.headers.get(PERMIT, "")


def _read_success(send: Send, body: bytes) -> None:
    content = parse_answer_body(body)
    if content is None:
        send.code = BROKEN_ANSWER
        return
    send.whole = True
    send.executed = Executed.YES
    send.answered_key = content["key"]
    send.answered_send_id = content["send"]


@frozen
class RequestMixEntry:
    """One kind of request in a load: its share, and whether it carries an idempotency key."""

    method: str
    path: str
    share: float
    keyed: bool = False


def plan_calls(
    seed: int,
    request_mix: Sequence[RequestMixEntry],
    nodes: Sequence[str],
    rates_per_s: Sequence[tuple[int, float]],
    nodes_per_call: int = 3,
) -> list[CallPlan]:
    """Return calls with Poisson arrivals, reproducible from ``seed``.

    ``rates_per_s`` lists consecutive periods as pairs (duration in ms, arrivals per second).
    """
    rng = random.Random(seed)
    plans: list[CallPlan] = []
    start_ms = 0
    for duration_ms, rate in rates_per_s:
        at_ms = start_ms + rng.expovariate(rate) * 1000
        while at_ms < start_ms + duration_ms:
            entry = rng.choices(request_mix, [entry.share for entry in request_mix])[0]
            root_id = f"{rng.getrandbits(128) | 1:032x}"
            chosen = tuple(rng.sample(list(nodes), min(nodes_per_call, len(nodes))))
            key = f"key-{root_id}" if entry.keyed else ""
            plans.append(CallPlan(int(at_ms), entry.method, entry.path, key, root_id, chosen))
            at_ms += rng.expovariate(rate) * 1000
        start_ms += duration_ms
    return plans


def run_load(
    plans: Sequence[CallPlan],
    caller: Caller,
    timed_actions: Sequence[tuple[int, Callable[[], object]]] = (),
) -> list[Call]:
    """Make all calls at their times, without waiting for earlier ones, and return them.

    ``timed_actions`` lists pairs (ms since the start, action) that run during the load, for
    instance to slow a target down.
    """
    start_ms = monotonic_ms()
    timers = [threading.Timer(at_ms / 1000, action) for at_ms, action in timed_actions]
    for timer in timers:
        timer.start()
    with concurrent.futures.ThreadPoolExecutor(MAX_THREADS) as pool:
        futures = []
        for plan in plans:
            time.sleep(max(0, start_ms + plan.at_ms - monotonic_ms()) / 1000)
            futures.append(pool.submit(caller.call, plan))
        calls = [future.result() for future in futures]
    for timer in timers:
        timer.join()
    return calls
