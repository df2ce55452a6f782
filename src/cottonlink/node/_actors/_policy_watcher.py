"""Actor that watches the configuration service for policy records."""

from __future__ import annotations

import json
import threading

import pykka

from cottonlink._clock import Clock
from cottonlink.decisions import Accepted
from cottonlink.errors import PolicyError
from cottonlink.node._actors._client import ControlClient
from cottonlink.node._actors._control_state import ControlState
from cottonlink.node._actors._interfaces import GossipNow
from cottonlink.node._actors._watcher import WatcherActor
from cottonlink.policy import load_policy

SOURCE = "configuration-service"

# After this time a rejected version is no longer skipped: the service may have been rolled back
# to a valid record, whose version is lower than the rejected one.
SKIP_DURATION_MS = 120_000


class PolicyWatcher(WatcherActor):
    """Offers the records of the service to the node and announces accepted ones by gossip."""

    def __init__(
        self,
        state: ControlState,
        client: ControlClient,
        clock: Clock,
        address: str,
        stopping: threading.Event,
        gossip: pykka.ActorRef,
    ) -> None:
        super().__init__(state, client, clock, address, stopping)
        self._gossip = gossip
        self._skipped_version = 0
        self._skipped_until_ms = 0

    def request_path(self, wait_ms: int) -> str:
        """Return the path of the next watch; a record that was rejected is skipped."""
        if self._clock.monotonic_ms() >= self._skipped_until_ms:
            self._skipped_version = 0
        after_version = max(self._state.policy_version, self._skipped_version)
        return f"/v1/records/policy?after_version={after_version}&wait_ms={wait_ms}"

    def on_answered(self) -> None:
        """Renew the evidence that a watcher of this data centre reaches the service."""
        self._state.watch_succeeded()

    def apply_body(self, body: bytes) -> bool:
        """Offer the record in ``body`` to the node; return whether it was accepted."""
        try:
            policy = load_policy(body, source=SOURCE)
        except PolicyError:
            self._skip_version(body)
            raise
        if not isinstance(self._state.offer_policy(policy, SOURCE), Accepted):
            return False
        self._gossip.tell(GossipNow())
        return True

    def _skip_version(self, body: bytes) -> None:
        """Request only versions above that of the rejected record, if it has a version."""
        try:
            version = json.loads(body)["version"]
        except (ValueError, RecursionError, TypeError, LookupError):
            return
        if isinstance(version, int) and 0 < version < 2**53:
            self._skipped_version = version
            self._skipped_until_ms = self._clock.monotonic_ms() + SKIP_DURATION_MS
