"""Bounds what a node holds of long bodies, whoever sends them and wherever they go.

Load pattern: a few callers upload bodies of the largest size at once, or many do so in small
pieces, or read long responses slowly. Each body gets room for all of its length before it is read,
so that those that have room always come to an end; the others wait unread, the most important
first. Requests without a long body are served meanwhile.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable

from attrs import define, field

MB = 1_000_000
# What a node holds besides long bodies: the interpreter, connections, short bodies and buffers.
RESERVED_BYTES = 64 * MB
# The part of it that connections of clients may take while long bodies hold all of their room.
RESERVED_FOR_CONNECTIONS_BYTES = 19 * MB
# Share of the VM's memory that is left free for what the allocator hasn't returned.
FREE_SHARE = 0.1
# Important requests are served up to this multiple of the limit.
EXCEEDED_FACTOR = 1.2
# Room for a body of a few MB, on VMs that are smaller than any known.
MIN_LIMIT_BYTES = 8 * MB
# Bodies of up to this length may pass longer ones that wait, into a share of the room that is left
# for them: a few large uploads mustn't keep all small ones waiting.
SMALL_BODY_BYTES = MB
SMALL_BODY_SHARE = 0.15


def memory_limit_bytes(memory_mb: float) -> int:
    """Return the room for long bodies on a VM that allows the process ``memory_mb``."""
    return max(MIN_LIMIT_BYTES, round(memory_mb * MB * (1.0 - FREE_SHARE)) - RESERVED_BYTES)


@define(eq=False)
class Hold:
    """Room for one body, given back when nothing refers to the hold any more.

    ``kind`` tells metrics what is held. ``is_granted`` tells whether there is room for ``count``
    bytes; until then the body mustn't be read.
    """

    _account: MemoryAccount
    kind: str
    rank: int
    count: int = 0
    is_granted: bool = False
    small_count: int = 0
    on_room: Callable[[], None] | None = None

    def request(self, count: int) -> bool:
        """Ask for room for ``count`` bytes more; return whether there is some now.

        If not, ``on_room`` is called once there is, unless the request is withdrawn.
        """
        return self._account.request(self, count)

    def withdraw(self) -> None:
        """Wait for room no longer."""
        self.on_room = None
        self._account.reconsider()

    def __del__(self) -> None:
        self._account.give_back(self.kind, self.count, self.small_count)


@define(order=True)
class _Request:
    rank: int
    number: int
    count: int = field(order=False)
    hold: Hold = field(order=False)
    is_granted: bool = field(default=False, order=False)

    @property
    def is_waiting(self) -> bool:
        """Whether room is still wanted."""
        return not self.is_granted and self.hold.on_room is not None


class MemoryAccount:
    """The room for long bodies at one node.

    ``call_soon`` runs a callback in the next round of the event loop. Ranks are those of routes, 0
    being the most important.
    """

    def __init__(self, limit_bytes: int, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self.limit_bytes = limit_bytes
        self._call_soon = call_soon
        # By rank and time; the small bodies among them once more.
        self._requests: list[_Request] = []
        self._small_requests: list[_Request] = []
        self._numbers = itertools.count()
        self._is_grant_due = False
        self.held_bytes: Counter[str] = Counter()
        self._total_bytes = 0
        self._small_bytes = 0
        # What connections of clients hold in addition, which may use the room of long bodies.
        self.connections_bytes: Callable[[], int] = int
        self.reserved_for_connections_bytes = min(limit_bytes, RESERVED_FOR_CONNECTIONS_BYTES)

    @property
    def room_bytes(self) -> int:
        """Room for long bodies and connections together."""
        return self.limit_bytes + self.reserved_for_connections_bytes

    @property
    def total_bytes(self) -> int:
        """Bytes of all kinds for which there is room by now."""
        return self._total_bytes

    @property
    def waiting_count(self) -> int:
        """Number of bodies that wait for room."""
        return sum(request.is_waiting for request in self._requests)

    @property
    def waiting_bytes(self) -> int:
        """Room that bodies wait for."""
        return sum(request.count for request in self._requests if request.is_waiting)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than there is room for, as some of it can't wait for room."""
        return self._total_bytes > self.limit_bytes

    @property
    def is_far_exceeded(self) -> bool:
        """Whether so much more is held that nothing else may be served."""
        return self._total_bytes > EXCEEDED_FACTOR * self.limit_bytes

    def open(self, kind: str, rank: int, on_room: Callable[[], None] | None = None) -> Hold:
        """Return a hold without any room yet."""
        return Hold(self, kind, rank, on_room=on_room)

    def take(self, kind: str, count: int) -> Hold:
        """Return a hold of what is held already, or can't wait."""
        hold = Hold(self, kind, 0)
        hold.is_granted = True
        hold.count = count
        self._total_bytes += count
        self.held_bytes[kind] += count
        return hold

    def take_if_room(self, kind: str, count: int, rank: int) -> Hold | None:
        """Return a hold of what is held already, or None if there is no room to keep it.

        The most important requests, of rank 0, may exceed the limit.
        """
        may_exceed = rank == 0 and not self.is_far_exceeded
        return self.take(kind, count) if may_exceed or self._has_room(count) else None

    def request(self, hold: Hold, count: int) -> bool:
        """Grant ``count`` bytes to ``hold``, or let it wait for them."""
        is_first = not self._requests and self._has_room(count, hold.count)
        if is_first or self._may_pass(hold, count):
            self._grant(hold, count)
            return True
        hold.is_granted = False
        request = _Request(hold.rank, next(self._numbers), count, hold)
        heapq.heappush(self._requests, request)
        if not self._is_large(count, hold.count):
            heapq.heappush(self._small_requests, request)
        return False

    def give_back(self, kind: str, count: int, small_count: int = 0) -> None:
        """Return room that a hold had, ``small_count`` of it as a small body."""
        self._total_bytes -= count
        self._small_bytes -= small_count
        self.held_bytes[kind] -= count
        self.reconsider()

    def reconsider(self) -> None:
        """Grant what has room by now, in the next round of the event loop."""
        if self._requests and not self._is_grant_due:
            self._is_grant_due = True
            self._call_soon(self._grant_waiting)

    def _has_room(self, count: int, held_count: int = 0) -> bool:
        # A body that is longer than the limit gets room alone, or it would wait for ever.
        if self._total_bytes == 0:
            return True
        total_bytes = self._total_bytes + count
        is_limited = self._is_large(count, held_count) and count <= self._large_limit_bytes
        if is_limited and total_bytes - self._small_bytes > self._large_limit_bytes:
            return False
        limit_bytes = min(self.limit_bytes, self.room_bytes - self.connections_bytes())
        return total_bytes <= limit_bytes

    def _may_pass(self, hold: Hold, count: int) -> bool:
        """Return whether a small body may be granted before larger ones that wait."""
        first = next((request for request in self._requests if request.is_waiting), None)
        if first is None or self._is_large(count, hold.count):
            return False
        # A body that can only be granted alone would never be, if others went on passing it.
        return (
            self._small_bytes + count <= SMALL_BODY_SHARE * self.limit_bytes
            and self._is_large(first.count, first.hold.count)
            and first.count <= self._large_limit_bytes
            and self._has_room(count, hold.count)
        )

    @property
    def _large_limit_bytes(self) -> float:
        return (1 - SMALL_BODY_SHARE) * self.limit_bytes

    @staticmethod
    def _is_large(count: int, held_count: int) -> bool:
        return count + held_count > SMALL_BODY_BYTES

    def _grant(self, hold: Hold, count: int) -> None:
        self._small_bytes -= hold.small_count
        hold.count += count
        hold.small_count = 0 if hold.count > SMALL_BODY_BYTES else hold.count
        self._small_bytes += hold.small_count
        hold.is_granted = True
        self._total_bytes += count
        self.held_bytes[hold.kind] += count

    def _grant_waiting(self) -> None:
        self._is_grant_due = False
        while self._requests:
            request = self._requests[0]
            if request.is_waiting and not self._has_room(request.count, request.hold.count):
                break
            heapq.heappop(self._requests)
            self._grant_request(request)
        while self._small_requests:
            request = self._small_requests[0]
            if request.is_waiting and not self._may_pass(request.hold, request.count):
                return
            heapq.heappop(self._small_requests)
            self._grant_request(request)

    def _grant_request(self, request: _Request) -> None:
        if request.is_waiting:
            on_room = request.hold.on_room
            request.is_granted = True
            self._grant(request.hold, request.count)
            on_room()


def make_memory_account(
    memory_mb: float, call_soon: Callable[[Callable[[], None]], object]
) -> MemoryAccount:
    """Return the account of a node whose process may hold ``memory_mb``."""
    return MemoryAccount(memory_limit_bytes(memory_mb), call_soon)
