"""Queue of calls that wait for a slot, sorted in the order of service."""

from __future__ import annotations

import bisect
import enum
from collections.abc import Iterator

from attrs import frozen


class QueueOrder(enum.StrEnum):
    """Order among calls of equal importance; more important calls always go first.

    ``ARRIVAL`` serves the oldest call first, ``NEWEST`` the newest, and ``HASH`` the one with the
    highest position.
    """

    ARRIVAL = "arrival"
    HASH = "hash"
    NEWEST = "newest"


@frozen
class Arrival:
    """A call that asks for admission.

    ``position`` (0 to 65535) is the same for all calls of a root request; a higher position is
    served first. ``deadline_ms`` and ``arrived_ms`` are monotonic times of the node beside the
    target. Of the calls marked ``suspect`` (requests that may crash a target), only one runs at a
    time.
    """

    call_id: str
    importance: int
    position: int
    deadline_ms: int
    arrived_ms: int
    repeatable: bool
    kind: str
    suspect: bool = False


RankKey = tuple[int, int, int]


def rank_key(arrival: Arrival, order: QueueOrder, serial: int) -> RankKey:
    """Return the sort key of a call: the highest is served first, the lowest is shed first.

    ``serial`` is a unique number that rises in order of arrival.
    """
    if order is QueueOrder.HASH:
        return (arrival.importance, arrival.position, -serial)
    if order is QueueOrder.NEWEST:
        return (arrival.importance, serial, 0)
    return (arrival.importance, -serial, 0)


@frozen(eq=False)
class QueuedCall:
    """A call with its sort key."""

    key: RankKey
    arrival: Arrival


class CallQueue:
    """Calls in ascending order of their keys; the last one is served next.

    The class sets no bound on its length. A sorted list suffices because the queue holds a few
    hundred calls at most; an insertion then moves a few kilobytes of memory.
    """

    def __init__(self) -> None:
        self._keys: list[RankKey] = []
        self._calls: list[QueuedCall] = []
        self._key_by_id: dict[str, RankKey] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._key_by_id

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over a copy, starting with the call that is served next."""
        return iter(self._calls[::-1])

    def push(self, call: QueuedCall) -> None:
        """Insert a call at the place given by its key."""
        index = bisect.bisect_left(self._keys, call.key)
        self._keys.insert(index, call.key)
        self._calls.insert(index, call)
        self._key_by_id[call.arrival.call_id] = call.key

    def pop_next(self, *, allow_suspect: bool) -> QueuedCall | None:
        """Remove and return the call to serve next, or None if no queued call may run now."""
        for index in range(len(self._calls) - 1, -1, -1):
            if allow_suspect or not self._calls[index].arrival.suspect:
                return self._pop(index)
        return None

    def lowest_ranked(self) -> QueuedCall | None:
        """Return the call that is shed first, or None if the queue is empty."""
        return self._calls[0] if self._calls else None

    def has_runnable(self, *, allow_suspect: bool) -> bool:
        """Return whether ``pop_next`` would return a call."""
        if allow_suspect:
            return bool(self._calls)
        return any(not call.arrival.suspect for call in reversed(self._calls))

    def remove(self, call_id: str) -> QueuedCall | None:
        """Remove and return the call with ``call_id``, or return None if it isn't queued."""
        key = self._key_by_id.get(call_id)
        if key is None:
            return None
        return self._pop(bisect.bisect_left(self._keys, key))

    def _pop(self, index: int) -> QueuedCall:
        self._keys.pop(index)
        call = self._calls.pop(index)
        del self._key_by_id[call.arrival.call_id]
        return call
