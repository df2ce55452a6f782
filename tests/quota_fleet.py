"""A fleet in virtual time: nodes that lease quota tokens from each other over a faulty network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field

from cottonlink.organisations import (
    QuotaAnswer,
    QuotaExchange,
    QuotaLeases,
    QuotaLedger,
    make_quota_leases,
    make_quota_ledger,
)
from cottonlink.organisations._quota_leases import EXCHANGE_TIMEOUT_MS

STEWARD_CANDIDATES = 16
STEP_MS = 10
# One way, below and above a step.
DELAY_MS = (1, 15)
MAX_WAIT_MS = 150
WINDOW_MS = 5_000


@define(eq=False)
class SimulatedNode:
    name: str
    leases: QuotaLeases = field(factory=make_quota_leases)
    ledger: QuotaLedger = field(factory=make_quota_ledger)
    group: int = 0
    is_alive: bool = True
    frozen_until_ms: float = 0.0
    pending: QuotaExchange | None = None
    begun_ms: float = 0.0
    waiting: list[tuple[str, float]] = field(factory=list)


class SimulatedFleet:
    """Nodes, the messages between them, and the requests admitted and refused."""

    def __init__(
        self, node_count: int, quotas: Mapping[str, tuple[float, float]], seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.quotas = dict(quotas)
        self.now_ms = 0.0
        self.loss_share = 0.0
        self.message_count = 0
        self.admitted_ms: dict[str, list[float]] = defaultdict(list)
        self.refused_ms: dict[str, list[float]] = defaultdict(list)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.nodes = [SimulatedNode(f"n{number}") for number in range(node_count)]
        self.set_quotas(quotas)
        self.set_members(self.nodes)

    def set_quotas(self, quotas: Mapping[str, tuple[float, float]]) -> None:
        self.quotas = dict(quotas)
        for node in self.nodes:
            node.leases.set_quotas(quotas, self.now_ms)
            node.ledger.set_quotas(quotas, self.now_ms)

    def set_members(self, members: Iterable[SimulatedNode]) -> None:
        """Tell all nodes of the list of members; the first ones are the stewards."""
        self.members = list(members)
        for node in self.nodes:
            self._configure(node)

    def _configure(self, node: SimulatedNode) -> None:
        node.leases.set_quotas(self.quotas, self.now_ms)
        node.ledger.set_quotas(self.quotas, self.now_ms)
        # Spread over the fleet, as in rendezvous order; the first member is the first steward.
        step = max(1, len(self.members) // STEWARD_CANDIDATES)
        names = [member.name for member in self.members[::step]]
        node.leases.set_stewards(names, self.now_ms)
        node.leases.set_node_count(len(self.members))
        node.ledger.set_node_count(len(self.members))

    def kill(self, node: SimulatedNode) -> None:
        node.is_alive = False

    def restart(self, node: SimulatedNode) -> None:
        """Start a process without state in the place of ``node``."""
        node.leases, node.ledger = make_quota_leases(), make_quota_ledger()
        node.pending, node.is_alive = None, True
        node.waiting.clear()
        self._configure(node)

    def request(self, node: SimulatedNode, organisation: str) -> None:
        if not node.is_alive or self.now_ms < node.frozen_until_ms:
            return
        if node.leases.try_take(organisation, self.now_ms):
            self.admitted_ms[organisation].append(self.now_ms)
        elif node.leases.should_wait(organisation, self.now_ms):
            node.waiting.append((organisation, self.now_ms + MAX_WAIT_MS))
        else:
            self.refused_ms[organisation].append(self.now_ms)

    def run(
        self, duration_ms: float, demand: Iterable[tuple[str, list[SimulatedNode], float]]
    ) -> None:
        """Send Poisson-like requests of each organisation at its nodes, at a rate per second."""
        demand = list(demand)
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for organisation, nodes, rate_per_s in demand:
                expected = rate_per_s * STEP_MS / 1000.0
                for _ in range(int(expected) + (self.rng.random() < expected % 1.0)):
                    self.request(self.rng.choice(nodes), organisation)
            self.step()

    def step(self) -> None:
        end_ms = self.now_ms + STEP_MS
        for node in self.nodes:
            if node.is_alive and self.now_ms >= node.frozen_until_ms:
                self._poll(node)
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, deliver = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            deliver()
        self.now_ms = end_ms

    def _poll(self, node: SimulatedNode) -> None:
        leases, now_ms = node.leases, self.now_ms
        if node.pending is not None and now_ms - node.begun_ms >= EXCHANGE_TIMEOUT_MS:
            leases.record_silence(node.pending.number, now_ms)
            node.pending = None
            self._retry_waiting(node)
        if leases.wants_exchange(now_ms):
            node.pending, node.begun_ms = leases.begin_exchange(now_ms), now_ms
            self._send(node, node.pending)
        probe = leases.begin_probe(now_ms)
        if probe is not None:
            self._send(node, probe)
        if node.waiting and node.waiting[0][1] <= now_ms:
            self._retry_waiting(node)

    def _send(self, node: SimulatedNode, exchange: QuotaExchange) -> None:
        self.message_count += 1
        steward = next(n for n in self.nodes if n.name == exchange.steward)

        def answer() -> None:
            reply = None
            if not exchange.is_probe:
                reply = steward.ledger.exchange(node.name, exchange.usages, self.now_ms)
            self._deliver(steward, node, lambda: self._receive(node, exchange, reply))

        self._deliver(node, steward, answer)

    def _receive(
        self, node: SimulatedNode, exchange: QuotaExchange, reply: QuotaAnswer | None
    ) -> None:
        if reply is None:
            node.leases.record_probe(exchange.number, self.now_ms)
            return
        node.leases.apply(exchange.number, reply, self.now_ms)
        if node.pending is exchange:
            node.pending = None
        self._retry_waiting(node)

    def _deliver(
        self, source: SimulatedNode, target: SimulatedNode, receive: Callable[[], None]
    ) -> None:
        """Call ``receive`` after a delay, or when ``target`` is resumed, unless it is lost."""
        if self.rng.random() < self.loss_share:
            return
        ledger = target.ledger

        def arrive() -> None:
            if not target.is_alive or target.ledger is not ledger or target.group != source.group:
                return
            if self.now_ms < target.frozen_until_ms:
                self._at(target.frozen_until_ms, arrive)
            else:
                receive()

        delay_ms = 0.0 if source is target else self.rng.uniform(*DELAY_MS)
        self._at(self.now_ms + delay_ms, arrive)

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _retry_waiting(self, node: SimulatedNode) -> None:
        waiting, node.waiting = node.waiting, []
        for organisation, until_ms in waiting:
            if node.leases.try_take(organisation, self.now_ms, waited=True):
                self.admitted_ms[organisation].append(self.now_ms)
            elif self.now_ms < until_ms and node.leases.should_wait(organisation, self.now_ms):
                node.waiting.append((organisation, until_ms))
            else:
                self.refused_ms[organisation].append(self.now_ms)

    def largest_window(self, organisation: str, since_ms: float = 0.0) -> int:
        """Return the largest number of admitted requests within any window."""
        times_ms = [at_ms for at_ms in self.admitted_ms[organisation] if at_ms >= since_ms]
        largest = first = 0
        for last, at_ms in enumerate(times_ms):
            while at_ms - times_ms[first] > WINDOW_MS:
                first += 1
            largest = max(largest, last - first + 1)
        return largest

    def refused_share(self, organisations: Iterable[str], since_ms: float = 0.0) -> float:
        """Return the part of the requests that were refused since then."""
        refused = admitted = 0
        for name in organisations:
            refused += sum(at_ms >= since_ms for at_ms in self.refused_ms[name])
            admitted += sum(at_ms >= since_ms for at_ms in self.admitted_ms[name])
        return refused / max(1, refused + admitted)


def hard_bound(rate_per_s: float, burst: float) -> float:
    """Return the most requests that may be admitted in any window."""
    return (rate_per_s * WINDOW_MS / 1000.0 + burst) * 1.25 + 20.0
