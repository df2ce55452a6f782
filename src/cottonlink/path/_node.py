"""One node of the call path: listeners, connections to peers, configuration and shutdown."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from attrs import evolve

from cottonlink.errors import CottonlinkError, ListenError
from cottonlink.organisations import make_currency_proof
from cottonlink.overload import (
    Hold,
    LimitChange,
    make_crash_registry,
    make_leaving_targets,
    make_load_balancer,
    make_memory_account,
    make_quarantine,
    make_retry_budget,
    make_route_throttle,
    make_traffic_split,
)
from cottonlink.path._body import WholeBody
from cottonlink.path._connection_end import ConnectionEnd
from cottonlink.path._header_codec import HeaderCodec
from cottonlink.path._http import Headers, parse_address
from cottonlink.path._listeners import Listeners
from cottonlink.path._log import EventLog
from cottonlink.path._metrics import PathMetrics
from cottonlink.path._model import CallerLimits, Configuration, Load, Request, Upstream
from cottonlink.path._paced_input import Turns
from cottonlink.path._process_memory import make_process_memory
from cottonlink.path._settings import NodeSettings
from cottonlink.path._shutdown import Shutdown, report_connection_end
from cottonlink.path._state import NodeState
from cottonlink.path.callers._caller_connection import CallerConnection
from cottonlink.path.callers._client_memory import ClientMemory
from cottonlink.path.callers._exchange import Exchange
from cottonlink.path.callers._ingress import Ingress
from cottonlink.path.callers._status_server import StatusServer
from cottonlink.path.peers._currency_exchange import CurrencyExchange
from cottonlink.path.peers._frames import (
    CurrencyAnswerFrame,
    CurrencyQuestionFrame,
    QuarantineFrame,
    QuotaAnswerFrame,
    QuotaRequestFrame,
    SnapshotRequestFrame,
    StoreChangesFrame,
    StoreSnapshotFrame,
    TargetLimitFrame,
    TargetsLeavingFrame,
)
from cottonlink.path.peers._leaving_exchange import LeavingExchange
from cottonlink.path.peers._limit_exchange import LimitExchange
from cottonlink.path.peers._peer_links import Address, PeerLinkListener, PeerLinks
from cottonlink.path.peers._peer_notices import PeerNotices
from cottonlink.path.peers._peer_server import PeerConnection
from cottonlink.path.peers._quarantine_exchange import QuarantineExchange
from cottonlink.path.peers._quota_service import QuotaService
from cottonlink.path.target._crash_guard import CrashGuard
from cottonlink.path.target._own_target import OwnTarget

# Interval of the periodic check of links, pooled connections and a shutdown in progress.
SWEEP_INTERVAL_S = 0.1
# Callers' connections are checked for time-outs in every nth sweep.
SWEEPS_PER_CALLER_SWEEP = 5
# What is in quarantine, and which targets leave, is told to other nodes in every nth sweep, and
# runs that are overdue are ended.
SWEEPS_PER_SPREAD = 10
# Retry-After while shutting down: short, since another node can serve the caller at once.
LEAVING_RETRY_AFTER_MS = 50.0
# Retry-After when there is no room for a request's body: about the time in which one body leaves.
MEMORY_RETRY_AFTER_MS = 1_000.0
# Rank of requests that no route is known for.
LOWEST_RANK = 1_000
# A node that depends on a snapshot requests it from one peer at a time; a reply takes a few round
# trips.
SNAPSHOT_REQUEST_INTERVAL_MS = 300.0
# Peers in one line of the log.
LOGGED_PEERS_LIMIT = 16
# Problems of a configuration that are logged.
LOGGED_PROBLEMS_LIMIT = 16


class StoreView(Protocol):
    """This node's copy of the store, updated with what other nodes send."""

    def apply_changes(self, frame: StoreChangesFrame) -> None:
        """Apply changes that a watching node has sent."""

    def apply_snapshot(self, frame: StoreSnapshotFrame) -> None:
        """Apply the whole copy of another node."""

    def snapshot(self) -> StoreSnapshotFrame | None:
        """Return this node's whole copy, or None if it has none yet."""

    def snapshot_request(self) -> SnapshotRequestFrame | None:
        """Return the request for a later copy, or None if this node doesn't depend on one."""


