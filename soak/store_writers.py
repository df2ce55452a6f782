"""The operator and the targets as writers of the store: they write again what the store lost."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field, frozen

from emulator.platform_store import PlatformStore
from emulator.platform_target import PlatformTarget, configuration
from soak.organisations import Organisations

CONFIGURATION_KEY = "op/config"
# The store has all entries of living targets again within about two seconds of its return.
HEARTBEAT_S = 1.8
# The operator notices at once, or up to this time later, that the store has lost a configuration.
OPERATOR_DELAY_S = 1.0
MAX_VERSION_STEP = 9
# Longest body of a request that the operator allows.
BODY_LIMIT_BYTES = 20_000_000


@frozen
class PublishedConfiguration:
    """A configuration with the time at which the store acknowledged it.

    ``services`` maps the prefix of each route to its service; ``keys`` are those of organisations.
    """

    version: int
    services: dict[str, str]
    acknowledged_s: float
    keys: frozenset[str] = frozenset()


@frozen
class EntryWrite:
    """A target's entry with the time at which the store acknowledged it.

    ``is_draining`` is also set for the removal of an entry.
    """

    upstream_id: str
    started_at_ms: int
    is_draining: bool
    acknowledged_s: float


def _content(entry: dict) -> dict:
    return {name: value for name, value in entry.items() if name != "sequence"}


@define
class StoreWriters:
    """Writes configurations and entries, and keeps the newest of each.

    While the store is away, writes wait for its return.
    """

    store: PlatformStore
    rng: random.Random
    now_s: Callable[[], float]
    organisations: Organisations | None = None
    configurations: list[PublishedConfiguration] = field(factory=list)
    entry_writes: list[EntryWrite] = field(factory=list)
    _newest_configuration: dict = field(factory=dict)
    _entries: dict[str, dict] = field(factory=dict)
    _sequences: Iterator[int] = field(factory=lambda: itertools.count(1))
    _is_back: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._is_back.set()

    @contextmanager
    def store_away(self) -> Iterator[None]:
        """Let writes wait while the context is entered."""
        self._is_back.clear()
        try:
            yield
        finally:
            self._is_back.set()

    async def publish(self, *routes: dict) -> PublishedConfiguration:
        """Write the operator's next configuration."""
        await self._wait_for_store()
        newest = self.configurations[-1].version if self.configurations else 0
        version = newest + self.rng.randint(1, MAX_VERSION_STEP)
        resources, keys = list(routes), frozenset()
        if self.organisations is not None:
            resources += self.organisations.resources()
            keys = frozenset(self.organisations.keys_in_force())
        self._newest_configuration = configuration(
            version, *resources, max_body_bytes=BODY_LIMIT_BYTES
        )
        await self.store.put(CONFIGURATION_KEY, self._newest_configuration)
        services = {route["spec"]["prefix"]: route["spec"]["service"] for route in routes}
        published = PublishedConfiguration(version, services, self.now_s(), keys)
        self.configurations.append(published)
        return published

    async def publish_again(self) -> None:
        """Write the newest configuration again unless the store has it."""
        await asyncio.sleep(self.rng.choice((0.0, self.rng.uniform(0, OPERATOR_DELAY_S))))
        await self._wait_for_store()
        stored = self.store.value(CONFIGURATION_KEY)
        if stored is None or json.loads(stored) != self._newest_configuration:
            await self.store.put(CONFIGURATION_KEY, self._newest_configuration)

    async def register(self, target: PlatformTarget, **changes: object) -> None:
        """Write a target's entry; ``changes`` replace fields of its former entry."""
        former = self._entries.get(target.upstream_id) or target.entry()
        self._entries[target.upstream_id] = {**former, **changes}
        await self._write_entry(target.upstream_id)

    async def unregister(self, target: PlatformTarget) -> None:
        """Remove a running target's entry, which isn't written again until it registers."""
        entry = self._entries.pop(target.upstream_id)
        await self._wait_for_store()
        await self.store.remove(f"servers/{target.upstream_id}")
        write = EntryWrite(target.upstream_id, entry["born"], True, self.now_s())
        self.entry_writes.append(write)

    async def keep_registered(self, target: PlatformTarget) -> None:
        """Write a running target's entry at each heartbeat, which changes it if it was lost."""
        await asyncio.sleep(self.rng.uniform(0, HEARTBEAT_S))
        while True:
            if target.is_running and target.upstream_id in self._entries:
                await self._write_entry(target.upstream_id)
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self, upstream_id: str) -> None:
        await self._wait_for_store()
        entry = self._entries.get(upstream_id)
        if entry is None:
            return
        key = f"servers/{upstream_id}"
        stored = self.store.value(key)
        if stored is None or _content(json.loads(stored)) != _content(entry):
            entry["sequence"] = next(self._sequences)
            await self.store.put(key, entry)
        write = EntryWrite(upstream_id, entry["born"], entry["state"] == "draining", self.now_s())
        self.entry_writes.append(write)

    async def _wait_for_store(self) -> None:
        # The store may be away again before a task that waited for its return has resumed.
        while not self._is_back.is_set():
            await self._is_back.wait()
