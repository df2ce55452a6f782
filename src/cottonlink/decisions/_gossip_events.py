"""The recent events that a node passes on with its gossip."""

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

MAX_HELD_EVENTS = 256

# With three times log2 of the fleet, the chance that random exchanges miss a node is negligible;
# later transmissions would only cost bytes.
SENDS_PER_LOG_MEMBERS = 3

# Old events that go along with each message, for nodes that were cut off when they were new.
OLD_EVENTS_PER_MESSAGE = 2


@define
class _Held:
    origin_ms: int
    count: int
    sends: int = 0


@define(eq=False)
class GossipEvents:
    """Bounded store of leaving nodes and crashed fingerprints, each dropped at a fixed age."""

    _rng: random.Random
    _leaving: dict[tuple[str, str], _Held] = field(factory=dict)
    _crashes: dict[str, _Held] = field(factory=dict)

    def add_leaving(self, node: str, incarnation: str, age_ms: int, now_ms: int) -> bool:
        """Hold a leaving process; return whether it is new here."""
        if age_ms >= EVENT_LIFETIME_MS or (node, incarnation) in self._leaving:
            return False
        self._leaving[node, incarnation] = _Held(now_ms - age_ms, 1)
        self._trim(self._leaving)
        return (node, incarnation) in self._leaving

    def add_crash(self, fingerprint: str, crashes: int, age_ms: int, now_ms: int) -> bool:
        """Hold a crashed fingerprint; return whether its count is higher than the one held."""
        known = self._crashes.get(fingerprint)
        if age_ms >= EVENT_LIFETIME_MS or (known and known.count >= crashes):
            return False
        self._crashes[fingerprint] = _Held(now_ms - age_ms, crashes)
        self._trim(self._crashes)
        return fingerprint in self._crashes

    def take(
        self, member_count: int, now_ms: int
    ) -> tuple[tuple[LeavingNode, ...], tuple[CrashedFingerprint, ...]]:
        """Return the events for the next message: those sent least often first."""
        limit = SENDS_PER_LOG_MEMBERS * math.ceil(math.log2(member_count + 1))
        leaving = tuple(
            LeavingNode(node, incarnation, now_ms - held.origin_ms)
            for (node, incarnation), held in self._pick(self._leaving, limit, now_ms)
        )
        crashes = tuple(
            CrashedFingerprint(fingerprint, held.count, now_ms - held.origin_ms)
            for fingerprint, held in self._pick(self._crashes, limit, now_ms)
        )
        return leaving, crashes

    def expire(self, now_ms: int) -> None:
        """Drop the events that have reached their lifetime."""
        oldest_ms = now_ms - EVENT_LIFETIME_MS
        for store in (self._leaving, self._crashes):
            for key in [key for key, held in store.items() if held.origin_ms <= oldest_ms]:
                del store[key]

    def _pick(self, store: dict, limit: int, now_ms: int) -> list[tuple]:
        oldest_ms = now_ms - EVENT_LIFETIME_MS
        held = [item for item in store.items() if item[1].origin_ms > oldest_ms]
        fresh = [item for item in held if item[1].sends < limit]
        old = [item for item in held if item[1].sends >= limit]
        picked = heapq.nsmallest(MAX_EVENTS_PER_MESSAGE, fresh, key=lambda item: item[1].sends)
        free_count = min(OLD_EVENTS_PER_MESSAGE, MAX_EVENTS_PER_MESSAGE - len(picked), len(old))
        picked += self._rng.sample(old, free_count)
        for _, entry in picked:
            entry.sends += 1
        return picked

    def _trim(self, store: dict) -> None:
        while len(self._leaving) + len(self._crashes) > MAX_HELD_EVENTS:
            del store[min(store, key=lambda key: store[key].origin_ms)]
