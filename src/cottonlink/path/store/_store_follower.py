"""Keeps a node's copy of the store, where operators and targets publish, up to date.

In each data centre a few nodes watch the store and send the changes to the others. Those read or
watch the store themselves when they miss a change or receive none for too long. A node that starts
while the store is unreachable takes a snapshot from another node.

The store may return from a copy of itself, and then gives out revisions again. A node compares only
revisions of one era, and reads everything once it learns of a later era.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, Protocol

from cottonlink.errors import CottonlinkError, Step, describe_error
from cottonlink.overload import (
    UNKNOWN_ERA,
    StorePosition,
    make_watcher_election,
)
from cottonlink.path._log import EventLog
from cottonlink.path._model import Configuration, Upstream
from cottonlink.path.peers._frames import (
    SnapshotRequestFrame,
    StoreChangesFrame,
    StoreSnapshotFrame,
)
from cottonlink.path.store._store import (
    EraChangedError,
    HistoryLostError,
    Listing,
    Store,
    StoreItem,
    merge_changes,
    pack_items,
    unpack_items,
)
from cottonlink.path.store._store_contents import make_store_contents

# Delays after failed calls. All nodes share the store's rate limit, so the delay grows during an
# outage. A change published right after it must reach every node within about five seconds.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Delay between two watches, so that changes close to each other are read with one call. It doubles
# up to the maximum while changes come without a pause, and is far less than the two seconds within
# which a change must be in force.
BATCH_DELAY_S = 0.15
MAX_BATCH_DELAY_S = 0.5
# A watch that is answered within this time found changes that had been made before.
PROMPT_ANSWER_S = 0.1
# How long a fleet starts: the targets register one by one, and until nodes know each other all of
# them ask the store. Delay before the first watch in that time, and after one at a node that isn't
# elected to watch.
FLEET_START_S = 3.0
FLEET_START_DELAY_S = 1.5
# Interval of the check for entries that went missing around an outage of the store.
MAINTENANCE_INTERVAL_S = 0.25
# Interval at which a node that doesn't watch checks whether the watching nodes still send.
LISTENER_CHECK_INTERVAL_S = 0.2
# Items that can't be read of which a read tells the log.
LOGGED_PROBLEMS_LIMIT = 16


class StoreListener(Protocol):
    """The node that receives what the follower reads."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""

    def apply_upstreams(self, upstreams: list[Upstream]) -> None:
        """Replace the set of known upstreams."""

    def broadcast_changes(self, frame: StoreChangesFrame) -> None:
        """Send changes to the other nodes of the data centre."""

    def record_store_answer(self, asked_at_ms: float, era: int) -> None:
        """Note that an answer to a question sent at ``asked_at_ms`` has been applied.

        Such an answer isn't older than the question.
        """

    def record_watch_answer(self) -> None:
        """Note that the store knew no newer configuration a moment ago."""

    def set_watchers(self, vm_ips: tuple[str, ...]) -> None:
        """Note which nodes watch the store for the data centre."""


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
        self._contents = make_store_contents(
            store, log, node.apply_configuration, self._apply_upstreams
        )
        self._watcher_election = make_watcher_election(name)
        self._position: StorePosition | None = None
        self._must_read = True
        # Whether the first read, which may be seconds old, couldn't be brought up to date.
        self._must_read_latest = False
        self._fleet_starts_until_s = float("-inf")
        self._batch_delay_s = BATCH_DELAY_S
        self._watch_call: asyncio.Future[Listing] | None = None
        # The latest era that another node told of.
        self._announced_era = UNKNOWN_ERA
        self._ignored_changes: set[tuple[str, int | None]] = set()
        # The latest position that another node told of and this one couldn't follow.
        self._missed_position: StorePosition | None = None
        self._is_store_lost = False
        # Whether the connection to the store may have gone silent while nothing was asked on it.
        self._has_listened = False
        self._is_watching = False
        self._retry_delay_s = MIN_RETRY_DELAY_S
        # When the read in progress asked the store for what isn't older than the question.
        self._asked_at_ms = float("-inf")
        self.call_count = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                self._log.event("store_history_lost", detail=error.detail)
                self._must_read = self._must_read_latest = True
                await self._wait_before_retry()
            except EraChangedError as error:
                self._log.event("store_read_restarted", detail=error.detail)
                self._must_read = self._must_read_latest = True
                await self._wait_before_retry()
            except CottonlinkError as error:
                self._on_store_lost(error)
                await self._wait_before_retry()
            except Exception as error:
                # A node whose task ended would never learn of another change.
                self._log_failure("step", error)
                self._must_read = self._must_read_latest = True
                await self._wait_before_retry()

    def _log_failure(self, part: str, error: Exception) -> None:
        self._log.event("store_follower_failed", part=part, error=describe_error(error))

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(self._retry_delay_s * self._rng.uniform(0.5, 1.0))
        self._retry_delay_s = min(self._retry_delay_s * 2, MAX_RETRY_DELAY_S)

    async def run_maintenance(self) -> None:
        """Update the contents over time, until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                self._contents.maintain(self._now_ms())
            except Exception as error:
                self._log_failure("maintenance", error)

    def apply_changes(self, frame: StoreChangesFrame) -> None:
        """Apply changes, or a heartbeat without any, that a watching node has sent."""
        known = self._position
        if known is None:
            # Nothing tells yet whether the frame is of the store's present era.
            return
        era = UNKNOWN_ERA if frame.era is None else frame.era
        if era == UNKNOWN_ERA != known.era:
            # An earlier build may follow a revision of another era without noticing.
            self._ignore_changes(frame, "unknown_era")
            return
        if era < known.era:
            self._ignore_changes(frame, "older_era")
            return
        if era > known.era:
            self._learn_era(era)
            self._miss_changes(frame, era)
            return
        self._watcher_election.record_heartbeat(self._now_ms())
        # A watcher reaches the store, so entries are removed again, though this node's own next
        # call remains a read.
        if self._contents.store_regained(self._now_ms()):
            self._log.event("store_regained", by="watcher")
        if frame.revision <= known.revision:
            if frame.revision == known.revision:
                self._node.record_watch_answer()
            return
        if frame.after > known.revision:
            # A change was missed, which only the store still has.
            if not self._must_read:
                self._log_changes("store_changes_missed", frame)
            self._require_read()
            self._miss_changes(frame, era)
            return
        self._log_changes("store_changes_received", frame)
        self._contents.apply(unpack_items(frame.items, era), self._now_ms())
        self._position = StorePosition(era, frame.revision)
        self._node.record_watch_answer()

    def snapshot(self) -> StoreSnapshotFrame | None:
        """Return this node's copy of the store, or None if it has none."""
        if self._position is None:
            return None
        items = pack_items(self._contents.items())
        return StoreSnapshotFrame(self._position.revision, items, era=self._position.era)

    def snapshot_request(self) -> SnapshotRequestFrame | None:
        """Return the request for a peer's copy, or None if this node doesn't depend on one.

        It does if the store refuses it while peers have told it of changes that it can't follow.
        """
        if self._missed_position is None or not (self._must_read and self._is_store_lost):
            return None
        return SnapshotRequestFrame(self._position.era, self._position.revision)

    def apply_snapshot(self, frame: StoreSnapshotFrame) -> None:
        """Apply another node's copy of the store, or only its configuration.

        The whole copy is used by a node that has none, or that depends on a later one. The store
        may have returned from a copy with an older configuration than the peer knows.
        """
        position = StorePosition(UNKNOWN_ERA if frame.era is None else frame.era, frame.revision)
        items = unpack_items(frame.items, position.era)
        is_needed = self._position is None or (
            self.snapshot_request() is not None and position > self._position
        )
        if not is_needed:
            self._contents.adopt_configuration(items)
            return
        self._log.event(
            "store_known_by_peer", era=frame.era, revision=frame.revision, items=len(items)
        )
        self._apply_listing(Listing(items, position))
        # Without the era, changes of other nodes can't be put in order with the snapshot.
        self._must_read = frame.era is None or (
            self._missed_position is not None and position < self._missed_position
        )

    async def _step(self) -> None:
        must_watch = self._watcher_election.must_watch(self._now_ms())
        if must_watch != self._is_watching:
            self._is_watching = must_watch
            self._log.event(
                "store_watch_began" if must_watch else "store_watch_ended",
                is_elected=self._watcher_election.is_watcher,
                silent_ms=self._watcher_election.silent_ms(self._now_ms()),
                known=self._position and self._position.revision,
            )
        if self._must_read or (must_watch and (self._is_store_lost or self._has_listened)):
            # A read shows at once whether the store answers. A watch may wait for changes, or be
            # sent on a connection that broke in an outage or went silent.
            await self._read_all()
        elif must_watch:
            await self._watch(self._position)
        else:
            self._has_listened = True
            await asyncio.sleep(LISTENER_CHECK_INTERVAL_S)

    async def _read_all(self) -> None:
        announced_era = self._announced_era
        is_first = self._position is None and not self._must_read_latest
        listing = await (self._read_first() if is_first else self._read_latest())
        position, previous = listing.position, self._position
        if previous is not None and position.era < previous.era:
            raise CottonlinkError(
                "store_era_older",
                f"the store answered from era {position.era} after era {previous.era}",
                step=Step.POLICY_READ,
            )
        self._on_store_regained()
        self._has_listened = False
        self._log.event(
            "store_read",
            era=position.era,
            revision=position.revision,
            items=len(listing.items),
            previous=previous and previous.revision,
        )
        for problem in listing.problems[:LOGGED_PROBLEMS_LIMIT]:
            self._log.event("store_item_invalid", detail=problem)
        # An era that was announced meanwhile may have begun after the first answer.
        self._must_read = position.era < self._announced_era != announced_era
        if not self._must_read:
            self._missed_position = None
        if self._watcher_election.is_watcher and previous is not None:
            # The other nodes rely on this one: they would notice a gap only with the next answer,
            # and the change of an era not at all.
            if position.era > previous.era:
                self._broadcast(position.revision, position, ())
            else:
                changes = self._contents.changes_to(listing)
                self._broadcast(previous.revision, position, changes)
        self._apply_listing(listing)
        self._record_answer(self._asked_at_ms, position)

    async def _read_latest(self) -> Listing:
        self.call_count += 1
        self._asked_at_ms = self._now_ms()
        return await self._store.read_all()

    async def _read_first(self) -> Listing:
        """Return a listing that is as cheap for the store as possible, and current nonetheless.

        All nodes of a fleet may start at once. Nothing of an old listing is used before the changes
        since are known: a target that it holds may have left.
        """
        self.call_count += 1
        self._asked_at_ms = float("-inf")
        listing = await self._store.read_all(may_be_stale=True)
        if not any(self._store.is_configuration(item.key) for item in listing.items):
            self._fleet_starts_until_s = self._loop.time() + FLEET_START_S
            await self._wait_while_fleet_starts()
        if not listing.items:
            return listing
        self.call_count += 1
        self._asked_at_ms = self._now_ms()
        return merge_changes(listing, await self._store.read_changes(listing.position))

    async def _wait_while_fleet_starts(self) -> None:
        rest_s = self._fleet_starts_until_s - self._loop.time()
        await asyncio.sleep(max(0.0, min(FLEET_START_DELAY_S, rest_s)))

    async def _wait_for_batch(self, answered_in_s: float) -> None:
        """Wait after a watch that was answered with changes, so that more come together."""
        is_fleet_starting = self._loop.time() < self._fleet_starts_until_s
        if is_fleet_starting and not self._watcher_election.is_watcher:
            await self._wait_while_fleet_starts()
            return
        is_busy = answered_in_s < PROMPT_ANSWER_S
        delay_s = min(2 * self._batch_delay_s, MAX_BATCH_DELAY_S) if is_busy else BATCH_DELAY_S
        self._batch_delay_s = delay_s
        await asyncio.sleep(delay_s)

    def _apply_listing(self, listing: Listing) -> None:
        self._enter_era(listing.position)
        self._contents.replace(listing, self._now_ms())
        self._position = listing.position

    def _enter_era(self, position: StorePosition) -> None:
        previous = self._position
        if previous is None or position.era == previous.era:
            return
        self._ignored_changes.clear()
        self._log.event(
            "store_era_changed",
            era=position.era,
            revision=position.revision,
            previous=previous.era,
            previous_revision=previous.revision,
        )

    async def _watch(self, asked: StorePosition) -> None:
        self.call_count += 1
        asked_at_s = self._loop.time()
        self._watch_call = asyncio.ensure_future(self._store.watch(asked))
        try:
            await asyncio.wait((self._watch_call,))
        finally:
            self._watch_call.cancel()
        if self._watch_call.cancelled():
            return
        changes = self._watch_call.result()
        answered_at_s = self._loop.time()
        self._on_store_regained()
        if changes.items:
            self._log.event(
                "store_changes_read",
                era=changes.position.era,
                after=asked.revision,
                revision=changes.position.revision,
                items=len(changes.items),
            )
        if self._watcher_election.is_watcher:
            # Sent before they are applied: the node next to a target that is removed by them is
            # among the receivers only until then.
            self._broadcast(asked.revision, changes.position, changes.items)
        self._contents.apply(changes.items, self._now_ms())
        # Frames of other watchers may have taken this node further than this answer.
        self._position = max(changes.position, self._position)
        self._record_answer(asked_at_s * 1000.0, changes.position)
        self._node.record_watch_answer()
        if changes.items:
            await self._wait_for_batch(answered_at_s - asked_at_s)

    def _record_answer(self, asked_at_ms: float, position: StorePosition) -> None:
        # Keys may have been taken away in a configuration that can't be read.
        if not self._contents.is_configuration_unreadable:
            self._node.record_store_answer(asked_at_ms, position.era)

    def _broadcast(self, after: int, position: StorePosition, items: tuple[StoreItem, ...]) -> None:
        """Send the changes after one revision up to a position, which must be all of them.

        Without changes this is a heartbeat. Only an answer of the store is a reason for one: a
        watcher whose watch hangs runs, but isn't up to date.
        """
        self._node.broadcast_changes(
            StoreChangesFrame(after, position.revision, pack_items(items), era=position.era)
        )

    def _require_read(self) -> None:
        """Read everything next, without waiting for a watch, which may hang since an outage."""
        self._must_read = True
        if self._watch_call is not None:
            self._watch_call.cancel()

    def _learn_era(self, era: int) -> None:
        """Read everything, once, as another node knows a later era of the store."""
        if era > self._announced_era:
            self._announced_era = era
            self._require_read()
            self._log.event("store_era_announced", era=era, known=self._position.era)

    def _miss_changes(self, frame: StoreChangesFrame, era: int) -> None:
        """Note changes that can't be applied, and apply a configuration among them.

        Versions order configurations in whatever era they were read.
        """
        position = StorePosition(era, frame.revision)
        if self._missed_position is None or position > self._missed_position:
            self._missed_position = position
        self._contents.adopt_configuration(unpack_items(frame.items, era))

    def _ignore_changes(self, frame: StoreChangesFrame, reason: str) -> None:
        """Log the first of the changes that are ignored for this reason, not each of them."""
        if (reason, frame.era) not in self._ignored_changes:
            self._ignored_changes.add((reason, frame.era))
            self._log_changes("store_changes_ignored", frame, reason=reason)

    def _apply_upstreams(self, upstreams: list[Upstream]) -> None:
        self._watcher_election.set_members(
            upstream.vm_ip for upstream in upstreams if upstream.data_centre == self._data_centre
        )
        self._node.set_watchers(self._watcher_election.watchers)
        self._node.apply_upstreams(upstreams)

    def _on_store_lost(self, error: CottonlinkError) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            self._log.event("store_lost", code=error.code, detail=error.detail, peer=error.peer)
        # While watchers reach the store, entries don't expire because of an outage, and what is
        # removed must not be deferred by a node whose own connection has failed.
        if not self._watcher_election.hears_watcher(self._now_ms()):
            self._contents.store_lost()

    def _on_store_regained(self) -> None:
        self._retry_delay_s = MIN_RETRY_DELAY_S
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.event("store_regained", by="call")
        self._contents.store_regained(self._now_ms())

    def _log_changes(self, event: str, frame: StoreChangesFrame, **fields: Any) -> None:
        self._log.event(
            event,
            era=frame.era,
            after=frame.after,
            revision=frame.revision,
            items=len(frame.items),
            known_era=self._position.era,
            known=self._position.revision,
            **fields,
        )

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
