"""Recent events that a node passes on in its gossip messages."""

from __future__ import annotations

import heapq
import math
import random

from attrs import define, field

from cottonlink.decisions._gossip import (
    EVENT_LIFETIME_MS,
    MAX_EVENTS_PER_MESSAGE,
    CrashedFingerprint,
    LeavingNode,
)

MAX_STORED_EVENTS = 256

# An event is sent this many times log2 of the number of members. With three, the chance that random
# exchanges miss a node is negligible; more transmissions would only cost bytes.
SENDS_PER_LOG_MEMBERS = 3

# Maximum number of events per message that were sent often enough; they are for nodes that were
# disconnected when the events were new.
OLD_EVENTS_PER_MESSAGE = 2


@define
class _StoredEvent:
    origin_ms: int
    count: int
    sends: int = 0


@define(eq=False)
class GossipEvents:
    """Bounded store of leaving nodes and crashed fingerprints, which expire at a fixed age."""

    _rng: random.Random
    _leaving: dict[tuple[str, str], _StoredEvent] = field(factory=dict)
    _crashes: dict[str, _StoredEvent] = field(factory=dict)

    def add_leaving(self, node: str, incarnation: str, age_ms: int, now_ms: int) -> bool:
        """Store that a process is leaving; return whether this was not known yet."""
        if age_ms >= EVENT_LIFETIME_MS or (node, incarnation) in self._leaving:
            return False
        self._leaving[node, incarnation] = _StoredEvent(now_ms - age_ms, 1)
        self._trim(self._leaving)
        return (node, incarnation) in self._leaving

    def add_crash(self, fingerprint: str, crashes: int, age_ms: int, now_ms: int) -> bool:
        """Store a crashed fingerprint; return whether its count is higher than the known one."""
        known = self._crashes.get(fingerprint)
        if age_ms >= EVENT_LIFETIME_MS or (known and known.count >= crashes):
            return False
        self._crashes[fingerprint] = _StoredEvent(now_ms - age_ms, crashes)
        self._trim(self._crashes)
        return fingerprint in self._crashes

    def next_events(
        self, member_count: int, now_ms: int
    ) -> tuple[tuple[LeavingNode, ...], tuple[CrashedFingerprint, ...]]:
        """Return the events for the next message, those sent least often first, and count them."""
        limit = SENDS_PER_LOG_MEMBERS * math.ceil(math.log2(member_count + 1))
        leaving = tuple(
            LeavingNode(node, incarnation, now_ms - stored.origin_ms)
            for (node, incarnation), stored in self._select(self._leaving, limit, now_ms)
        )
        crashes = tuple(
            CrashedFingerprint(fingerprint, stored.count, now_ms - stored.origin_ms)
            for fingerprint, stored in self._select(self._crashes, limit, now_ms)
        )
        return leaving, crashes

    def expire(self, now_ms: int) -> None:
        """Remove the events that have reached their lifetime."""
        oldest_ms = now_ms - EVENT_LIFETIME_MS
        for store in (self._leaving, self._crashes):
            for key in [key for key, stored in store.items() if stored.origin_ms <= oldest_ms]:
                del store[key]

    def _select(self, store: dict, limit: int, now_ms: int) -> list[tuple]:
        oldest_ms = now_ms - EVENT_LIFETIME_MS
        stored = [item for item in store.items() if item[1].origin_ms > oldest_ms]
        fresh = [item for item in stored if item[1].sends < limit]
        old = [item for item in stored if item[1].sends >= limit]
        selected = heapq.nsmallest(MAX_EVENTS_PER_MESSAGE, fresh, key=lambda item: item[1].sends)
        free_count = min(OLD_EVENTS_PER_MESSAGE, MAX_EVENTS_PER_MESSAGE - len(selected), len(old))
        selected += self._rng.sample(old, free_count)
        for _, entry in selected:
            entry.sends += 1
        return selected

    def _trim(self, store: dict) -> None:
        while len(self._leaving) + len(self._crashes) > MAX_STORED_EVENTS:
            del store[min(store, key=lambda key: store[key].origin_ms)]
