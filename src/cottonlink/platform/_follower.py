"""Follows the store: reads what it holds, then watches, and starts again when that breaks."""

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

# Pauses after failed calls. All nodes share the store's rate, so the pause grows while it is away,
# but stays short enough to be back within a second of its return.
SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# Changes that come within this time are read with one call.
COLLECT_S = 0.05
# How often entries that went missing around an outage are looked at.
MISSING_CHECK_S = 0.25
# One watch covers the configuration and the upstreams, whose keys share no prefix.
_EVERYTHING = ""


class StoreFollower:
    """Keeps the node's view of configuration and upstreams up to date."""

    def __init__(
        self,
        store: StoreClient,
        log: EventLog,
        rng: random.Random,
        loop: asyncio.AbstractEventLoop,
        on_configuration: Callable[[Configuration], None],
        on_upstreams: Callable[[list[Upstream]], None],
    ) -> None:
        self._store = store
        self._log = log
        self._rng = rng
        self._loop = loop
        self._on_configuration = on_configuration
        self._on_upstreams = on_upstreams
        self._directory = make_directory()
        self._is_away = False
        self._pause_s = SHORTEST_PAUSE_S

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None or self._is_away:
                    # A plain read tells at once whether the store answers again; a watch doesn't.
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
            except HistoryLostError as error:
                self._log.event("store_history_lost", detail=error.detail)
                revision = None
            except CottonlinkError as error:
                self._lost(error)
                await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
                self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)

    async def drop_missing(self) -> None:
        """Look after entries that went missing around an outage, until cancelled."""
        while True:
            await asyncio.sleep(MISSING_CHECK_S)
            dropped = self._directory.drop_missing(self._now_ms())
            if dropped:
                self._log.event("upstreams_dropped", ids=dropped)
                self._publish()

    async def _read_all(self) -> int:
        configuration = await self._store.read_key(CONFIGURATION_KEY)
        self._regained()
        self._take_configuration(configuration.items)
        upstreams = await self._store.read_range(UPSTREAM_PREFIX)
        entries = {item.key: self._decode(item) for item in upstreams.items}
        if self._directory.replace_all(entries, self._now_ms()):
            self._publish()
        # Changes of the upstreams since the first read are watched.
        return min(configuration.revision, upstreams.revision)

    async def _watch(self, revision: int) -> int:
        changes = await self._store.watch(_EVERYTHING, revision)
        self._regained()
        self._take_configuration(changes.items)
        self._take_upstreams(changes)
        if changes.items:
            await asyncio.sleep(COLLECT_S)
        return changes.revision

    def _take_configuration(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key != CONFIGURATION_KEY or item.value is None:
                continue
            try:
                configuration = decode_configuration(item.value)
            except CottonlinkError as error:
                # What was in force stays in force.
                self._log.event("configuration_invalid", detail=error.detail)
                continue
            self._on_configuration(configuration)

    def _take_upstreams(self, changes: Listing) -> None:
        has_changed = False
        for item in changes.items:
            if not item.key.startswith(UPSTREAM_PREFIX):
                continue
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
        if not self._is_away:
            self._is_away = True
            self._log.event("store_lost", code=error.code, detail=error.detail, peer=error.peer)
        self._directory.store_lost()

    def _regained(self) -> None:
        self._pause_s = SHORTEST_PAUSE_S
        if self._is_away:
            self._is_away = False
            self._log.event("store_regained")
        self._directory.store_regained(self._now_ms())

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
