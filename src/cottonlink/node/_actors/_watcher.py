"""Base class of the actors that read a versioned resource by long polling."""

from __future__ import annotations

import abc
import random
import threading

import pykka

from cottonlink._clock import Clock
from cottonlink.decisions import ServiceAccess
from cottonlink.errors import CottonlinkError, Step
from cottonlink.node._actors._backoff import Backoff
from cottonlink.node._actors._client import ControlClient, ControlResponse
from cottonlink.node._actors._control_state import ControlState
from cottonlink.node._actors._interfaces import Tick

# Each watch renews the evidence that a watcher reaches the service. This wait is shorter than the
# time without evidence after which other nodes take over (``WATCHER_SILENCE_MS``, 5 s).
WATCH_WAIT_MS = 2_000

# How often a node that may not read the service checks whether it may by now.
ACCESS_CHECK_INTERVAL_MS = 500

# Range of the random interval between reads of a node that reaches no peer.
READ_INTERVAL_MS = (3_000, 6_000)

FIRST_BACKOFF_MS = 500
# Short enough for a change to reach the fleet within 17 s after the service recovers.
MAX_BACKOFF_MS = 5_000

# Limits how often a rejected record of up to 1 MB is read again.
MAX_REJECTION_BACKOFF_MS = 10_000


class WatcherActor(pykka.ThreadingActor, abc.ABC):
    """Reads a resource while this node is one of its readers.

    Each ``Tick`` polls once, waits for the delay that ``poll_once`` returned and sends the next
    ``Tick``. ``stopping`` ends the wait and the sequence.
    """

    use_daemon_thread = True

    def __init__(
        self,
        state: ControlState,
        client: ControlClient,
        clock: Clock,
        address: str,
        stopping: threading.Event,
    ) -> None:
        super().__init__()
        self._state = state
        self._client = client
        self._clock = clock
        self._address = address
        self._stopping = stopping
        self._rng = random.Random()
        self._failure_backoff = Backoff(FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
        self._rejection_backoff = Backoff(WATCH_WAIT_MS, MAX_REJECTION_BACKOFF_MS)

    def on_receive(self, message: object) -> None:
        """Handle ``Tick``."""
        if not self._stopping.wait(self.poll_once() / 1000):
            self.actor_ref.tell(Tick())

    def on_stop(self) -> None:
        """Close the connections."""
        self._client.close()

    def poll_once(self) -> int:
        """Read once if this node may; return the delay in ms before the next poll."""
        access = self._state.service_access()
        if access is ServiceAccess.NONE:
            return ACCESS_CHECK_INTERVAL_MS
        wait_ms = WATCH_WAIT_MS if access is ServiceAccess.WATCH else 0
        started_ms = self._clock.monotonic_ms()
        try:
            response = self._client.get(self._address, self.request_path(wait_ms), wait_ms=wait_ms)
            if response.status not in (200, 304):
                raise make_read_error(response.status, self._address)
        except CottonlinkError as error:
            self._state.report_error(error)
            return self._failure_backoff.next_delay_ms()
        self._failure_backoff.reset()
        self._state.forget_reported_error(self._address)
        self.on_answered()
        return self._next_delay(response, access, started_ms)

    def _next_delay(self, response: ControlResponse, access: ServiceAccess, started_ms: int) -> int:
        is_new = False
        if response.status == 200:
            try:
                is_new = self.apply_body(response.body)
                self._rejection_backoff.reset()
            except CottonlinkError as error:
                self._state.report_error(error)
                return self._rejection_backoff.next_delay_ms()
        if access is ServiceAccess.READ:
            return self._rng.randint(*READ_INTERVAL_MS)
        if is_new:
            return 0
        # A service that responds at once, or offers an old version each time, is read no faster.
        spent_ms = self._clock.monotonic_ms() - started_ms
        return max(0, WATCH_WAIT_MS - spent_ms)

    @abc.abstractmethod
    def request_path(self, wait_ms: int) -> str:
        """Return the path and query of the next read."""

    @abc.abstractmethod
    def apply_body(self, body: bytes) -> bool:
        """Apply the body of a response; return whether its version is new.

        Raises CottonlinkError if it is rejected.
        """

    def on_answered(self) -> None:
        """Called after each successful read; does nothing unless overridden."""


def make_read_error(status: int, address: str) -> CottonlinkError:
    """Return the error for a status other than 200 and 304."""
    return CottonlinkError(
        "control_refused",
        f"expected status 200 or 304, got {status}",
        step=Step.POLICY_READ,
        peer=address,
    )
