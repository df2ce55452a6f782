"""State that the components of one node share."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field

from cottonlink.errors import describe_error
from cottonlink.organisations import CurrencyProof
from cottonlink.overload import (
    CrashRegistry,
    LeavingTargets,
    LoadBalancer,
    MemoryAccount,
    RetryBudget,
    RouteThrottle,
    TrafficSplit,
)
from cottonlink.path._header_codec import HeaderCodec
from cottonlink.path._log import EventLog
from cottonlink.path._metrics import PathMetrics
from cottonlink.path._model import Configuration, Request, Route
from cottonlink.path._paced_input import Turns
from cottonlink.path.peers._peer_links import PeerLinks
from cottonlink.path.target._crash_guard import CrashGuard

if TYPE_CHECKING:
    from cottonlink.path.peers._quota_service import QuotaService
    from cottonlink.path.target._target_dispatcher import TargetDispatcher


@define(eq=False)
class NodeState:
    """Shared state of one node. Used only from its event loop."""

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    service: str
    target_address: tuple[str, int]
    peer_port: int
    header_codec: HeaderCodec
    log: EventLog
    metrics: PathMetrics
    load_balancer: LoadBalancer
    retry_budget: RetryBudget
    route_throttle: RouteThrottle
    traffic_split: TrafficSplit
    crash_registry: CrashRegistry
    crash_guard: CrashGuard
    leaving_targets: LeavingTargets
    memory: MemoryAccount
    turns: Turns
    currency: CurrencyProof
    dispatcher: TargetDispatcher = field(init=False)
    peer_links: PeerLinks = field(init=False)
    quotas: QuotaService = field(init=False)
    paces_starts: bool = False
    """Whether targets that have just started are paced."""
    configuration: Configuration | None = None
    nested_routes: dict[str, bool] = field(factory=dict)
    """Whether a route's requests are nested calls, as the nodes next to targets report."""
    calling_services: dict[str, bool] = field(factory=dict)
    """Whether the targets of a service make calls themselves, as reported by their nodes."""
    currency_waits: set[Callable[[], None]] = field(factory=set)
    """Called once the configuration is proven to have been current later than before."""
    _streams: itertools.count = field(factory=itertools.count)

    def now_ms(self) -> float:
        """Return the monotonic time of the event loop."""
        return self.loop.time() * 1000.0

    def is_currency_proven(self) -> bool:
        """Return whether requests with API keys may be sent to targets.

        The event loop's own time may be as old as a freeze of the process was long, while input
        that is read now arrived at its end.
        """
        if not self.currency.is_required:
            return True
        return self.currency.valid_for_ms(time.monotonic() * 1000.0) > 0

    def report_failure(self, part: str, error: BaseException) -> None:
        """Count and log an unexpected error, which ``part`` of the node has survived."""
        self.metrics.count("failures", part)
        self.log.event("node_part_failed", part=part, error=describe_error(error))

    def next_stream(self) -> int:
        """Return a stream number, unique within this node."""
        return next(self._streams)

    def find_route(self, request: Request) -> Route | None:
        """Return the route of a request in the current configuration, or None."""
        if self.configuration is None:
            return None
        return self.configuration.find_route(request.host.decode("latin-1"), request.path)

    @property
    def configuration_version(self) -> int | None:
        """Version of the current configuration, None if there is none."""
        return self.configuration.version if self.configuration else None
