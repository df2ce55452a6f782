"""Keeps a node's copy of the store, where operators and targets publish, up to date.

In each data centre a few nodes watch the store and send the changes to the others. Those read or
watch the store themselves when they miss a change or receive none for too long. A node that starts
while the store is unreachable takes a snapshot from another node.
"""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from attrs import frozen

from cottonlink.errors import CottonlinkError
from cottonlink.overload import (
    HEARTBEAT_PERIOD_MS,
    UNKNOWN_ERA,
    StorePosition,
    make_upstream_directory,
    make_watcher_election,
)
from cottonlink.path._frames import StoreChangesFrame, StoreSnapshotFrame
from cottonlink.path._log import EventLog
from cottonlink.path._model import Configuration, Upstream

# Delays after failed calls. All nodes share the store's rate limit, so the delay grows during an
# outage. A change published right after it must reach every node within about five seconds.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.5
# Delay between two watches, so that changes close to each other are read with one call.
BATCH_DELAY_S = 0.15
# Interval of the check for entries that went missing around an outage of the store, and for a
# heartbeat that is due.
MAINTENANCE_INTERVAL_S = 0.25
# Interval at which a node that doesn't watch checks whether the watching nodes still send.
LISTENER_CHECK_INTERVAL_S = 0.2


class HistoryLostError(CottonlinkError):
    """The store has discarded the changes that a watch asks for."""


@frozen
class StoreItem:
    """The value of a key at a revision; ``value`` is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None


@frozen
class Listing:
    """Items or changes that were read, and the position to watch from."""

    items: tuple[StoreItem, ...]
    position: StorePosition


class Store(Protocol):
    """Client of the store. ``read_all`` and ``watch`` raise CottonlinkError on failure."""

    async def read_all(self) -> Listing:
        """Return the configuration and all upstream entries."""

    async def watch(self, revision: int) -> Listing:
        """Wait for changes after ``revision`` and return them; none if the wait times out.

        Raises HistoryLostError if the store no longer has them.
        """

    def is_configuration(self, key: str) -> bool:
        """Return whether ``key`` holds the operator's configuration."""

    def is_upstream(self, key: str) -> bool:
        """Return whether ``key`` holds a target's entry."""

    def decode_configuration(self, item: StoreItem) -> Configuration:
        """Return the configuration in ``item``. Raises CottonlinkError if it is invalid."""

    def decode_upstream(self, item: StoreItem) -> Upstream:
        """Return the upstream in ``item``. Raises CottonlinkError if it is invalid."""


