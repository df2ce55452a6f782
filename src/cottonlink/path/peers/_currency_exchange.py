"""Keeps the proof that this node's configuration is current, by the store's answers or by peers.

Nodes that watch the store prove it with each answer. The others ask a node that does, since a
message that arrives by itself may have been held up for any time.
"""

from __future__ import annotations

import math

from attrs import define, field

from cottonlink.path._state import NodeState
from cottonlink.path.peers._frames import (
    TAKES_QUESTIONS,
    CurrencyAnswerFrame,
    CurrencyQuestionFrame,
    PingFrame,
)
from cottonlink.path.peers._peer_links import PeerLink

# A proof that is older is renewed. The answers of watchers are up to 0.9 s old, the time between
# two answers of the store, so that a node asks about once a second.
RENEWAL_AGE_MS = 1_000.0
# Time after which another peer is asked.
ANSWER_TIMEOUT_MS = 300.0


@define(eq=False)
class CurrencyExchange:
    """The questions of one node, and its answers to those of others.

    ``watcher_ips`` are the VMs of the nodes that watch the store for this data centre.
    """

    _state: NodeState
    watcher_ips: tuple[str, ...] = ()
    _number: int = 0
    # When the question with this number was sent, and when a peer was last tried in any way.
    _asked_at_ms: float = float("-inf")
    _tried_at_ms: float = float("-inf")
    _failed_count: int = 0
    # The peer to ask next, if the last one helped or has yet to tell that it knows questions.
    _next_ip: str | None = None
    _asked_ip: str = ""
    _is_unproven: bool = field(default=False, init=False)

    def record_store_answer(self, asked_at_ms: float, era: int) -> None:
        """Record that the store has answered a question that was sent at ``asked_at_ms``.

        What it answered must have been applied before.
        """
        state = self._state
        if state.currency.record_store_answer(asked_at_ms, era, state.now_ms()):
            self._failed_count = 0
            self._resume_waiting()

    def record_watch_answer(self) -> None:
        """Record that the store knew no newer configuration a moment ago.

        That may be an answer to a watch, or what a watching node has sent of one. It may have been
        held up, so it is no proof, but it ends the wait of requests with unknown keys.
        """
        self._state.currency.record_confirmation(self._state.now_ms())
        self._resume_waiting()

    def sweep(self) -> None:
        """Ask a peer if the proof is to be renewed. To be called periodically."""
        state = self._state
        configuration = state.configuration
        if configuration is None or configuration.organisations is None:
            return
        now_ms = state.now_ms()
        age_ms = state.currency.age_ms(now_ms)
        self._report(age_ms)
        if age_ms is not None and age_ms < RENEWAL_AGE_MS:
            return
        if now_ms - self._tried_at_ms < ANSWER_TIMEOUT_MS:
            return
        link = self._choose_peer()
        if link is None:
            return
        self._tried_at_ms = now_ms
        if link.knows_questions:
            # Counted as failed until an answer renews the proof.
            self._failed_count += 1
            self._next_ip = None
            self._number += 1
            self._asked_at_ms = now_ms
            self._asked_ip = link.address[0]
            link.send(CurrencyQuestionFrame(self._number, configuration.version))
        elif self._next_ip == link.address[0]:
            self._failed_count += 1
            self._next_ip = None
        else:
            # Earlier builds end a connection at a frame that they don't know, but answer any ping.
            self._next_ip = link.address[0]
            link.send_or_open(PingFrame(TAKES_QUESTIONS))

    def answer(self, frame: CurrencyQuestionFrame) -> CurrencyAnswerFrame:
        """Return the answer to a peer's question."""
        state = self._state
        # Rounded up, as a proof must not get younger on its way.
        age_ms = state.currency.age_ms(state.now_ms())
        version = state.configuration_version
        return CurrencyAnswerFrame(
            frame.number, version or 0, None if age_ms is None else math.ceil(age_ms)
        )

    def receive(self, frame: CurrencyAnswerFrame) -> None:
        """Use a peer's answer to the latest question."""
        state = self._state
        if frame.number != self._number or frame.age_ms is None:
            return
        if frame.version != state.configuration_version:
            return
        before_ms = state.currency.age_ms(state.now_ms())
        state.currency.record_peer_answer(self._asked_at_ms, frame.age_ms)
        after_ms = state.currency.age_ms(state.now_ms())
        if before_ms is None or after_ms < before_ms:
            self._failed_count = 0
            self._next_ip = self._asked_ip
            self._resume_waiting()

    def _choose_peer(self) -> PeerLink | None:
        """Return a watcher of the data centre, or any peer once the watchers didn't help."""
        state = self._state
        own_ip = state.target_address[0]
        if self._next_ip is not None:
            return state.peer_links.link((self._next_ip, state.peer_port))
        watcher_ips = [vm_ip for vm_ip in self.watcher_ips if vm_ip != own_ip]
        if self._failed_count < len(watcher_ips):
            # Each node begins with another one, so that they share the questions.
            turn = (self._failed_count + hash(own_ip)) % len(watcher_ips)
            return state.peer_links.link((watcher_ips[turn], state.peer_port))
        links = [link for link in state.peer_links.all() if link.address[0] != own_ip]
        return state.rng.choice(links) if links else None

    def _resume_waiting(self) -> None:
        waits = self._state.currency_waits
        for resume in list(waits):
            resume()

    def _report(self, age_ms: float | None) -> None:
        """Log when requests with keys can no longer be served, and when they can again."""
        state = self._state
        is_unproven = not state.is_currency_proven()
        state.metrics.set_gauge("configuration_proof_age_ms", age_ms and round(age_ms))
        if is_unproven != self._is_unproven:
            self._is_unproven = is_unproven
            state.log.event(
                "configuration_unproven" if is_unproven else "configuration_proven",
                proof_age_ms=None if age_ms is None else round(age_ms),
                configuration_version=state.configuration_version,
                questions_failed=self._failed_count,
            )
