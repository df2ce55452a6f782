"""Bounds what clients make a node hold, on all of its listeners for clients.

Load pattern: many clients send a part of a request each and stop, send requests without reading
the responses, or only connect. Every connection is charged with what the process needs for it.
Above the limit those that hold most and make least progress are closed, first at the address that
holds most; nothing is closed while there is room.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field

from cottonlink.overload._memory_account import MB, MemoryAccount

# An open connection with its transport, parser and buffers, without a request.
CONNECTION_BYTES = 8_000
# A header field as objects, in addition to its bytes.
FIELD_BYTES = 130
# Bodies grow in steps, which leaves gaps in the heap of about their own length.
BODY_FACTOR = 2
# Below this a connection holds little more than an idle one.
LARGE_CHARGE_BYTES = CONNECTION_BYTES + 16_384

# Share of the room that connections may take beside long bodies.
LIMIT_SHARE = 0.5
# Once above the limit, connections are closed until this share of it is held, so that the walk over
# all connections is made once for many of them.
RELIEF_SHARE = 0.85
# Above this multiple of the limit, connections with requests in service are closed, too.
FORCED_SHARE = 1.3
# Connections closed in one go: each takes about 50 microseconds.
CLOSED_AT_ONCE = 64
# After relief that freed too little, this much more must be held before it is tried again.
RETRY_BYTES = MB
# A connection makes progress if it begins a request, or transfers this much between two sweeps,
# which are 500 ms apart.
PROGRESS_BYTES = 8_192
# Requests of one connection that may be in service at a time, and the share of the limit above
# which a further one is begun only once the others are answered.
REQUESTS_AHEAD = 16
AHEAD_SHARE = 0.5
# Time without progress after which a long body gives its room to those that wait.
STALLED_BODY_MS = 500.0
# Added to the time without progress, so that size decides between those that have just arrived.
LEAST_STALL_MS = 50.0
# Share of the limit of connections that is closed at once, if too many are open.
EVICTED_SHARE = 1 / 32

# What a connection waits for, from the least useful to the most.
LINGERING = "lingering"
IDLE = "idle"
UNFINISHED = "unfinished"
UNREAD = "unread"
SERVING = "serving"


class ChargedConnection(Protocol):
    """A client's connection, as the account sees it."""

    def held_bytes(self) -> int:
        """Return what the process needs for the connection now."""

    def held_body_bytes(self) -> int:
        """Return the room that a long body has which the client doesn't send or read further."""

    def progress_bytes(self) -> int:
        """Return a count that rises with the bytes sent of a request, or read of a response."""

    def waits_for(self) -> str:
        """Return what is next to happen: LINGERING, IDLE, UNFINISHED, UNREAD or SERVING."""

    def reclaim(self, *, is_urgent: bool) -> bool:
        """Reject what is unfinished or close the connection, at once if ``is_urgent``.

        Return whether the connection is over.
        """


@define(eq=False)
class ConnectionCharge:
    """What one connection is charged with. ``progressed_ms`` is when it last made progress."""

    connection: ChargedConnection
    address: str
    progressed_ms: float
    held_bytes: int = CONNECTION_BYTES
    _progress_bytes: int = 0

    def note_progress(self, now_ms: float) -> None:
        """Note whether the connection has made progress since the last call."""
        progress_bytes = self.connection.progress_bytes()
        if progress_bytes - self._progress_bytes >= PROGRESS_BYTES:
            self.progressed_ms = now_ms
        self._progress_bytes = progress_bytes


