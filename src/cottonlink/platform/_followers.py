"""Tasks that follow the store: one for the configuration, one for the upstreams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from cottonlink.errors import CottonlinkError
from cottonlink.overload import make_directory
from cottonlink.path import Configuration, EventLog, Upstream
from cottonlink.platform._records import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    Item,
    decode_configuration,
    decode_upstream,
)
from cottonlink.platform._store_client import HistoryLostError, Listing, StoreClient

# Pauses after failed calls. Calls are shared by all nodes, so the pause grows while the store is
# away, but stays short enough to be back within a second of its return.
SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# Changes that come within this time are read with one call.
COLLECT_S = 0.05
# How often entries that went missing around an outage are looked at.
MISSING_CHECK_S = 0.25


class _Follower:
    """Lists, then watches, and starts again whenever that breaks."""

    name = ""

    def __init__(self, store: StoreClient, log: EventLog, rng: random.Random) -> None:
        self._store = store
        self._log = log
        self._rng = rng
        self._is_away = False
        self._pause_s = SHORTEST_PAUSE_S

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    listing = await self._list()
                    self._regained()
                    self._take_listing(listing)
                else:
                    listing = await self._watch(revision)
                    self._regained()
                    self._take_changes(listing)
                revision = listing.revision
                if listing.items:
                    await asyncio.sleep(COLLECT_S)
            except HistoryLostError as error:
                self._log.event("store_history_lost", watch=self.name, detail=error.detail)
                revision = None
            except CottonlinkError as error:
                self._lost(error)
                await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
                self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)

    async def _list(self) -> Listing:
        raise NotImplementedError

    async def _watch(self, revision: int) -> Listing:
        raise NotImplementedError

    def _take_listing(self, listing: Listing) -> None:
        raise NotImplementedError

    def _take_changes(self, listing: Listing) -> None:
        raise NotImplementedError

    def _lost(self, error: CottonlinkError) -> None:
        if not self._is_away:
            self._is_away = True
            self._log.event(
                "store_lost", watch=self.name, code=error.code, detail=error.detail, peer=error.peer
            )

    def _regained(self) -> None:
        self._pause_s = SHORTEST_PAUSE_S
        if self._is_away:
            self._is_away = False
            self._log.event("store_regained", watch=self.name)


class ConfigurationFollower(_Follower):
    """Follows the operator's configuration."""

    name = "configuration"

    def __init__(
        self,
        store: StoreClient,
        log: EventLog,
        rng: random.Random,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        super().__init__(store, log, rng)
        self._on_configuration = on_configuration

    async def _list(self) -> Listing:
        return await self._store.read_key(CONFIGURATION_KEY)

    async def _watch(self, revision: int) -> Listing:
        return await self._store.watch(CONFIGURATION_KEY, revision)

    def _take_listing(self, listing: Listing) -> None:
        self._take_changes(listing)

    def _take_changes(self, listing: Listing) -> None:
        for item in listing.items:
            if item.key != CONFIGURATION_KEY or item.value is None:
                continue
            try:
                configuration = decode_configuration(item.value)
            except CottonlinkError as error:
                # What was in force stays in force.
                self._log.event("configuration_invalid", detail=error.detail)
                continue
            self._on_configuration(configuration)


class UpstreamFollower(_Follower):
    """Follows the entries of upstreams."""

    name = "upstreams"

    def __init__(
        self,
        store: StoreClient,
        log: EventLog,
        rng: random.Random,
        on_upstreams: Callable[[list[Upstream]], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(store, log, rng)
        self._on_upstreams = on_upstreams
        self._loop = loop
        self._directory = make_directory()

    async def drop_missing(self) -> None:
        """Look after entries that went missing around an outage, until cancelled."""
        while True:
            await asyncio.sleep(MISSING_CHECK_S)
            dropped = self._directory.drop_missing(self._now_ms())
            if dropped:
                self._log.event("upstreams_dropped", ids=dropped)
                self._publish()

    async def _list(self) -> Listing:
        return await self._store.read_range(UPSTREAM_PREFIX)

    async def _watch(self, revision: int) -> Listing:
        return await self._store.watch(UPSTREAM_PREFIX, revision)

    def _take_listing(self, listing: Listing) -> None:
        entries = {item.key: self._decode(item) for item in listing.items}
        if self._directory.replace_all(entries, self._now_ms()):
            self._publish()

    def _take_changes(self, listing: Listing) -> None:
        has_changed = False
        for item in listing.items:
            if item.value is None:
                has_changed |= self._directory.remove(item.key, self._now_ms())
            else:
                has_changed |= self._directory.put(item.key, self._decode(item))
        if has_changed:
            self._publish()

    def _decode(self, item: Item) -> Upstream | None:
        try:
            return decode_upstream(item)
        except CottonlinkError as error:
            self._log.event("entry_invalid", key=item.key, detail=error.detail)
            return None

    def _publish(self) -> None:
        self._on_upstreams(self._directory.entries())

    def _lost(self, error: CottonlinkError) -> None:
        super()._lost(error)
        self._directory.store_lost()

    def _regained(self) -> None:
        super()._regained()
        self._directory.store_regained(self._now_ms())

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
