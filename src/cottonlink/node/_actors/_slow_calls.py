"""Actor that queries peers about calls that they have not answered for a while."""

from __future__ import annotations

import collections
from concurrent.futures import ThreadPoolExecutor

import pykka
from attrs import frozen

from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._attempt import AttemptSender
from cottonlink.node._calls import AbortReason, Attempt, CallState, ForwardedCall
from cottonlink.node._control_client import post_json
from cottonlink.node._core import NodeCore

REPLY_TIMEOUT_MS = 500
# A peer that misses this many queries in a row is dead, paused or partitioned. A busy one may miss
# one.
MISSED_REPLY_LIMIT = 2
# A reply later than this means that this process was paused. The reply is outdated: the peer may
# have been restarted since, and the ages in the query were wrong.
LATE_REPLY_MS = 900
QUERY_THREADS = 8
TICKS_PER_CHECK = 3

_ABORT_BY_STATE = {
    CallState.NEVER_SEEN: AbortReason.NEVER_SEEN,
    CallState.UNKNOWN: AbortReason.ANSWER_LOST,
}


@frozen
class CheckSlowCalls:
    """Query peers about the calls that have waited too long for a response."""


WaitingCall = tuple[ForwardedCall, Attempt]


class SlowCallChecker(pykka.ThreadingActor):
    """Queries each peer about all its slow calls in one message, on a new connection.

    Ends attempts that the peer has never seen, whose response is lost, or whose peer doesn't reply.
    """

    use_daemon_thread = True

    def __init__(self, core: NodeCore, sender: AttemptSender) -> None:
        super().__init__()
        self._core = core
        self._sender = sender
        self._silence_ms = core.settings.silence_check_ms
        # Peers that don't reply must not delay the queries to the others.
        self._query_executor = ThreadPoolExecutor(QUERY_THREADS, thread_name_prefix="slow-calls")
        self._peers_being_queried: set[str] = set()

    def on_receive(self, message: object) -> None:
        """Handle ``CheckSlowCalls``."""
        if not isinstance(message, CheckSlowCalls):
            return
        now_ms = self._core.now_ms()
        by_peer: dict[str, list[WaitingCall]] = collections.defaultdict(list)
        for forwarded, attempt in self._core.ingress.calls_awaiting_answer(
            now_ms - self._silence_ms
        ):
            is_due = now_ms - attempt.last_query_ms >= self._silence_ms
            is_open = attempt.abort_reason is None and not attempt.connection.answer_began
            if is_due and is_open:
                by_peer[attempt.control_address].append((forwarded, attempt))
        for address, waiting in by_peer.items():
            if address not in self._peers_being_queried:
                self._peers_being_queried.add(address)
                self._query_executor.submit(self._query_peer, address, waiting)

    def on_stop(self) -> None:
        """Discard the queries that have not been sent yet."""
        self._query_executor.shutdown(wait=False, cancel_futures=True)

    def _query_peer(self, address: str, waiting: list[WaitingCall]) -> None:
        try:
            states = query_call_states(self._core, address, [attempt for _, attempt in waiting])
        except CallError as error:
            for forwarded, attempt in waiting:
                self._handle_missed_reply(forwarded, attempt, error)
        else:
            for forwarded, attempt in waiting:
                self._handle_state(forwarded, attempt, states)
        finally:
            self._peers_being_queried.discard(address)

    def _handle_missed_reply(
        self, forwarded: ForwardedCall, attempt: Attempt, error: CallError
    ) -> None:
        """End the attempt if no process listens at the peer, or if it missed too many queries."""
        attempt.missed_reply_count += 1
        is_peer_down = error.executed is Executed.NO
        if is_peer_down or attempt.missed_reply_count >= MISSED_REPLY_LIMIT:
            self._abort(forwarded, attempt, AbortReason.NO_REPLY)

    def _handle_state(
        self, forwarded: ForwardedCall, attempt: Attempt, states: dict[str, CallState]
    ) -> None:
        attempt.last_query_ms = self._core.now_ms()
        attempt.missed_reply_count = 0
        state = states.get(attempt.call_id, CallState.UNKNOWN)
        if state in _ABORT_BY_STATE:
            self._abort(forwarded, attempt, _ABORT_BY_STATE[state])
        elif state is not CallState.FINISHED:
            attempt.finished_count = 0
        elif attempt.finished_count:
            self._abort(forwarded, attempt, AbortReason.ANSWER_LOST)
        else:
            # The response may be in transit; it is lost if it hasn't arrived by the next query.
            attempt.finished_count = 1

    def _abort(self, forwarded: ForwardedCall, attempt: Attempt, reason: AbortReason) -> None:
        if forwarded.abort_attempt(attempt, reason):
            self._sender.discard_pool(attempt, str(reason))


def query_call_states(
    core: NodeCore, address: str, attempts: list[Attempt]
) -> dict[str, CallState]:
    """Return the states by call id from the node at ``address``.

    After a pause of this process the reply is outdated, and all calls count as running. Raises
    CallError without a valid reply; executed is ``no`` only if no process listens there.
    """
    now_ms = core.now_ms()
    calls = [{"id": a.call_id, "age_ms": now_ms - a.started_ms} for a in attempts]
    reply = post_json(core.clock, address, "/v1/calls", {"calls": calls}, REPLY_TIMEOUT_MS)
    if core.now_ms() - now_ms > LATE_REPLY_MS:
        return {attempt.call_id: CallState.RUNNING for attempt in attempts}
    states = reply.get("states")
    if not isinstance(states, dict):
        raise CallError(
            "upstream_unreachable",
            "reply has no call states",
            step=Step.RELAY,
            peer=address,
            executed=Executed.UNKNOWN,
        )
    known = tuple(CallState)
    return {
        call_id: CallState(state) if state in known else CallState.UNKNOWN
        for call_id, state in states.items()
    }
