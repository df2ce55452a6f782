"""The known upstreams, from the entries in the store, kept across an outage of the store.

While the store is unavailable, entries expire although their upstreams are alive, and all nodes
would drop most of the fleet when the store returns. An entry that goes missing around an outage is
therefore kept until the store has been back long enough for live upstreams to register again. The
same holds for entries that are missing from the copy of itself that the store returned from.

After a restart of many VMs the entries of their former upstreams remain for a while. An address
belongs to the upstream that started last, or, if start times are missing or equal, to the entry
written last. A store that returns from a copy numbers its entries anew, so an entry that it still
holds unchanged keeps its place in that order.

A copy may also hold an upstream as ready that is known to be leaving. What an upstream itself has
written is ordered by its own sequence, whichever era the store is in.
"""

from __future__ import annotations

from typing import Any

from attrs import evolve, frozen

from cottonlink.overload._store_position import StorePosition

# Live upstreams have registered again about 2 s after the store returns.
STORE_RETURN_GRACE_MS = 2_300.0


@frozen
class _Record:
    """An entry, the position at which the store holds it, and that at which it was written."""

    entry: Any
    position: StorePosition
    written_at: StorePosition


class UpstreamDirectory:
    """Entries by id. An entry is a ``path.Upstream``, or None if it could not be decoded."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._era: int | None = None
        self._is_store_unavailable = False
        self._store_back_at_ms = float("-inf")

    def store_lost(self) -> None:
        """Record that the store stopped answering."""
        self._is_store_unavailable = True

    def store_regained(self, now_ms: float) -> None:
        """Record that the store answers again."""
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._store_back_at_ms = now_ms

    def put(self, entry_id: str, entry: Any, position: StorePosition) -> bool:
        """Add or replace an entry, as of a position of the store; return whether it changed.

        A position that isn't later than the known one changes nothing. An upstream that is known to
        be draining stays so against an entry that it wrote before.
        """
        self._missing_since_ms.pop(entry_id, None)
        known = self._records.get(entry_id)
        if known is None:
            self._records[entry_id] = _Record(entry, position, position)
            return True
        if position <= known.position:
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
        """Return whether a later era holds an upstream as ready that has begun to drain since.

        Within an era the order of the store holds.
        """
        known = self._records.get(entry_id)
        return (
            known is not None
            and position.era > known.position.era
            and _is_same_incarnation(known.entry, entry)
            and known.entry.is_draining
            and not entry.is_draining
            and known.entry.sequence is not None
            and entry.sequence is not None
            and entry.sequence < known.entry.sequence
        )

    def remove(self, entry_id: str, now_ms: float) -> bool:
        """Remove an entry that is gone from the store; return whether it was removed at once.

        Around an outage of the store the removal is deferred until ``drop_missing``.
        """
        if entry_id not in self._records:
            return False
        if self._is_removal_deferred(now_ms):
            self._missing_since_ms.setdefault(entry_id, now_ms)
            return False
        self._delete(entry_id)
        return True

    def replace_all(
        self, entries: dict[str, tuple[Any, StorePosition]], era: int, now_ms: float
    ) -> bool:
        """Apply a full listing of (entry, position) by id; return whether anything changed."""
        if self._era is not None and era > self._era:
            # Nodes that noticed no outage also have to wait for what the copy lacks.
            self._store_back_at_ms = now_ms
        self._era = era
        has_changed = False
        for entry_id, (entry, position) in entries.items():
            has_changed |= self.put(entry_id, entry, position)
        for entry_id in [known for known in self._records if known not in entries]:
            has_changed |= self.remove(entry_id, now_ms)
        return has_changed

    def drop_missing(self, now_ms: float) -> list[str]:
        """Drop the entries that didn't return within the grace period; return their ids."""
        if not self._missing_since_ms or self._is_removal_deferred(now_ms):
            return []
        dropped = list(self._missing_since_ms)
        self._missing_since_ms.clear()
        for entry_id in dropped:
            self._delete(entry_id)
        return dropped

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

    def _delete(self, entry_id: str) -> None:
        self._records.pop(entry_id, None)

    def _is_removal_deferred(self, now_ms: float) -> bool:
        return self._is_store_unavailable or now_ms - self._store_back_at_ms < STORE_RETURN_GRACE_MS


def _is_same_incarnation(entry: Any, other: Any) -> bool:
    """Return whether two entries with one id are of the same start of an upstream.

    Where they don't tell their start, they are: each start has an id of its own.
    """
    if entry is None or other is None:
        return False
    return entry.started_at_ms == other.started_at_ms


def _is_newer(record: _Record, other: _Record) -> bool:
    start_ms, other_start_ms = record.entry.started_at_ms, other.entry.started_at_ms
    if start_ms is not None and other_start_ms is not None and start_ms != other_start_ms:
        return start_ms > other_start_ms
    return record.written_at > other.written_at


def make_upstream_directory() -> UpstreamDirectory:
    """Return an empty directory."""
    return UpstreamDirectory()