@define(eq=False)
class ConnectionAccount:
    """What all connections of clients hold at one node.

    ``on_closed`` is called with the charge, a reason and the bytes before a connection is closed;
    without a charge if a new one is refused. ``requests_ahead`` is the number of requests that a
    connection may have in service.
    """

    memory: MemoryAccount
    room_bytes: int
    connection_limit: int
    _now_ms: Callable[[], float]
    on_closed: Callable[[ConnectionCharge | None, str, int], None]
    held_bytes: int = 0
    requests_ahead: int = REQUESTS_AHEAD
    _charges: set[ConnectionCharge] = field(factory=set)
    _address_bytes: Counter[str] = field(factory=Counter)
    _retry_above_bytes: float = 0
    _is_relieving: bool = False
    _has_none_to_evict: bool = False

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._charges)

    @property
    def address_count(self) -> int:
        """Number of addresses with open connections."""
        return len(self._address_bytes)

    @property
    def limit_bytes(self) -> float:
        """What connections may hold now: less than their share if long bodies hold the rest."""
        share = LIMIT_SHARE * self.room_bytes
        rest = self.room_bytes - self.memory.total_bytes
        return min(share, max(rest, self.memory.reserved_for_connections_bytes))

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than allowed, as nothing of it could be closed."""
        return self.held_bytes > self.limit_bytes

    def heaviest_address(self) -> tuple[str, int]:
        """Return the address that holds most, and how much."""
        return max(self._address_bytes.items(), key=lambda item: item[1], default=("", 0))

    def open(self, connection: ChargedConnection, address: str) -> ConnectionCharge | None:
        """Return the charge of a new connection, None if there is no room for it."""
        if len(self._charges) >= self.connection_limit:
            self._evict()
            if len(self._charges) >= self.connection_limit:
                self.on_closed(None, "connections", 0)
                return None
        charge = ConnectionCharge(connection, address, self._now_ms())
        self._charges.add(charge)
        self._add(address, charge.held_bytes)
        self._relieve_if_exceeded()
        return charge

    def close(self, charge: ConnectionCharge) -> None:
        """Give back what a connection was charged with."""
        if charge in self._charges:
            self._charges.discard(charge)
            self._add(charge.address, -charge.held_bytes)

    def update(self, charge: ConnectionCharge) -> None:
        """Charge a connection with what it holds now."""
        if charge in self._charges:
            self._refresh(charge)
            self._relieve_if_exceeded()

    def sweep(self) -> None:
        """Note the progress of all connections, and charge them with what they hold now."""
        now_ms = self._now_ms()
        for charge in self._charges:
            charge.note_progress(now_ms)
            self._refresh(charge)
        self._retry_above_bytes = 0
        self._has_none_to_evict = False
        self._relieve_if_exceeded()

    def reclaim_bodies(self) -> None:
        """Close connections with stalled long bodies until those that wait have room."""
        memory = self.memory
        wanted_bytes = memory.waiting_bytes + max(0, memory.total_bytes - memory.limit_bytes)
        if not wanted_bytes:
            return
        now_ms = self._now_ms()
        stalled = []
        for charge in self._charges:
            if now_ms - charge.progressed_ms < STALLED_BODY_MS:
                continue
            body_bytes = charge.connection.held_body_bytes()
            if body_bytes:
                stalled.append((charge, body_bytes))
        for charge, body_bytes in self._in_order(stalled, now_ms):
            if wanted_bytes <= 0:
                break
            wanted_bytes -= body_bytes
            self._reclaim(charge, "stalled_body", body_bytes)

    def _add(self, address: str, delta: int) -> None:
        self.held_bytes += delta
        self._address_bytes[address] += delta
        if not self._address_bytes[address]:
            del self._address_bytes[address]
        is_near_limit = self.held_bytes > AHEAD_SHARE * self.limit_bytes
        self.requests_ahead = 1 if is_near_limit else REQUESTS_AHEAD

    def _refresh(self, charge: ConnectionCharge) -> None:
        held_bytes = charge.connection.held_bytes()
        if held_bytes != charge.held_bytes:
            self._add(charge.address, held_bytes - charge.held_bytes)
            charge.held_bytes = held_bytes

    def _relieve_if_exceeded(self) -> None:
        if self.held_bytes <= self.room_bytes * LIMIT_SHARE and not self.memory.total_bytes:
            return
        limit_bytes = self.limit_bytes
        if self.held_bytes > max(limit_bytes, self._retry_above_bytes) and not self._is_relieving:
            self._is_relieving = True
            try:
                self._relieve(limit_bytes)
            finally:
                self._is_relieving = False

    def _relieve(self, limit_bytes: float) -> None:
        """Close connections until there is room again."""
        large, small = [], []
        for charge in list(self._charges):
            if charge.held_bytes > LARGE_CHARGE_BYTES:
                self._refresh(charge)
                large.append((charge, charge.held_bytes - CONNECTION_BYTES))
            else:
                small.append((charge, charge.held_bytes - CONNECTION_BYTES))
        if self.held_bytes <= limit_bytes:
            return
        is_forced = self.held_bytes > FORCED_SHARE * limit_bytes
        goal_bytes = RELIEF_SHARE * limit_bytes
        now_ms = self._now_ms()
        closed_count = 0
        # The order of each group is made only if those before it don't suffice.
        for charges, takes_serving in ((large, False), (small, False), (large, is_forced)):
            for charge, _ in self._in_order(charges, now_ms):
                if self.held_bytes <= goal_bytes or closed_count == CLOSED_AT_ONCE:
                    break
                reason = charge.connection.waits_for()
                if charge in self._charges and (takes_serving or reason != SERVING):
                    closed_count += 1
                    self._reclaim(charge, reason, charge.held_bytes)
            if self.held_bytes <= goal_bytes or closed_count == CLOSED_AT_ONCE:
                break
        # Below the limit, the next walk is due at the limit; else only once more has come.
        self._retry_above_bytes = 0
        if self.held_bytes > limit_bytes:
            self._retry_above_bytes = self.held_bytes + RETRY_BYTES

    def _in_order(
        self, charges: list[tuple[ConnectionCharge, int]], now_ms: float
    ) -> Iterable[tuple[ConnectionCharge, int]]:
        """Yield charges, those of the address that holds most first; what is yielded is freed.

        Within an address, the product of what is held and the time without progress decides.
        """
        by_address: dict[str, list[tuple[float, int, ConnectionCharge, int]]] = {}
        totals = Counter(self._address_bytes)
        for number, (charge, held_bytes) in enumerate(charges):
            stalled_ms = now_ms - charge.progressed_ms + LEAST_STALL_MS
            score = (held_bytes + 1) * stalled_ms
            by_address.setdefault(charge.address, []).append((-score, number, charge, held_bytes))
            totals[charge.address] += max(0, held_bytes - charge.held_bytes)
        for entries in by_address.values():
            heapq.heapify(entries)
        addresses = [(-totals[address], address) for address in by_address]
        heapq.heapify(addresses)
        while addresses:
            negative_total, address = heapq.heappop(addresses)
            _, _, charge, held_bytes = heapq.heappop(by_address[address])
            if by_address[address]:
                freed_bytes = max(held_bytes, charge.held_bytes)
                heapq.heappush(addresses, (negative_total + freed_bytes, address))
            yield charge, held_bytes

    def _evict(self) -> None:
        """Close the least useful connections, as there are too many."""
        if self._has_none_to_evict:
            return
        order = (LINGERING, IDLE, UNFINISHED, UNREAD)
        ranks = {state: rank for rank, state in enumerate(order)}
        candidates = [
            (ranks[state], charge.progressed_ms, number, charge)
            for number, charge in enumerate(self._charges)
            if (state := charge.connection.waits_for()) in ranks
        ]
        count = math.ceil(self.connection_limit * EVICTED_SHARE)
        for rank, _, _, charge in heapq.nsmallest(count, candidates):
            self._reclaim(charge, order[rank], charge.held_bytes, is_urgent=True)
        self._has_none_to_evict = not candidates

    def _reclaim(
        self, charge: ConnectionCharge, reason: str, held_bytes: int, *, is_urgent: bool = False
    ) -> None:
        self.on_closed(charge, reason, held_bytes)
        if charge.connection.reclaim(is_urgent=is_urgent):
            self.close(charge)
        elif charge in self._charges:
            self._refresh(charge)


def make_connection_account(
    memory: MemoryAccount,
    connection_limit: int,
    now_ms: Callable[[], float],
    on_closed: Callable[[ConnectionCharge | None, str, int], None],
) -> ConnectionAccount:
    """Return the account of a node that shares its room with the long bodies in ``memory``."""
    return ConnectionAccount(memory, memory.room_bytes, connection_limit, now_ms, on_closed)
