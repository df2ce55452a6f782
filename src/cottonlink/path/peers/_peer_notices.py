"""Sends frames that belong to no call to other nodes: to all that are connected, or to a few."""

from __future__ import annotations

from typing import Any

from attrs import define

from cottonlink.path._state import NodeState
from cottonlink.path.peers._frames import encode
from cottonlink.path.peers._peer_links import Address
from cottonlink.path.peers._peer_server import PeerConnection

# Nodes that are told each time. With two a second, a node that missed a notice hears of it within a
# second or two in a fleet of any size.
FANOUT = 2


@define(eq=False)
class PeerNotices:
    """The peers of one node; ``connections`` are those that other nodes have opened."""

    _state: NodeState
    connections: set[PeerConnection]

    def send_to_all(self, frame: Any) -> None:
        """Send a frame to all connected nodes."""
        data = encode(frame)
        for link in self._state.peer_links.all():
            link.send_encoded(data)
        for connection in self.connections:
            connection.send_encoded(data)

    def send_to_some(self, frame: Any) -> None:
        """Send a frame to a few random nodes, opening connections where there are none."""
        state = self._state
        own_ip = state.target_address[0]
        vm_ips = sorted({u.vm_ip for u in state.load_balancer.upstreams()} - {own_ip})
        for vm_ip in state.rng.sample(vm_ips, min(FANOUT, len(vm_ips))):
            state.peer_links.link((vm_ip, state.peer_port)).send_or_open(frame)

    def send_to_link(self, address: Address, frame: Any) -> None:
        """Send a frame to the node at ``address``, if it is connected."""
        self._state.peer_links.link(address).send(frame)