class Node(PeerLinkListener):
    """Carries calls between callers, other nodes and the target next to it."""

    def __init__(
        self,
        settings: NodeSettings,
        header_codec: HeaderCodec,
        log: EventLog,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._loop = loop
        target_address = parse_address(settings.target_address)
        # The random part tells this incarnation of the node from earlier ones.
        crash_registry = make_crash_registry(
            f"{settings.node}-{rng.getrandbits(32):08x}", make_quarantine()
        )
        self.state = NodeState(
            loop=loop,
            rng=rng,
            service=settings.service,
            target_address=target_address,
            peer_port=parse_address(settings.peer_address)[1],
            header_codec=header_codec,
            log=log,
            metrics=PathMetrics(),
            load_balancer=make_load_balancer(
                settings.data_centre, rng, paces_starts=settings.paces_starts
            ),
            retry_budget=make_retry_budget(
                settings.repeat_ratio,
                settings.repeat_allowance,
                settings.repeat_window_s * 1000.0,
                rng,
            ),
            route_throttle=make_route_throttle(self._on_route_limit_changed),
            traffic_split=make_traffic_split(rng),
            crash_registry=crash_registry,
            crash_guard=CrashGuard(crash_registry, log, self.now_ms),
            leaving_targets=make_leaving_targets(),
            memory=make_memory_account(settings.memory_mb, loop.call_soon),
            turns=Turns(loop),
            currency=make_currency_proof(settings.revocation_s * 1000.0 or None),
            paces_starts=settings.paces_starts,
        )
        self.memory = self.state.memory
        self._process_memory = make_process_memory(settings.memory_mb, log, self.state.metrics)
        self._client_memory = ClientMemory(self.state)
        self.connections = self._client_memory.account
        self.state.peer_links = PeerLinks(self, loop)
        self._caller_connections: set[CallerConnection] = set()
        self._peer_connections: set[PeerConnection] = set()
        peers = PeerNotices(self.state, self._peer_connections)
        self._quarantine_exchange = QuarantineExchange(self.state, peers)
        self._leaving_exchange = LeavingExchange(self.state, peers, self._use_upstreams)
        self._target = OwnTarget(
            self.state, self._quarantine_exchange, self._leaving_exchange, loop
        )
        self.dispatcher = self.state.dispatcher = self._target.dispatcher
        self._limit_exchange = LimitExchange(self.state, peers, self._target)
        self._currency_exchange = CurrencyExchange(self.state)
        self.state.quotas = QuotaService(self.state)
        self._ingress = Ingress(self.state, self._on_response)
        # As registered in the store.
        self._upstreams: list[Upstream] = []
        self._listeners = Listeners(loop, self._on_address_in_use)
        self._status_server: StatusServer | None = None
        self._metrics_task: asyncio.Task | None = None
        self._shutdown: Shutdown | None = None
        self._sweep_count = 0
        self._has_waiting_bodies = False
        self._is_closed = False
        # What waits to be sent to other nodes.
        self._peers_hold: Hold | None = None
        self.store_view: StoreView | None = None
        self._snapshot_requested_at_ms = float("-inf")

    async def start(self) -> None:
        """Open the listeners, which waits for those whose address is still in use.

        Raises ListenError if one can never be opened. Without the one for metrics the node serves
        nonetheless.
        """
        settings = self._settings
        await self._listeners.open(settings.caller_address, lambda: CallerConnection(self))
        await self._listeners.open(settings.peer_address, lambda: PeerConnection(self))
        self._status_server = StatusServer(
            self._loop,
            {
                settings.readiness_path.encode(): self._readiness,
                b"/metrics": lambda: (200, self.state.metrics.render()),
            },
            self.connections,
            self.call_soon,
            self.on_request_rejected,
            self.on_failure,
        )
        await self._open_status(settings.ready_address)
        if settings.metrics_address != settings.ready_address:
            self._metrics_task = self._loop.create_task(self._open_metrics())
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.state.log.event(
            "node_started",
            service=settings.service,
            data_centre=settings.data_centre,
            revocation_s=settings.revocation_s,
            memory_mb=settings.memory_mb,
        )

    async def _open_status(self, address: str) -> None:
        await self._listeners.open(address, lambda: CallerConnection(self._status_server))

    async def _open_metrics(self) -> None:
        try:
            await self._open_status(self._settings.metrics_address)
        except ListenError as error:
            self.state.log.event("listen_failed", address=error.peer, error=error.detail)

    def _on_address_in_use(self, address: str, error: str) -> None:
        self.state.log.event("listen_waiting", address=address, error=error)

    def begin_shutdown(self, on_done: Callable[[], None]) -> None:
        """Start a graceful shutdown; ``on_done`` is called once the work in progress has ended."""
        if self._shutdown is not None:
            return
        self._shutdown = Shutdown(
            self.state,
            self._ingress,
            self._listeners,
            self._caller_connections,
            self._peer_connections,
            self._settings.grace_s * 1000.0,
            on_done,
        )
        self._shutdown.begin()

    def close(self) -> None:
        """Close all listeners and connections at once."""
        self._listeners.close()
        for link in self.state.peer_links.all():
            link.close()
        for connection in [*self._caller_connections, *self._peer_connections]:
            connection.close()
        self._target.pool.drop_idle()
        self._is_closed = True

    # Called with what operators and targets publish.
    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if its version is newer than the present one."""
        present = self.state.configuration_version
        if present is not None and configuration.version <= present:
            if configuration.version < present:
                self.state.log.event(
                    "configuration_ignored", version=configuration.version, present=present
                )
            return
        self.state.configuration = configuration
        organisations = configuration.organisations
        self.state.quotas.set_organisations(organisations)
        self.dispatcher.is_currency_proven = (
            None if organisations is None else self.state.is_currency_proven
        )
        limit = configuration.connection_limits.get(self._settings.service)
        if limit is not None:
            self._target.pool.limit = max(1, int(limit * self._settings.connection_share))
        self.state.log.event(
            "configuration_applied",
            version=configuration.version,
            previous=present,
            routes=len(configuration.routes),
            organisations=organisations and len(organisations.organisations),
            keys=organisations and organisations.key_count,
        )
        for problem in configuration.problems[:LOGGED_PROBLEMS_LIMIT]:
            self.state.log.event("configuration_problem", detail=problem)

    def apply_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the set of known upstreams."""
        self._upstreams = list(upstreams)
        self._use_upstreams()

    def _use_upstreams(self) -> None:
        """Use the upstreams that are registered, but those that have said that they leave."""
        is_leaving = self.state.leaving_targets.is_leaving
        upstreams = [evolve(u, is_draining=True) if is_leaving(u) else u for u in self._upstreams]
        vm_ips = {upstream.vm_ip for upstream in upstreams}
        self.state.load_balancer.set_node_count(len(vm_ips))
        self.state.load_balancer.update(upstreams, self.now_ms())
        self.dispatcher.route_classifier.set_service_count(len({u.service for u in upstreams}))
        self.state.retry_budget.set_node_count(len(vm_ips))
        self.state.quotas.set_nodes(vm_ips)
        self.state.peer_links.keep_only({(ip, self.state.peer_port) for ip in vm_ips})
        own = [u for u in upstreams if u.address == self.state.target_address]
        takes_calls = self._shutdown is None or self._shutdown.takes_calls
        self._target.update(own, takes_calls=takes_calls)
        self.state.log.event("upstreams_changed", count=len(upstreams))

    def broadcast_changes(self, frame: StoreChangesFrame) -> None:
        """Send changes of the store to the other nodes of the data centre."""
        own_ip = self.state.target_address[0]
        vm_ips = {
            upstream.vm_ip
            for upstream in self.state.load_balancer.upstreams()
            if upstream.data_centre == self._settings.data_centre and upstream.vm_ip != own_ip
        }
        for vm_ip in vm_ips:
            self.state.peer_links.link((vm_ip, self.state.peer_port)).send_or_open(frame)
        if frame.items:
            self.state.log.event(
                "store_changes_sent",
                after=frame.after,
                revision=frame.revision,
                items=len(frame.items),
                peers=sorted(vm_ips)[:LOGGED_PEERS_LIMIT],
                peer_count=len(vm_ips),
            )

    def record_store_answer(self, asked_at_ms: float, era: int) -> None:
        """Note that an answer of the store, no older than its question, has been applied."""
        self._currency_exchange.record_store_answer(asked_at_ms, era)

    def record_watch_answer(self) -> None:
        """Note that the store knew no newer configuration a moment ago."""
        self._currency_exchange.record_watch_answer()

    def set_watchers(self, vm_ips: tuple[str, ...]) -> None:
        """Note which nodes watch the store for the data centre."""
        self._currency_exchange.watcher_ips = vm_ips

    def apply_settings(self, settings: NodeSettings) -> None:
        """Replace the settings. Those that are used only at the start, such as addresses, stay."""
        self._settings = settings
        self.state.log.event("settings_reloaded")

    # Implements CallerHandler.
    def now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def call_soon(self, callback: Callable[[], None]) -> None:
        self.state.turns.call_soon(callback)

    def caller_limits(self) -> CallerLimits:
        configuration = self.state.configuration
        return configuration.limits if configuration else CallerLimits()

    def is_repeatable(self, request: Request) -> bool:
        route = self.state.find_route(request)
        return route is not None and route.is_repeatable

    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: WholeBody
    ) -> Request | None:
        return self.state.header_codec.parse_request(method, target, headers, body)

    def hold_body(self, request: Request | None) -> Hold:
        route = request and self.state.find_route(request)
        return self.memory.open("caller_requests", route.rank if route else LOWEST_RANK)

    def refuse_body(self, request: Request | None) -> Headers:
        return self._refuse(request, "memory_full", MEMORY_RETRY_AFTER_MS)

    def serve(self, exchange: Exchange) -> None:
        if self._shutdown is not None and not self._shutdown.accepts_request(
            self._ingress.longest_ms(exchange.request)
        ):
            retry_after = self._refuse(exchange.request, "node_leaving", LEAVING_RETRY_AFTER_MS)
            exchange.respond(503, retry_after, b"")
            return
        is_full = exchange.is_charged and self.connections.is_exceeded
        is_full = is_full or self.memory.is_exceeded
        if is_full and not self._may_exceed_memory(exchange.request):
            retry_after = self._refuse(exchange.request, "memory_full", MEMORY_RETRY_AFTER_MS)
            exchange.respond(503, retry_after, b"")
            return
        self._ingress.serve(exchange)

    def _may_exceed_memory(self, request: Request) -> bool:
        """Return whether to serve a request though slow readers hold too much of the memory."""
        route = self.state.find_route(request)
        return route is not None and route.rank == 0 and not self.memory.is_far_exceeded

    def _refuse(self, request: Request | None, reason: str, delay_ms: float) -> Headers:
        """Note that a request is refused before it is served; return the refusal's headers."""
        self.state.metrics.count("requests_refused", reason)
        self.state.log.event(
            "request_refused",
            request_id=request.request_id if request is not None else None,
            reason=reason,
            retry_after_ms=delay_ms,
        )
        return self.state.header_codec.retry_after(delay_ms)

    def on_request_rejected(self, status: int) -> None:
        self.state.metrics.count("requests_rejected", str(status))
        self.state.log.event("request_rejected", status=status)

    def on_offer_declined(self) -> None:
        self.state.metrics.count("protocol_offers_declined")

    def on_failure(self, part: str, error: BaseException) -> None:
        self.state.report_failure(part, error)

    def is_shutting_down(self) -> bool:
        return self._shutdown is not None

    def on_caller_connected(self, connection: CallerConnection) -> None:
        self._caller_connections.add(connection)

    def on_caller_disconnected(self, connection: CallerConnection, end: ConnectionEnd) -> None:
        self._caller_connections.discard(connection)
        if self._shutdown is not None or end.is_answer_cut_short:
            report_connection_end(self.state, end)

    # Implements PeerConnectionHandler.
    def on_peer_connected(self, connection: PeerConnection) -> None:
        self._peer_connections.add(connection)
        if self._shutdown is not None:
            connection.send_leaving(takes_calls=self._shutdown.takes_calls)
        self._request_snapshot(connection)
        self._quarantine_exchange.greet_connection(connection)
        self._leaving_exchange.greet_connection(connection)

    def on_peer_disconnected(self, connection: PeerConnection) -> None:
        self._peer_connections.discard(connection)

    def on_peer_frame(self, frame: Any) -> None:
        try:
            self._receive_frame(frame)
        except Exception as error:
            # The calls on the same connection go on.
            self.state.report_failure("peer_frame", error)

    def _receive_frame(self, frame: Any) -> None:
        if isinstance(frame, StoreChangesFrame):
            self.store_view.apply_changes(frame)
        elif isinstance(frame, StoreSnapshotFrame):
            self.store_view.apply_snapshot(frame)
        elif isinstance(frame, QuarantineFrame):
            self._quarantine_exchange.receive(frame)
        elif isinstance(frame, TargetsLeavingFrame):
            self._leaving_exchange.receive(frame)
        elif isinstance(frame, TargetLimitFrame):
            self._limit_exchange.receive(frame)
        elif isinstance(frame, CurrencyAnswerFrame):
            self._currency_exchange.receive(frame)
        elif isinstance(frame, QuotaAnswerFrame):
            self.state.quotas.receive(frame)

    def answer_question(self, frame: CurrencyQuestionFrame | QuotaRequestFrame) -> Any:
        if isinstance(frame, QuotaRequestFrame):
            return self.state.quotas.answer(frame)
        return self._currency_exchange.answer(frame)

    def on_peer_error(self, error: CottonlinkError, address: Any) -> None:
        self.state.metrics.count("peer_links", "invalid")
        self.state.log.event(
            "peer_invalid", code=error.code, detail=error.detail, peer=address and address[0]
        )

    # Implements PeerLinkListener.
    def on_link_leaving(self, address: Address, *, takes_calls: bool) -> None:
        now_ms = self.now_ms()
        load_balancer = self.state.load_balancer
        for upstream in load_balancer.upstreams():
            if upstream.vm_ip == address[0]:
                load_balancer.mark_leaving(upstream.upstream_id, now_ms, takes_calls=takes_calls)
        self.state.log.event("peer_leaving", peer=address[0], takes_calls=takes_calls)

    def on_link_opened(self, address: Address) -> None:
        load_balancer = self.state.load_balancer
        for upstream in load_balancer.upstreams():
            if upstream.vm_ip == address[0]:
                load_balancer.mark_reachable(upstream.upstream_id)
        self._quarantine_exchange.greet_link(address)
        self._leaving_exchange.greet_link(address)
        self._limit_exchange.greet_link(address)

    def on_link_load(self, address: Address, load: Load) -> None:
        now_ms = self.now_ms()
        for upstream in self.state.load_balancer.upstreams():
            if upstream.vm_ip == address[0]:
                self.state.load_balancer.update_load(upstream.upstream_id, load, now_ms)

    def on_link_frame(self, address: Address, frame: Any) -> None:
        if isinstance(frame, SnapshotRequestFrame):
            snapshot = self.store_view.snapshot()
            if snapshot is not None and snapshot.is_later_than(frame):
                self.state.peer_links.link(address).send(snapshot)
            return
        self.on_peer_frame(frame)

    def on_link_state(self, address: Address, state: str, detail: str) -> None:
        self.state.metrics.count("peer_links", state)
        self.state.log.event(f"peer_{state}", peer=f"{address[0]}:{address[1]}", detail=detail)

    def _on_response(self, upstream: Upstream, headers: Headers) -> None:
        if self.state.header_codec.is_leaving(headers):
            self._leaving_exchange.learn_from_response(upstream)
        self._limit_exchange.learn_from_response(upstream, headers)

    def _on_route_limit_changed(self, change: LimitChange) -> None:
        self.state.log.event(
            "route_limit_changed",
            route=change.route,
            rank=change.rank,
            limit_per_s=_round_or_none(change.limit_per_s),
            previous_per_s=_round_or_none(change.previous_per_s),
            admitted_per_s=_round_or_none(change.admitted_per_s),
            pressure=_round_or_none(change.pressure),
            wasted=change.wasted,
            runs=change.runs,
        )

    def _request_snapshot(self, connection: PeerConnection) -> None:
        """Request a snapshot of the store from a peer if this node depends on one."""
        request = self._snapshot_request()
        now_ms = self.now_ms()
        if (
            request is not None
            and now_ms - self._snapshot_requested_at_ms >= SNAPSHOT_REQUEST_INTERVAL_MS
        ):
            self._snapshot_requested_at_ms = now_ms
            connection.send(request)

    def _snapshot_request(self) -> SnapshotRequestFrame | None:
        if self.state.configuration is None:
            return SnapshotRequestFrame()
        return self.store_view.snapshot_request()

    def _report_memory(self) -> None:
        """Set the gauges of memory, and log when long bodies begin and end to wait for room."""
        memory, metrics = self.memory, self.state.metrics
        self._process_memory.report(
            self.connections.held_bytes, memory.total_bytes, self.connections.connection_count
        )
        for kind, held_bytes in memory.held_bytes.items():
            metrics.set_gauge(f"held_{kind}_bytes", held_bytes)
        metrics.set_gauge("held_limit_bytes", memory.limit_bytes)
        waiting_count = memory.waiting_count
        metrics.set_gauge("bodies_waiting", waiting_count)
        if bool(waiting_count) != self._has_waiting_bodies:
            self._has_waiting_bodies = bool(waiting_count)
            self.state.log.event(
                "memory_full" if waiting_count else "memory_available",
                waiting=waiting_count,
                held_bytes=memory.total_bytes,
                limit_bytes=memory.limit_bytes,
                **{f"{kind}_bytes": count for kind, count in memory.held_bytes.items()},
            )

    def _charge_peers(self) -> None:
        """Charge what is written for other nodes and not sent yet."""
        peers = [*self._peer_connections, *self.state.peer_links.all()]
        count = sum(peer.buffered_bytes for peer in peers)
        self._peers_hold = self.memory.take("peer_buffers", count) if count else None

    def _readiness(self) -> tuple[int, bytes]:
        is_ready = self.state.configuration is not None and self._shutdown is None
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _sweep(self) -> None:
        if self._is_closed:
            return
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.state.peer_links.sweep()
        self._target.pool.sweep()
        self._currency_exchange.sweep()
        self.state.quotas.sweep()
        for connection in list(self._peer_connections):
            connection.sweep()
        if self._peer_connections and self._snapshot_request() is not None:
            self._request_snapshot(self.state.rng.choice(list(self._peer_connections)))
        self._sweep_count += 1
        if self._sweep_count % SWEEPS_PER_SPREAD == 0:
            self._quarantine_exchange.spread()
            self._leaving_exchange.spread()
            self.dispatcher.end_overdue()
        self._charge_peers()
        self._client_memory.reclaim_bodies()
        if self._sweep_count % SWEEPS_PER_CALLER_SWEEP == 0:
            now_ms = self.now_ms()
            limits = self.caller_limits()
            for connection in list(self._caller_connections):
                connection.sweep(now_ms, limits)
            self._status_server.sweep()
            self._client_memory.sweep(
                [*self._caller_connections, *self._status_server.open_connections]
            )
            self._report_memory()
        if self._shutdown is not None:
            self._shutdown.advance()


def _round_or_none(value: float | None) -> float | None:
    return None if value is None else round(value, 2)
