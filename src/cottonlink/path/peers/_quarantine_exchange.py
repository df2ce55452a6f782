"""Tells other nodes of requests that crash targets, and logs what they report."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

from cottonlink.overload import CountedCrash, LearnedQuarantine, report_of_crash
from cottonlink.path._state import NodeState
from cottonlink.path.peers._frames import QuarantineFrame
from cottonlink.path.peers._peer_links import Address
from cottonlink.path.peers._peer_notices import PeerNotices
from cottonlink.path.peers._peer_server import PeerConnection

# Fingerprints in one log line about a crash.
LOGGED_FINGERPRINTS = 16


class QuarantineExchange:
    """Exchanges reports with the peers of one node."""

    def __init__(self, state: NodeState, peers: PeerNotices) -> None:
        self._state = state
        self._registry = state.crash_registry
        self._peers = peers

    def report_own_crash(self, fingerprints: list[str]) -> None:
        """Count a crash of the node's target, and tell all peers."""
        crash = self._registry.record_own_crash(fingerprints, self._now_ms())
        levels = [(decision.fingerprint, decision.level) for decision in crash.decisions]
        self._state.log.event(
            "target_crashed",
            crash=crash.notice.crash_id,
            requests=len(crash.decisions),
            quarantined=sum(decision.refused for decision in crash.decisions),
            levels=levels[:LOGGED_FINGERPRINTS],
        )
        self._peers.send_to_all(QuarantineFrame(report_of_crash(crash)))

    def receive(self, frame: QuarantineFrame) -> None:
        """Apply a peer's report."""
        for learned in self._registry.learn(frame.report, self._now_ms()):
            self._log_learned(learned)

    def greet_link(self, address: Address) -> None:
        """Tell the node at ``address``, to which a connection was opened."""
        frame = self._summary_frame()
        if frame is not None:
            self._peers.send_to_link(address, frame)

    def greet_connection(self, connection: PeerConnection) -> None:
        """Tell a node that has connected."""
        frame = self._summary_frame()
        if frame is not None:
            connection.send(frame)

    def spread(self) -> None:
        """Tell all peers what was cleared, and a few random nodes what is in quarantine.

        Reports can be lost on links that are silent or not open. To be called once a second.
        """
        cleared = self._registry.take_cleared()
        if cleared is not None:
            self._peers.send_to_all(QuarantineFrame(cleared))
        frame = self._summary_frame()
        if frame is not None:
            self._peers.send_to_some(frame)

    def _now_ms(self) -> int:
        return round(self._state.now_ms())

    def _summary_frame(self) -> QuarantineFrame | None:
        summary = self._registry.summary(self._now_ms())
        return None if summary is None else QuarantineFrame(summary)

    @singledispatchmethod
    def _log_learned(self, learned: Any) -> None:
        raise TypeError(f"expected a crash or a quarantine, got {type(learned).__name__}")

    @_log_learned.register
    def _(self, learned: CountedCrash) -> None:
        self._state.log.event(
            "crash_learned",
            crash=learned.notice.crash_id,
            age_ms=learned.notice.age_ms,
            requests=len(learned.decisions),
            quarantined=sum(decision.refused for decision in learned.decisions),
        )

    @_log_learned.register
    def _(self, learned: LearnedQuarantine) -> None:
        self._state.log.event(
            "quarantine_learned",
            fingerprint=learned.reported.fingerprint,
            level=learned.reported.level,
            known_level=learned.known_level,
            age_ms=learned.reported.age_ms,
        )
