"""The known upstreams, from the entries in the store, kept across an outage of the store.

While the store is unavailable, entries expire although their upstreams are alive, and all nodes
would drop most of the fleet when the store returns. An entry that goes missing around an outage is
therefore kept until the store has been back long enough for live upstreams to register again. The
same holds for entries that are missing from the copy of itself that the store returned from.

After a restart of many VMs the entries of their former upstreams remain for a while. An address
belongs to the upstream that started last, or, if start times are missing or equal, to the entry
written last. A store that returns from a copy numbers its entries anew, so an entry that it still
holds unchanged keeps its place in that order.

A copy may also hold an upstream as ready that is known to be leaving, and so may a store that
applies a write late. What an upstream itself has written is ordered by its own sequence. An
upstream that has left is unused until it writes its entry again, or until the entry has outlived
one that nobody writes.
"""

from __future__ import annotations

from typing import Any

from attrs import evolve, frozen

from cottonlink.overload._store_position import StorePosition

# Live upstreams have registered again about 2 s after the store returns.
STORE_RETURN_GRACE_MS = 2_300.0
# An upstream writes about every 1.5 s, and its entry expires without three of these. The rest is
# for the expiry itself and its way to a node.
UNWRITTEN_ENTRY_LIFE_MS = 6_500.0
# How long an upstream that has left is remembered. The store returns from copies of seconds ago.
DEPARTURE_MEMORY_MS = 120_000.0


@frozen
class _Record:
    """An entry, the position at which the store holds it, and that at which it was written."""

    entry: Any
    position: StorePosition
    written_at: StorePosition


@frozen
class _Departure:
    """The last entry of an upstream that has left."""

    entry: Any
    at_ms: float


@frozen
class _Hold:
    """An entry that came back after its upstream had left, and isn't used."""

    entry: Any
    position: StorePosition
    since_ms: float


