"""Tells other nodes of targets that have said in a response that they leave."""

from __future__ import annotations

from collections.abc import Callable

from cottonlink.overload import TargetStart, target_start
from cottonlink.path._model import Upstream
from cottonlink.path._state import NodeState
from cottonlink.path.peers._frames import TargetsLeavingFrame
from cottonlink.path.peers._peer_links import Address
from cottonlink.path.peers._peer_notices import PeerNotices
from cottonlink.path.peers._peer_server import PeerConnection

# Random nodes are told again for this time, as a notice can be lost on a link that is silent or not
# open.
REPEAT_MS = 30_000.0
# Targets that one frame holds, the latest.
FRAME_TARGET_LIMIT = 256


class LeavingExchange:
    """Exchanges notices of leaving targets with the peers of one node.

    ``on_learned`` is called when further targets are known to leave.
    """

    def __init__(
        self, state: NodeState, peers: PeerNotices, on_learned: Callable[[], None]
    ) -> None:
        self._state = state
        self._targets = state.leaving_targets
        self._peers = peers
        self._on_learned = on_learned

    def learn_from_response(self, upstream: Upstream) -> None:
        """Record that a response of ``upstream`` said that it leaves, and tell all peers."""
        new = self._learn((target_start(upstream),), "response")
        if new:
            self._peers.send_to_all(TargetsLeavingFrame(tuple(new)))

    def receive(self, frame: TargetsLeavingFrame) -> None:
        """Apply a peer's notice."""
        self._learn(frame.targets, "peer")

    def greet_link(self, address: Address) -> None:
        """Tell the node at ``address``, to which a connection was opened."""
        if targets := self._targets.all():
            self._peers.send_to_link(address, _make_frame(targets))

    def greet_connection(self, connection: PeerConnection) -> None:
        """Tell a node that has connected."""
        if targets := self._targets.all():
            connection.send(_make_frame(targets))

    def spread(self) -> None:
        """Tell a few random nodes of the latest targets. To be called once a second."""
        if targets := self._targets.learned_since(self._state.now_ms() - REPEAT_MS):
            self._peers.send_to_some(_make_frame(targets))

    def _learn(self, targets: tuple[TargetStart, ...], source: str) -> list[TargetStart]:
        new = self._targets.learn(targets, self._state.now_ms())
        for target in new:
            self._state.metrics.count("targets_leaving", source)
            self._state.log.event(
                "target_leaving_learned",
                upstream=target.upstream_id,
                started_at_ms=target.started_at_ms,
                by=source,
            )
        if new:
            self._on_learned()
        return new


def _make_frame(targets: tuple[TargetStart, ...]) -> TargetsLeavingFrame:
    return TargetsLeavingFrame(targets[-FRAME_TARGET_LIMIT:])
