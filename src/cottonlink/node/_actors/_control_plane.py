"""Starts and stops the control actors of a node."""

from __future__ import annotations

import random
import threading

import pykka

from cottonlink._clock import Clock
from cottonlink.decisions import Member, Membership, make_membership
from cottonlink.node._actors._client import ControlClient
from cottonlink.node._actors._control_state import ControlState
from cottonlink.node._actors._gossip import GOSSIP_INTERVAL_MS, GossipActor
from cottonlink.node._actors._handlers import ControlHandlers
from cottonlink.node._actors._interfaces import GossipNow, NodeControl, Refresh, Tick
from cottonlink.node._actors._policy_watcher import PolicyWatcher
from cottonlink.node._actors._target_probe import PROBE_INTERVAL_MS, TargetProbe
from cottonlink.node._actors._ticker import Ticker
from cottonlink.node._actors._vm_list_watcher import VmListWatcher
from cottonlink.node._settings import Settings
from cottonlink.observe import EventLog


class ControlPlane:
    """The control actors of one node. ``state`` answers queries, ``handlers`` serve peers."""

    def __init__(
        self, settings: Settings, state: ControlState, node: NodeControl, clock: Clock
    ) -> None:
        self.state = state
        self._stopping = threading.Event()
        self._tickers: list[Ticker] = []
        self._gossip = GossipActor.start(state, node, ControlClient(clock), clock)
        self.handlers = ControlHandlers(state, self._gossip)
        self._watchers = (
            PolicyWatcher.start(
                state,
                ControlClient(clock),
                clock,
                settings.config_service_address,
                self._stopping,
                self._gossip,
            ),
            VmListWatcher.start(
                state, ControlClient(clock), clock, settings.vm_list_address, self._stopping
            ),
        )
        self._probe = TargetProbe.start(node, ControlClient(clock), clock, settings.target_address)

    def start(self) -> None:
        """Start the periodic work. The control listener should already serve peers."""
        for ref in (self._gossip, self._probe, *self._watchers):
            _tick(ref)
        self._tickers.append(Ticker(GOSSIP_INTERVAL_MS, lambda: _tick(self._gossip), "gossip"))
        self._tickers.append(Ticker(PROBE_INTERVAL_MS, lambda: _tick(self._probe), "probe"))

    def refresh(self) -> None:
        """Exchange gossip at once; ``NodeControl.refreshed`` is called when a peer has answered."""
        self._gossip.tell(Refresh())

    def announce_leaving(self) -> None:
        """Announce that this node leaves: to some peers at once, to the others by gossip."""
        self.state.announce_leaving()
        self._gossip.tell(GossipNow())

    def announce_crash(self, fingerprint: str, crashes: int) -> None:
        """Announce a request that crashed targets: to some peers at once, to others by gossip."""
        self.state.announce_crash(fingerprint, crashes)
        self._gossip.tell(GossipNow())

    def stop(self) -> None:
        """Stop all actors; returns without waiting for a request in progress."""
        self._stopping.set()
        for ticker in self._tickers:
            ticker.stop()
        for ref in (self._gossip, self._probe, *self._watchers):
            ref.stop(block=False)


def make_control_plane(
    settings: Settings,
    node: NodeControl,
    events: EventLog,
    clock: Clock,
    incarnation: str,
    rng: random.Random | None = None,
) -> ControlPlane:
    """Return the control plane of the node that ``settings`` describe, not yet started."""
    membership = _make_membership(settings, clock, incarnation, rng or random.Random())
    return ControlPlane(settings, ControlState(node, membership, events, clock), node, clock)


def _make_membership(
    settings: Settings, clock: Clock, incarnation: str, rng: random.Random
) -> Membership:
    own = Member(
        name=settings.node,
        data_centre=settings.data_centre,
        peer_address=settings.peer_address,
        control_address=settings.control_address,
        incarnation=incarnation,
    )
    return make_membership(own, settings.seed_control_addresses, rng, clock.monotonic_ms())


def _tick(ref: pykka.ActorRef) -> None:
    if ref.is_alive():
        ref.tell(Tick())
