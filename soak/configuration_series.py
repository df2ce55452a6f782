"""A series of configurations in which routes are added, moved to the other service and removed."""

from __future__ import annotations

import asyncio
import random

from attrs import define, field

from emulator.platform_target import route_resource
from soak.fleet import HOST, ROUTE_TIMEOUT_S, SERVICES
from soak.store_writers import StoreWriters

# Changes come in bursts, so that what a node missed of one isn't always made good by the next.
BURST_CHANGES = (1, 6)
PAUSE_S = (0.5, 0.8)
PAUSE_BETWEEN_BURSTS_S = (2.5, 4.5)
MAX_CHANGING_ROUTES = 6
# Routes that changed within this time are worth a probe.
PROBED_S = 8.0


@define
class ConfigurationSeries:
    """Publishes configurations with the ``lasting`` routes and some that change.

    A removed route never returns, so a response shows which configurations allow it.
    """

    writers: StoreWriters
    rng: random.Random
    lasting: list[dict]
    _changing: dict[str, dict] = field(factory=dict)
    _changed_at_s: dict[str, float] = field(factory=dict)
    _route_count: int = 0

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            for _ in range(self.rng.randint(*BURST_CHANGES)):
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                await self.publish_next()
            await asyncio.sleep(self.rng.uniform(*PAUSE_BETWEEN_BURSTS_S))

    async def publish_next(self) -> None:
        """Change a route or two, and perhaps a key, and publish."""
        changed = [self._add()]
        if len(self._changing) > 2 and self.rng.random() < 0.5:
            changed.append(self._move())
        if len(self._changing) > MAX_CHANGING_ROUTES or self.rng.random() < 0.3:
            changed.append(self._remove())
        if self.writers.organisations is not None:
            self.writers.organisations.change_keys()
        await self.writers.publish(*self.lasting, *self._changing.values())
        for prefix in changed:
            self._changed_at_s[prefix] = self.writers.now_s()

    async def publish_lasting(self, route: dict) -> None:
        """Add a route that stays, and publish."""
        self.lasting.append(route)
        await self.publish_next()

    def choose_changed_prefix(self) -> str | None:
        """Return the prefix of a route that changed lately, or None if there is none."""
        since_s = self.writers.now_s() - PROBED_S
        recent = [prefix for prefix, time_s in self._changed_at_s.items() if time_s >= since_s]
        return self.rng.choice(recent) if recent else None

    def _add(self) -> str:
        self._route_count += 1
        prefix = f"/n{self._route_count}/"
        self._set(prefix, self.rng.choice(SERVICES))
        return prefix

    def _move(self) -> str:
        prefix = self.rng.choice(sorted(self._changing)[:-1])
        former = self._changing[prefix]["spec"]["service"]
        self._set(prefix, SERVICES[1 - SERVICES.index(former)])
        return prefix

    def _remove(self) -> str:
        prefix = self.rng.choice(sorted(self._changing))
        del self._changing[prefix]
        return prefix

    def _set(self, prefix: str, service: str) -> None:
        name = prefix.strip("/")
        self._changing[prefix] = route_resource(
            name, HOST, prefix, service, timeout_s=ROUTE_TIMEOUT_S
        )
