"""Elects the nodes that watch the store, and detects when a node can't rely on them.

Each change wakes every watch, and the request rate of the store grows more slowly than the fleet.
So only a few nodes of each data centre watch, and forward each answer of the store to the others,
also one without changes, as a heartbeat. A node that receives none for a while watches the store
itself, so that no node depends on any other.
"""

from __future__ import annotations

from collections.abc import Iterable

from cottonlink._hashing import rendezvous_order

# With two watchers the others don't notice the loss of one.
WATCHERS_PER_DATA_CENTRE = 2
# A node without a heartbeat for this long watches the store itself. It is longer than the time
# between two answers to a watch, and together with the time of one read less than the two seconds
# within which a change must be in force.
HEARTBEAT_TIMEOUT_MS = 1_200.0
_RENDEZVOUS_KEY = "watch"


class WatcherElection:
    """What one node knows of the watchers in its data centre."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._last_heartbeat_ms = float("-inf")
        self.is_watcher = True
        self.watchers: tuple[str, ...] = (name,)

    def set_members(self, names: Iterable[str]) -> None:
        """Elect the watchers among ``names``, the nodes of the data centre."""
        members = {*names, self._name}
        self.watchers = tuple(rendezvous_order(_RENDEZVOUS_KEY, members)[:WATCHERS_PER_DATA_CENTRE])
        self.is_watcher = self._name in self.watchers

    def record_heartbeat(self, now_ms: float) -> None:
        """Record that a watcher reported to be up to date."""
        self._last_heartbeat_ms = now_ms

    def must_watch(self, now_ms: float) -> bool:
        """Return whether this node has to watch the store itself."""
        return self.is_watcher or not self.hears_watcher(now_ms)

    def silent_ms(self, now_ms: float) -> int | None:
        """Return the time since the last heartbeat, or None if there was none."""
        silent_ms = now_ms - self._last_heartbeat_ms
        return None if silent_ms == float("inf") else round(silent_ms)

    def hears_watcher(self, now_ms: float) -> bool:
        """Return whether a watcher has reported lately that it reaches the store."""
        return now_ms - self._last_heartbeat_ms < HEARTBEAT_TIMEOUT_MS


def make_watcher_election(name: str) -> WatcherElection:
    """Return the election of a node that knows no other nodes and so watches itself."""
    return WatcherElection(name)
