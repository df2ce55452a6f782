"""Returns a limit to the node next to its target, which forgets it when its process restarts.

A node remembers the limits in the responses that it passes on. When it connects to the node next to
such a target, it tells it before it sends a call.
"""

from __future__ import annotations

from attrs import define, field, frozen

from cottonlink.errors import CottonlinkError
from cottonlink.overload import LIMIT_LAPSE_MS, TargetStart, target_start
from cottonlink.path._http import Headers
from cottonlink.path._model import Upstream
from cottonlink.path._state import NodeState
from cottonlink.path.peers._frames import TargetLimitFrame
from cottonlink.path.peers._peer_links import Address
from cottonlink.path.peers._peer_notices import PeerNotices
from cottonlink.path.target._own_target import OwnTarget


@frozen
class _PassedLimit:
    vm_ip: str
    limit_per_s: float
    at_ms: float


@define(eq=False)
class LimitExchange:
    """The limits that one node has passed on, by the start of the target."""

    _state: NodeState
    _peers: PeerNotices
    _own_target: OwnTarget
    _limits: dict[TargetStart, _PassedLimit] = field(factory=dict)

    def learn_from_response(self, upstream: Upstream, headers: Headers) -> None:
        """Remember the limit that a response of ``upstream`` names, or that it names none."""
        start = target_start(upstream)
        try:
            limit_per_s = self._state.header_codec.limit_per_s(headers)
        except CottonlinkError:
            # The node next to the target logs it.
            return
        if limit_per_s is not None:
            now_ms = self._state.now_ms()
            self._limits[start] = _PassedLimit(upstream.vm_ip, limit_per_s, now_ms)
        elif self._limits:
            self._limits.pop(start, None)

    def greet_link(self, address: Address) -> None:
        """Tell the node at ``address``, to which a connection was opened, of its target's limit."""
        now_ms = self._state.now_ms()
        for start, limit in list(self._limits.items()):
            age_ms = now_ms - limit.at_ms
            if age_ms >= LIMIT_LAPSE_MS:
                del self._limits[start]
            elif limit.vm_ip == address[0]:
                frame = TargetLimitFrame(start, limit.limit_per_s, round(age_ms))
                self._peers.send_to_link(address, frame)

    def receive(self, frame: TargetLimitFrame) -> None:
        """Apply the limit of the own target that a peer has passed on."""
        self._own_target.adopt_limit(frame.start, frame.limit_per_s, frame.age_ms)
