"""Graceful shutdown of a node: which requests it still takes, and when its process may end."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from cottonlink.path._connection_end import ConnectionEnd
from cottonlink.path._listeners import Listeners
from cottonlink.path._state import NodeState
from cottonlink.path.callers._caller_connection import CallerConnection
from cottonlink.path.callers._ingress import Ingress
from cottonlink.path.peers._peer_server import PeerConnection

# Time after SIGTERM for which new callers still arrive: the readiness check that directs them here
# runs once a second and needs two failures to stop.
NEW_CALLERS_AFTER_SHUTDOWN_MS = 2_600.0
# Time after SIGTERM for which a node still runs calls of other nodes that find no other target. The
# rest of NEW_CALLERS_AFTER_SHUTDOWN_MS is for calls that are already in transit.
PEER_CALLS_AFTER_SHUTDOWN_MS = 2_300.0
# These times are at most such shares of the time until SIGKILL.
NEW_CALLERS_SHARE = 0.44
PEER_CALLS_SHARE = 0.39
# Share of the time until SIGKILL after which new requests are refused, so that those accepted
# before can still end.
ACCEPT_SHARE = 0.47
# Time after SIGTERM for which callers can't be expected to know of it. A request that comes later
# is accepted only if it ends before the node does, whatever its target does.
UNAWARE_CALLERS_MS = 2_900.0
# Share of the time until SIGKILL after which no more connections are accepted, so that those
# accepted before get a response.
LISTEN_SHARE = 0.8
# Shares of the time until SIGKILL that are left for the end of the process: at least the first, and
# the second unless that is longer than EXIT_MS.
EXIT_SHARE = 0.05
SHORT_EXIT_SHARE = 0.125
EXIT_MS = 300.0
# Time before the end at which requests that still have no response get a final one, but no earlier
# than this share of the time until SIGKILL: up to it callers may count on their runs.
LAST_RESPONSES_MS = 250.0
CUT_SHARE = 0.84
# Retry-After of requests that haven't been read when the node ends: others can serve them at once.
UNFINISHED_RETRY_AFTER_MS = 50.0
# Longest time for which the connections of peers that have everything may take to close.
PEER_LINGER_MS = 500.0
# Request ids in one line of the log.
LOGGED_IDS_LIMIT = 8


def report_connection_end(state: NodeState, end: ConnectionEnd) -> None:
    """Log how a caller's connection ended, and count a response that was cut short."""
    if end.is_answer_cut_short:
        state.metrics.count("answers_cut_short", end.cause)
    state.log.event(
        "caller_connection_ended",
        cause=end.cause,
        unsent_bytes=end.unsent_bytes,
        unread_bytes=end.unread_bytes,
        requests=len(end.unanswered_ids),
        started=end.started_count,
        request_ids=end.unanswered_ids[:LOGGED_IDS_LIMIT],
    )


