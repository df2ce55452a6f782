"""The store as the call path sees it: what is read, how calls fail, and the client's interface."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from cottonlink.errors import CottonlinkError
from cottonlink.overload import StorePosition
from cottonlink.path._model import Configuration, Upstream


class HistoryLostError(CottonlinkError):
    """The store has discarded the changes that a watch asks for."""


class EraChangedError(CottonlinkError):
    """The store is of another era than the rest of what a call asks for, so all must be read."""


@frozen
class StoreItem:
    """The value of a key at a position; ``value`` is None if the key was removed."""

    key: str
    position: StorePosition
    value: bytes | None


@frozen
class Listing:
    """Items or changes that were read, all of one era, and the position to watch from.

    ``problems`` tells of items that can't be read, not even their keys.
    """

    items: tuple[StoreItem, ...]
    position: StorePosition
    problems: tuple[str, ...] = ()


class Store(Protocol):
    """Client of the store. Its calls raise CottonlinkError on failure."""

    async def read_all(self, *, may_be_stale: bool = False) -> Listing:
        """Return the configuration and all upstream entries.

        With ``may_be_stale`` they may be seconds old, which costs the store less. Raises
        EraChangedError if the store returned from a copy in between.
        """

    async def read_changes(self, position: StorePosition) -> Listing:
        """Return the changes after ``position`` that there are by now, as ``watch`` does."""

    async def watch(self, position: StorePosition) -> Listing:
        """Wait for changes after ``position`` and return them; none if the wait times out.

        Raises HistoryLostError if the store no longer has them, and EraChangedError if it is of
        another era.
        """

    def is_configuration(self, key: str) -> bool:
        """Return whether ``key`` holds the operator's configuration."""

    def is_upstream(self, key: str) -> bool:
        """Return whether ``key`` holds a target's entry."""

    def decode_configuration(self, item: StoreItem) -> Configuration:
        """Return the configuration in ``item``. Raises CottonlinkError if it is invalid."""

    def decode_upstream(self, item: StoreItem) -> Upstream:
        """Return the upstream in ``item``. Raises CottonlinkError if it is invalid."""


def merge_changes(listing: Listing, changes: Listing) -> Listing:
    """Return a listing with the changes that were made since, in their order."""
    items = {item.key: item for item in listing.items}
    for change in changes.items:
        if change.value is None:
            items.pop(change.key, None)
        else:
            items[change.key] = change
    return Listing(tuple(items.values()), changes.position, listing.problems)


def pack_items(items: tuple[StoreItem, ...]) -> tuple[tuple[str, int, bytes | None], ...]:
    """Return ``items`` as frames between nodes carry them, without their era."""
    return tuple((item.key, item.position.revision, item.value) for item in items)


def unpack_items(
    items: tuple[tuple[str, int, bytes | None], ...], era: int
) -> tuple[StoreItem, ...]:
    """Return the items of a frame whose revisions are of ``era``."""
    return tuple(
        StoreItem(key, StorePosition(era, revision), value) for key, revision, value in items
    )
