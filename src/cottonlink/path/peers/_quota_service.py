"""Keeps the requests of organisations within their quotas, over all nodes together.

One node, the steward, has a token bucket for each organisation; the others lease tokens from it.
Every node answers as a steward when it is asked, and asks the one that it ranks first itself.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from cottonlink._hashing import rendezvous_order
from cottonlink.organisations import (
    EXCHANGE_TIMEOUT_MS,
    OrganisationDirectory,
    QuotaAnswer,
    QuotaExchange,
    QuotaLeases,
    QuotaLedger,
    make_quota_leases,
    make_quota_ledger,
)
from cottonlink.path._state import NodeState
from cottonlink.path.peers._frames import (
    TAKES_QUESTIONS,
    PingFrame,
    QuotaAnswerFrame,
    QuotaRequestFrame,
)
from cottonlink.path.peers._peer_links import PeerLink

# Longest time for which a request waits for a token.
MAX_WAIT_MS = 150.0
# Nodes that may become stewards, so that most parts of a fleet that is cut have one of them.
STEWARD_CANDIDATES = 16
_RENDEZVOUS_KEY = "quota"


@define(eq=False)
class _Waiting:
    """A request that waits for a token; ``on_done`` gets whether it has one."""

    organisation: str
    until_ms: float
    on_done: Callable[[bool], None]
    is_over: bool = False


@define(eq=False)
class QuotaService:
    """The leases of one node, and its ledger as a steward."""

    _state: NodeState
    _leases: QuotaLeases = field(factory=make_quota_leases)
    _ledger: QuotaLedger = field(factory=make_quota_ledger)
    _waiting: deque[_Waiting] = field(factory=deque)
    _vm_ips: frozenset[str] = frozenset()
    _has_quotas: bool = False
    _pending: QuotaExchange | None = None
    _asked_at_ms: float = 0.0
    _introduced: str | None = None
    _introduced_at_ms: float = 0.0
    _is_advancing: bool = False
    _reported: tuple[int | None, bool] = (None, True)

    def set_organisations(self, organisations: OrganisationDirectory | None) -> None:
        """Use the quotas of a new configuration."""
        quotas = {
            organisation.name: (organisation.quota.rate_per_s, organisation.quota.burst)
            for organisation in (organisations.organisations if organisations else ())
            if organisation.quota is not None
        }
        now_ms = self._state.now_ms()
        self._leases.set_quotas(quotas, now_ms)
        self._ledger.set_quotas(quotas, now_ms)
        had_quotas, self._has_quotas = self._has_quotas, bool(quotas)
        if self._has_quotas and not had_quotas:
            self._rank_stewards()

    def set_nodes(self, vm_ips: Iterable[str]) -> None:
        """Use the nodes on these VMs."""
        vm_ips = frozenset(vm_ips)
        if vm_ips == self._vm_ips:
            return
        self._vm_ips = vm_ips
        if self._has_quotas:
            self._rank_stewards()

    def try_take(self, organisation: str) -> bool:
        """Take a token without waiting for one; return whether there was one."""
        return self._leases.try_take(organisation, self._state.now_ms(), may_wait=False)

    def take_or_wait(
        self, organisation: str, on_done: Callable[[bool], None]
    ) -> Callable[[], None] | None:
        """Call ``on_done`` with whether there was a token, at once or after a short wait.

        Return a function that cancels the wait, or None if there is none.
        """
        now_ms = self._state.now_ms()
        if self._leases.try_take(organisation, now_ms):
            on_done(True)
            return None
        if not self._leases.should_wait(organisation, now_ms):
            on_done(False)
            return None
        waiting = _Waiting(organisation, now_ms + MAX_WAIT_MS, on_done)
        self._waiting.append(waiting)
        self._state.loop.call_later(MAX_WAIT_MS / 1000.0, self._end_wait, waiting)

        def cancel() -> None:
            waiting.is_over = True

        self._advance()
        return None if waiting.is_over else cancel

    def give_back(self, organisation: str, taken_at_ms: float) -> None:
        """Return the token of a request that was refused before it ran."""
        self._leases.give_back(organisation, taken_at_ms, self._state.now_ms())

    def retry_after_ms(self, organisation: str) -> float:
        """Return the time after which an organisation may have a token again."""
        return self._leases.retry_after_ms(organisation, self._state.now_ms())

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a token."""
        return len(self._waiting)

    def answer(self, frame: QuotaRequestFrame) -> QuotaAnswerFrame | None:
        """Answer another node's request, as the steward that it has chosen.

        Without a configuration there is no answer: the ledger would know no quota to keep to.
        """
        if self._state.configuration is None:
            return None
        if frame.exchange.is_probe:
            return QuotaAnswerFrame(frame.exchange.number, QuotaAnswer((), 0.0), is_probe=True)
        answer = self._ledger.exchange(frame.node, frame.exchange.usages, self._state.now_ms())
        return QuotaAnswerFrame(frame.exchange.number, answer)

    def receive(self, frame: QuotaAnswerFrame) -> None:
        """Use a steward's answer."""
        now_ms = self._state.now_ms()
        if frame.is_probe:
            self._leases.record_probe(frame.number, now_ms)
            return
        self._apply(frame.number, frame.answer)
        self._advance()

    def sweep(self) -> None:
        """Send what is due, and give up on a silent steward. To be called periodically."""
        if not self._has_quotas:
            return
        now_ms = self._state.now_ms()
        if self._pending is not None and now_ms - self._asked_at_ms >= EXCHANGE_TIMEOUT_MS:
            self._record_silence(self._pending)
        probe = self._leases.begin_probe(now_ms)
        if probe is not None:
            self._send(probe)
        self._advance()
        self._report()

    def _rank_stewards(self) -> None:
        self._leases.set_node_count(len(self._vm_ips))
        self._ledger.set_node_count(len(self._vm_ips))
        order = rendezvous_order(_RENDEZVOUS_KEY, self._vm_ips)
        self._leases.set_stewards(order[:STEWARD_CANDIDATES], self._state.now_ms())
        if self._pending is not None and self._pending.steward != self._leases.steward:
            # Its answer would be ignored.
            self._pending = None
            self._advance()

    def _advance(self) -> None:
        """Begin the exchanges that are due, and serve the requests that wait for them."""
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            # Two at most: one with this node as the steward, and what its answer makes due.
            for _ in range(2):
                if self._pending is not None or not self._may_begin():
                    break
                self._begin()
        finally:
            self._is_advancing = False

    def _may_begin(self) -> bool:
        """Return whether an exchange is due, with a steward that knows such requests."""
        now_ms = self._state.now_ms()
        if not self._leases.wants_exchange(now_ms):
            return False
        steward = self._leases.steward
        if steward == self._state.target_address[0] or self._link(steward).knows_questions:
            self._introduced = None
            return True
        if self._introduced != steward:
            # Earlier builds end a connection at a frame that they don't know, but answer any ping.
            self._introduced, self._introduced_at_ms = steward, now_ms
            self._link(steward).send_or_open(PingFrame(TAKES_QUESTIONS))
            return False
        return now_ms - self._introduced_at_ms >= EXCHANGE_TIMEOUT_MS

    def _begin(self) -> None:
        state = self._state
        now_ms = state.now_ms()
        exchange = self._leases.begin_exchange(now_ms)
        own_ip = state.target_address[0]
        if exchange.steward == own_ip:
            answer = self._ledger.exchange(own_ip, exchange.usages, now_ms)
            self._apply(exchange.number, answer)
        elif self._send(exchange):
            self._pending, self._asked_at_ms = exchange, now_ms
        else:
            self._introduced = None
            self._record_silence(exchange)

    def _send(self, exchange: QuotaExchange) -> bool:
        """Send a request to its steward; return whether that one knows such requests."""
        link = self._link(exchange.steward)
        if link.knows_questions:
            link.send(QuotaRequestFrame(self._state.target_address[0], exchange))
            return True
        if exchange.is_probe:
            link.send_or_open(PingFrame(TAKES_QUESTIONS))
        return False

    def _link(self, vm_ip: str) -> PeerLink:
        return self._state.peer_links.link((vm_ip, self._state.peer_port))

    def _apply(self, number: int, answer: QuotaAnswer) -> None:
        if self._pending is not None and self._pending.number == number:
            self._pending = None
        self._leases.apply(number, answer, self._state.now_ms())
        self._serve_waiting()

    def _record_silence(self, exchange: QuotaExchange) -> None:
        self._pending = None
        self._state.metrics.count("quota_exchanges_failed")
        self._leases.record_silence(exchange.number, self._state.now_ms())
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Let the requests that wait take tokens, and refuse those that needn't wait longer."""
        now_ms = self._state.now_ms()
        waiting, self._waiting = self._waiting, deque()
        for request in waiting:
            if request.is_over:
                continue
            if self._leases.try_take(request.organisation, now_ms, waited=True):
                request.is_over = True
                request.on_done(True)
            elif self._leases.should_wait(request.organisation, now_ms):
                self._waiting.append(request)
            else:
                request.is_over = True
                request.on_done(False)

    def _end_wait(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
        if not waiting.is_over:
            waiting.is_over = True
            waiting.on_done(False)

    def _report(self) -> None:
        """Log a change of the steward, and when none is in reach."""
        state = self._state
        leases = self._leases
        present = (leases.steward_index, leases.has_steward)
        state.metrics.set_gauge("quota_steward_rank", leases.steward_index)
        state.metrics.set_gauge("quota_requests_waiting", len(self._waiting))
        if present != self._reported:
            self._reported = present
            state.log.event(
                "quota_steward_changed",
                steward=leases.steward,
                rank=leases.steward_index,
                is_reached=leases.has_steward,
                nodes=len(self._vm_ips),
            )