class StoreListener(Protocol):
    """The node that receives what the follower reads."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""

    def apply_upstreams(self, upstreams: list[Upstream]) -> None:
        """Replace the set of known upstreams."""

    def broadcast_changes(self, frame: StoreChangesFrame) -> None:
        """Send changes to the other nodes of the data centre."""


class StoreFollower:
    """Follows the store by watching it or by listening to nodes that do."""

    def __init__(
        self,
        store: Store,
        node: StoreListener,
        name: str,
        data_centre: str,
        log: EventLog,
        rng: random.Random,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._store = store
        self._node = node
        self._data_centre = data_centre
        self._log = log
        self._rng = rng
        self._loop = loop
        self._directory = make_upstream_directory()
        self._watcher_election = make_watcher_election(name)
        self._revision: int | None = None
        self._era: int | None = None
        self._items: dict[str, StoreItem] = {}
        self._is_store_lost = False
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._heartbeat_due_ms = 0.0
        self.call_count = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                self._log.event("store_history_lost", detail=error.detail)
                self._revision = None
            except CottonlinkError as error:
                self._on_store_lost(error)
                await asyncio.sleep(self._retry_delay_s * self._rng.uniform(0.5, 1.0))
                self._retry_delay_s = min(self._retry_delay_s * 2, MAX_RETRY_DELAY_S)

    async def run_maintenance(self) -> None:
        """Drop entries that stayed missing and send heartbeats while watching, until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now_ms = self._now_ms()
            dropped = self._directory.drop_missing(now_ms)
            if dropped:
                self._log.event("upstreams_dropped", ids=dropped)
                self._publish()
            is_current = self._revision is not None and not self._is_store_lost
            if (
                self._watcher_election.is_watcher
                and is_current
                and now_ms >= self._heartbeat_due_ms
            ):
                self._broadcast(self._revision, ())

    def apply_changes(self, frame: StoreChangesFrame) -> None:
        """Apply changes, or a heartbeat without any, that a watching node has sent."""
        self._watcher_election.record_heartbeat(self._now_ms())
        if self._revision is None or frame.revision <= self._revision:
            if self._revision is not None and frame.items and frame.revision < self._revision:
                self._log_peer_changes("store_changes_ignored", frame, reason="older_revision")
            return
        if frame.after > self._revision:
            # A change was missed, which only the store still has: read everything.
            self._log_peer_changes("store_changes_missed", frame)
            self._revision = None
            return
        self._log_peer_changes("store_changes_received", frame)
        self._apply_items(tuple(StoreItem(*item) for item in frame.items))
        self._revision = frame.revision

    def snapshot(self) -> StoreSnapshotFrame | None:
        """Return this node's copy of the store, or None if it has none."""
        if self._revision is None:
            return None
        items = [item for item in self._items.values() if item.value is not None]
        packed_items = tuple((item.key, item.revision, item.value) for item in items)
        return StoreSnapshotFrame(self._revision, packed_items)

    def apply_snapshot(self, frame: StoreSnapshotFrame) -> None:
        """Apply another node's copy of the store, unless this node has one."""
        if self._revision is not None:
            return
        items = tuple(StoreItem(*item) for item in frame.items)
        self._log.event("store_known_by_peer", revision=frame.revision, items=len(items))
        self._apply_listing(Listing(items, StorePosition(UNKNOWN_ERA, frame.revision)))

    async def _step(self) -> None:
        if self._revision is None or (
            self._is_store_lost and self._watcher_election.must_watch(self._now_ms())
        ):
            # A read shows at once whether the store answers again; a watch may wait for changes.
            await self._read_all()
        elif self._watcher_election.must_watch(self._now_ms()):
            await self._watch(self._revision)
        else:
            self._is_store_lost = False
            await asyncio.sleep(LISTENER_CHECK_INTERVAL_S)

    async def _read_all(self) -> None:
        self.call_count += 1
        listing = await self._store.read_all()
        self._on_store_regained()
        self._log_position("store_read", listing, previous=self._revision)
        self._apply_listing(listing)

    def _apply_listing(self, listing: Listing) -> None:
        self._items = {item.key: item for item in listing.items}
        entries: dict[str, tuple[Upstream | None, int]] = {}
        for item in listing.items:
            if self._store.is_configuration(item.key):
                self._apply_configuration(item)
            elif self._store.is_upstream(item.key):
                entries[item.key] = (self._decode_upstream(item), item.revision)
        if self._directory.replace_all(entries, self._now_ms()):
            self._publish()
        self._revision = listing.position.revision

    async def _watch(self, revision: int) -> None:
        self.call_count += 1
        changes = await self._store.watch(revision)
        self._on_store_regained()
        if changes.items or changes.position.era != self._era:
            self._log_position("store_changes_read", changes, after=revision)
        self._apply_items(changes.items)
        self._revision = max(changes.position.revision, self._revision or 0)
        if self._watcher_election.is_watcher:
            self._broadcast(revision, changes.items)
        if changes.items:
            await asyncio.sleep(BATCH_DELAY_S)

    def _broadcast(self, after: int, items: tuple[StoreItem, ...]) -> None:
        self._heartbeat_due_ms = self._now_ms() + HEARTBEAT_PERIOD_MS
        packed_items = tuple((item.key, item.revision, item.value) for item in items)
        self._node.broadcast_changes(StoreChangesFrame(after, self._revision, packed_items))

    def _apply_items(self, items: tuple[StoreItem, ...]) -> None:
        has_changed = False
        for item in items:
            known = self._items.get(item.key)
            # Changes from other nodes and from an own watch may overlap, in a different order.
            if known is not None and item.revision <= known.revision:
                continue
            self._items[item.key] = item
            if self._store.is_configuration(item.key):
                self._apply_configuration(item)
            elif self._store.is_upstream(item.key):
                has_changed |= self._apply_entry(item)
        if has_changed:
            self._publish()

    def _apply_entry(self, item: StoreItem) -> bool:
        if item.value is None:
            return self._directory.remove(item.key, self._now_ms())
        return self._directory.put(item.key, self._decode_upstream(item), item.revision)

    def _apply_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            return
        try:
            configuration = self._store.decode_configuration(item)
        except CottonlinkError as error:
            # The previous configuration stays in force.
            self._log.event("configuration_invalid", detail=error.detail)
            return
        self._node.apply_configuration(configuration)

    def _decode_upstream(self, item: StoreItem) -> Upstream | None:
        try:
            return self._store.decode_upstream(item)
        except CottonlinkError as error:
            self._log.event("entry_invalid", key=item.key, detail=error.detail)
            return None

    def _publish(self) -> None:
        upstreams = self._directory.entries()
        self._watcher_election.set_members(
            upstream.vm_ip for upstream in upstreams if upstream.data_centre == self._data_centre
        )
        self._node.apply_upstreams(upstreams)

    def _on_store_lost(self, error: CottonlinkError) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            self._log.event("store_lost", code=error.code, detail=error.detail, peer=error.peer)
        self._directory.store_lost()

    def _on_store_regained(self) -> None:
        self._retry_delay_s = MIN_RETRY_DELAY_S
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.event("store_regained")
        self._directory.store_regained(self._now_ms())

    def _log_position(self, event: str, listing: Listing, **fields: int | None) -> None:
        position = listing.position
        if self._era is not None and position.era != self._era:
            self._log.event("store_era_changed", era=position.era, previous=self._era)
        self._era = position.era
        self._log.event(
            event,
            era=position.era,
            revision=position.revision,
            items=len(listing.items),
            **fields,
        )

    def _log_peer_changes(self, event: str, frame: StoreChangesFrame, **fields: str) -> None:
        self._log.event(
            event,
            after=frame.after,
            revision=frame.revision,
            items=len(frame.items),
            known=self._revision,
            **fields,
        )

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