class UpstreamDirectory:
    """Entries by id. An entry is a ``path.Upstream``, or None if it could not be decoded."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._departures: dict[str, _Departure] = {}
        self._holds: dict[str, _Hold] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._era: int | None = None
        self._is_store_unavailable = False
        self._store_back_at_ms = float("-inf")

    def store_lost(self) -> None:
        """Record that the store stopped answering."""
        self._is_store_unavailable = True

    def store_regained(self, now_ms: float) -> bool:
        """Record that the store answers again; return whether it had stopped."""
        if not self._is_store_unavailable:
            return False
        self._is_store_unavailable = False
        self._store_back_at_ms = now_ms
        return True

    def put(self, entry_id: str, entry: Any, position: StorePosition) -> bool:
        """Add or replace an entry, as of a position of the store; return whether it changed.

        A position that isn't later than the known one changes nothing. An upstream that is known to
        be draining stays so against an entry that it wrote before.
        """
        hold = self._holds.get(entry_id)
        if hold is not None and position <= hold.position:
            return False
        known = self._records.get(entry_id)
        if known is not None and position < known.position:
            return False
        self._holds.pop(entry_id, None)
        self._departures.pop(entry_id, None)
        self._missing_since_ms.pop(entry_id, None)
        if known is None:
            self._records[entry_id] = _Record(entry, position, position)
            return True
        if position == known.position:
            return False
        if self.is_outdated(entry_id, entry, position):
            self._records[entry_id] = evolve(known, position=position)
            return False
        has_changed = entry != known.entry
        is_same_era = position.era == known.position.era
        written_at = position if has_changed or is_same_era else known.written_at
        self._records[entry_id] = _Record(entry, position, written_at)
        return has_changed

    def is_outdated(self, entry_id: str, entry: Any, position: StorePosition) -> bool:
        """Return whether an upstream wrote that it is ready before it began to drain.

        A store that returned from a copy may hold such an entry, and one that applies a write late.
        In the second case an entry without the start of its upstream may also be of a later start,
        whose sequence began anew.
        """
        known = self._records.get(entry_id)
        return (
            known is not None
            and position > known.position
            and known.entry is not None
            and known.entry.is_draining
            and entry is not None
            and not entry.is_draining
            and (position.era > known.position.era or entry.started_at_ms is not None)
            and _is_written_before(entry, known.entry)
        )

    def hold_if_late(
        self, entry_id: str, entry: Any, position: StorePosition, now_ms: float
    ) -> bool:
        """Hold an entry that its upstream wrote before its entry was removed.

        Return whether it did. The store may apply a write late.
        """
        departure = self._departures.get(entry_id)
        if (
            departure is None
            or not _is_written_before(entry, departure.entry)
            or entry.started_at_ms is None
        ):
            return False
        hold = self._holds.get(entry_id)
        if hold is None or position > hold.position:
            self._holds[entry_id] = _Hold(entry, position, now_ms)
        return True

    def remove(self, entry_id: str, now_ms: float) -> bool:
        """Remove an entry that is gone from the store; return whether it was removed at once.

        Around an outage of the store the removal is deferred until ``drop_missing``.
        """
        self._holds.pop(entry_id, None)
        if entry_id not in self._records:
            return False
        if self._is_removal_deferred(now_ms):
            self._missing_since_ms.setdefault(entry_id, now_ms)
            return False
        self._delete(entry_id, now_ms)
        return True

    def replace_all(
        self, entries: dict[str, tuple[Any, StorePosition]], era: int, now_ms: float
    ) -> bool:
        """Apply a full listing of (entry, position) by id; return whether anything changed."""
        is_new_era = self._era is not None and era > self._era
        self._era = era
        if is_new_era:
            # Nodes that noticed no outage also have to wait for what the copy lacks.
            self._store_back_at_ms = now_ms
        has_changed = False
        for entry_id, (entry, position) in entries.items():
            if is_new_era and self._has_left(entry_id, entry):
                self._holds[entry_id] = _Hold(entry, position, now_ms)
            elif not self.hold_if_late(entry_id, entry, position, now_ms):
                has_changed |= self.put(entry_id, entry, position)
        for entry_id in [*self._records, *self._holds]:
            if entry_id not in entries:
                has_changed |= self.remove(entry_id, now_ms)
        return has_changed

    def drop_missing(self, now_ms: float) -> list[str]:
        """Drop the entries that didn't return within the grace period; return their ids."""
        self._forget_departures(now_ms)
        if not self._missing_since_ms or self._is_removal_deferred(now_ms):
            return []
        dropped = list(self._missing_since_ms)
        self._missing_since_ms.clear()
        for entry_id in dropped:
            self._delete(entry_id, now_ms)
        return dropped

    def is_held(self, entry_id: str) -> bool:
        """Return whether an entry isn't used as its upstream had left before it came back."""
        return entry_id in self._holds

    def held(self) -> list[str]:
        """Return the ids of the entries that aren't used, as their upstreams had left."""
        return list(self._holds)

    def release_held(self, now_ms: float) -> list[str]:
        """Use the held entries that didn't expire, as their upstreams are alive; return their ids.

        While the store doesn't answer, an expiry would not be noticed.
        """
        if self._is_store_unavailable:
            return []
        released = [
            (entry_id, hold)
            for entry_id, hold in self._holds.items()
            if now_ms - max(hold.since_ms, self._store_back_at_ms) >= UNWRITTEN_ENTRY_LIFE_MS
        ]
        for entry_id, hold in released:
            del self._holds[entry_id]
            self.put(entry_id, hold.entry, hold.position)
        return [entry_id for entry_id, _ in released]

    def entries(self) -> list[Any]:
        """Return the decoded entries, one for each address."""
        latest: dict[Any, _Record] = {}
        for record in self._records.values():
            if record.entry is None:
                continue
            other = latest.get(record.entry.address)
            if other is None or _is_newer(record, other):
                latest[record.entry.address] = record
        return [record.entry for record in latest.values()]

    def _delete(self, entry_id: str, now_ms: float) -> None:
        record = self._records.pop(entry_id)
        if record.entry is not None:
            self._departures[entry_id] = _Departure(record.entry, now_ms)

    def _has_left(self, entry_id: str, entry: Any) -> bool:
        """Return whether an entry in a copy is of an upstream that is known to have left.

        The sequence doesn't tell: an upstream may raise it without a change that nodes are told of.
        """
        departure = self._departures.get(entry_id)
        return departure is not None and _is_same_incarnation(departure.entry, entry)

    def _forget_departures(self, now_ms: float) -> None:
        for entry_id, departure in list(self._departures.items()):
            if now_ms - departure.at_ms >= DEPARTURE_MEMORY_MS and entry_id not in self._holds:
                del self._departures[entry_id]

    def _is_removal_deferred(self, now_ms: float) -> bool:
        return self._is_store_unavailable or now_ms - self._store_back_at_ms < STORE_RETURN_GRACE_MS


def _is_same_incarnation(entry: Any, other: Any) -> bool:
    """Return whether two entries with one id are of the same start of an upstream.

    Where they don't tell their start, they are: each start has an id of its own.
    """
    if entry is None or other is None:
        return False
    return entry.started_at_ms == other.started_at_ms


def _is_written_before(entry: Any, other: Any) -> bool:
    """Return whether an upstream wrote ``entry`` before ``other``, as far as they tell."""
    return (
        _is_same_incarnation(entry, other)
        and entry.sequence is not None
        and other.sequence is not None
        and entry.sequence < other.sequence
    )


def _is_newer(record: _Record, other: _Record) -> bool:
    start_ms, other_start_ms = record.entry.started_at_ms, other.entry.started_at_ms
    if start_ms is not None and other_start_ms is not None and start_ms != other_start_ms:
        return start_ms > other_start_ms
    return record.written_at > other.written_at


def make_upstream_directory() -> UpstreamDirectory:
    """Return an empty directory."""
    return UpstreamDirectory()