@define(eq=False)
class Shutdown:
    """A shutdown in progress, which the node's periodic sweep advances.

    ``on_done`` is called once the work in progress has ended, or shortly before ``grace_ms`` are
    over. Some time before that, requests without a response are given a final one. ``takes_calls``
    tells whether the node still runs calls of other nodes.
    """

    _state: NodeState
    _ingress: Ingress
    _listeners: Listeners
    _caller_connections: set[CallerConnection]
    _peer_connections: set[PeerConnection]
    _grace_ms: float
    _on_done: Callable[[], None]
    started_ms: float = field(init=False)
    takes_calls: bool = field(default=True, init=False)
    is_done: bool = field(default=False, init=False)
    _peers_ended_ms: float | None = field(default=None, init=False)

    def begin(self) -> None:
        """Tell the peers that this node is shutting down."""
        self.started_ms = self._state.now_ms()
        self._state.log.event(
            "node_leaving", callers=len(self._caller_connections), peers=len(self._peer_connections)
        )
        for peer in self._peer_connections:
            peer.send_leaving(takes_calls=True)
        for due_ms in (self._last_responses_ms, self._end_ms):
            self._state.loop.call_later(due_ms / 1000.0, self.advance)

    def accepts_request(self, longest_ms: float) -> bool:
        """Return whether to accept another request of a caller.

        ``longest_ms`` is the time until its own deadline, or that of its route.
        """
        # The event loop still runs callbacks between the end of the shutdown and the process's.
        if self.is_done or self._peers_ended_ms is not None:
            return False
        elapsed_ms = self._elapsed_ms()
        if elapsed_ms >= self._grace_ms * ACCEPT_SHARE:
            return False
        is_over_in_time = elapsed_ms + longest_ms <= self._last_responses_ms
        return is_over_in_time or elapsed_ms < UNAWARE_CALLERS_MS

    def advance(self) -> None:
        """Take the steps that are due."""
        if self.is_done:
            return
        elapsed_ms = self._elapsed_ms()
        dispatcher = self._state.dispatcher
        peer_calls_ms = min(PEER_CALLS_AFTER_SHUTDOWN_MS, self._grace_ms * PEER_CALLS_SHARE)
        if self.takes_calls and elapsed_ms >= peer_calls_ms:
            self.takes_calls = False
            for peer in self._peer_connections:
                peer.send_leaving(takes_calls=False)
            dispatcher.close("node_leaving")
        if elapsed_ms < min(NEW_CALLERS_AFTER_SHUTDOWN_MS, self._grace_ms * NEW_CALLERS_SHARE):
            return
        if self._last_responses_ms <= elapsed_ms < self._end_ms:
            self._ingress.give_up_all("node_stopped")
            self._refuse_unfinished()
        is_work_done = self._ingress.is_idle and dispatcher.is_idle
        # Long responses may still be on their way from other nodes.
        is_work_done = is_work_done and not self._state.peer_links.pending_count()
        # What was accepted just before the listeners closed gets a sweep's time to appear.
        is_listening = self._listeners.is_open
        if is_work_done or elapsed_ms >= self._grace_ms * LISTEN_SHARE:
            # Callers that connect to a process that ends would wait for a response in vain.
            self._listeners.close_when_accepted()
        # Idle keep-alive connections are closed only once no new callers are directed here.
        for connection in list(self._caller_connections):
            connection.close_if_idle()
        is_idle = is_work_done and not is_listening and self._end_peers()
        is_idle = is_idle and not self._caller_connections
        if is_idle or elapsed_ms >= self._end_ms:
            self.is_done = True
            self._listeners.close()
            self._report_stop(elapsed_ms, is_idle)
            self._on_done()

    def _refuse_unfinished(self) -> None:
        """Refuse the requests of which not everything has been read: none of them has run."""
        for connection in list(self._caller_connections):
            if connection.refuse_unfinished(
                self._state.header_codec.retry_after(UNFINISHED_RETRY_AFTER_MS)
            ):
                self._state.metrics.count("requests_refused", "node_stopped")

    def _end_peers(self) -> bool:
        """End the connections to and from peers; return whether all of them have everything."""
        links = self._state.peer_links.all()
        now_ms = self._state.now_ms()
        if self._peers_ended_ms is None:
            self._peers_ended_ms = now_ms
        # Repeated, since a change of the store may still open a link.
        for connection in [*self._peer_connections, *links]:
            connection.end()
        if not self._peer_connections and not any(link.connection_count for link in links):
            return True
        # A peer that doesn't close its side has everything nonetheless.
        return now_ms - self._peers_ended_ms >= PEER_LINGER_MS and self._peer_unsent_bytes() == 0

    def _peer_unsent_bytes(self) -> int:
        connections = [*self._peer_connections, *self._state.peer_links.all()]
        return sum(connection.unsent_bytes() for connection in connections)

    def _report_stop(self, elapsed_ms: float, is_idle: bool) -> None:
        ends = [connection.describe_end("process_end") for connection in self._caller_connections]
        for end in ends:
            report_connection_end(self._state, end)
        self._state.log.event(
            "node_stopped",
            after_ms=round(elapsed_ms),
            was_idle=is_idle,
            callers=len(ends),
            requests=sum(len(end.unanswered_ids) for end in ends),
            unsent_bytes=sum(end.unsent_bytes for end in ends),
            peers=len(self._peer_connections),
            peer_unsent_bytes=self._peer_unsent_bytes(),
            calls=self._state.peer_links.pending_count(),
        )
        self._state.log.flush()

    @property
    def _last_responses_ms(self) -> float:
        """Time after SIGTERM at which no request is waited for any longer."""
        return max(self._end_ms - LAST_RESPONSES_MS, self._grace_ms * CUT_SHARE)

    @property
    def _end_ms(self) -> float:
        """Time after SIGTERM at which the process ends, whatever is in progress."""
        exit_ms = max(self._grace_ms * EXIT_SHARE, min(self._grace_ms * SHORT_EXIT_SHARE, EXIT_MS))
        return self._grace_ms - exit_ms

    def _elapsed_ms(self) -> float:
        return self._state.now_ms() - self.started_ms
