"""A queue that serves the organisations in it in rounds, one entry of each per round.

This is deficit round robin for entries of equal cost. An organisation that wasn't served in this
round goes before those that were, so that the few entries of a small one don't wait behind the many
of a large one. The entries of one organisation are served in their order of arrival.

All operations but the search for the entry to evict take constant time, or time proportional to
the number of entries of the organisation in question.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from typing import Any

# Organisations served in a round after which the next one starts in any case, as a bound on memory.
# Those served before then go at most one entry ahead of their turn.
MAX_SERVED = 512


class FairQueue:
    """The queued entries of all organisations."""

    def __init__(self) -> None:
        self._entries: dict[str, OrderedDict[Any, Any]] = {}
        # Organisations with entries, in the order of their turns in this round and the next one.
        self._this_round: OrderedDict[str, None] = OrderedDict()
        self._next_round: OrderedDict[str, None] = OrderedDict()
        # Organisations that were served in this round, with entries or without.
        self._served: set[str] = set()
        # Organisations with at least 1, 2, 3, ... entries; those to reach a number last are last.
        # Some organisation has ``_max_length``; dicts beyond are empty and kept for later.
        self._by_length: list[dict[str, None]] = []
        self._max_length = 0
        # Number of entries.
        self.size = 0

    @property
    def organisation_count(self) -> int:
        """Number of organisations with entries."""
        return len(self._entries)

    def push(self, organisation: str, key: Any, entry: Any) -> None:
        """Add an entry; ``key`` identifies it among those of its organisation."""
        entries = self._entries.get(organisation)
        if entries is None:
            entries = self._entries[organisation] = OrderedDict()
            is_served = organisation in self._served
            (self._next_round if is_served else self._this_round)[organisation] = None
        entries[key] = entry
        length = len(entries)
        if length > self._max_length:
            self._max_length = length
            if length > len(self._by_length):
                self._by_length.append({})
        self._by_length[length - 1][organisation] = None
        self.size += 1

    def remove(self, organisation: str, key: Any) -> None:
        """Remove an entry, for whatever reason."""
        entries = self._entries[organisation]
        length = len(entries)
        del entries[key]
        same_length = self._by_length[length - 1]
        del same_length[organisation]
        if not same_length:
            # An organisation counts for all smaller lengths, too, so this was the largest.
            self._max_length -= 1
        if not entries:
            del self._entries[organisation]
            self._this_round.pop(organisation, None)
            self._next_round.pop(organisation, None)
        self.size -= 1

    def record_served(self, organisation: str) -> None:
        """Record that ``organisation`` has had its turn, with an entry that was queued or not.

        An entry that was queued is to be removed first.
        """
        if not organisation and not self._served:
            # Without organisations there are no turns.
            return
        if organisation in self._served or len(self._served) >= MAX_SERVED:
            self._served.clear()
            self._this_round.update(self._next_round)
            self._next_round.clear()
        self._served.add(organisation)
        if organisation in self._entries:
            self._this_round.pop(organisation, None)
            self._next_round[organisation] = None

    def first(self) -> Any:
        """Return the entry whose turn is next; the queue must not be empty."""
        organisation = next(iter(self._this_round or self._next_round))
        return next(iter(self._entries[organisation].values()))

    def count_ahead(self, organisation: str, queued: int | None = None) -> int:
        """Return how many entries go before one of ``organisation`` behind ``queued`` of its own.

        These are all that it has by default.
        """
        if queued is None:
            queued = len(self._entries.get(organisation, ()))
        if queued == 0 and organisation not in self._served:
            return len(self._this_round)
        if queued + 1 >= self._max_length:
            return self.size
        return sum(len(organisations) for organisations in self._by_length[: queued + 1])

    def largest(self) -> str:
        """Return the organisation with most entries, of several the last to have as many."""
        return next(reversed(self._by_length[self._max_length - 1]))

    def entries_of(self, organisation: str) -> Collection[Any]:
        """Return the entries of ``organisation`` in their order."""
        return self._entries[organisation].values()

    def last_of(self, organisation: str) -> Any:
        """Return the last entry of ``organisation``, which must have one."""
        return next(reversed(self._entries[organisation].values()))


def make_fair_queue() -> FairQueue:
    """Return an empty queue."""
    return FairQueue()
