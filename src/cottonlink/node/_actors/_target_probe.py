"""Actor that probes the health of the local target."""

from __future__ import annotations

import pykka

from cottonlink._clock import Clock
from cottonlink.decisions import TargetState
from cottonlink.errors import CottonlinkError
from cottonlink.node._actors._client import ControlClient, parse_json
from cottonlink.node._actors._interfaces import NodeControl, Tick

# A probe costs a target up to 6 ms, so one a second takes less than 1% of one of its slots.
PROBE_INTERVAL_MS = 1_000


class TargetProbe(pykka.ThreadingActor):
    """Reports the state in the target's ``GET /_health``; no valid response means ``failing``."""

    use_daemon_thread = True

    def __init__(
        self, node: NodeControl, client: ControlClient, clock: Clock, address: str
    ) -> None:
        super().__init__()
        self._node = node
        self._client = client
        self._clock = clock
        self._address = address
        self._next_probe_ms = 0

    def on_receive(self, message: object) -> None:
        """Handle ``Tick``: one probe. Ticks that queued up behind a slow probe are dropped."""
        now_ms = self._clock.monotonic_ms()
        if isinstance(message, Tick) and now_ms >= self._next_probe_ms:
            self._node.update_target_state(self._probe())
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS // 2

    def on_stop(self) -> None:
        """Close the connections."""
        self._client.close()

    def _probe(self) -> TargetState:
        try:
            response = self._client.get(self._address, "/_health")
            data = parse_json(response, self._address)
            return TargetState(data["state"])
        except (CottonlinkError, ValueError, TypeError, LookupError):
            return TargetState.FAILING
